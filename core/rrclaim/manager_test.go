package rrclaim

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// stepManager calls Step of m and returns the calls and decisions.
func stepManager(m *Manager, now time.Time) ([]StoreCall, []Decision) {
	var out Effects
	m.Step(now, &out)
	return out.Calls, out.Decisions
}

// formatDecisions returns the kind, code, owner and incarnation of each decision as text.
// For example, "1 0 b2" is kind 1 (OwnedElsewhere), code 0, owner b in incarnation 2.
func formatDecisions(decisions []Decision) string {
	var texts []string
	for _, d := range decisions {
		texts = append(texts, fmt.Sprintf("%v %v %s%d", d.Kind, d.Answer.Code, d.Owner, d.Incarnation))
	}
	return strings.Join(texts, ", ")
}

func newManager() *Manager {
	m := New("a", 1)
	m.SetRate(1000)
	return m
}

func TestValidateID(t *testing.T) {
	good := testID(baseTime, 1)
	tests := []struct {
		id   string
		now  time.Time
		want rrcode.Code
	}{
		{good, baseTime, 0},
		{good, baseTime.Add(MaxRequestAge), 0},
		{good, baseTime.Add(MaxRequestAge + time.Millisecond), rrcode.Expired},
		{good, baseTime.Add(-MaxFutureOffset), 0},
		{good, baseTime.Add(-MaxFutureOffset - time.Millisecond), rrcode.ClaimHeld},
		{good, baseTime.Add(-2*MaxFutureOffset - time.Millisecond), rrcode.BadRequest},
		{strings.ToUpper(good), baseTime, rrcode.BadRequest},
		{"{" + good + "}", baseTime, rrcode.BadRequest},
		{"", baseTime, rrcode.BadRequest},
		{"1b4e28ba-2fa1-41d2-883f-0016d3cca427", baseTime, rrcode.BadRequest},
		{strings.Replace(good, "-8", "-0", 1), baseTime, rrcode.BadRequest},
	}
	for _, tt := range tests {
		if _, got, _ := validateID(tt.now, tt.id); got != tt.want {
			t.Errorf("%s at %v: got %v, want %v", tt.id, tt.now.Sub(baseTime), got, tt.want)
		}
	}
}

// TestReplies checks the decision or the next call after one reply of each kind.
func TestReplies(t *testing.T) {
	id := testID(baseTime, 1)
	compareFailed := func(r Record) Reply {
		return Reply{Outcome: CompareFailed, Current: []KeyState{{ModRevision: 7, Record: r}}}
	}
	closed := func(code rrcode.Code, ended time.Duration) Record {
		return Record{Entry: "b", Incarnation: 2, State: Closed, Code: code, ClosedAt: baseTime.Add(ended)}
	}
	complete := closed(rrcode.Complete, 0)
	complete.HasResults = true
	const callAgain = "call"
	tests := []struct {
		name  string
		reply Reply
		want  string
	}{
		{"written", Reply{Outcome: Committed, Revision: 5}, "0 0 0"},
		{"indeterminate", Reply{}, callAgain},
		{"not applied", Reply{Outcome: NotApplied}, callAgain},
		{"absent", Reply{Outcome: CompareFailed, Current: []KeyState{{}}}, callAgain},
		{"reply without key states", Reply{Outcome: CompareFailed}, callAgain},
		{"own earlier write", compareFailed(Record{Entry: "a", Incarnation: 1, Attempt: 1, State: Open}), "0 0 0"},
		{"own earlier attempt", compareFailed(Record{Entry: "a", Incarnation: 1, Attempt: 9, State: Open}), callAgain},
		{"own earlier incarnation", compareFailed(Record{Entry: "a", Incarnation: 0, Attempt: 1, State: Open}), "1 0 a0"},
		{"owned by another entry", compareFailed(Record{Entry: "b", Incarnation: 2, Attempt: 1, State: Open}), "1 0 b2"},
		{"malformed record", compareFailed(Record{}), "3 claim-held 0"},
		{"another tenant's", compareFailed(Record{Tenant: "x", Entry: "b", State: Closed, Code: rrcode.Complete, HasResults: true}), "3 bad-request 0"},
		{"complete", compareFailed(complete), "2 complete 0"},
		{"complete, results not stored", compareFailed(closed(rrcode.Complete, 0)), "2 outcome-lost 0"},
		{"failed", compareFailed(closed(rrcode.TaskFailed, 0)), "2 task-failed 0"},
		{"may have run", compareFailed(closed(rrcode.OwnerLost, 0)), "2 keeper-lost 0"},
		{"not run, long ago", compareFailed(closed(rrcode.Overloaded, -2*MaxClockSkew)), callAgain},
		{"not run, just now", compareFailed(closed(rrcode.Overloaded, 0)), callAgain},
	}
	for _, tt := range tests {
		m := newManager()
		m.Acquire(baseTime, Request{ID: id, Deadline: baseTime.Add(time.Minute)})
		calls, _ := stepManager(m, baseTime)
		tt.reply.CallID = calls[0].ID
		m.HandleReply(baseTime, tt.reply)
		m.HandleReply(baseTime, tt.reply) // a duplicate reply
		calls, ds := stepManager(m, baseTime.Add(10*time.Millisecond))
		got := formatDecisions(ds)
		if len(calls) > 0 {
			got += callAgain
		}
		if got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

// TestAttemptDeadline checks attempts whose deadline passes while the store is
// unreachable, in each state of the write.
func TestAttemptDeadline(t *testing.T) {
	tests := []struct {
		name      string
		first     bool
		reply     *Reply // nil if the call is in flight
		want      string
		remaining int // claims that remain in the Manager
	}{
		{"not applied", true, &Reply{Outcome: NotApplied}, "3 store-away 0", 0},
		{"indeterminate", true, &Reply{}, "3 store-away 0", 1},
		{"in flight", true, nil, "3 store-away 0", 1},
		{"a retry", false, &Reply{Outcome: NotApplied}, "3 claim-held 0", 0},
	}
	for _, tt := range tests {
		m := newManager()
		deadline := baseTime.Add(time.Second)
		m.Acquire(baseTime, Request{ID: testID(baseTime, 1), Deadline: deadline, FirstAttempt: tt.first})
		calls, _ := stepManager(m, baseTime)
		if tt.reply != nil {
			tt.reply.CallID = calls[0].ID
			m.HandleReply(baseTime, *tt.reply)
		}
		if got := m.NextWakeup(baseTime); got.After(deadline) {
			t.Errorf("%s: got wake at %v, want the deadline or sooner", tt.name, got)
		}
		_, ds := stepManager(m, deadline)
		if got := formatDecisions(ds); got != tt.want || m.Len() != tt.remaining {
			t.Errorf("%s: got %q, %d claims, want %q, %d claims", tt.name, got, m.Len(), tt.want, tt.remaining)
		}
	}
}

// TestAbandonedAttemptIsClosed guards against a claim that stays open. An attempt was
// abandoned while its write was in flight, that write was committed, and the close that
// followed was not applied. The Manager then removed the claim without closing it.
func TestAbandonedAttemptIsClosed(t *testing.T) {
	m := newManager()
	m.Acquire(baseTime, Request{ID: testID(baseTime, 1), Deadline: baseTime.Add(time.Second)})
	calls, _ := stepManager(m, baseTime)
	late := baseTime.Add(2 * time.Second)
	stepManager(m, late)
	m.HandleReply(late, Reply{CallID: calls[0].ID, Outcome: Committed, Revision: 2})
	calls, _ = stepManager(m, late.Add(time.Second))
	m.HandleReply(late, Reply{CallID: calls[0].ID, Outcome: NotApplied})
	calls, _ = stepManager(m, late.Add(2*time.Second))
	if len(calls) != 1 || calls[0].Writes[0].ExpectedRevision != 2 || calls[0].Writes[0].Record.State != Closed {
		t.Errorf("got calls %+v, want one that closes the claim at revision 2", calls)
	}
}

// TestGroupCommit checks that one transaction takes up to MaxTxnClaims claims, and that
// an outcome waits closeGroupDelay for others and is available from PendingOutcome
// meanwhile.
func TestGroupCommit(t *testing.T) {
	m := newManager()
	for i := range MaxTxnClaims + 20 {
		m.Acquire(baseTime, Request{ID: testID(baseTime, i), Deadline: baseTime.Add(time.Minute)})
	}
	calls, _ := stepManager(m, baseTime)
	if len(calls) != 1 || len(calls[0].Writes) != MaxTxnClaims {
		t.Fatalf("got %d calls, want one of %d writes", len(calls), MaxTxnClaims)
	}
	m.HandleReply(baseTime, Reply{CallID: calls[0].ID, Outcome: Committed, Revision: 5})
	now := baseTime.Add(10 * time.Millisecond)
	calls, ds := stepManager(m, now)
	if len(ds) != MaxTxnClaims || len(calls) != 1 || len(calls[0].Writes) != 20 {
		t.Fatalf("got %d grants, %d calls, want %d grants and the other 20 claims", len(ds), len(calls), MaxTxnClaims)
	}
	id := ds[0].ID
	m.Close(now, id, rrtask.Answer{Code: rrcode.Complete, Results: []rrtask.Result{{Body: make([]byte, MaxResultBytes)}}})
	if calls, _ := stepManager(m, now.Add(closeGroupDelay/2)); len(calls) != 0 {
		t.Errorf("got a call at once, want the outcome to wait for a group")
	}
	if a, ok := m.PendingOutcome(id); !ok || a.Code != rrcode.OutcomeLost {
		t.Errorf("got %v, %v, want an outcome that is too large to keep", a.Code, ok)
	}
	calls, _ = stepManager(m, now.Add(closeGroupDelay))
	if len(calls) != 1 || calls[0].Writes[0].ExpectedRevision != 5 || calls[0].Writes[0].Record.Results != nil {
		t.Errorf("got %+v, want one call that expects revision 5 and stores no results", calls)
	}
}

// TestOtherTenant checks that only its tenant gets an outcome that is not yet written.
func TestOtherTenant(t *testing.T) {
	id := testID(baseTime, 1)
	for _, tt := range []struct{ tenant, want string }{{"ports", "2 task-failed 0"}, {"others", "3 bad-request 0"}} {
		m := newManager()
		req := Request{ID: id, Tenant: "ports", Deadline: baseTime.Add(time.Second)}
		m.Acquire(baseTime, req)
		calls, _ := stepManager(m, baseTime)
		m.HandleReply(baseTime, Reply{CallID: calls[0].ID, Outcome: Committed, Revision: 2})
		stepManager(m, baseTime)
		m.Close(baseTime, id, rrtask.Answer{Code: rrcode.TaskFailed})
		req.Tenant = tt.tenant
		m.Acquire(baseTime, req)
		_, ds := stepManager(m, baseTime)
		if got := formatDecisions(ds); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.tenant, got, tt.want)
		}
	}
}

func TestScheduleDeletion(t *testing.T) {
	m := newManager()
	m.ScheduleDeletion(baseTime)
	m.ScheduleDeletion(baseTime.Add(time.Second))
	calls, _ := stepManager(m, baseTime.Add(time.Second))
	if len(calls) != 1 {
		t.Fatalf("got %d calls, want 1", len(calls))
	}
	for _, tt := range []struct {
		age  time.Duration
		want bool
	}{{Retention + time.Millisecond, true}, {Retention, false}, {Retention + 100*time.Hour, true}, {MaxRequestAge, false}} {
		at := baseTime.Add(-tt.age)
		if got := claimKey(at, testID(at, 0)) < calls[0].DeleteBefore; got != tt.want {
			t.Errorf("age %v: got deleted = %v, want %v", tt.age, got, tt.want)
		}
	}
}

func FuzzID(f *testing.F) {
	f.Add(testID(baseTime, 1))
	f.Add("018bcfe5-6800-7000-8000-00000000000\x00")
	f.Fuzz(func(t *testing.T, id string) {
		key, code, _ := validateID(baseTime, id)
		if (key == "") == (code == 0) {
			t.Errorf("got key %q, code %v, want one of them", key, code)
		}
		if code == 0 && (len(id) != 36 || !strings.HasSuffix(key, "/"+id) || strings.Count(key, "/") != 3) {
			t.Errorf("got key %q for %q", key, id)
		}
	})
}

func BenchmarkClaim(b *testing.B) {
	m := New("a", 1)
	m.SetRate(1e9)
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = testID(baseTime.Add(time.Duration(i)*time.Millisecond), i)
	}
	now := baseTime.Add(time.Second)
	var out Effects
	revision := int64(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ids[i%len(ids)]
		m.Acquire(now, Request{ID: id, Deadline: now.Add(time.Second)})
		if i%MaxTxnClaims != MaxTxnClaims-1 {
			continue
		}
		out.Calls, out.Decisions = out.Calls[:0], out.Decisions[:0]
		now = now.Add(closeGroupDelay)
		m.Step(now, &out)
		for _, c := range out.Calls {
			revision++
			m.HandleReply(now, Reply{CallID: c.ID, Outcome: Committed, Revision: revision})
		}
		m.Step(now, &out)
		for _, d := range out.Decisions {
			m.Close(now, d.ID, rrtask.Answer{Code: rrcode.Complete})
		}
	}
}

// BenchmarkHeld measures the memory of a claim whose job runs.
func BenchmarkHeld(b *testing.B) {
	var before, after runtime.MemStats
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprint("claims=", n), func(b *testing.B) {
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := managerWithClaims(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/claim")
		})
	}
}

// managerWithClaims returns a Manager with n granted claims.
func managerWithClaims(n int) *Manager {
	m := New("a", 1)
	m.SetRate(1e9)
	now := baseTime.Add(time.Minute)
	for i := range n {
		m.Acquire(now, Request{ID: testID(baseTime.Add(time.Duration(i)*time.Millisecond), 0), Deadline: now.Add(time.Hour)})
	}
	for revision := int64(2); ; revision++ {
		var out Effects
		now = now.Add(time.Millisecond)
		m.Step(now, &out)
		if len(out.Calls) == 0 {
			return m
		}
		for _, c := range out.Calls {
			m.HandleReply(now, Reply{CallID: c.ID, Outcome: Committed, Revision: revision})
		}
	}
}
