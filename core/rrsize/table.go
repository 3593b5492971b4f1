// Package rrsize corrects declared sizes of tasks by what workers really use, and
// tells how much of a worker is free.
package rrsize

import (
	"math"

	"rattanring/core/rrtask"
)

// Label is a kind of task that is corrected on its own.
type Label struct {
	Tenant, Class string
}

// MaxLabels bounds the labels of a Table. Names come from outside; labels beyond it
// are taken as declared.
const MaxLabels = 512

// Bounds of the correction, and how much one report changes it.
const (
	leastFactor = 0.2
	mostFactor  = 10
	learnRate   = 0.1
)

// Table learns per label by which factor tasks use more cores and memory than they
// declare. Accelerators are taken as declared. The zero value corrects nothing.
type Table struct {
	factors map[Label]factor
}

// factor is the correction of one label.
type factor struct {
	cores, memory float64
}

// Plan returns the size to plan with for a declared one.
func (t *Table) Plan(l Label, declared rrtask.Size) rrtask.Size {
	f, ok := t.factors[l]
	if !ok || declared.IsZero() {
		return declared
	}
	return rrtask.Size{
		Cores:  uint32(min(float64(declared.Cores)*f.cores, math.MaxUint32)),
		Memory: uint64(float64(declared.Memory) * f.memory),
		Accels: declared.Accels,
	}
}

// Observe learns from a report of what a worker used while it carried a load. It
// spreads the error over the labels by what they declared there (normalised least
// mean squares).
func (t *Table) Observe(load *Load, used rrtask.Size) {
	var cores, memory regression
	for _, p := range load.parts {
		f := t.factor(p.label)
		cores.add(f.cores, p.cores)
		memory.add(f.memory, p.memory)
	}
	for _, p := range load.parts {
		f := t.factor(p.label)
		f.cores = limit(f.cores + cores.step(float64(used.Cores), p.cores))
		f.memory = limit(f.memory + memory.step(float64(used.Memory), p.memory))
		t.set(p.label, f)
	}
}

func (t *Table) factor(l Label) factor {
	if f, ok := t.factors[l]; ok {
		return f
	}
	return factor{1, 1}
}

func (t *Table) set(l Label, f factor) {
	if t.factors == nil {
		t.factors = make(map[Label]factor)
	}
	if _, ok := t.factors[l]; ok || len(t.factors) < MaxLabels {
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
