// Package rrinvariant counts violations of invariants at run time.
package rrinvariant

import "sync/atomic"

// Invariant is a condition that must always hold, with the number of its violations. It
// is safe for concurrent use. Declare each as a package variable with New.
type Invariant struct {
	name       string
	violations atomic.Uint64
}

// New returns an invariant. Logs and metrics show its name.
func New(name string) *Invariant {
	return &Invariant{name: name}
}

func (v *Invariant) Name() string {
	return v.name
}

// Violations returns how often the invariant did not hold.
func (v *Invariant) Violations() uint64 {
	return v.violations.Load()
}

// ViolationHandler is called at each violation of an invariant.
type ViolationHandler func(v *Invariant)

var violationHandler atomic.Pointer[ViolationHandler]

// SetViolationHandler sets the function that is called at each violation: in tests it
// fails the test, in the program it logs. With nil, violations are only counted.
func SetViolationHandler(h ViolationHandler) {
	if h == nil {
		violationHandler.Store(nil)
		return
	}
	violationHandler.Store(&h)
}

// Assert counts a violation of v and calls the ViolationHandler if ok is false. It
// returns ok.
func (v *Invariant) Assert(ok bool) bool {
	if ok {
		return true
	}
	v.violations.Add(1)
	if h := violationHandler.Load(); h != nil {
		(*h)(v)
	}
	return false
}
