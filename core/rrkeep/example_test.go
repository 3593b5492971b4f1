package rrkeep_test

import (
	"fmt"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrkeep"
	"rattanring/core/rrtask"
)

// A keeper with one slot runs the tasks of a batch one after the other.
func ExampleKeeper() {
	now := time.Unix(1_700_000_000, 0)
	k := rrkeep.New(nil)
	k.SetMinions(now, []rrtask.Minion{{Name: "m1", Addr: "127.0.0.1:1", Service: "torri", Slots: 1}})
	k.Add(now, rrkeep.Batch{
		Key: rrkeep.Key{Entry: "e1", Life: 1, Seq: 1}, Job: "j1", Service: "torri",
		Deadline: now.Add(time.Minute), Accepted: now,
		Tasks: []rrtask.Task{{Index: 0}, {Index: 1}},
	})
	for starts := k.Next(now, nil); len(starts) > 0; starts = k.Next(now, nil) {
		s := starts[0]
		fmt.Println("send task", s.Task.Index, "to", s.Minion)
		k.Finish(now, rrkeep.Finish{ID: s.ID, Result: rrtask.Result{Code: rrcode.Complete, Run: time.Second}})
	}
	for _, o := range k.Outcomes(nil) {
		fmt.Println("task", o.Result.Index, o.Result.Code)
	}
	// Output:
	// send task 0 to m1
	// send task 1 to m1
	// task 0 complete
	// task 1 complete
}
