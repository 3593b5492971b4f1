package rrdispatcher

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

const (
	maxAside  = 16                     // batches passed over in one round because their next task fits nowhere now
	stuckTime = 500 * time.Millisecond // tasks are handed back when no minion took work for so long
)

// Dispatch appends the tasks to send now, best first, and fills every free slot that
// it can. Call it after any event.
func (k *Dispatcher) Dispatch(now time.Time, out []Dispatch) []Dispatch {
	k.now = now
	k.expire(now)
	k.review(now)
	k.share(now)
	k.stall(now)
	for _, p := range k.pools {
		k.relieve(now, p)
		out = k.fill(now, p, out)
	}
	return out
}

// expire ends the waiting tasks whose deadline has come.
func (k *Dispatcher) expire(now time.Time) {
	for k.due.Len() > 0 && !k.due.At(0).Deadline.After(now) {
		k.handBack(now, k.due.At(0), rrcode.DeadlinePassed)
	}
}

// review estimates batches again that have waited for a while.
func (k *Dispatcher) review(now time.Time) {
	for k.late.Len() > 0 && !k.late.At(0).reviewAt().After(now) {
		b := k.late.At(0)
		k.late.Remove(b.late)
		b.reviewed = true
		b.review(func(t *rrtask.Task) time.Duration {
			return k.RunTimes.Estimate(b.Tenant, b.Class, t.DeclaredRunTime)
		})
		k.settle(b)
	}
}

// relieve hands everything back when no minion of the pool takes work: at once
// when there is none, otherwise after stuckTime.
func (k *Dispatcher) relieve(now time.Time, p *pool) {
	if p.queued == 0 || p.works() {
		p.stuck = time.Time{}
		return
	}
	if p.stuck.IsZero() {
		p.stuck = now
	}
	if len(p.minions) > 0 && now.Sub(p.stuck) < stuckTime {
		return
	}
	for _, b := range k.sorted() {
		if b.pool == p {
			k.handBack(now, b, rrcode.NoMinions)
		}
	}
}

// fill starts tasks of one pool while a slot is free.
func (k *Dispatcher) fill(now time.Time, p *pool, out []Dispatch) []Dispatch {
	if p.lines.Len() == 0 {
		return out
	}
	p.pace(now)
	fast, slow := p.free(now)
	out = k.fillFast(now, p, fast, out)
	if slow > 0 {
		out = k.fillSlow(now, p, out)
	}
	return out
}

// fillFast gives the free slots of minions that are not slow to the batches in order.
func (k *Dispatcher) fillFast(now time.Time, p *pool, free int, out []Dispatch) []Dispatch {
	var aside [maxAside]*batch
	n := 0
	for free > 0 && p.lines.Len() > 0 && n < maxAside {
		b := p.lines.At(0).batches.At(0)
		if free <= p.reserve(now, b) {
			break
		}
		if m, u := k.match(now, b); m != nil {
			out = append(out, k.start(now, b, u, m))
			free--
			continue
		}
		if k.misfit(now, b) {
			continue
		}
		p.wait(now, b, k.need(b, b.units[len(b.units)-1]))
		aside[n] = b
		n++
		k.hide(b)
	}
	for _, b := range aside[:n] {
		k.settle(b)
	}
	return out
}

// hide takes a batch out of its line for the rest of a round.
func (k *Dispatcher) hide(b *batch) {
	b.line.batches.Remove(b.place)
	b.line.settle()
}

// maxMatch bounds the tasks of a batch that are tried when the next one does not
// fit on any worker now.
const maxMatch = 8

// match returns the minion for the next task of a batch, or for one of those after
// it when that does not fit anywhere now, and takes the task out. It returns nil
// when there is none.
func (k *Dispatcher) match(now time.Time, b *batch) (*minion, unit) {
	last := len(b.units) - 1
	for i := last; i >= 0 && i > last-maxMatch; i-- {
		n := k.need(b, b.units[i])
		if m := b.pool.pick(now, b, b.units[i], n); m != nil {
			return m, b.take(i)
		}
		if n.size.IsZero() {
			break
		}
	}
	return nil, unit{}
}

// pick returns the minion for one task of a batch, or nil when none is free. Slow
// ones count when no other is large enough. The one that refused the task last gets
// it only when no other may run it.
func (p *pool) pick(now time.Time, b *batch, u unit, n need) *minion {
	var best *minion
	slow := !p.able(n.size, true)
	for _, m := range p.minions {
		if m.rank > 0 && !slow || !m.open(now) || !m.fits(now, n) {
			continue
		}
		if m == u.avoid && p.others(m, n.size) || m == p.heldOn && b != p.heldFor {
			continue
		}
		if best == nil || m.better(best, n) {
			best = m
		}
	}
	return best
}

// others reports whether any minion of the pool but m, and not slower, may run a
// task of a size.
func (p *pool) others(m *minion, s rrtask.Resources) bool {
	for _, o := range p.minions {
		if o != m && o.rank <= m.rank && o.works() && o.able(s) {
			return true
		}
	}
	return false
}

// better reports whether m is the better choice of two open minions: the one
// without accelerators that the task does not need, then the one with more room,
// then the one that was not used for longer. The last spreads the tasks of an idle
// fleet, so that failures can be compared.
func (m *minion) better(o *minion, n need) bool {
	if a, b := m.Capacity.Accelerators > 0, o.Capacity.Accelerators > 0; a != b && n.size.Accelerators == 0 {
		return b
	}
	if a, b := m.busy*o.cap(), o.busy*m.cap(); a != b {
		return a < b
	}
	return m.used < o.used
}

// start sends a unit that was taken out of its batch to a minion.
func (k *Dispatcher) start(now time.Time, b *batch, u unit, m *minion) Dispatch {
	assertStart(now, b, u, m)
	b.phases[u.task] = flying
	b.advance(u.est)
	b.running++
	t := &b.Tasks[u.task]
	m.busy++
	b.line.tenant.busy++
	k.settle(b)
	k.retell(b.line.tenant)
	k.counts.Dispatches++
	m.used = k.counts.Dispatches
	if u.tries > 0 {
		k.counts.Redispatches++
	}
	id := k.flights.add(flight{batch: b, on: m, unit: u, start: now})
	m.worker.Start(now, id, b.label(), t.Resources, k.need(b, u).plan)
	assertRoom(m)
	b.pool.release(b)
	return Dispatch{
		ID:         id,
		Minion:     m.Name,
		Addr:       m.Addr,
		Key:        b.Key,
		Job:        b.Job,
		Tenant:     b.Tenant,
		Class:      b.Class,
		Deadline:   b.Deadline,
		AcceptedAt: b.AcceptedAt,
		DecidedAt:  now,
		Task:       t,
	}
}

// retell moves the lines of a tenant whose limit was just reached or left.
func (k *Dispatcher) retell(t *tenant) {
	if t.limit > 0 && (t.busy == t.limit || t.busy == t.limit-1) {
		t.settle()
	}
}
