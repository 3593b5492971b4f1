package rrnode

import "rattanring/core/rrinvariant"

// oneOutcome holds for batches that other coordinators sent.
var oneOutcome = rrinvariant.New("a task of a batch has one fate")

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{oneOutcome}
}

// assertOutcomes checks that a batch has as many fates as tasks, open ones included.
func (b *servedBatch) assertOutcomes() {
	oneOutcome.Assert(b.unresolved >= 0 && b.unresolved+len(b.results)+len(b.returned) == b.taskCount)
}
