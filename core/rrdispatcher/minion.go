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
	pool     *pool
	state    MinionState
	since    time.Time // of the state
	cured    bool      // it was bad once and is healthy now
	listing  uint64    // number of the last SetMinions that listed it
	kept     bool      // false when it vanished from the list
	gone     time.Time // when it vanished last; zero when it never did
	said     bool      // the minion itself said that it is leaving
	busy     int       // sends in flight
	used     uint64    // number of the last send, over all minions
	answered time.Time // when a send ended otherwise than by its deadline
	stalled  bool      // has an overdue task and has answered nothing since
	retreat  retreat
	worker   rrcapacity.Worker
	relief   rrcapacity.OverloadController

	suspect rrhealth.FailureDetector
	rates   rrhealth.FailureRates
	speed   rrhealth.Slowdown
	rank    int // octaves by which it is slower than usual
	check   check
	passes  int    // good tasks since probation began
	runs    uint64 // tasks that ran
	fails   uint64 // tasks that failed
}

// check is the schedule of health checks of one minion.
type check struct {
	at     time.Time // the next one
	period time.Duration
}

// room returns how many sends the minion may have in flight.
func (m *minion) room() int {
	switch {
	case !m.kept || m.Draining || m.said || m.state == Quarantined || m.state == Draining:
		return 0
	case m.state == Probation:
		return 1
	}
	return min(m.retreat.limit, m.cap())
}

// cap returns the sends at a time that the minion's settings allow.
func (m *minion) cap() int {
	if m.MaxConns > 0 {
		return min(m.Slots, m.MaxConns)
	}
	return m.Slots
}

// works reports whether the minion gets work at all.
func (m *minion) works() bool {
	return m.room() > 0
}

// open reports whether a task may be sent to the minion now.
func (m *minion) open(now time.Time) bool {
	return m.busy < m.room() && !m.stalled && !now.Before(m.retreat.hold)
}

// able reports whether a task of a size may run on the minion's worker at all.
func (m *minion) able(s rrtask.Resources) bool {
	return s.IsZero() || s.Fits(m.Capacity)
}

// fits reports whether a task fits on the minion's worker now. An overfull worker
// gets nothing, since it slows everything down that runs there.
func (m *minion) fits(now time.Time, n need) bool {
	if m.worker.Overcommitted(now) {
		return false
	}
	return n.size.IsZero() || m.able(n.size) && m.worker.Fits(now, n.plan)
}

// shown returns the state that peers and operators see.
func (m *minion) shown() MinionState {
	if m.Draining || m.said {
		return Draining
	}
	return m.state
}

func (m *minion) become(now time.Time, s MinionState) {
	if m.state != s {
		m.state = s
		m.since = now
		m.cured = s == Healthy
		if m.pool != nil {
			m.pool.stale = true
		}
	}
}

// Times and counts of quarantine.
const (
	lostLimit   = 2 // unreachable sends in a row that quarantine
	refuseLimit = 8 // refused ones
	firstCheck  = 500 * time.Millisecond
	failCheck   = 5 * time.Second // the first check after failures
	leaveCheck  = 5 * time.Second // the first one after the minion said that it leaves
	lastCheck   = 5 * time.Minute
	checkTime   = 5 * time.Second // a check without an answer counts as failed
	goodPasses  = 5               // good tasks that end probation
)

// miss records a send that the minion did not start.
func (m *minion) miss(now, sent time.Time, code rrcode.Code) {
	m.retreat.miss(now, sent, m.busy)
	limit := refuseLimit
	if code == rrcode.Unreachable {
		limit = lostLimit
	}
	if m.state == Probation {
		limit = 1
	}
	if m.retreat.missed >= limit {
		m.quarantine(now)
	}
}

// pass records a task that was sent at a time and ran well.
func (m *minion) pass(now, sent time.Time) {
	m.runs++
	m.retreat.pass(sent, m.cap())
	m.suspect.RecordSuccess()
	m.passes++
	if m.state == Probation && m.passes >= goodPasses {
		m.become(now, Healthy)
		m.check.period = 0
	}
}

// fail records a failure. Peers is the share of like tasks that fail elsewhere.
func (m *minion) fail(now time.Time, peers float64) {
	m.runs++
	m.fails++
	m.suspect.RecordFailure(peers)
	if m.suspect.Bad() && m.pool.outlier(m) {
		m.check.period = max(m.check.period, failCheck/2)
		m.quarantine(now)
	}
}

// quarantine stops new work and plans a health check, later each time.
func (m *minion) quarantine(now time.Time) {
	if m.state == Quarantined {
		return
	}
	m.become(now, Quarantined)
	m.check.period = min(max(2*m.check.period, firstCheck), lastCheck)
	m.check.at = now.Add(m.check.period)
}

// checked records the answer of a health check.
func (m *minion) checked(now time.Time, ok bool) {
	if m.state != Quarantined && !m.said {
		return
	}
	if !ok {
		m.check.period = min(2*m.check.period, lastCheck)
		m.check.at = now.Add(m.check.period)
		return
	}
	m.said = false
	m.passes = 0
	m.retreat = retreat{limit: 1}
	m.suspect.SetProbation()
	m.become(now, Probation)
}

// leave records that the minion itself said that it is leaving. It gets nothing
// until a health check passes, which a list that still shows it cannot replace.
func (m *minion) leave(now time.Time) {
	if m.said {
		return
	}
	m.said = true
	if m.pool != nil {
		m.pool.stale = true
	}
	m.check.period = leaveCheck
	m.check.at = now.Add(m.check.period)
}
