package rrdispatcher

import (
	"time"

	"rattanring/core/rrinvariant"
)

// What must hold at every send.
var (
	onceInFlight = rrinvariant.New("task is in flight once")
	neverAgain   = rrinvariant.New("no send after a task may have started or was given back")
	withinSlots  = rrinvariant.New("sends in flight within the minion's slots")
	onlyTakers   = rrinvariant.New("no send to a leaving, quarantined or vanished minion")
	withinRoom   = rrinvariant.New("planned sizes within the worker")
	beforeEnd    = rrinvariant.New("no send after the deadline")
	oneOutcome   = rrinvariant.New("one outcome per task")
)

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{onceInFlight, neverAgain, withinSlots, onlyTakers, withinRoom, beforeEnd, oneOutcome}
}

// phase is where one task of a batch stands.
type phase uint8

const (
	waiting phase = iota
	flying        // a send is in flight
	ended         // has an outcome, was given back or canceled
)

// assertStart checks a send that is about to be made.
func assertStart(now time.Time, b *batch, u unit, m *minion) {
	p := b.phases[u.task]
	onceInFlight.Assert(p != flying)
	neverAgain.Assert(p != ended)
	withinSlots.Assert(m.busy < m.cap())
	onlyTakers.Assert(m.kept && !m.Draining && !m.said && m.state != Quarantined)
	beforeEnd.Assert(b.Deadline.IsZero() || now.Before(b.Deadline))
}

// assertRoom checks the worker of a send that was just made. A task may take a
// whole worker alone, whatever its class really uses.
func assertRoom(m *minion) {
	if m.worker.Len() > 1 {
		withinRoom.Assert(m.worker.Reserved().Fits(m.Capacity))
	}
}
