package rrnode

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// TestRefusalAfterLostCall fails the first call of a batch and lets the owner refuse the
// second. If the same incarnation refuses for a reason of its own, the batch never ran and
// must not count as lost.
func TestRefusalAfterLostCall(t *testing.T) {
	tests := []struct {
		name        string
		code        rrcode.Code
		incarnation uint64
		lost        bool
	}{
		{"draining", rrcode.Draining, 1, false},
		{"unknown key", rrcode.StaleIncarnation, 1, true},
		{"another incarnation", rrcode.StaleIncarnation, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := testEpoch
			n := testNode(2, 12, 1, 0)
			eff := n.Step(now, &SubmitJob{Caller: 1, Job: rrtask.Job{
				ID: "job", Tenant: "a", Service: "torri", Deadline: now.Add(time.Minute), Tasks: tasksOf(400),
			}})
			if len(eff.RunBatches) != 1 {
				t.Fatalf("got %d batches, want 1", len(eff.RunBatches))
			}
			seq := eff.RunBatches[0].Batch.Key.Seq
			n.Step(now, &RunBatchDone{From: "entry-001", Reply: rrcoord.RunBatchResult{Seq: seq, Delivery: rrcoord.DeliveryUnknown}})
			retries := 0
			for range 20 {
				now = now.Add(20 * time.Millisecond)
				retries += len(n.Step(now, &Tick{}).RunBatches)
			}
			if retries != 1 {
				t.Fatalf("got %d repeated calls, want 1", retries)
			}
			n.Step(now, &RunBatchDone{From: "entry-001", Reply: rrcoord.RunBatchResult{Seq: seq, Code: test.code, Incarnation: test.incarnation}})
			h, _ := n.Explain("job")
			if got := hasEvent(h, rrstatus.Lost); got != test.lost {
				t.Errorf("got lost %v (%+v), want %v", got, h.Events, test.lost)
			}
		})
	}
}

func tasksOf(n int) []rrtask.Task {
	tasks := make([]rrtask.Task, n)
	for i := range tasks {
		tasks[i] = rrtask.Task{Index: i, DeclaredRunTime: time.Second}
	}
	return tasks
}

func hasEvent(h rrstatus.History, k rrstatus.EventKind) bool {
	for _, e := range h.Events {
		if e.Kind == k {
			return true
		}
	}
	return false
}
