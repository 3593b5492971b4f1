package rrdispatcher

import (
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// holdTime is how long a task that fits on no worker waits while later ones pass,
// before a worker is kept for it.
const holdTime = 500 * time.Millisecond

// need is what one task takes of a worker.
type need struct {
	size rrtask.Resources // as declared
	plan rrtask.Resources // corrected by what the class used
}

func (k *Dispatcher) need(b *batch, u unit) need {
	size := b.Tasks[u.task].Resources
	if size.IsZero() {
		return need{}
	}
	return need{size, k.sizes.Estimate(b.label(), size)}
}

func (b *batch) label() rrcapacity.ClassKey {
	return rrcapacity.ClassKey{Tenant: b.Tenant, Class: b.Class}
}

// able reports whether any worker of the pool is large enough for a size; with
// fast, only minions that are not slow count.
func (p *pool) able(s rrtask.Resources, fast bool) bool {
	if s.IsZero() {
		return true
	}
	for _, m := range p.minions {
		if m.able(s) && !m.Draining && !m.said && (!fast || m.rank == 0) {
			return true
		}
	}
	return false
}

// misfit hands back the next task of a batch if it fits on no worker here, and
// reports whether it did.
func (k *Dispatcher) misfit(now time.Time, b *batch) bool {
	last := len(b.units) - 1
	if b.pool.able(b.Tasks[b.units[last].task].Resources, false) {
		return false
	}
	k.end(b, b.pop(), rrtask.Result{Code: rrcode.NeverRunnable})
	k.settle(b)
	k.retire(now, b)
	return true
}

// wait notes that the next task of a batch fits on no worker now. After holdTime
// the least busy worker that is large enough takes nothing else until it does.
func (p *pool) wait(now time.Time, b *batch, n need) {
	if n.size.IsZero() {
		return
	}
	if b.blocked.IsZero() {
		b.blocked = now
	}
	if p.heldFor != nil && p.heldOn.works() || now.Sub(b.blocked) < holdTime {
		return
	}
	p.heldFor, p.heldOn = nil, nil
	for _, m := range p.minions {
		if m.works() && m.able(n.size) && (p.heldOn == nil || m.busy < p.heldOn.busy) {
			p.heldFor, p.heldOn = b, m
		}
	}
}

// release ends the wait of a batch for a worker.
func (p *pool) release(b *batch) {
	b.blocked = time.Time{}
	if p.heldFor == b {
		p.heldFor, p.heldOn = nil, nil
	}
}

// vacate frees what an ended send took of its worker and takes in the report.
func (k *Dispatcher) vacate(now time.Time, m *minion, f DispatchResult) {
	m.worker.End(now, f.ID)
	if !f.WorkerUsage.IsZero() {
		m.worker.ObserveUsage(now, f.WorkerUsage, &k.sizes, m.worker.Len() == m.busy)
	}
	if m.busy == 0 {
		m.worker.DiscardReport()
	}
}

// TaskCommands appends requests to throttle or stop tasks on overfull workers, at most
// one for each worker in two seconds. Only memory far above the capacity stops a
// task, and only after one was throttled.
func (k *Dispatcher) TaskCommands(now time.Time, out []TaskCommand) []TaskCommand {
	for _, m := range k.order {
		if !m.worker.Overcommitted(now) {
			continue
		}
		o, ok := m.relief.Next(now, &m.worker)
		if !ok {
			continue
		}
		if f := k.flights.get(o.TaskID); f != nil {
			task := f.batch.Tasks[f.unit.task].Index
			out = append(out, TaskCommand{Minion: m.Name, Addr: m.Addr, Job: f.batch.Job, TaskIndex: task, Stop: o.Stop})
		}
	}
	return out
}
