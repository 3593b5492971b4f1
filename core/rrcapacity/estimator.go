// Package rrcapacity corrects the declared resources of tasks by the measured use of
// workers, and tracks the free capacity of a worker.
package rrcapacity

import (
	"math"

	"rattanring/core/rrtask"
)

// ClassKey identifies a class of a tenant, whose tasks share one correction.
type ClassKey struct {
	Tenant, Class string
}

// MaxClasses bounds the classes of an Estimator, because callers choose the names. The
// resources of further classes are not corrected.
const MaxClasses = 512

const (
	minFactor    = 0.2 // least correction
	maxFactor    = 10  // greatest correction
	learningRate = 0.1 // fraction of the error that one report corrects
)

// Estimator learns by which factor the tasks of each class use more cores and memory than
// they declare. It does not correct accelerators. The zero value corrects nothing.
type Estimator struct {
	factors map[ClassKey]factor
}

// factor is the correction of one class.
type factor struct {
	cores, memory float64
}

// Estimate returns the resources to plan with for declared ones.
func (e *Estimator) Estimate(class ClassKey, declared rrtask.Resources) rrtask.Resources {
	f, ok := e.factors[class]
	if !ok || declared.IsZero() {
		return declared
	}
	return rrtask.Resources{
		MilliCores:   uint32(min(float64(declared.MilliCores)*f.cores, math.MaxUint32)),
		MemoryBytes:  uint64(float64(declared.MemoryBytes) * f.memory),
		Accelerators: declared.Accelerators,
	}
}

// Observe updates the factors by the resources that a worker used under a load. It
// spreads the error over the classes in proportion to their declared load (normalised
// least mean squares).
func (e *Estimator) Observe(load *DeclaredLoad, used rrtask.Resources) {
	var cores, memory lmsUpdate
	for _, c := range load.classes {
		f := e.factor(c.class)
		cores.add(f.cores, c.meanCores)
		memory.add(f.memory, c.meanMemory)
	}
	for _, c := range load.classes {
		f := e.factor(c.class)
		f.cores = clampFactor(f.cores + cores.correction(float64(used.MilliCores), c.meanCores))
		f.memory = clampFactor(f.memory + memory.correction(float64(used.MemoryBytes), c.meanMemory))
		e.set(c.class, f)
	}
}

func (e *Estimator) factor(class ClassKey) factor {
	if f, ok := e.factors[class]; ok {
		return f
	}
	return factor{1, 1}
}

func (e *Estimator) set(class ClassKey, f factor) {
	if e.factors == nil {
		e.factors = make(map[ClassKey]factor)
	}
	if _, ok := e.factors[class]; ok || len(e.factors) < MaxClasses {
		e.factors[class] = f
	}
}

func clampFactor(f float64) float64 {
	return min(max(f, minFactor), maxFactor)
}

// lmsUpdate holds the sums for one update of the factors by least mean squares.
type lmsUpdate struct {
	predicted, squaredNorm float64
}

func (u *lmsUpdate) add(factor, declared float64) {
	u.predicted += factor * declared
	u.squaredNorm += declared * declared
}

// correction returns the change of the factor of a class with a declared load.
func (u *lmsUpdate) correction(used, declared float64) float64 {
	if u.squaredNorm == 0 {
		return 0
	}
	return learningRate * (used - u.predicted) * declared / u.squaredNorm
}
