package rrdispatcher

import (
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// reserveDelay is how long a task that fits on no worker waits while later ones pass,
// before a worker is kept for it.
const reserveDelay = 500 * time.Millisecond

// requirement is what one task takes of a worker.
type requirement struct {
	declared rrtask.Resources // as declared
	planned  rrtask.Resources // corrected by what the class used
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

// hasLargeEnough reports whether any worker of the pool is large enough for a size; with
// fast, only minions that are not slow count.
func (p *pool) hasLargeEnough(s rrtask.Resources, skipSlow bool) bool {
	if s.IsZero() {
		return true
	}
	for _, m := range p.minions {
		if m.largeEnough(s) && !m.Draining && !m.drainReported && (!skipSlow || m.relativeSlowdown == 0) {
			return true
		}
	}
	return false
}

// returnUnschedulable hands back the next task of a batch if it fits on no worker here, and
// reports whether it did.
func (d *Dispatcher) returnUnschedulable(now time.Time, b *batch) bool {
	last := len(b.queued) - 1
	if b.pool.hasLargeEnough(b.Tasks[b.queued[last].pos].Resources, false) {
		return false
	}
	d.recordOutcome(b, b.pop(), rrtask.Result{Code: rrcode.NeverRunnable})
	d.reposition(b)
	d.retireIfDone(now, b)
	return true
}

// noteBlocked notes that the next task of a batch fits on no worker now. After holdTime
// the least busy worker that is large enough takes nothing else until it does.
func (p *pool) noteBlocked(now time.Time, b *batch, n requirement) {
	if n.declared.IsZero() {
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
		if m.usable() && m.largeEnough(n.declared) && (p.reservedMinion == nil || m.inFlight < p.reservedMinion.inFlight) {
			p.reservedFor, p.reservedMinion = b, m
		}
	}
}

// clearBlocked ends the wait of a batch for a worker.
func (p *pool) clearBlocked(b *batch) {
	b.blockedSince = time.Time{}
	if p.reservedFor == b {
		p.reservedFor, p.reservedMinion = nil, nil
	}
}

// releaseResources frees what an ended send took of its worker and takes in the report.
func (d *Dispatcher) releaseResources(now time.Time, m *minion, res DispatchResult) {
	m.worker.End(now, res.ID)
	if !res.WorkerUsage.IsZero() {
		m.worker.ObserveUsage(now, res.WorkerUsage, &d.resourceEstimates, m.worker.Len() == m.inFlight)
	}
	if m.inFlight == 0 {
		m.worker.DiscardReport()
	}
}

// TaskCommands appends requests to throttle or stop tasks on overfull workers, at most
// one for each worker in two seconds. Only memory far above the capacity stops a
// task, and only after one was throttled.
func (d *Dispatcher) TaskCommands(now time.Time, out []TaskCommand) []TaskCommand {
	for _, m := range d.owned {
		if !m.worker.Overcommitted(now) {
			continue
		}
		o, ok := m.overload.Next(now, &m.worker)
		if !ok {
			continue
		}
		if f := d.inFlight.get(o.TaskID); f != nil {
			task := f.batch.Tasks[f.task.pos].Index
			out = append(out, TaskCommand{Minion: m.Name, Addr: m.Addr, Job: f.batch.Job, TaskIndex: task, Stop: o.Stop})
		}
	}
	return out
}
