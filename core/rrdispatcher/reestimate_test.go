package rrdispatcher

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// TestReestimate: the first job of a class is estimated far too long, because the class's
// run times are not known yet, and shares one slot with an endless stream of short jobs.
// Once the run times are known, its estimate is updated and it must start soon.
func TestReestimate(t *testing.T) {
	const short = 10 * time.Millisecond
	now := testStart
	d := New(nil)
	d.SetMinions(now, []rrtask.Minion{{Name: "m", Service: "s", Slots: 1, MaxConns: 1}})
	add := func(class string, seq uint64, declared time.Duration) {
		d.Add(now, Batch{
			Key: BatchKey{"e", 1, seq}, Job: class, Tenant: "t", Class: class, Service: "s", AcceptedAt: now,
			Deadline: now.Add(10 * time.Second), RemainingWork: short, Tasks: []rrtask.Task{{DeclaredRunTime: declared}},
		})
	}
	for range 50 {
		d.RunTimes.Observe("t", "known", short, short)
	}
	add("known", 1, short)
	dispatches := d.Dispatch(now, nil)
	add("new", 2, 1000*short)
	for range 50 {
		d.RunTimes.Observe("t", "new", 1000*short, short/2)
	}
	for seq := uint64(3); now.Sub(testStart) < 3*time.Second; seq++ {
		add("known", seq, short)
		now = now.Add(short)
		for _, dispatch := range dispatches {
			d.HandleResult(now, DispatchResult{ID: dispatch.ID, Result: rrtask.Result{Code: rrcode.Complete, RunTime: short}})
		}
		dispatches = d.Dispatch(now, nil)
		for _, dispatch := range dispatches {
			if dispatch.Class == "new" {
				return
			}
		}
	}
	t.Error("got no dispatch of the new class in 3 s, want one after an eighth of the 10 s until its deadline")
}
