package rrdispatcher

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

const (
	maxSkippedBatches = 16                     // batches skipped in one call because their next tasks fit on no worker now
	noMinionsTimeout  = 500 * time.Millisecond // tasks return to the coordinator once their pool has had no usable minion for this long
)

// Dispatch appends the tasks to send now to out, in order of priority, and fills every
// free slot that it can. Call it after every event.
func (d *Dispatcher) Dispatch(now time.Time, out []Dispatch) []Dispatch {
	d.now = now
	d.expireQueued(now)
	d.reestimateDue(now)
	d.updatePenalties(now)
	d.markUnresponsive(now)
	for _, p := range d.pools {
		d.returnIfNoMinions(now, p)
		out = d.fillSlots(now, p, out)
	}
	return out
}

// expireQueued ends the queued tasks whose deadline has passed.
func (d *Dispatcher) expireQueued(now time.Time) {
	for d.deadlines.Len() > 0 && !d.deadlines.At(0).Deadline.After(now) {
		d.returnQueued(now, d.deadlines.At(0), rrcode.DeadlinePassed)
	}
}

// reestimateDue estimates the batches again whose reestimateAt has passed.
func (d *Dispatcher) reestimateDue(now time.Time) {
	for d.reestimates.Len() > 0 && !d.reestimates.At(0).reestimateAt().After(now) {
		b := d.reestimates.At(0)
		d.reestimates.Remove(b.reestimateIndex)
		b.reestimated = true
		b.reestimate(func(t *rrtask.Task) time.Duration {
			return d.RunTimes.Estimate(b.Tenant, b.Class, t.DeclaredRunTime)
		})
		d.reposition(b)
	}
}

// returnIfNoMinions returns all queued tasks of a pool without usable minions: at once
// if the pool has no minions or the zones of all of them are evacuated, and otherwise
// after noMinionsTimeout.
func (d *Dispatcher) returnIfNoMinions(now time.Time, p *pool) {
	if p.queuedTasks == 0 || p.hasUsableMinion() {
		p.noMinionSince = time.Time{}
		return
	}
	if p.noMinionSince.IsZero() {
		p.noMinionSince = now
	}
	code := rrcode.NoMinions
	if p.allEvacuated() {
		code = rrcode.ZoneEvacuated
	}
	if code == rrcode.NoMinions && len(p.minions) > 0 && now.Sub(p.noMinionSince) < noMinionsTimeout {
		return
	}
	for _, b := range d.sortedBatches() {
		if b.pool == p {
			d.returnQueued(now, b, code)
		}
	}
}

// fillSlots dispatches tasks of one pool while slots are free.
func (d *Dispatcher) fillSlots(now time.Time, p *pool, out []Dispatch) []Dispatch {
	if p.queues.Len() == 0 {
		return out
	}
	p.updateSlowdowns(now)
	fast, slow := p.freeSlots(now)
	out = d.fillFast(now, p, fast, out)
	if slow > 0 {
		out = d.fillSlow(now, p, out)
	}
	return out
}

// fillFast dispatches tasks in order of priority. It uses slow minions only for tasks
// that are too large for all others. The argument freeSlots is the number of free slots
// of the minions that are not slow.
func (d *Dispatcher) fillFast(now time.Time, p *pool, freeSlots int, out []Dispatch) []Dispatch {
	var skipped [maxSkippedBatches]*batch
	n := 0
	for freeSlots > 0 && p.queues.Len() > 0 && n < maxSkippedBatches {
		b := p.queues.At(0).batches.At(0)
		if freeSlots <= p.shortJobReserve(now, b) {
			break
		}
		if m, qt := d.matchTask(now, b); m != nil {
			out = append(out, d.dispatchTask(now, b, qt, m))
			freeSlots--
			continue
		}
		if d.returnUnschedulable(now, b) {
			continue
		}
		p.noteBlocked(now, b, d.requirement(b, b.queued[len(b.queued)-1]))
		skipped[n] = b
		n++
		d.removeFromQueue(b)
	}
	for _, b := range skipped[:n] {
		d.reposition(b)
	}
	return out
}

// removeFromQueue removes a batch from its queue for the rest of a call of fillFast.
func (d *Dispatcher) removeFromQueue(b *batch) {
	b.tenantQueue.batches.Remove(b.queueIndex)
	b.tenantQueue.reposition()
}

// maxTasksTried bounds the tasks of a batch that matchTask tries.
const maxTasksTried = 8

// matchTask removes the first task of a batch that fits on a worker now, and returns it
// with the minion. It returns nil if none of the next maxTasksTried tasks fits.
func (d *Dispatcher) matchTask(now time.Time, b *batch) (*minion, queuedTask) {
	last := len(b.queued) - 1
	for i := last; i >= 0 && i > last-maxTasksTried; i-- {
		req := d.requirement(b, b.queued[i])
		if m := b.pool.pickMinion(now, b, b.queued[i], req); m != nil {
			return m, b.takeAt(i)
		}
		if req.declared.IsZero() {
			break
		}
	}
	return nil, queuedTask{}
}

// pickMinion returns the minion for one task of a batch, or nil if none is free. It
// considers slow minions only if no other is large enough, and the minion that refused
// the task last only if no other may run it.
func (p *pool) pickMinion(now time.Time, b *batch, qt queuedTask, req requirement) *minion {
	var best *minion
	slowAllowed := !p.hasLargeEnough(req.declared, true)
	for _, m := range p.minions {
		if m.relativeSlowdown > 0 && !slowAllowed || !m.hasFreeSlot(now) || !m.fits(now, req) {
			continue
		}
		if m == qt.refusedBy && p.hasAlternative(m, req.declared) || m == p.reservedMinion && b != p.reservedFor {
			continue
		}
		if best == nil || m.betterThan(best, req) {
			best = m
		}
	}
	return best
}

// hasAlternative reports whether a minion of the pool other than m, and no slower than
// m, may run a task with these resources.
func (p *pool) hasAlternative(m *minion, declared rrtask.Resources) bool {
	for _, o := range p.minions {
		if o != m && o.relativeSlowdown <= m.relativeSlowdown && o.usable() && o.largeEnough(declared) {
			return true
		}
	}
	return false
}

// betterThan reports whether m is a better choice than o, where both have free slots.
// The minion without accelerators is better for a task that needs none, then the one
// with the smaller share of its slots in use, then the least recently used one. The
// last rule spreads the tasks of an idle fleet over its minions, which makes their
// failures comparable.
func (m *minion) betterThan(o *minion, req requirement) bool {
	if a, b := m.Capacity.Accelerators > 0, o.Capacity.Accelerators > 0; a != b && req.declared.Accelerators == 0 {
		return b
	}
	if a, b := m.inFlight*o.configuredSlots(), o.inFlight*m.configuredSlots(); a != b {
		return a < b
	}
	return m.lastDispatch < o.lastDispatch
}

// dispatchTask dispatches a task that was removed from its batch to a minion.
func (d *Dispatcher) dispatchTask(now time.Time, b *batch, qt queuedTask, m *minion) Dispatch {
	assertDispatch(now, b, qt, m)
	b.statuses[qt.pos] = statusInFlight
	b.subtractWork(qt.estimate)
	b.inFlight++
	t := &b.Tasks[qt.pos]
	m.inFlight++
	b.tenantQueue.tenant.inFlight++
	d.reposition(b)
	d.repositionAtLimit(b.tenantQueue.tenant)
	d.stats.Dispatches++
	m.lastDispatch = d.stats.Dispatches
	if qt.refusals > 0 {
		d.stats.Redispatches++
	}
	id := d.inFlight.add(inFlightDispatch{batch: b, minion: m, task: qt, dispatchedAt: now})
	m.worker.Start(now, id, b.classKey(), t.Resources, d.requirement(b, qt).planned)
	assertCapacity(m)
	b.pool.clearBlocked(b)
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

// repositionAtLimit moves the queues of a tenant that has just reached or left its slot
// limit.
func (d *Dispatcher) repositionAtLimit(t *tenant) {
	if t.slotLimit > 0 && (t.inFlight == t.slotLimit || t.inFlight == t.slotLimit-1) {
		t.repositionQueues()
	}
}
