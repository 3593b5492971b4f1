package rrdispatcher

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrtask"
)

var testStart = time.Unix(1_700_000_000, 0)

// testMinions returns n minions with the same number of slots.
func testMinions(n, slots int) []rrtask.Minion {
	ms := make([]rrtask.Minion, n)
	for i := range ms {
		name := "m" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		ms[i] = rrtask.Minion{Name: name, Addr: name, Service: "torri", Slots: slots}
	}
	return ms
}

// testBatch returns a batch of n tasks that declare the same run time.
func testBatch(seq uint64, tenant string, n int, each time.Duration) Batch {
	b := Batch{
		Key: BatchKey{"e1", 1, seq}, Job: "j", Tenant: tenant, Class: "proof", Service: "torri",
		Deadline: testStart.Add(time.Hour), AcceptedAt: testStart, RemainingWork: time.Duration(n) * each,
	}
	for i := range n {
		b.Tasks = append(b.Tasks, rrtask.Task{Index: i, DeclaredRunTime: each})
	}
	return b
}

func TestShortestFirst(t *testing.T) {
	d := New(nil)
	d.SetMinions(testStart, testMinions(1, 1))
	d.Add(testStart, testBatch(1, "a", 3, time.Second))
	d.Add(testStart, testBatch(2, "a", 1, time.Second))
	got := d.Dispatch(testStart, nil)
	if len(got) != 1 || got[0].Key.Seq != 2 {
		t.Fatalf("got %v, want the shorter job alone", got)
	}
	d.HandleResult(testStart, DispatchResult{ID: got[0].ID, Result: rrtask.Result{Code: rrcode.Complete}})
	if got := d.Dispatch(testStart, nil); len(got) != 1 || got[0].Key.Seq != 1 {
		t.Fatalf("got %v, want one task of the longer job", got)
	}
	if got := len(d.TakeOutcomes(nil)); got != 1 {
		t.Errorf("got %d outcomes, want 1", got)
	}
	if d.Add(testStart, testBatch(2, "a", 1, time.Second)) {
		t.Errorf("Add accepted an ended batch again")
	}
}

func TestQuota(t *testing.T) {
	tests := []struct {
		quota, fleet, want int
	}{
		{0, 96, 48},
		{24, 96, 12},
		{24, 48, 24},
		{1, 1000, 1},
		{1000, 96, 48},
	}
	for _, tc := range tests {
		d := New(nil)
		d.SetMinions(testStart, testMinions(6, 8))
		now := testStart.Add(time.Minute)
		cfg := rrconf.Default()
		cfg.Tenants = []rrconf.Tenant{{Name: "a", Weight: 1, Quota: tc.quota}}
		d.SetConfig(cfg, tc.fleet)
		d.Add(now, testBatch(1, "a", 60, time.Second))
		if got := len(d.Dispatch(now, nil)); got != tc.want {
			t.Errorf("quota %d of %d slots: got %d dispatches, want %d", tc.quota, tc.fleet, got, tc.want)
		}
		d.Add(now, testBatch(2, "b", 60, time.Second))
		if got := len(d.Dispatch(now, nil)); got != 48-tc.want {
			t.Errorf("quota %d of %d slots: got %d dispatches of another tenant, want %d", tc.quota, tc.fleet, got, 48-tc.want)
		}
	}
}

// A minion that answered that it is draining gets no tasks until it passes a health
// check. One that is listed again after it was not listed is checked at once.
func TestRestartedMinion(t *testing.T) {
	d := New(nil)
	d.SetMinions(testStart, testMinions(1, 4))
	d.Add(testStart, testBatch(1, "a", 3, time.Second))
	dispatches := d.Dispatch(testStart, nil)
	d.HandleResult(testStart, DispatchResult{ID: dispatches[0].ID, Draining: true, Result: rrtask.Result{Code: rrcode.MinionRefused}})
	steps := []struct {
		name       string
		do         func(now time.Time)
		probes     int
		dispatches int
	}{
		{"still listed", func(now time.Time) { d.SetMinions(now, testMinions(1, 4)) }, 0, 0},
		{"not listed", func(now time.Time) { d.SetMinions(now, nil) }, 0, 0},
		{"listed again", func(now time.Time) { d.SetMinions(now, testMinions(1, 4)) }, 1, 0},
		{"passed", func(now time.Time) {
			d.HandleProbeResult(now, "maa", true)
			d.Add(now, testBatch(2, "a", 1, time.Second))
		}, 0, 1},
	}
	for i, s := range steps {
		now := testStart.Add(time.Duration(i+1) * 100 * time.Millisecond)
		s.do(now)
		if i == 0 {
			d.HandleResult(now, DispatchResult{ID: dispatches[1].ID, Result: rrtask.Result{Code: rrcode.Complete}})
		}
		if got := len(d.Dispatch(now, nil)); got != s.dispatches {
			t.Errorf("%s: got %d dispatches, want %d", s.name, got, s.dispatches)
		}
		if got := len(d.DueProbes(now, nil)); got != s.probes {
			t.Errorf("%s: got %d health checks, want %d", s.name, got, s.probes)
		}
	}
}

// Setting the same list again does not limit the minions as if they were newly taken over.
func TestListAgain(t *testing.T) {
	d := New(nil)
	d.SetMinions(testStart, testMinions(2, 8))
	now := testStart.Add(takeoverRamp)
	d.Add(now, testBatch(1, "a", 8, time.Second))
	d.Dispatch(now, nil)
	d.SetMinions(now, testMinions(2, 8))
	d.Add(now, testBatch(2, "a", 8, time.Second))
	if got := len(d.Dispatch(now, nil)); got != 8 {
		t.Errorf("got %d dispatches after the same list, want 8", got)
	}
}
