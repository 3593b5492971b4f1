package rrkeep

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// TestHalfTime serves a job that looked long when it came beside an endless stream of
// jobs that look short, on one slot. The job starts by half of its patience.
func TestHalfTime(t *testing.T) {
	now := epoch
	k := New(nil)
	k.SetMinions(now, []rrtask.Minion{{Name: "m", Service: "s", Slots: 1, Conns: 1}})
	add := func(job string, seq uint64, expect time.Duration) {
		k.Add(now, Batch{
			Key: Key{"e", 1, seq}, Job: job, Tenant: "t", Class: job, Service: "s", Accepted: now,
			Deadline: now.Add(10 * time.Second), Rest: expect, Tasks: []rrtask.Task{{Expect: expect}},
		})
	}
	add("short", 1, 100*time.Millisecond)
	starts := k.Next(now, nil)
	add("long", 2, 8*time.Second)
	for seq := uint64(3); now.Sub(epoch) < 6*time.Second; seq++ {
		add("short", seq, 100*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
		for _, s := range starts {
			k.Finish(now, Finish{ID: s.ID, Result: rrtask.Result{Code: rrcode.Complete, Run: 100 * time.Millisecond}})
		}
		starts = k.Next(now, nil)
		for _, s := range starts {
			if s.Job == "long" {
				return
			}
		}
	}
	t.Error("got no start of the long job in 6 s, want one by half of its patience of 10 s")
}
