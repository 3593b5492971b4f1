package rrdispatcher

import (
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrhealth"
	"rattanring/core/rrtask"
)

// minion is the state of one minion.
type minion struct {
	rrtask.Minion
	pool          *pool
	state         MinionState
	stateSince    time.Time // when state changed last
	recovered     bool      // it was quarantined and is healthy now
	listVersion   uint64    // Dispatcher.listVersion of the last list with it
	owned         bool      // the last list of SetMinions has it
	unlistedAt    time.Time // when a list dropped it last; zero for never
	drainReported bool      // the minion itself answered that it is draining
	inFlight      int       // dispatches in flight
	lastDispatch  uint64    // Stats.Dispatches at its last dispatch
	answeredAt    time.Time // when a dispatch last ended other than by a timeout
	evacuated     bool      // its zone is evacuated: it gets no tasks
	unresponsive  bool      // has an overdue task and has answered nothing since it was dispatched
	limiter       dispatchLimiter
	worker        rrcapacity.Worker
	overload      rrcapacity.OverloadController

	detector           rrhealth.FailureDetector
	failureRates       rrhealth.FailureRates
	slowdown           rrhealth.Slowdown
	relativeSlowdown   int // rounded log2 of slowdownFactor, at least zero; a minion with more than zero is called slow
	probe              probeSchedule
	probationSuccesses int    // successful tasks since probation began
	runs               uint64 // tasks that ran, failed ones included
	failures           uint64 // tasks that failed
}

// probeSchedule is the schedule of health checks of one minion.
type probeSchedule struct {
	next     time.Time     // when the next check is due
	interval time.Duration // doubles with every quarantine and every failed check
}

// maxInFlight returns how many dispatches the minion may have in flight.
func (m *minion) maxInFlight() int {
	switch {
	case !m.owned || m.evacuated || m.Draining || m.drainReported || m.state == Quarantined || m.state == Draining:
		return 0
	case m.state == Probation:
		return 1
	}
	return min(m.limiter.limit, m.configuredSlots())
}

// configuredSlots returns how many tasks at a time the minion's settings allow.
func (m *minion) configuredSlots() int {
	if m.MaxConns > 0 {
		return min(m.Slots, m.MaxConns)
	}
	return m.Slots
}

// usable reports whether the minion gets tasks at all.
func (m *minion) usable() bool {
	return m.maxInFlight() > 0
}

// hasFreeSlot reports whether a task may be dispatched to the minion now.
func (m *minion) hasFreeSlot(now time.Time) bool {
	return m.inFlight < m.maxInFlight() && !m.unresponsive && !now.Before(m.limiter.blockedUntil)
}

// largeEnough reports whether an idle worker of the minion has the resources for a task.
func (m *minion) largeEnough(declared rrtask.Resources) bool {
	return declared.IsZero() || declared.Fits(m.Capacity)
}

// fits reports whether the minion's worker has the free resources for a task now. An
// overcommitted worker gets no tasks, since it slows down all that it runs.
func (m *minion) fits(now time.Time, req requirement) bool {
	if m.worker.Overcommitted(now) {
		return false
	}
	return req.declared.IsZero() || m.largeEnough(req.declared) && m.worker.Fits(now, req.planned)
}

// reportedState returns the state that other owners and operators see.
func (m *minion) reportedState() MinionState {
	if m.Draining || m.drainReported {
		return Draining
	}
	return m.state
}

func (m *minion) setState(now time.Time, s MinionState) {
	if m.state != s {
		m.state = s
		m.stateSince = now
		m.recovered = s == Healthy
		if m.pool != nil {
			m.pool.slowdownsStale = true
		}
	}
}

// Limits of quarantine and probation.
const (
	maxUnreachable     = 2 // refused dispatches in a row that quarantine a minion if the last found it unreachable
	maxRefusals        = 8 // refused dispatches in a row that quarantine a minion otherwise
	minProbeInterval   = 500 * time.Millisecond
	failureProbeDelay  = 5 * time.Second // until the first check after failed tasks
	drainingProbeDelay = 5 * time.Second // until the first check after the minion answered that it is draining
	maxProbeInterval   = 5 * time.Minute
	probeTimeout       = 5 * time.Second // until a check without an answer is repeated
	probationTasks     = 5               // successful tasks that end probation
)

// recordRefusal records that the minion did not start a task.
func (m *minion) recordRefusal(now, dispatchedAt time.Time, code rrcode.Code) {
	m.limiter.recordRefusal(now, dispatchedAt, m.inFlight)
	limit := maxRefusals
	if code == rrcode.Unreachable {
		limit = maxUnreachable
	}
	if m.state == Probation {
		limit = 1
	}
	if m.limiter.refusals >= limit {
		m.quarantine(now)
	}
}

// recordSuccess records a success of a task that was dispatched at dispatchedAt.
func (m *minion) recordSuccess(now, dispatchedAt time.Time) {
	m.runs++
	m.limiter.recordSuccess(dispatchedAt, m.configuredSlots())
	m.detector.RecordSuccess()
	m.probationSuccesses++
	if m.state == Probation && m.probationSuccesses >= probationTasks {
		m.setState(now, Healthy)
		m.probe.interval = 0
	}
}

// recordFailure records a failure. The argument peerRate is the share of similar tasks
// that fail on other minions.
func (m *minion) recordFailure(now time.Time, peerRate float64) {
	m.runs++
	m.failures++
	m.detector.RecordFailure(peerRate)
	if m.detector.Bad() && m.pool.outlier(m) {
		m.probe.interval = max(m.probe.interval, failureProbeDelay/2)
		m.quarantine(now)
	}
}

// quarantine stops dispatches to the minion and schedules a health check. The delay
// doubles with each quarantine, up to maxProbeInterval.
func (m *minion) quarantine(now time.Time) {
	if m.state == Quarantined {
		return
	}
	m.setState(now, Quarantined)
	m.probe.interval = min(max(2*m.probe.interval, minProbeInterval), maxProbeInterval)
	m.probe.next = now.Add(m.probe.interval)
}

// recordProbe records the result of a health check.
func (m *minion) recordProbe(now time.Time, ok bool) {
	if m.state != Quarantined && !m.drainReported {
		return
	}
	if !ok {
		m.probe.interval = min(2*m.probe.interval, maxProbeInterval)
		m.probe.next = now.Add(m.probe.interval)
		return
	}
	m.drainReported = false
	m.probationSuccesses = 0
	m.limiter = dispatchLimiter{limit: 1}
	m.detector.SetProbation()
	m.setState(now, Probation)
}

// recordDraining records that the minion itself answered that it is draining. It gets no
// tasks until it passes a health check, even if the instance list still names it.
func (m *minion) recordDraining(now time.Time) {
	if m.drainReported {
		return
	}
	m.drainReported = true
	if m.pool != nil {
		m.pool.slowdownsStale = true
	}
	m.probe.interval = drainingProbeDelay
	m.probe.next = now.Add(m.probe.interval)
}
