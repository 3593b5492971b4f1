// Package rrinvariant counts broken invariants inside the program.
package rrinvariant

import "sync/atomic"

// Invariant is one condition that must always hold, and how often it did not. It
// is safe for concurrent use; declare each as a package variable with New.
type Invariant struct {
	name   string
	broken atomic.Uint64
}

// New returns an invariant with a name for logs and metrics.
func New(name string) *Invariant {
	return &Invariant{name: name}
}

// Name returns the name.
func (v *Invariant) Name() string {
	return v.name
}

// Violations returns how often the invariant did not hold.
func (v *Invariant) Violations() uint64 {
	return v.broken.Load()
}

// ViolationHandler is called with each broken invariant.
type ViolationHandler func(v *Invariant)

var hook atomic.Pointer[ViolationHandler]

// SetViolationHandler sets what is called with each broken invariant: tests fail there, the
// program logs. A nil hook only counts.
func SetViolationHandler(h ViolationHandler) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// Assert counts and reports v when ok is false. It returns ok.
func (v *Invariant) Assert(ok bool) bool {
	if ok {
		return true
	}
	v.broken.Add(1)
	if h := hook.Load(); h != nil {
		(*h)(v)
	}
	return false
}
