package rrcapacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

var epoch = time.Unix(1_700_000_000, 0)

// worker runs tasks whose true use is a factor of what they declare, and reports
// its use with a lag.
type worker struct {
	room  Worker
	table *Estimator
	ends  map[uint64]time.Time
	uses  map[uint64]rrtask.Resources
	past  []rrtask.Resources // use at each step
	over  int                // steps above the capacity
}

const step = 50 * time.Millisecond

var kinds = []struct {
	label    ClassKey
	declared rrtask.Resources
	factor   float64
}{
	{ClassKey{"a", "thin"}, rrtask.Resources{MilliCores: 2000, MemoryBytes: 1 << 30}, 3},
	{ClassKey{"a", "wide"}, rrtask.Resources{MilliCores: 8000, MemoryBytes: 8 << 30}, 0.5},
}

// run starts tasks wherever they fit, for a number of steps.
func (w *worker) run(r *rand.Rand, steps int) {
	for i := range steps {
		now := epoch.Add(time.Duration(i) * step)
		for id, end := range w.ends {
			if !now.Before(end) {
				w.room.End(now, id)
				delete(w.ends, id)
				delete(w.uses, id)
			}
		}
		for range 8 - len(w.ends) {
			k := kinds[r.IntN(len(kinds))]
			plan := w.table.Estimate(k.label, k.declared)
			if !w.room.Fits(now, plan) {
				continue
			}
			id := r.Uint64()
			w.room.Start(now, id, k.label, k.declared, plan)
			w.ends[id] = now.Add(time.Duration(200+r.IntN(1800)) * time.Millisecond)
			w.uses[id] = rrtask.Resources{MilliCores: uint32(float64(k.declared.MilliCores) * k.factor)}
		}
		var used rrtask.Resources
		for _, u := range w.uses {
			used = Add(used, u)
		}
		if !used.Fits(w.room.Capacity) {
			w.over++
		}
		w.past = append(w.past, used)
		if i >= 20 && i%4 == 0 {
			w.room.ObserveUsage(now, w.past[i-20], w.table, true)
		}
	}
}

func TestLearnsSizes(t *testing.T) {
	w := worker{table: &Estimator{}, ends: map[uint64]time.Time{}, uses: map[uint64]rrtask.Resources{}}
	w.room.Capacity = rrtask.Resources{MilliCores: 32000, MemoryBytes: 100 << 30}
	r := rand.New(rand.NewPCG(1, 1))
	w.run(r, 1200)
	for _, k := range kinds {
		got := float64(w.table.Estimate(k.label, k.declared).MilliCores) / float64(k.declared.MilliCores)
		if math.Abs(got-k.factor) > 0.3*k.factor {
			t.Errorf("%v: got factor %.2f, want about %.2f", k.label, got, k.factor)
		}
	}
	if w.over > 100 {
		t.Errorf("got %d of 1200 steps above the capacity, want at most 100", w.over)
	}
}

func TestRelief(t *testing.T) {
	var r Worker
	var f OverloadController
	r.Capacity = rrtask.Resources{MilliCores: 8000, MemoryBytes: 100}
	small, large := rrtask.Resources{MemoryBytes: 20}, rrtask.Resources{MemoryBytes: 60}
	r.Start(epoch, 1, ClassKey{}, small, small)
	r.Start(epoch, 2, ClassKey{}, large, large)
	steps := []struct {
		after time.Duration
		used  uint64
		want  Action
	}{
		{2 * time.Second, 90, Action{}},
		{3 * time.Second, 130, Action{TaskID: 2}},
		{4 * time.Second, 130, Action{}},
		{6 * time.Second, 130, Action{TaskID: 2, Stop: true}},
		{9 * time.Second, 105, Action{TaskID: 1}},
		{12 * time.Second, 105, Action{}},
	}
	for _, s := range steps {
		now := epoch.Add(s.after)
		r.ObserveUsage(now, rrtask.Resources{MemoryBytes: s.used}, &Estimator{}, false)
		got, ok := f.Next(now, &r)
		if got != s.want || ok != (s.want != Action{}) {
			t.Errorf("after %v with %d used: got %v, want %v", s.after, s.used, got, s.want)
		}
	}
}
