package rrdispatcher

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// resourceBatch returns a batch with one task for each of the given resources.
func resourceBatch(seq uint64, resources ...rrtask.Resources) Batch {
	b := testBatch(seq, "a", len(resources), time.Second)
	for i := range b.Tasks {
		b.Tasks[i].Resources = resources[i]
	}
	return b
}

func TestTaskResources(t *testing.T) {
	core := func(n uint32) rrtask.Resources { return rrtask.Resources{MilliCores: 1000 * n} }
	accel := rrtask.Resources{MilliCores: 1000, Accelerators: 1}
	minions := testMinions(3, 8)
	minions[0].Capacity = core(4)
	minions[1].Capacity = rrtask.Resources{MilliCores: 4000, Accelerators: 2}
	tests := []struct {
		name          string
		resources     []rrtask.Resources
		want          map[string]int // dispatches by minion
		unschedulable int            // tasks that no minion is large enough for
	}{
		{"cores are shared out", []rrtask.Resources{core(3), core(3), core(3)}, map[string]int{"maa": 1, "mba": 1}, 0},
		{"accelerators are kept for their tasks", []rrtask.Resources{core(2), core(2), accel, accel, accel}, map[string]int{"maa": 2, "mba": 2}, 0},
		{"too large for all", []rrtask.Resources{core(5), core(1)}, map[string]int{"maa": 1}, 1},
		{"slots alone", []rrtask.Resources{{}, {}, {}}, map[string]int{"maa": 2, "mca": 1}, 0},
	}
	for _, tc := range tests {
		d := New(nil)
		d.SetMinions(testStart, minions)
		now := testStart.Add(time.Minute)
		d.Add(now, resourceBatch(1, tc.resources...))
		got := map[string]int{}
		for _, dispatch := range d.Dispatch(now, nil) {
			got[dispatch.Minion]++
		}
		for _, m := range minions {
			if got[m.Name] != tc.want[m.Name] {
				t.Errorf("%s: got %d dispatches to %s, want %d", tc.name, got[m.Name], m.Name, tc.want[m.Name])
			}
		}
		unschedulable := 0
		for _, o := range d.TakeOutcomes(nil) {
			if o.Result.Code == rrcode.Unschedulable {
				unschedulable++
			}
		}
		if unschedulable != tc.unschedulable {
			t.Errorf("%s: got %d tasks that end as never runnable, want %d", tc.name, unschedulable, tc.unschedulable)
		}
	}
}

// A large task must start although small ones, which keep its workers full, could overtake
// it forever.
func TestLargeTaskGetsItsWorker(t *testing.T) {
	d := New(nil)
	minions := testMinions(2, 8)
	for i := range minions {
		minions[i].Capacity = rrtask.Resources{MilliCores: 4000}
	}
	d.SetMinions(testStart, minions)
	now := testStart.Add(time.Minute)
	small := rrtask.Resources{MilliCores: 1000}
	large := rrtask.Resources{MilliCores: 4000}
	var inFlight []Dispatch
	for seq := uint64(2); seq < 400; seq++ {
		if seq == 10 {
			d.Add(now, resourceBatch(1, large))
		}
		d.Add(now, resourceBatch(seq, small, small))
		for _, dispatch := range d.Dispatch(now, nil) {
			if dispatch.Key.Seq == 1 {
				return
			}
			inFlight = append(inFlight, dispatch)
		}
		if len(inFlight) > 0 {
			d.HandleResult(now, DispatchResult{ID: inFlight[0].ID, Result: rrtask.Result{Code: rrcode.Complete}})
			inFlight = inFlight[1:]
		}
		now = now.Add(20 * time.Millisecond)
	}
	t.Errorf("the large task did not start in %v", now.Sub(testStart.Add(time.Minute)))
}
