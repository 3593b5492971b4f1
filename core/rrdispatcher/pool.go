package rrdispatcher

import (
	"time"

	"rattanring/core/rrheap"
)

// pool is what a keeper holds for one service: the minions and the tasks that
// wait for them.
type pool struct {
	service        string
	minions        []*minion
	slots          int
	queues         rrheap.Heap[*tenantQueue] // tenants with waiting tasks, unless at their limit
	queuedTasks    int                       // tasks that wait
	backlog        [BacklogBuckets]time.Duration
	shortJobAt     time.Time // when a short job was added last
	slowdownsAt    time.Time // when the minions were ranked last
	slowdownsStale bool      // the minions that work have changed since
	usualSlowdown  float64   // speed that counts as usual, octaves
	reservedFor    *batch    // waits for a worker with enough room; nil for none
	reservedMinion *minion   // gets no other task meanwhile
	noMinionSince  time.Time // since when no minion takes work while tasks wait; zero otherwise
}

func newPool(service string) *pool {
	p := &pool{service: service}
	p.queues.Less = func(a, b *tenantQueue) bool {
		if a.priority() != b.priority() {
			return a.priority() < b.priority()
		}
		return a.tenant.name < b.tenant.name
	}
	p.queues.SetIndex = func(l *tenantQueue, index int) { l.index = index }
	return p
}

// poolTotals is what one batch adds to the totals of its pool.
type poolTotals struct {
	queuedTasks int
	queuedWork  time.Duration
	bucket      int
}

// updateTotals brings the totals up to date after a batch has changed.
func (p *pool) updateTotals(b *batch) {
	p.queuedTasks -= b.totals.queuedTasks
	p.backlog[b.totals.bucket] -= b.totals.queuedWork
	b.totals = poolTotals{len(b.queued), b.queuedWork, b.bucket}
	p.queuedTasks += b.totals.queuedTasks
	p.backlog[b.totals.bucket] += b.totals.queuedWork
}

// queuedWork returns the expected run time of all tasks that wait.
func (p *pool) queuedWork() time.Duration {
	var sum time.Duration
	for _, w := range p.backlog {
		sum += w
	}
	return sum
}

// hasUsableMinion reports whether any minion of the pool gets work.
func (p *pool) hasUsableMinion() bool {
	for _, m := range p.minions {
		if m.usable() {
			return true
		}
	}
	return false
}

// Reserve for short jobs.
const (
	maxShortWork      = 2 * time.Second // work of a short job, at most
	shortJobWindow    = 5 * time.Second // slots are kept free for so long after a short job
	maxReserveBacklog = 3 * time.Second // queued work per slot above which none are
	slotsPerReserve   = 48              // slots for each one that is kept free
	minReserveSlots   = 24              // slots of a pool that keeps one free
)

// noteShortJob notes that a short job has come.
func (p *pool) noteShortJob(now time.Time, b *batch) {
	if b.initialWork <= maxShortWork {
		p.shortJobAt = now
	}
}

// shortJobReserve returns how many free slots a batch must leave to short jobs, so that
// the next one does not wait for the end of a long task. A long queue gets them all.
func (p *pool) shortJobReserve(now time.Time, b *batch) int {
	if b.initialWork <= maxShortWork || p.slots < minReserveSlots || now.Sub(p.shortJobAt) > shortJobWindow {
		return 0
	}
	if p.queuedWork() > maxReserveBacklog*time.Duration(p.slots) {
		return 0
	}
	return max(1, p.slots/slotsPerReserve)
}

// freeSlots returns how many tasks may be sent now to minions that are not slow, and
// to slow ones.
func (p *pool) freeSlots(now time.Time) (fast, slow int) {
	for _, m := range p.minions {
		switch {
		case !m.hasFreeSlot(now):
		case m.relativeSlowdown > 0:
			slow += m.maxInFlight() - m.inFlight
		default:
			fast += m.maxInFlight() - m.inFlight
		}
	}
	return fast, slow
}

// tenantQueue holds the waiting batches of one tenant for one service.
type tenantQueue struct {
	tenant  *tenant
	pool    *pool
	batches rrheap.Heap[*batch]
	index   int // in pool.lines; -1 when empty or at the limit
}

func newTenantQueue(t *tenant, p *pool) *tenantQueue {
	q := &tenantQueue{tenant: t, pool: p, index: -1}
	q.batches.Less = func(a, b *batch) bool {
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return a.Key.before(b.Key)
	}
	q.batches.SetIndex = func(b *batch, index int) { b.queueIndex = index }
	return q
}

func (q *tenantQueue) priority() float64 {
	return q.batches.At(0).priority + q.tenant.penalty
}

// reposition puts the line where it belongs in its pool after a change.
func (q *tenantQueue) reposition() {
	runnable := q.batches.Len() > 0 && !q.tenant.atLimit()
	switch {
	case runnable && q.index < 0:
		q.pool.queues.Push(q)
	case runnable:
		q.pool.queues.Fix(q.index)
	case q.index >= 0:
		q.pool.queues.Remove(q.index)
	}
}

// before orders keys, so that equal ranks start in the same order every run.
func (a BatchKey) before(b BatchKey) bool {
	if a.Coordinator != b.Coordinator {
		return a.Coordinator < b.Coordinator
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq < b.Seq
}
