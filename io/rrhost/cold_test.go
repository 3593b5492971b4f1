package rrhost

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrmetric"
	"rattanring/io/rrstore"
	"rattanring/io/rrwire"
)

// coldDecoder decodes registrations whose text is the remaining cold time in milliseconds.
type coldDecoder struct{ testDecoder }

func (coldDecoder) DecodeMinion(it rrstore.Item, readAt time.Time) (rrscheduler.Minion, error) {
	m := rrscheduler.Minion{ID: it.Key, Zone: "a", Service: "s", Incarnation: 1}
	var ms int64
	if err := json.Unmarshal(it.Value, &ms); err != nil {
		return m, err
	}
	if ms > 0 {
		m.ColdUntil = readAt.Add(time.Duration(ms) * time.Millisecond)
	}
	return m, nil
}

// A copy must carry the remaining cold time, which counts down at the receiver, and values out of range must
// count as warm without harm to the other fields.
func TestColdTimeInCopies(t *testing.T) {
	sent, read := time.Unix(1000, 0), time.Unix(5000, 0)
	for _, tc := range []struct{ until, want time.Time }{
		{sent.Add(1500 * time.Millisecond), read.Add(1500 * time.Millisecond)},
		{sent.Add(-time.Second), time.Time{}},
		{time.Time{}, time.Time{}},
		{sent.Add(time.Hour + time.Second), time.Time{}},
	} {
		m := rrscheduler.Minion{ID: "m", Zone: "a", Service: "s", ColdUntil: tc.until}
		got := fromWireRegistrations(toWireRegistrations([]rrscheduler.Minion{m}, sent), read)
		if len(got) != 1 || !got[0].Equal(&m) || !got[0].ColdUntil.Equal(tc.want) {
			t.Errorf("cold until %v: got %+v, want it cold until %v", tc.until, got, tc.want)
		}
	}
	for _, cold := range []int64{-1, math.MinInt64, math.MaxInt64} {
		if got := fromWireRegistrations([]*rrwire.Endpoint{{Id: "m", Cold: cold}}, read); got[0].ID != "m" || !got[0].ColdUntil.IsZero() {
			t.Errorf("cold time %d: got %+v, want a warm minion", cold, got)
		}
	}
}

// The owner of a shard dies while the store lists nothing. Its successor must know from its copy that a minion
// is cold, and show it.
func TestNextOwnerKnowsColdMinions(t *testing.T) {
	f := newTestFleet(t, 5*time.Millisecond)
	f.minion("a", "m1", "cold")
	f.minion("a", "m2")
	owner, next := f.ownerAndCopyHolder(2)
	gate := make(chan struct{})
	f.store.mu.Lock()
	f.store.listGate = gate
	f.store.mu.Unlock()
	owner.kill()
	defer close(gate)
	f.awaitCondition("the next owner has a cold minion", func() bool {
		ex := next.executor("a")
		return ex != nil && ex.ColdMinions().Count == 1
	})
	var text strings.Builder
	next.Metrics.Write(&text)
	if want := `rr_cold_minions{seat="a"} 1`; !strings.Contains(text.String(), want) {
		t.Errorf("metrics: got none of %q", want)
	}
}

// A cold time that counts down must not make each report a change, which all owners would copy, and a list
// that is read again must not start it anew. A new start of a cold time is a change.
func TestRepeatedColdReports(t *testing.T) {
	h := New(Options{Self: rrelection.Member{Name: "a0", Zone: "a"}, Zones: []string{"a"}, Decoder: coldDecoder{}, Logger: log.NewNopLogger(), Metrics: &rrmetric.Metrics{}})
	report := func(complete bool, ms string, revision int64) (changed bool, until time.Time) {
		before := h.registrationsRevision
		h.applyRegistrations(complete, []rrstore.Event{{Item: rrstore.Item{Key: "m", Value: []byte(ms), Mod: revision}}}, revision, time.Now())
		return h.registrationsRevision != before, h.registrations["m"].ColdUntil
	}
	_, first := report(false, "20000", 1)
	if changed, got := report(false, "18500", 2); changed || got.Equal(first) {
		t.Errorf("next report: got a change %v, cold until %v, want none and another time than %v", changed, got, first)
	}
	_, want := report(false, "17000", 3)
	if _, got := report(true, "17000", 3); !got.Equal(want) {
		t.Errorf("same report in a list: got cold until %v, want %v", got, want)
	}
	if changed, _ := report(false, "40000", 4); !changed {
		t.Error("cold time that starts anew: got no change, want one")
	}
	if changed, got := report(false, "0", 5); !changed || !got.IsZero() {
		t.Errorf("warm: got a change %v, cold until %v, want a change to warm", changed, got)
	}
	if len(h.coldReports) != 0 {
		t.Errorf("got %d minions noted as cold, want none", len(h.coldReports))
	}
}
