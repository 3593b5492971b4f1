package rrdispatcher

import (
	"math"
	"slices"
	"time"
)

// slowdownInterval is the time between two updates of the minions' relative slowdowns.
const slowdownInterval = 250 * time.Millisecond

// updateSlowdowns updates the relative slowdowns of a pool's minions. The lower quartile
// of the usable ones counts as normal. It also ends the ramps of minions taken over.
func (p *pool) updateSlowdowns(now time.Time) {
	for _, m := range p.minions {
		m.limiter.endRamp(now, m.configuredSlots())
	}
	since := now.Sub(p.slowdownsAt)
	if since < slowdownInterval && !p.slowdownsStale {
		return
	}
	p.slowdownsAt = now
	p.slowdownsStale = false
	slowdowns := make([]float64, 0, len(p.minions))
	for _, m := range p.minions {
		m.slowdown.Decay(min(since, time.Minute))
		if m.usable() {
			slowdowns = append(slowdowns, m.slowdown.Log2())
		}
	}
	if len(slowdowns) == 0 {
		return
	}
	slices.Sort(slowdowns)
	p.normalSlowdownLog2 = slowdowns[(len(slowdowns)-1)/4]
	for _, m := range p.minions {
		m.relativeSlowdown = max(0, int(math.Round(m.slowdown.Log2()-p.normalSlowdownLog2)))
	}
}

// slowdownFactor returns the run time of tasks on the minion ÷ that on its peers.
func (m *minion) slowdownFactor() float64 {
	return math.Exp2(m.slowdown.Log2() - m.pool.normalSlowdownLog2)
}

// fillSlow dispatches short tasks to slow minions if they end there no later than they
// would by waiting for a faster minion.
func (d *Dispatcher) fillSlow(now time.Time, p *pool, out []Dispatch) []Dispatch {
	for _, m := range p.minions {
		for m.relativeSlowdown > 0 && m.hasFreeSlot(now) && p.queues.Len() > 0 {
			b := d.slowMinionCandidate(now, p, m)
			if b == nil {
				break
			}
			out = append(out, d.dispatchTask(now, b, b.takeShortest(), m))
		}
	}
	return out
}

// maxSlowCandidates bounds the queues that slowMinionCandidate searches.
const maxSlowCandidates = 4

// slowMinionCandidate returns a batch whose shortest task may run on a slow minion: the
// first in order, or one near the end of its queue. It returns nil if there is none.
func (d *Dispatcher) slowMinionCandidate(now time.Time, p *pool, m *minion) *batch {
	slots := time.Duration(max(p.fastSlots(), 1))
	head := p.queues.At(0).batches.At(0)
	if d.acceptsSlowMinion(now, head, m, max(head.RemainingWork/time.Duration(max(d.fleetSlots, int(slots))), head.queuedWork/slots)) {
		return head
	}
	for i := range min(p.queues.Len(), maxSlowCandidates) {
		q := p.queues.At(p.queues.Len() - 1 - i)
		b := q.batches.At(q.batches.Len() - 1)
		if d.acceptsSlowMinion(now, b, m, p.queuedWork()/slots) {
			return b
		}
	}
	return nil
}

// fastSlots returns the slots of the usable minions that are not slow.
func (p *pool) fastSlots() int {
	n := 0
	for _, m := range p.minions {
		if m.relativeSlowdown == 0 && m.usable() {
			n += m.configuredSlots()
		}
	}
	return n
}

// acceptsSlowMinion reports whether the shortest task of a batch may run on a slow
// minion. The argument wait is the expected wait for a faster one, which must be at least
// the extra run time on the slow one.
func (d *Dispatcher) acceptsSlowMinion(now time.Time, b *batch, m *minion, wait time.Duration) bool {
	extraFactor := m.slowdownFactor() - 1
	if float64(b.minEstimate)*extraFactor > float64(wait) {
		return false
	}
	qt := b.queued[b.shortestIndex()]
	req := d.requirement(b, qt)
	if qt.refusedBy == m && b.pool.hasAlternative(m, req.declared) || !m.fits(now, req) {
		return false
	}
	return float64(qt.estimate)*extraFactor <= float64(wait)
}
