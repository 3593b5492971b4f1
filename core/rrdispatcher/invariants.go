package rrdispatcher

import (
	"time"

	"rattanring/core/rrinvariant"
)

// What must hold at every send.
var (
	inFlightOnce   = rrinvariant.New("task is in flight once")
	noRestart      = rrinvariant.New("no send after a task may have started or was given back")
	withinSlots    = rrinvariant.New("sends in flight within the minion's slots")
	onlyUsable     = rrinvariant.New("no send to a leaving, quarantined or vanished minion")
	withinCapacity = rrinvariant.New("planned sizes within the worker")
	beforeDeadline = rrinvariant.New("no send after the deadline")
	oneOutcome     = rrinvariant.New("one outcome per task")
)

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{inFlightOnce, noRestart, withinSlots, onlyUsable, withinCapacity, beforeDeadline, oneOutcome}
}

// taskStatus is where one task of a batch stands.
type taskStatus uint8

const (
	statusQueued   taskStatus = iota
	statusInFlight            // a send is in flight
	statusEnded               // has an outcome, was given back or canceled
)

// assertDispatch checks a send that is about to be made.
func assertDispatch(now time.Time, b *batch, qt queuedTask, m *minion) {
	status := b.statuses[qt.pos]
	inFlightOnce.Assert(status != statusInFlight)
	noRestart.Assert(status != statusEnded)
	withinSlots.Assert(m.inFlight < m.configuredSlots())
	onlyUsable.Assert(m.owned && !m.Draining && !m.drainReported && m.state != Quarantined)
	beforeDeadline.Assert(b.Deadline.IsZero() || now.Before(b.Deadline))
}

// assertCapacity checks the worker of a send that was just made. A task may take a
// whole worker alone, whatever its class really uses.
func assertCapacity(m *minion) {
	if m.worker.Len() > 1 {
		withinCapacity.Assert(m.worker.Reserved().Fits(m.Capacity))
	}
}
