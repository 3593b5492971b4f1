package rrdispatcher

import (
	"math"
	"slices"
	"time"
)

// paceTime is the time between two rankings of the minions by speed.
const paceTime = 250 * time.Millisecond

// pace ranks the minions of a pool by speed against the faster third of them, and
// ends the limits of adopted ones.
func (p *pool) pace(now time.Time) {
	for _, m := range p.minions {
		m.retreat.ease(now, m.cap())
	}
	since := now.Sub(p.paced)
	if since < paceTime && !p.stale {
		return
	}
	p.paced = now
	p.stale = false
	speeds := make([]float64, 0, len(p.minions))
	for _, m := range p.minions {
		m.speed.Decay(min(since, time.Minute))
		if m.works() {
			speeds = append(speeds, m.speed.Log2())
		}
	}
	if len(speeds) == 0 {
		return
	}
	slices.Sort(speeds)
	p.usual = speeds[(len(speeds)-1)/4]
	for _, m := range p.minions {
		m.rank = max(0, int(math.Round(m.speed.Log2()-p.usual)))
	}
}

// factor returns how many times as long as on its peers tasks take on the minion.
func (m *minion) factor() float64 {
	return math.Exp2(m.speed.Log2() - m.pool.usual)
}

// fillSlow gives slots of slow minions the short tasks that end there no later
// than they would by waiting for a better slot.
func (k *Dispatcher) fillSlow(now time.Time, p *pool, out []Dispatch) []Dispatch {
	for _, m := range p.minions {
		for m.rank > 0 && m.open(now) && p.lines.Len() > 0 {
			b := k.patient(now, p, m)
			if b == nil {
				break
			}
			out = append(out, k.start(now, b, b.takeShort(), m))
		}
	}
	return out
}

// maxPatient bounds the lines in which a batch for a slow minion is looked for.
const maxPatient = 4

// patient returns a batch whose shortest task may run on a slow minion: the first
// in order, or one that is far back in its line. It returns nil when there is none.
func (k *Dispatcher) patient(now time.Time, p *pool, m *minion) *batch {
	slots := time.Duration(max(p.fast(), 1))
	head := p.lines.At(0).batches.At(0)
	if k.bears(now, head, m, max(head.RemainingWork/time.Duration(max(k.fleet, int(slots))), head.work/slots)) {
		return head
	}
	for i := range min(p.lines.Len(), maxPatient) {
		l := p.lines.At(p.lines.Len() - 1 - i)
		b := l.batches.At(l.batches.Len() - 1)
		if k.bears(now, b, m, p.work()/slots) {
			return b
		}
	}
	return nil
}

// fast returns the slots of the minions that work and are not slow.
func (p *pool) fast() int {
	n := 0
	for _, m := range p.minions {
		if m.rank == 0 && m.works() {
			n += m.cap()
		}
	}
	return n
}

// bears reports whether the shortest task of a batch may run on a slow minion when
// it would otherwise start after a wait.
func (k *Dispatcher) bears(now time.Time, b *batch, m *minion, wait time.Duration) bool {
	over := m.factor() - 1
	if float64(b.least)*over > float64(wait) {
		return false
	}
	u := b.units[b.shortest()]
	n := k.need(b, u)
	if u.avoid == m && b.pool.others(m, n.size) || !m.fits(now, n) {
		return false
	}
	return float64(u.est)*over <= float64(wait)
}
