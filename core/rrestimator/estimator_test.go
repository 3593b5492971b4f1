package rrestimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestEstimate(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name     string
		learn    func(*rand.Rand, *Estimator)
		declared time.Duration
		want     time.Duration // within a quarter
	}{
		{"nothing known", func(*rand.Rand, *Estimator) {}, 0, DefaultEstimate},
		{"declared only", func(*rand.Rand, *Estimator) {}, 400 * ms, 400 * ms},
		{"mean", observeRuns(40, func(*rand.Rand) (a, b float64) { return 0, 100 }), 0, 100 * ms},
		{"ten times too short", observeRuns(40, steadyFactor(0.1)), 10 * ms, 100 * ms},
		{"ten times too long", observeRuns(40, steadyFactor(10)), 8000 * ms, 800 * ms},
		{"few observations", observeRuns(2, steadyFactor(10)), 8000 * ms, 800 * ms},
		{"declared at random", observeRuns(400, func(r *rand.Rand) (a, b float64) { return 200 * math.Pow(10, 2*r.Float64()-1), 200 }), 1500 * ms, 200 * ms},
		{"one outlier", func(r *rand.Rand, e *Estimator) {
			observeRuns(40, steadyFactor(1))(r, e)
			e.Observe("a", "c", 100*ms, time.Hour)
		}, 100 * ms, 125 * ms},
		{"shift", func(r *rand.Rand, e *Estimator) {
			observeRuns(400, steadyFactor(1))(r, e)
			observeRuns(100, steadyFactor(0.1))(r, e)
		}, 100 * ms, 1000 * ms},
		{"other class of the tenant", func(r *rand.Rand, e *Estimator) {
			for range 20 {
				e.Observe("a", "other", 100*ms, 200*ms)
			}
		}, 100 * ms, 200 * ms},
		{"absurd declared", observeRuns(40, steadyFactor(1)), 1 << 62, MaxEstimate},
	}
	for _, tc := range tests {
		var e Estimator
		tc.learn(rand.New(rand.NewPCG(1, 1)), &e)
		got := e.Estimate("a", "c", tc.declared)
		if math.Abs(float64(got-tc.want)) > 0.25*float64(tc.want) {
			t.Errorf("%s: got %v, want about %v", tc.name, got, tc.want)
		}
	}
}

// observeRuns observes n tasks; draw returns the declared and the true run time in ms.
func observeRuns(n int, draw func(*rand.Rand) (declared, run float64)) func(*rand.Rand, *Estimator) {
	return func(r *rand.Rand, e *Estimator) {
		for range n {
			d, run := draw(r)
			e.Observe("a", "c", time.Duration(d*1e6), time.Duration(run*1e6))
		}
	}
}

// steadyFactor declares a fixed multiple of run times from 20 ms to 2 s.
func steadyFactor(factor float64) func(*rand.Rand) (float64, float64) {
	return func(r *rand.Rand) (float64, float64) {
		run := 20 * math.Pow(100, r.Float64())
		return run * factor, run
	}
}

func TestClassesAreBounded(t *testing.T) {
	var e Estimator
	for i := range 3 * MaxClasses {
		e.Observe(fmt.Sprint(i), "c", 0, time.Second)
	}
	if got := e.Len(); got != MaxClasses {
		t.Errorf("got %d classes, want %d", got, MaxClasses)
	}
	if got := e.Estimate("beyond", "c", 0); got != time.Second {
		t.Errorf("got %v for a class beyond MaxClasses, want the mean of all tasks", got)
	}
	for range evictAge + evictInterval {
		e.Observe("beyond", "c", 0, 2*time.Second)
	}
	if got := e.Estimate("beyond", "c", 0); got != 2*time.Second || e.Len() != MaxClasses {
		t.Errorf("got %v and %d classes, want 2s from a model that replaced an unused class", got, e.Len())
	}
}
