package rrdispatcher

import (
	"time"

	"rattanring/core/rrheap"
)

// pool is what a keeper holds for one service: the minions and the tasks that
// wait for them.
type pool struct {
	service string
	minions []*minion
	slots   int
	lines   rrheap.Heap[*line] // tenants with waiting tasks, unless at their limit
	queued  int                // tasks that wait
	backlog [BacklogBuckets]time.Duration
	short   time.Time // when a short job was added last
	paced   time.Time // when the minions were ranked last
	stale   bool      // the minions that work have changed since
	usual   float64   // speed that counts as usual, octaves
	heldFor *batch    // waits for a worker with enough room; nil for none
	heldOn  *minion   // gets no other task meanwhile
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
	p.lines.SetIndex = func(l *line, place int) { l.place = place }
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

// work returns the expected run time of all tasks that wait.
func (p *pool) work() time.Duration {
	var sum time.Duration
	for _, w := range p.backlog {
		sum += w
	}
	return sum
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

// Reserve for short jobs.
const (
	shortWork   = 2 * time.Second // work of a short job, at most
	shortTime   = 5 * time.Second // slots are kept free for so long after a short job
	shortWait   = 3 * time.Second // queued work per slot above which none are
	reserveStep = 48              // slots for each one that is kept free
	reserveMin  = 24              // slots of a pool that keeps one free
)

// noteShort notes that a short job has come.
func (p *pool) noteShort(now time.Time, b *batch) {
	if b.size <= shortWork {
		p.short = now
	}
}

// reserve returns how many free slots a batch must leave to short jobs, so that
// the next one does not wait for the end of a long task. A long queue gets them all.
func (p *pool) reserve(now time.Time, b *batch) int {
	if b.size <= shortWork || p.slots < reserveMin || now.Sub(p.short) > shortTime {
		return 0
	}
	if p.work() > shortWait*time.Duration(p.slots) {
		return 0
	}
	return max(1, p.slots/reserveStep)
}

// free returns how many tasks may be sent now to minions that are not slow, and
// to slow ones.
func (p *pool) free(now time.Time) (fast, slow int) {
	for _, m := range p.minions {
		switch {
		case !m.open(now):
		case m.rank > 0:
			slow += m.room() - m.busy
		default:
			fast += m.room() - m.busy
		}
	}
	return fast, slow
}

// line holds the waiting batches of one tenant for one service.
type line struct {
	tenant  *tenant
	pool    *pool
	batches rrheap.Heap[*batch]
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
	l.batches.SetIndex = func(b *batch, place int) { b.place = place }
	return l
}

func (l *line) rank() float64 {
	return l.batches.At(0).rank + l.tenant.penalty
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

// before orders keys, so that equal ranks start in the same order every run.
func (k BatchKey) before(o BatchKey) bool {
	if k.Coordinator != o.Coordinator {
		return k.Coordinator < o.Coordinator
	}
	if k.Incarnation != o.Incarnation {
		return k.Incarnation < o.Incarnation
	}
	return k.Seq < o.Seq
}
