// Package rrcapacity corrects declared sizes of tasks by what workers really use, and
// tells how much of a worker is free.
package rrcapacity

import (
	"math"

	"rattanring/core/rrtask"
)

// ClassKey is a kind of task that is corrected on its own.
type ClassKey struct {
	Tenant, Class string
}

// MaxClasses bounds the labels of an Estimator. Names come from outside; labels beyond it
// are taken as declared.
const MaxClasses = 512

// Bounds of the correction, and how much one report changes it.
const (
	leastFactor = 0.2
	mostFactor  = 10
	learnRate   = 0.1
)

// Estimator learns per label by which factor tasks use more cores and memory than they
// declare. Accelerators are taken as declared. The zero value corrects nothing.
type Estimator struct {
	factors map[ClassKey]factor
}

// factor is the correction of one label.
type factor struct {
	cores, memory float64
}

// Estimate returns the size to plan with for a declared one.
func (t *Estimator) Estimate(l ClassKey, declared rrtask.Resources) rrtask.Resources {
	f, ok := t.factors[l]
	if !ok || declared.IsZero() {
		return declared
	}
	return rrtask.Resources{
		MilliCores:   uint32(min(float64(declared.MilliCores)*f.cores, math.MaxUint32)),
		MemoryBytes:  uint64(float64(declared.MemoryBytes) * f.memory),
		Accelerators: declared.Accelerators,
	}
}

// Observe learns from a report of what a worker used while it carried a load. It
// spreads the error over the labels by what they declared there (normalised least
// mean squares).
func (t *Estimator) Observe(load *DeclaredLoad, used rrtask.Resources) {
	var cores, memory regression
	for _, p := range load.parts {
		f := t.factor(p.label)
		cores.add(f.cores, p.cores)
		memory.add(f.memory, p.memory)
	}
	for _, p := range load.parts {
		f := t.factor(p.label)
		f.cores = limit(f.cores + cores.step(float64(used.MilliCores), p.cores))
		f.memory = limit(f.memory + memory.step(float64(used.MemoryBytes), p.memory))
		t.set(p.label, f)
	}
}

func (t *Estimator) factor(l ClassKey) factor {
	if f, ok := t.factors[l]; ok {
		return f
	}
	return factor{1, 1}
}

func (t *Estimator) set(l ClassKey, f factor) {
	if t.factors == nil {
		t.factors = make(map[ClassKey]factor)
	}
	if _, ok := t.factors[l]; ok || len(t.factors) < MaxClasses {
		t.factors[l] = f
	}
}

func limit(f float64) float64 {
	return min(max(f, leastFactor), mostFactor)
}

// regression sums what one step of learning needs.
type regression struct {
	predicted, norm float64
}

func (r *regression) add(factor, declared float64) {
	r.predicted += factor * declared
	r.norm += declared * declared
}

// step returns the change of the factor of a label with a declared part.
func (r *regression) step(used, declared float64) float64 {
	if r.norm == 0 {
		return 0
	}
	return learnRate * (used - r.predicted) * declared / r.norm
}
