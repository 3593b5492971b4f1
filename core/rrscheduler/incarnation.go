package rrscheduler

import (
	"slices"
	"time"
)

// A minion may start again under its ID and address at any time. A command that was meant for the previous
// incarnation then reaches the new one, which carries it out: its clock and its fencing token start anew,
// so neither the deadline nor the token rules that out. Every answer names the incarnation that gave it.

// maxListedEnds is the maximum number of finished runs that one answer of a minion lists.
const maxListedEnds = 500

// observeIncarnation handles the incarnation that the answer to a start or stop command names; zero is
// none. It returns the minion, which is another value if the answer came from a new incarnation, and
// reports false if the answer is a delayed one of a previous incarnation.
func (s *Scheduler) observeIncarnation(now time.Time, m *minion, incarnation int64) (*minion, bool) {
	if incarnation != 0 && incarnation < m.Incarnation && m.confirmed {
		return m, false
	}
	return s.adoptIncarnation(now, m, incarnation), true
}

// adoptIncarnation returns the minion with the incarnation that an answer names, which is another value
// than m if that is a new one. The answer must not be a delayed one of a previous incarnation. That holds
// for polls, since the results of those that were sent to a previous incarnation are ignored.
func (s *Scheduler) adoptIncarnation(now time.Time, m *minion, incarnation int64) *minion {
	switch {
	case incarnation == 0:
		return m
	case m.Incarnation == 0:
		m.Incarnation = incarnation
	case incarnation != m.Incarnation:
		info, announced := m.Minion, m.announced
		info.ColdUntil = s.coldUntilAfterStart(now, info.Service) // until its own registration arrives
		if announced != nil && announced.Incarnation == incarnation {
			info = *announced
		}
		info.Incarnation = incarnation
		m = s.replaceIncarnation(now, m, info)
		if announced != nil && announced.Incarnation > incarnation {
			m.announced, m.announcedAt = announced, now
			s.updateUsable(now, m)
		}
	}
	m.confirmed = true
	return m
}

// replaceIncarnation replaces a minion by its new incarnation. Runs that the previous incarnation has
// confirmed have ended with it. The commands of the others may reach the new one, so they go on there,
// unresolved, and hold their capacity and their tasks until it has answered.
func (s *Scheduler) replaceIncarnation(now time.Time, m *minion, info Minion) *minion {
	s.emit(&LogDecision{Message: "minion gone", MinionID: m.ID, Detail: "reborn", Age: m.silentFor(now)})
	unresolved := slices.DeleteFunc(slices.Clone(m.runsByStart), (*run).started)
	for _, r := range m.runsByStart {
		if r.started() {
			s.Stats.ExpiredRuns++
			s.endRun(now, r, RunLeaseExpired)
		}
	}
	s.removeMinion(m)
	s.updateMinion(now, info)
	next := s.minions[info.ID]
	next.reborn = true
	for _, r := range unresolved {
		s.moveRun(now, r, next)
	}
	s.updateUsable(now, next)
	return next
}

// moveRun moves an unresolved run to the next incarnation of its minion.
func (s *Scheduler) moveRun(now time.Time, r *run, next *minion) {
	s.emit(&LogDecision{Message: "start may reach the next life", JobID: r.Task.Job, MinionID: next.ID, Detail: r.state.String(), Age: now.Sub(r.startSentAt)})
	r.minion.removeRun(r)
	r.minion, r.mayHaveCrossed = next, true
	next.addRun(r)
	next.lastRunChangeAt = now
	next.used.MilliCores += r.resources.MilliCores // may exceed a smaller capacity
	next.used.MemoryBytes += r.resources.MemoryBytes
	next.used.Accelerators += r.resources.Accelerators
	r.resolveSentAt = time.Time{}
	r.stopAccepted = false // by the new incarnation
}

// endForgotten ends a run whose minion lists neither the run nor its end: a poll that was sent to the
// previous incarnation has acknowledged the numbers of ends that the new one uses again.
func (s *Scheduler) endForgotten(now time.Time, r *run) {
	s.emit(&LogDecision{Message: "end not listed", JobID: r.Task.Job, MinionID: r.minion.ID, Age: now.Sub(r.startSentAt)})
	s.endRun(now, r, RunLeaseExpired)
}

// dropMisdirected removes a minion after a command was refused because another minion has its address.
// It is added again if its registration has named a newer incarnation, which may have another address.
func (s *Scheduler) dropMisdirected(now time.Time, m *minion) {
	s.dropMinion(now, m, "another life")
	if m.announced != nil {
		s.updateMinion(now, *m.announced)
	}
}

// startMisdirected handles a start command that another minion has refused. If it was sent to a previous
// address of the minion, that says nothing about the present one.
func (s *Scheduler) startMisdirected(now time.Time, m *minion, r *run) {
	switch {
	case r == nil || r.state != starting:
	case r.commandAddr == m.Addr:
		s.dropMisdirected(now, m)
	default:
		s.runNotStarted(now, r, CommandWrongIncarnation)
	}
}

// stopMisdirected handles a stop command that another minion has refused.
func (s *Scheduler) stopMisdirected(now time.Time, m *minion, r *run) {
	switch {
	case r == nil || r.state != stopping:
	case r.commandAddr == m.Addr:
		s.dropMisdirected(now, m)
	default:
		r.resolveSentAt = time.Time{} // sends the stop command to the present address
	}
}

// String returns the state as one word for the log.
func (s runState) String() string {
	switch s {
	case starting:
		return "starting"
	case running:
		return "running"
	case startUnknown:
		return "unsure"
	case stopping:
		return "stopping"
	}
	return "none"
}
