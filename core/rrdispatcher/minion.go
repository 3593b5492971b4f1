package rrdispatcher

import (
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrhealth"
	"rattanring/core/rrtask"
)

// minion is what a keeper knows of one minion.
type minion struct {
	rrtask.Minion
	pool          *pool
	state         MinionState
	stateSince    time.Time // of the state
	recovered     bool      // it was bad once and is healthy now
	listVersion   uint64    // number of the last SetMinions that listed it
	owned         bool      // false when it vanished from the list
	unlistedAt    time.Time // when it vanished last; zero when it never did
	drainReported bool      // the minion itself said that it is leaving
	inFlight      int       // sends in flight
	lastDispatch  uint64    // number of the last send, over all minions
	answeredAt    time.Time // when a send ended otherwise than by its deadline
	stalled       bool      // has an overdue task and has answered nothing since
	limiter       dispatchLimiter
	worker        rrcapacity.Worker
	overload      rrcapacity.OverloadController

	detector         rrhealth.FailureDetector
	failureRates     rrhealth.FailureRates
	slowdown         rrhealth.Slowdown
	relativeSlowdown int // octaves by which it is slower than usual
	probe            probeSchedule
	probationPasses  int    // good tasks since probation began
	runs             uint64 // tasks that ran
	failures         uint64 // tasks that failed
}

// probeSchedule is the schedule of health checks of one minion.
type probeSchedule struct {
	next     time.Time // the next one
	interval time.Duration
}

// maxInFlight returns how many sends the minion may have in flight.
func (m *minion) maxInFlight() int {
	switch {
	case !m.owned || m.Draining || m.drainReported || m.state == Quarantined || m.state == Draining:
		return 0
	case m.state == Probation:
		return 1
	}
	return min(m.limiter.limit, m.configuredSlots())
}

// configuredSlots returns the sends at a time that the minion's settings allow.
func (m *minion) configuredSlots() int {
	if m.MaxConns > 0 {
		return min(m.Slots, m.MaxConns)
	}
	return m.Slots
}

// usable reports whether the minion gets work at all.
func (m *minion) usable() bool {
	return m.maxInFlight() > 0
}

// hasFreeSlot reports whether a task may be sent to the minion now.
func (m *minion) hasFreeSlot(now time.Time) bool {
	return m.inFlight < m.maxInFlight() && !m.stalled && !now.Before(m.limiter.blockedUntil)
}

// largeEnough reports whether a task of a size may run on the minion's worker at all.
func (m *minion) largeEnough(s rrtask.Resources) bool {
	return s.IsZero() || s.Fits(m.Capacity)
}

// fits reports whether a task fits on the minion's worker now. An overfull worker
// gets nothing, since it slows everything down that runs there.
func (m *minion) fits(now time.Time, n requirement) bool {
	if m.worker.Overcommitted(now) {
		return false
	}
	return n.declared.IsZero() || m.largeEnough(n.declared) && m.worker.Fits(now, n.planned)
}

// reportedState returns the state that peers and operators see.
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

// Times and counts of quarantine.
const (
	maxUnreachable     = 2 // unreachable sends in a row that quarantine
	maxRefusals        = 8 // refused ones
	minProbeInterval   = 500 * time.Millisecond
	failureProbeDelay  = 5 * time.Second // the first check after failures
	drainingProbeDelay = 5 * time.Second // the first one after the minion said that it leaves
	maxProbeInterval   = 5 * time.Minute
	probeTimeout       = 5 * time.Second // a check without an answer counts as failed
	probationTasks     = 5               // good tasks that end probation
)

// recordRefusal records a send that the minion did not start.
func (m *minion) recordRefusal(now, sentAt time.Time, code rrcode.Code) {
	m.limiter.recordRefusal(now, sentAt, m.inFlight)
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

// recordSuccess records a task that was sent at a time and ran well.
func (m *minion) recordSuccess(now, sentAt time.Time) {
	m.runs++
	m.limiter.recordSuccess(sentAt, m.configuredSlots())
	m.detector.RecordSuccess()
	m.probationPasses++
	if m.state == Probation && m.probationPasses >= probationTasks {
		m.setState(now, Healthy)
		m.probe.interval = 0
	}
}

// recordFailure records a failure. Peers is the share of like tasks that fail elsewhere.
func (m *minion) recordFailure(now time.Time, peerRate float64) {
	m.runs++
	m.failures++
	m.detector.RecordFailure(peerRate)
	if m.detector.Bad() && m.pool.outlier(m) {
		m.probe.interval = max(m.probe.interval, failureProbeDelay/2)
		m.quarantine(now)
	}
}

// quarantine stops new work and plans a health check, later each time.
func (m *minion) quarantine(now time.Time) {
	if m.state == Quarantined {
		return
	}
	m.setState(now, Quarantined)
	m.probe.interval = min(max(2*m.probe.interval, minProbeInterval), maxProbeInterval)
	m.probe.next = now.Add(m.probe.interval)
}

// recordProbe records the answer of a health check.
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
	m.probationPasses = 0
	m.limiter = dispatchLimiter{limit: 1}
	m.detector.SetProbation()
	m.setState(now, Probation)
}

// recordDraining records that the minion itself said that it is leaving. It gets nothing
// until a health check passes, which a list that still shows it cannot replace.
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
