package rrscheduler

import (
	"cmp"
	"strings"
	"time"

	"rattanring/core/rrhealth"
	"rattanring/core/rrtask"
)

// minion is what the scheduler knows about one minion.
type minion struct {
	Minion
	used                 rrtask.Resources // this and the next three are read for each task to be placed
	usable               bool             // may receive new tasks, of some jobs at least
	slowdown             rrhealth.Slowdown
	cold                 coldState
	runsWithoutResources int // number of runs with unknown resources
	runs                 map[RunID]*run
	runsByStart          []*run              // the same in order of their starts; removal replaces the slice, so that loops over the old one stay valid
	tombstones           map[RunID]time.Time // ended runs and when they ended

	runsKnown   bool      // it has listed its runs since this owner added it or its lease last expired
	ackedEndSeq int64     // finished runs up to this EndSeq are processed
	clockMs     int64     // its clock in milliseconds, zero if unknown …
	clockReadAt time.Time // … at this time

	pollInFlight    uint64               // PollSeq of the poll in flight; zero if none
	firstPoll       bool                 // that poll is the first since its runs are unknown
	nextPollAt      time.Time            // earliest time of the next poll
	lastMaxWait     time.Duration        // MaxWait of the last regular poll
	lastRunChangeAt time.Time            // when a run last started or ended
	failedPolls     int                  // in a row
	lastAnswerAt    time.Time            // last successful answer to a poll
	leaseEndsAt     time.Time            // nothing runs there after this, unless a later poll renews the lease
	deregisteredAt  time.Time            // when its registration was removed; zero while registered
	pollSentAt      map[uint64]time.Time // by PollSeq; polls without a result yet

	confirmed   bool      // it has answered with this incarnation
	reborn      bool      // this owner has known a previous incarnation of it
	announced   *Minion   // registration of a newer incarnation that it has not confirmed; nil for none
	announcedAt time.Time // when announced was set

	evacuated             bool       // its zone is evacuated …
	evacuation            evacuation // … and this is known of it; not valid while it is not
	handingOff            bool       // is released to another shard once it runs nothing
	cooldownUntil         time.Time
	cooldown              time.Duration // length of the last cooldown
	lastFailedJob         string        // job of the last failure; empty after a success
	consecutiveFailedJobs int           // jobs that failed here since the last success; failures of one job in a row count once
	lastDecayAt           time.Time     // when slowdown last decayed
	lastPollAt            time.Time
}

func (m *minion) allocate(resources rrtask.Resources) {
	m.used.MilliCores += resources.MilliCores
	m.used.MemoryBytes += resources.MemoryBytes
	m.used.Accelerators += resources.Accelerators
	withinCapacity.Assert(m.used.Fits(m.Capacity))
}

func (m *minion) free(resources rrtask.Resources) {
	m.used.MilliCores -= resources.MilliCores
	m.used.MemoryBytes -= resources.MemoryBytes
	m.used.Accelerators -= resources.Accelerators
}

// fits reports whether the minion has this much free capacity.
func (m *minion) fits(resources rrtask.Resources) bool {
	return rrtask.Resources{
		MilliCores:   m.used.MilliCores + resources.MilliCores,
		MemoryBytes:  m.used.MemoryBytes + resources.MemoryBytes,
		Accelerators: m.used.Accelerators + resources.Accelerators,
	}.Fits(m.Capacity)
}

func (m *minion) addRun(r *run) {
	m.runs[r.RunID] = r
	m.runsByStart = append(m.runsByStart, r)
	m.lastRunChangeAt = r.startSentAt
}

func (m *minion) removeRun(r *run) {
	delete(m.runs, r.RunID)
	m.runsByStart = without(m.runsByStart, r)
}

// without returns a copy of the list without x, so that loops over the old list stay valid.
func without[T comparable](list []T, x T) []T {
	out := make([]T, 0, len(list))
	for _, y := range list {
		if y != x {
			out = append(out, y)
		}
	}
	return out
}

func compareTaskIDs(a, b TaskID) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Index, b.Index))
}

// clockNow estimates the time on the minion's clock, in milliseconds.
func (m *minion) clockNow(now time.Time) int64 {
	return m.clockMs + now.Sub(m.clockReadAt).Milliseconds()
}

// observeClock records a reading of the minion's clock.
func (m *minion) observeClock(now time.Time, clockMs int64) {
	if clockMs == 0 {
		return
	}
	if clockMs < m.clockNow(now) && m.clockMs != 0 && now.Sub(m.clockReadAt) < time.Second {
		return // a delayed answer is less accurate than the earlier reading
	}
	m.clockMs, m.clockReadAt = clockMs, now
}

// minionRegistered adds or updates a minion by its registration.
func (s *Scheduler) minionRegistered(now time.Time, info Minion) {
	m := s.minions[info.ID]
	if m != nil && m.confirmed && info.Incarnation != 0 && info.Incarnation < m.Incarnation {
		return // delayed registration of a previous incarnation
	}
	if m != nil && m.Incarnation != 0 && info.Incarnation > m.Incarnation {
		if m.confirmed && len(m.runs) > 0 {
			s.announceIncarnation(now, m, info)
			return
		}
		s.replaceIncarnation(now, m, info)
		return
	}
	s.updateMinion(now, info)
}

// announceIncarnation keeps the runs of a minion whose registration names a newer incarnation, until
// the minion answers as that one or the runs have ended. Another writer may have left the
// registration while the minion runs on.
func (s *Scheduler) announceIncarnation(now time.Time, m *minion, info Minion) {
	m.announced, m.announcedAt = &info, now
	s.emit(&LogDecision{Message: "minion said to be reborn", MinionID: m.ID, Age: m.silentFor(now)})
	s.updateUsable(now, m)
	s.poll(now, m, 0)
}

// updateMinion adds a minion or updates its registration.
func (s *Scheduler) updateMinion(now time.Time, info Minion) {
	m := s.minions[info.ID]
	if m == nil {
		m = &minion{runs: make(map[RunID]*run), tombstones: make(map[RunID]time.Time), pollSentAt: make(map[uint64]time.Time)}
		m.ID, m.lastRunChangeAt = info.ID, now
		s.addMinion(m)
		m.leaseEndsAt = now.Add(s.leaseDuration()) // a previous owner may just have renewed it
		s.emit(&LogDecision{Message: "minion added", MinionID: info.ID, Detail: info.Service})
	}
	if info.Draining != m.Draining {
		s.emit(&LogDecision{Message: "minion state", MinionID: info.ID, Detail: drainingText(info.Draining)})
	}
	if info.Incarnation == 0 {
		info.Incarnation = m.Incarnation
	}
	m.Minion, m.announced = info, nil
	m.deregisteredAt, m.handingOff = time.Time{}, false
	s.registerCold(now, m)
	s.updateUsable(now, m)
	s.pollIfDue(now, m)
	s.needsPass = true
}

func drainingText(draining bool) string {
	if draining {
		return "leaving"
	}
	return "ready"
}

// minionDeregistered records that a minion's registration was removed.
func (s *Scheduler) minionDeregistered(now time.Time, id string) {
	m := s.minions[id]
	if m == nil || !m.deregisteredAt.IsZero() {
		return
	}
	m.deregisteredAt = now
	s.emit(&LogDecision{Message: "minion missing", MinionID: id, Age: m.silentFor(now)})
	s.updateUsable(now, m)
}

// leaseDuration returns how long a lease can last after the command that renewed it was sent.
func (s *Scheduler) leaseDuration() time.Duration {
	return maxElapsed(s.options.MaxLease)
}

// maxElapsed returns how long a span d on a minion's clock can last after the command that carries
// it was sent.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift)) + leaseSlack
}

// updateUsable decides whether a minion may receive new tasks.
func (s *Scheduler) updateUsable(now time.Time, m *minion) {
	wasUsable := m.usable
	if len(s.evacuated) > 0 || m.evacuated {
		s.setEvacuated(m)
	}
	m.usable = (!m.evacuated || now.Before(m.evacuation.startsUntil)) && m.runsKnown && m.announced == nil && !m.Draining && !m.handingOff && m.runsWithoutResources == 0 && m.failedPolls < 2 &&
		!now.Before(m.cooldownUntil) && now.Sub(m.lastAnswerAt) < max(m.lastMaxWait, pollWait)+2*(pollTimeout+s.lag.patience()) &&
		(m.deregisteredAt.IsZero() || now.Sub(m.deregisteredAt) < deregisteredGrace)
	if m.usable && !wasUsable {
		s.needsPass = true
	}
}

// pollIfDue sends the next poll if none is in flight.
func (s *Scheduler) pollIfDue(now time.Time, m *minion) {
	if m.pollInFlight != 0 || now.Before(m.nextPollAt) {
		return
	}
	wait := pollWait
	switch {
	case !m.runsKnown && m.failedPolls == 0 && !s.beginFirstPoll(m):
		return
	case !m.runsKnown || m.failedPolls > 0:
		wait = 0
	case s.lossy(now):
		wait = lossyPollWait
	case m.idle(now):
		wait = idlePollWait
	}
	m.lastMaxWait = wait
	m.pollInFlight = s.poll(now, m, wait)
}

// idle reports whether a minion has run nothing for longer than idleAfter.
func (m *minion) idle(now time.Time) bool {
	return len(m.runsByStart) == 0 && now.Sub(m.lastRunChangeAt) > idleAfter
}

// renewLeaseNow renews the lease of a minion that starts a run while a long idle poll waits there,
// without waiting for that poll to return.
func (s *Scheduler) renewLeaseNow(now time.Time, m *minion) {
	if m.lastMaxWait > pollWait {
		m.pollInFlight = s.poll(now, m, 0)
	}
}

// poll polls a minion, which also renews its lease, and returns the poll's PollSeq.
func (s *Scheduler) poll(now time.Time, m *minion, wait time.Duration) uint64 {
	s.lastPollSeq++
	m.lastPollAt = now
	poll := &PollMinion{MinionID: m.ID, Addr: m.Addr, PollSeq: s.lastPollSeq, FencingToken: s.fencingToken, AckedEndSeq: m.ackedEndSeq, MaxWait: wait, Timeout: wait + pollTimeout + s.lag.patience()}
	if lease := s.leaseToGrant(now, m); lease > 0 && m.clockMs != 0 && m.failedPolls == 0 {
		poll.LeaseUntilMs = m.clockNow(now) + lease.Milliseconds()
		m.extendLease(now.Add(maxElapsed(lease)))
	}
	m.pollSentAt[s.lastPollSeq] = now
	s.emit(poll)
	return s.lastPollSeq
}

func (m *minion) extendLease(until time.Time) {
	m.leaseEndsAt = later(m.leaseEndsAt, until)
}

// pollDone handles the result of a poll.
func (s *Scheduler) pollDone(now time.Time, ev *PollMinionDone) {
	m := s.minions[ev.MinionID]
	if m == nil {
		return
	}
	sentAt, ok := m.pollSentAt[ev.PollSeq]
	if !ok {
		return
	}
	delete(m.pollSentAt, ev.PollSeq)
	if m.pollInFlight == ev.PollSeq {
		m.pollInFlight = 0
		if m.firstPoll {
			s.endFirstPoll(m)
			defer s.pollNextUnknown(now)
		}
	}
	if ev.Status == CommandWrongIncarnation {
		s.dropMisdirected(now, m)
		return
	}
	if ev.Status == CommandFenced && !s.sentUnderOldToken(sentAt) {
		s.stepDown(m.ID)
		return
	}
	if s.adoptIncarnation(now, m, ev.Incarnation) != m {
		return // the poll acknowledged runs of the previous incarnation; the new one is polled anew
	}
	switch {
	case ev.Status == CommandOK:
		s.pollSucceeded(now, m, ev, sentAt)
	default:
		m.failedPolls++
		m.nextPollAt = now.Add(pollRetryDelay * time.Duration(m.failedPolls))
		if m.failedPolls == unresponsivePolls {
			s.emit(&LogDecision{Message: "minion silent", MinionID: m.ID, Age: m.silentFor(now)})
		}
	}
	s.updateUsable(now, m)
	if s.minions[m.ID] == m {
		s.pollIfDue(now, m)
	}
}

func (s *Scheduler) pollSucceeded(now time.Time, m *minion, ev *PollMinionDone, sentAt time.Time) {
	if m.announced != nil && sentAt.After(m.announcedAt.Add(-time.Nanosecond)) {
		s.emit(&LogDecision{Message: "minion not reborn", MinionID: m.ID})
		m.announced = nil
	}
	if m.failedPolls >= unresponsivePolls {
		s.emit(&LogDecision{Message: "minion back", MinionID: m.ID, Age: m.silentFor(now)})
	}
	m.failedPolls = 0
	m.lastAnswerAt = now
	m.observeClock(now, ev.MinionClockMs)
	for _, finished := range ev.FinishedRuns {
		s.processFinished(now, m, finished)
	}
	s.reconcileRuns(now, m, ev, sentAt)
	if !m.runsKnown {
		m.runsKnown = true
		s.needsPass = true
	}
}

// tickMinion does the work for a minion that depends on time alone.
func (s *Scheduler) tickMinion(now time.Time, m *minion) {
	if s.finishHandoff(m) {
		return
	}
	if m.expendable(now) {
		s.dropMinion(now, m, "removed")
		s.emit(&ReleaseMinion{MinionID: m.ID})
		return
	}
	if now.After(m.leaseEndsAt) && m.failedPolls > 0 && len(m.runs) > 0 {
		s.leaseExpired(now, m)
	}
	if m.announced != nil && len(m.runs) == 0 {
		s.replaceIncarnation(now, m, *m.announced)
		return
	}
	for _, r := range m.runsByStart {
		s.tickRun(now, r)
	}
	m.decay(now)
	if m.cold.service != nil {
		s.refreshCold(now, m)
	}
	s.updateUsable(now, m)
	s.pollIfDue(now, m)
}

// silentFor returns the time since the minion's last answer, zero if it has given none.
func (m *minion) silentFor(now time.Time) time.Duration {
	if m.lastAnswerAt.IsZero() {
		return 0
	}
	return now.Sub(m.lastAnswerAt)
}

// expendable reports whether a deregistered minion runs nothing and will get no new tasks.
func (m *minion) expendable(now time.Time) bool {
	if m.deregisteredAt.IsZero() || len(m.runs) > 0 {
		return false
	}
	left := m.Draining && m.runsKnown
	dead := m.failedPolls > 0 && now.After(m.leaseEndsAt)
	return left || dead || now.Sub(m.deregisteredAt) > deregisteredGrace
}

// leaseExpired ends all runs of an unresponsive minion whose lease has expired.
func (s *Scheduler) leaseExpired(now time.Time, m *minion) {
	s.emit(&LogDecision{Message: "lease lapsed", MinionID: m.ID, Age: m.silentFor(now)})
	s.expireRuns(now, m)
	m.runsKnown = false
}

// dropMinion ends all runs of a minion that is dead or was deregistered, and removes it from the shard.
func (s *Scheduler) dropMinion(now time.Time, m *minion, reason string) {
	s.emit(&LogDecision{Message: "minion gone", MinionID: m.ID, Detail: reason, Age: m.silentFor(now)})
	s.expireRuns(now, m)
	s.removeMinion(m)
}

func (s *Scheduler) expireRuns(now time.Time, m *minion) {
	for _, r := range m.runsByStart {
		s.Stats.ExpiredRuns++
		s.endRun(now, r, RunLeaseExpired)
	}
}

// recordFailure records a failure that may be the minion's fault. From the second failed job in a
// row on, the minion gets a cooldown, which doubles each time.
func (m *minion) recordFailure(now time.Time, job string) {
	if m.lastFailedJob != job {
		m.consecutiveFailedJobs++
	}
	m.lastFailedJob = job
	if m.consecutiveFailedJobs < 2 {
		return
	}
	m.cooldown = min(max(2*m.cooldown, minCooldown), maxCooldown)
	m.cooldownUntil = later(m.cooldownUntil, now.Add(m.cooldown))
}

// recordSuccess clears the record of failures after a completed task.
func (m *minion) recordSuccess() {
	m.consecutiveFailedJobs, m.lastFailedJob, m.cooldown = 0, "", 0
}
