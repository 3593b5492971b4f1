package rrdispatcher

import (
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// reserveDelay is how long later tasks may overtake a task that fits on no worker,
// before a worker is reserved for it.
const reserveDelay = 500 * time.Millisecond

// requirement is the resources that one task needs on a worker.
type requirement struct {
	declared rrtask.Resources // as declared
	planned  rrtask.Resources // corrected by the measured use of the class
}

func (d *Dispatcher) requirement(b *batch, qt queuedTask) requirement {
	declared := b.Tasks[qt.pos].Resources
	if declared.IsZero() {
		return requirement{}
	}
	return requirement{declared, d.resourceEstimates.Estimate(b.classKey(), declared)}
}

func (b *batch) classKey() rrcapacity.ClassKey {
	return rrcapacity.ClassKey{Tenant: b.Tenant, Class: b.Class}
}

// hasLargeEnough reports whether the pool has a minion that is large enough for a task.
// If skipSlow is set, it ignores slow minions.
func (p *pool) hasLargeEnough(declared rrtask.Resources, skipSlow bool) bool {
	if declared.IsZero() {
		return true
	}
	for _, m := range p.minions {
		if m.largeEnough(declared) && !m.evacuated && !m.Draining && !m.drainReported && (!skipSlow || m.relativeSlowdown == 0) {
			return true
		}
	}
	return false
}

// returnUnschedulable returns the next task of a batch to the coordinator if no minion
// of the pool is large enough, and reports whether it did.
func (d *Dispatcher) returnUnschedulable(now time.Time, b *batch) bool {
	last := len(b.queued) - 1
	if b.pool.hasLargeEnough(b.Tasks[b.queued[last].pos].Resources, false) {
		return false
	}
	code := rrcode.Unschedulable
	if b.pool.hasEvacuated(b.Tasks[b.queued[last].pos].Resources) {
		code = rrcode.ZoneEvacuated
	}
	d.recordOutcome(b, b.pop(), rrtask.Result{Code: code})
	d.reposition(b)
	d.retireIfDone(now, b)
	return true
}

// noteBlocked records that the next task of a batch fits on no worker now. After
// reserveDelay it reserves the large enough minion with the fewest dispatches in flight,
// which then gets no other tasks until the task fits. A pool has at most one reservation
// at a time.
func (p *pool) noteBlocked(now time.Time, b *batch, req requirement) {
	if req.declared.IsZero() {
		return
	}
	if b.blockedSince.IsZero() {
		b.blockedSince = now
	}
	if p.reservedFor != nil && p.reservedMinion.usable() || now.Sub(b.blockedSince) < reserveDelay {
		return
	}
	p.reservedFor, p.reservedMinion = nil, nil
	for _, m := range p.minions {
		if m.usable() && m.largeEnough(req.declared) && (p.reservedMinion == nil || m.inFlight < p.reservedMinion.inFlight) {
			p.reservedFor, p.reservedMinion = b, m
		}
	}
}

// clearBlocked ends the wait of a batch for a worker and its reservation.
func (p *pool) clearBlocked(b *batch) {
	b.blockedSince = time.Time{}
	if p.reservedFor == b {
		p.reservedFor, p.reservedMinion = nil, nil
	}
}

// releaseResources frees the resources of an ended dispatch and records the worker's
// report.
func (d *Dispatcher) releaseResources(now time.Time, m *minion, res DispatchResult) {
	m.worker.End(now, res.ID)
	if !res.WorkerUsage.IsZero() {
		m.worker.ObserveUsage(now, res.WorkerUsage, &d.resourceEstimates, m.worker.Len() == m.inFlight)
	}
	if m.inFlight == 0 {
		m.worker.DiscardReport()
	}
}

// TaskCommands appends commands to throttle or stop tasks on overcommitted workers to
// out, at most one for each worker in two seconds. It stops a task only if memory is far
// above the capacity, and only after a task was throttled.
func (d *Dispatcher) TaskCommands(now time.Time, out []TaskCommand) []TaskCommand {
	for _, m := range d.owned {
		if !m.worker.Overcommitted(now) {
			continue
		}
		command, ok := m.overload.Next(now, &m.worker)
		if !ok {
			continue
		}
		if dispatch := d.inFlight.get(command.ID); dispatch != nil {
			task := dispatch.batch.Tasks[dispatch.task.pos].Index
			out = append(out, TaskCommand{Minion: m.Name, Addr: m.Addr, Job: dispatch.batch.Job, TaskIndex: task, Stop: command.Stop})
		}
	}
	return out
}
