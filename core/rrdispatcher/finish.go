package rrdispatcher

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// mostTries bounds the sends of one task that a minion did not start.
const mostTries = 4

// HandleResult ends one send. Unknown ids are ignored.
func (k *Dispatcher) HandleResult(now time.Time, f DispatchResult) {
	fl, ok := k.flights.take(f.ID)
	if !ok {
		return
	}
	b, m := fl.batch, fl.on
	b.running--
	m.busy--
	k.vacate(now, m, f)
	if f.Result.Code != rrcode.TimedOut {
		m.answered = now
		m.stalled = false
	}
	b.line.tenant.busy--
	k.retell(b.line.tenant)
	if f.Draining {
		m.leave(now)
	}
	if f.Result.Code.Class() == rrcode.ClassNotRun {
		k.refused(now, fl, f.Result)
	} else {
		k.ran(now, fl, f.Result)
	}
	k.retire(now, b)
}

// refused queues a task again that a minion did not start, or hands it back.
func (k *Dispatcher) refused(now time.Time, fl flight, r rrtask.Result) {
	b, m, u := fl.batch, fl.on, fl.unit
	k.counts.Refused++
	m.miss(now, fl.start, r.Code)
	b.advance(-u.est)
	u.tries++
	u.avoid = m
	if b.dropped || u.tries >= mostTries {
		k.end(b, u, r)
		return
	}
	b.phases[u.task] = waiting
	b.push(u)
	k.settle(b)
}

// ran records the outcome of a task that a minion may have started.
func (k *Dispatcher) ran(now time.Time, fl flight, r rrtask.Result) {
	b, m, u := fl.batch, fl.on, fl.unit
	if r.RunTime <= 0 {
		r.RunTime = now.Sub(fl.start)
	}
	if r.Minion == "" {
		r.Minion = m.Name
	}
	if r.Code == rrcode.Complete {
		k.passed(now, fl, r)
	} else {
		k.failed(now, fl, r)
	}
	k.end(b, u, r)
}

// passed learns from a task that ran well.
func (k *Dispatcher) passed(now time.Time, fl flight, r rrtask.Result) {
	b, m, u := fl.batch, fl.on, fl.unit
	b.tell(m, true)
	usual := time.Duration(float64(r.RunTime) / m.factor())
	k.RunTimes.Observe(b.Tenant, b.Class, b.Tasks[u.task].DeclaredRunTime, usual)
	m.speed.Observe(u.est, r.RunTime)
	m.rates.Observe(b.Tenant, b.Class, false)
	m.pass(now, fl.start)
}

// failed weighs a failure against the minion.
func (k *Dispatcher) failed(now time.Time, fl flight, r rrtask.Result) {
	b, m := fl.batch, fl.on
	switch r.Code {
	case rrcode.TaskFailed, rrcode.ConnectionLost, rrcode.TimedOut:
		m.rates.Observe(b.Tenant, b.Class, true)
		m.fail(now, m.pool.peers(m, b))
		b.tell(m, false)
	}
}
