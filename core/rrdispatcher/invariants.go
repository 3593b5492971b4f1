package rrdispatcher

import (
	"time"

	"rattanring/core/rrinvariant"
)

// Conditions that every dispatch and every outcome must meet.
var (
	inFlightOnce   = rrinvariant.New("task is in flight once")
	noRestart      = rrinvariant.New("no send after a task may have started or was given back")
	withinSlots    = rrinvariant.New("sends in flight within the minion's slots")
	onlyUsable     = rrinvariant.New("no send to a leaving, quarantined or vanished minion")
	onlyInUse      = rrinvariant.New("no send to a minion of an evacuated zone")
	withinCapacity = rrinvariant.New("planned sizes within the worker")
	beforeDeadline = rrinvariant.New("no send after the deadline")
	oneOutcome     = rrinvariant.New("one outcome per task")
)

// Invariants returns the invariants of this package.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{inFlightOnce, noRestart, withinSlots, onlyUsable, onlyInUse, withinCapacity, beforeDeadline, oneOutcome}
}

// taskStatus says whether a task of a batch is queued, in flight or ended.
type taskStatus uint8

const (
	statusQueued   taskStatus = iota
	statusInFlight            // a dispatch is in flight
	statusEnded               // has an outcome, was reclaimed or was canceled
)

// assertDispatch checks the invariants of a dispatch before it is recorded.
func assertDispatch(now time.Time, b *batch, qt queuedTask, m *minion) {
	status := b.statuses[qt.pos]
	inFlightOnce.Assert(status != statusInFlight)
	noRestart.Assert(status != statusEnded)
	withinSlots.Assert(m.inFlight < m.configuredSlots())
	onlyUsable.Assert(m.owned && !m.Draining && !m.drainReported && m.state != Quarantined)
	onlyInUse.Assert(!m.evacuated)
	beforeDeadline.Assert(b.Deadline.IsZero() || now.Before(b.Deadline))
}

// assertCapacity checks the resources planned on a dispatch's worker. It skips a worker
// with a single task, because that task may take the whole worker even if its planned
// resources exceed the capacity.
func assertCapacity(m *minion) {
	if m.worker.Len() > 1 {
		withinCapacity.Assert(m.worker.Reserved().Fits(m.Capacity))
	}
}
