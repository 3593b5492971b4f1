package rrdispatcher

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// TestReview: the first job of a class is estimated far too long, because the class's run
// times are not known yet, and shares one slot with an endless stream of short jobs. It
// must start soon after the run times are known, since its estimate is updated.
func TestReview(t *testing.T) {
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
	starts := d.Dispatch(now, nil)
	add("new", 2, 1000*short)
	for range 50 {
		d.RunTimes.Observe("t", "new", 1000*short, short/2)
	}
	for seq := uint64(3); now.Sub(testStart) < 3*time.Second; seq++ {
		add("known", seq, short)
		now = now.Add(short)
		for _, s := range starts {
			d.HandleResult(now, DispatchResult{ID: s.ID, Result: rrtask.Result{Code: rrcode.Complete, RunTime: short}})
		}
		starts = d.Dispatch(now, nil)
		for _, s := range starts {
			if s.Class == "new" {
				return
			}
		}
	}
	t.Error("got no dispatch of the new class in 3 s, want one after an eighth of the 10 s until its deadline")
}
