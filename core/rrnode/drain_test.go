package rrnode

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// TestDrainWaitsForLastCall finishes a batch of a draining owner between two calls of the
// batch's coordinator. The owner must not count as drained until the coordinator has the
// results.
func TestDrainWaitsForLastCall(t *testing.T) {
	now := testEpoch
	n := New(now, Options{Self: testEntry(0, 1), Incarnation: 7, Seed: 1})
	n.Step(now, &MinionsListed{List: testMinions(1, 1)})
	now = now.Add(time.Second)
	n.Step(now, &Tick{})
	batch := rrdispatcher.Batch{
		Key: rrdispatcher.BatchKey{Coordinator: "other", Incarnation: 1, Seq: 1}, Job: "job", Tenant: "a", Service: "torri",
		Deadline: now.Add(time.Minute), Tasks: make([]rrtask.Task, 9),
	}
	for i := range batch.Tasks {
		batch.Tasks[i].Index = i
	}
	dispatches := append([]rrdispatcher.Dispatch(nil), n.Step(now, &RunBatchRequest{Call: 1, Incarnation: 7, Batch: batch}).Dispatches...)
	if len(dispatches) == 0 || len(dispatches) == len(batch.Tasks) {
		t.Fatalf("got %d starts, want some tasks to wait", len(dispatches))
	}
	waiting := len(batch.Tasks) - len(dispatches)
	eff := n.Step(now, &Drain{})
	if got := eff.RunBatchResponses; len(got) != 1 || !got[0].More || len(got[0].Returned) != waiting {
		t.Fatalf("got replies %+v, want one that returns the waiting tasks", got)
	}
	for _, dispatch := range dispatches {
		r := rrtask.Result{Index: dispatch.Task.Index, Code: rrcode.Complete}
		n.Step(now, &DispatchDone{Result: rrdispatcher.DispatchResult{ID: dispatch.ID, Result: r}})
	}
	if n.Drained(now) {
		t.Error("got a drained owner before the coordinator has the results, want it to wait")
	}
	batch.Tasks = nil
	eff = n.Step(now, &RunBatchRequest{Call: 2, Incarnation: 7, Batch: batch})
	if got := eff.RunBatchResponses; len(got) != 1 || got[0].More || len(got[0].Results) != len(dispatches) {
		t.Errorf("got replies %+v, want one with all results", got)
	}
	if !n.Drained(now) {
		t.Error("got an owner that waits after its last answer, want a drained one")
	}
}
