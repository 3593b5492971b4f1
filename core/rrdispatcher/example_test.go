package rrdispatcher_test

import (
	"fmt"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// A Dispatcher with one slot runs the tasks of a batch one after the other.
func ExampleDispatcher() {
	now := time.Unix(1_700_000_000, 0)
	d := rrdispatcher.New(nil)
	d.SetMinions(now, []rrtask.Minion{{Name: "m1", Addr: "127.0.0.1:1", Service: "torri", Slots: 1}})
	d.Add(now, rrdispatcher.Batch{
		Key: rrdispatcher.BatchKey{Coordinator: "e1", Incarnation: 1, Seq: 1}, Job: "j1", Service: "torri",
		Deadline: now.Add(time.Minute), AcceptedAt: now,
		Tasks: []rrtask.Task{{Index: 0}, {Index: 1}},
	})
	for dispatches := d.Dispatch(now, nil); len(dispatches) > 0; dispatches = d.Dispatch(now, nil) {
		s := dispatches[0]
		fmt.Println("send task", s.Task.Index, "to", s.Minion)
		d.HandleResult(now, rrdispatcher.DispatchResult{ID: s.ID, Result: rrtask.Result{Code: rrcode.Complete, RunTime: time.Second}})
	}
	for _, o := range d.TakeOutcomes(nil) {
		fmt.Println("task", o.Result.Index, o.Result.Code)
	}
	// Output:
	// send task 0 to m1
	// send task 1 to m1
	// task 0 complete
	// task 1 complete
}
