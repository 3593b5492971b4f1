package rrnode

import "rattanring/core/rrinvariant"

// oneFate holds for batches that other coordinators sent.
var oneFate = rrinvariant.New("a task of a batch has one fate")

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{oneFate}
}

// assertFates checks that a batch has as many fates as tasks, open ones included.
func (b *servedBatch) assertFates() {
	oneFate.Assert(b.open >= 0 && b.open+len(b.results)+len(b.returned) == b.tasks)
}
