package rrkeep

import (
	"time"

	"rattanring/core/rrqueue"
)

// pool is what a keeper holds for one service: the minions and the tasks that
// wait for them.
type pool struct {
	service string
	minions []*minion
	lines   rrqueue.Heap[*line] // tenants with waiting tasks, unless at their limit
	queued  int                 // tasks that wait
	backlog [Octaves]time.Duration
	stuck   time.Time // since when no minion takes work while tasks wait; zero otherwise
}

func newPool(service string) *pool {
	p := &pool{service: service}
	p.lines.Less = func(a, b *line) bool {
		if a.rank() != b.rank() {
			return a.rank() < b.rank()
		}
		return a.tenant.name < b.tenant.name
	}
	p.lines.Place = func(l *line, place int) { l.place = place }
	return p
}

// counted is what one batch adds to the totals of its pool.
type counted struct {
	queued int
	work   time.Duration
	octave int
}

// count brings the totals up to date after a batch has changed.
func (p *pool) count(b *batch) {
	p.queued -= b.counted.queued
	p.backlog[b.counted.octave] -= b.counted.work
	b.counted = counted{len(b.units), b.work, b.octave}
	p.queued += b.counted.queued
	p.backlog[b.counted.octave] += b.counted.work
}

// works reports whether any minion of the pool gets work.
func (p *pool) works() bool {
	for _, m := range p.minions {
		if m.works() {
			return true
		}
	}
	return false
}

// line holds the waiting batches of one tenant for one service.
type line struct {
	tenant  *tenant
	pool    *pool
	batches rrqueue.Heap[*batch]
	place   int // in pool.lines; -1 when empty or at the limit
}

func newLine(t *tenant, p *pool) *line {
	l := &line{tenant: t, pool: p, place: -1}
	l.batches.Less = func(a, b *batch) bool {
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return a.Key.before(b.Key)
	}
	l.batches.Place = func(b *batch, place int) { b.place = place }
	return l
}

func (l *line) rank() float64 {
	return l.batches.At(0).rank
}

// settle puts the line where it belongs in its pool after a change.
func (l *line) settle() {
	waits := l.batches.Len() > 0 && !l.tenant.full()
	switch {
	case waits && l.place < 0:
		l.pool.lines.Push(l)
	case waits:
		l.pool.lines.Fix(l.place)
	case l.place >= 0:
		l.pool.lines.Remove(l.place)
	}
}

// tenant holds the limits and the use of one tenant over all services.
type tenant struct {
	name   string
	weight int
	limit  int // slots at a time; zero means no limit
	busy   int // sends in flight
	lines  []*line
}

func (t *tenant) full() bool {
	return t.limit > 0 && t.busy >= t.limit
}

// idle reports whether nothing of the tenant waits or runs.
func (t *tenant) idle() bool {
	if t.busy > 0 {
		return false
	}
	for _, l := range t.lines {
		if l.batches.Len() > 0 {
			return false
		}
	}
	return true
}

// settle moves all lines of the tenant after its limit or use has changed.
func (t *tenant) settle() {
	for _, l := range t.lines {
		l.settle()
	}
}

func (t *tenant) line(p *pool) *line {
	for _, l := range t.lines {
		if l.pool == p {
			return l
		}
	}
	l := newLine(t, p)
	t.lines = append(t.lines, l)
	return l
}

// before orders keys, so that equal ranks start in the same order every run.
func (k Key) before(o Key) bool {
	if k.Entry != o.Entry {
		return k.Entry < o.Entry
	}
	if k.Life != o.Life {
		return k.Life < o.Life
	}
	return k.Seq < o.Seq
}
