package rrnode

import "rattanring/core/rrinvariant"

// oneOutcome is an invariant of batches that other entries coordinate.
var oneOutcome = rrinvariant.New("a task of a batch has one fate")

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{oneOutcome}
}

// assertOutcomes checks that the results, returned tasks and unresolved tasks add up to
// the tasks of the batch.
func (b *servedBatch) assertOutcomes() {
	oneOutcome.Assert(b.unresolved >= 0 && b.unresolved+len(b.results)+len(b.returned) == b.taskCount)
}
