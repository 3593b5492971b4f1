package rrkeep

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// mostTries bounds the sends of one task that a minion did not start.
const mostTries = 4

// Finish ends one send. Unknown ids are ignored.
func (k *Keeper) Finish(now time.Time, f Finish) {
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
	if f.Leaving {
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
func (k *Keeper) refused(now time.Time, fl flight, r rrtask.Result) {
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
func (k *Keeper) ran(now time.Time, fl flight, r rrtask.Result) {
	b, m, u := fl.batch, fl.on, fl.unit
	if r.Run <= 0 {
		r.Run = now.Sub(fl.start)
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
func (k *Keeper) passed(now time.Time, fl flight, r rrtask.Result) {
	b, m, u := fl.batch, fl.on, fl.unit
	b.tell(m, true)
	usual := time.Duration(float64(r.Run) / m.factor())
	k.Learn.Observe(b.Tenant, b.Class, b.Tasks[u.task].Expect, usual)
	m.speed.Observe(u.est, r.Run)
	m.rates.Observe(b.Tenant, b.Class, false)
	m.pass(now, fl.start)
}

// failed weighs a failure against the minion.
func (k *Keeper) failed(now time.Time, fl flight, r rrtask.Result) {
	b, m := fl.batch, fl.on
	switch r.Code {
	case rrcode.TaskFailed, rrcode.ConnectionLost, rrcode.TimedOut:
		m.rates.Observe(b.Tenant, b.Class, true)
		m.fail(now, m.pool.peers(m, b))
		b.tell(m, false)
	}
}
