package rrcapacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

var testStart = time.Unix(1_700_000_000, 0)

// simWorker runs tasks whose true use is a multiple of what they declare, and reports
// its use with a lag.
type simWorker struct {
	worker             Worker
	estimator          *Estimator
	ends               map[uint64]time.Time
	uses               map[uint64]rrtask.Resources
	useHistory         []rrtask.Resources // true use at each step
	overcommittedSteps int                // steps above the capacity
}

const step = 50 * time.Millisecond

var testClasses = []struct {
	class    ClassKey
	declared rrtask.Resources
	factor   float64
}{
	{ClassKey{"a", "thin"}, rrtask.Resources{MilliCores: 2000, MemoryBytes: 1 << 30}, 3},
	{ClassKey{"a", "wide"}, rrtask.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, 0.5},
}

// run simulates a number of steps and starts tasks while they fit.
func (w *simWorker) run(r *rand.Rand, steps int) {
	for i := range steps {
		now := testStart.Add(time.Duration(i) * step)
		for id, end := range w.ends {
			if !now.Before(end) {
				w.worker.End(now, id)
				delete(w.ends, id)
				delete(w.uses, id)
			}
		}
		for range 8 - len(w.ends) {
			tc := testClasses[r.IntN(len(testClasses))]
			planned := w.estimator.Estimate(tc.class, tc.declared)
			if !w.worker.Fits(now, planned) {
				continue
			}
			id := r.Uint64()
			w.worker.Start(now, id, tc.class, tc.declared, planned)
			w.ends[id] = now.Add(time.Duration(200+r.IntN(1800)) * time.Millisecond)
			w.uses[id] = rrtask.Resources{MilliCores: uint32(float64(tc.declared.MilliCores) * tc.factor)}
		}
		var used rrtask.Resources
		for _, u := range w.uses {
			used = Add(used, u)
		}
		if !used.Fits(w.worker.Capacity) {
			w.overcommittedSteps++
		}
		w.useHistory = append(w.useHistory, used)
		if i >= 20 && i%4 == 0 {
			w.worker.ObserveUsage(now, w.useHistory[i-20], w.estimator, true)
		}
	}
}

func TestEstimatorLearnsFactors(t *testing.T) {
	sim := simWorker{estimator: &Estimator{}, ends: map[uint64]time.Time{}, uses: map[uint64]rrtask.Resources{}}
	sim.worker.Capacity = rrtask.Resources{MilliCores: 32000, MemoryBytes: 100 << 30}
	r := rand.New(rand.NewPCG(1, 1))
	sim.run(r, 1200)
	for _, tc := range testClasses {
		got := float64(sim.estimator.Estimate(tc.class, tc.declared).MilliCores) / float64(tc.declared.MilliCores)
		if math.Abs(got-tc.factor) > 0.3*tc.factor {
			t.Errorf("%v: got factor %.2f, want about %.2f", tc.class, got, tc.factor)
		}
	}
	if sim.overcommittedSteps > 100 {
		t.Errorf("got %d of 1200 steps above the capacity, want at most 100", sim.overcommittedSteps)
	}
}

func TestOverloadController(t *testing.T) {
	var w Worker
	var c OverloadController
	w.Capacity = rrtask.Resources{MilliCores: 8000, MemoryBytes: 100}
	small, large := rrtask.Resources{MemoryBytes: 20}, rrtask.Resources{MemoryBytes: 60}
	w.Start(testStart, 1, ClassKey{}, small, small)
	w.Start(testStart, 2, ClassKey{}, large, large)
	steps := []struct {
		after time.Duration
		used  uint64
		want  Command
	}{
		{2 * time.Second, 90, Command{}},
		{3 * time.Second, 130, Command{ID: 2}},
		{4 * time.Second, 130, Command{}},
		{6 * time.Second, 130, Command{ID: 2, Stop: true}},
		{9 * time.Second, 105, Command{ID: 1}},
		{12 * time.Second, 105, Command{}},
	}
	for _, s := range steps {
		now := testStart.Add(s.after)
		w.ObserveUsage(now, rrtask.Resources{MemoryBytes: s.used}, &Estimator{}, false)
		got, ok := c.Next(now, &w)
		if got != s.want || ok != (s.want != Command{}) {
			t.Errorf("after %v with %d used: got %v, want %v", s.after, s.used, got, s.want)
		}
	}
}
