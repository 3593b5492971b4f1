package rrdispatcher

import (
	"time"

	"rattanring/core/rrheap"
)

// pool holds the minions of one service and the tasks that wait for them.
type pool struct {
	service            string
	minions            []*minion
	slots              int
	queues             rrheap.Heap[*tenantQueue] // of tenants with queued tasks and below their slot limit
	queuedTasks        int                       // of all tenants
	backlog            [BacklogBuckets]time.Duration
	shortJobAt         time.Time // when a short job was added last
	slowdownsAt        time.Time // of the last update by updateSlowdowns
	slowdownsStale     bool      // the usable minions have changed since slowdownsAt
	normalSlowdownLog2 float64   // log2 of the slowdown that counts as normal
	reservedFor        *batch    // waits for a worker with enough free resources; nil for none
	reservedMinion     *minion   // gets tasks of reservedFor only
	noMinionSince      time.Time // since when tasks wait and no minion is usable; zero otherwise
}

func newPool(service string) *pool {
	p := &pool{service: service}
	p.queues.Less = func(a, b *tenantQueue) bool {
		if a.priority() != b.priority() {
			return a.priority() < b.priority()
		}
		return a.tenant.name < b.tenant.name
	}
	p.queues.SetIndex = func(q *tenantQueue, index int) { q.index = index }
	return p
}

// poolTotals is what one batch adds to the queuedTasks and the backlog of its pool.
type poolTotals struct {
	queuedTasks int
	queuedWork  time.Duration
	bucket      int
}

// updateTotals updates queuedTasks and backlog after a batch has changed.
func (p *pool) updateTotals(b *batch) {
	p.queuedTasks -= b.totals.queuedTasks
	p.backlog[b.totals.bucket] -= b.totals.queuedWork
	b.totals = poolTotals{len(b.queued), b.queuedWork, b.bucket}
	p.queuedTasks += b.totals.queuedTasks
	p.backlog[b.totals.bucket] += b.totals.queuedWork
}

// queuedWork returns the expected run time of all queued tasks.
func (p *pool) queuedWork() time.Duration {
	var sum time.Duration
	for _, w := range p.backlog {
		sum += w
	}
	return sum
}

// hasUsableMinion reports whether any minion of the pool is usable.
func (p *pool) hasUsableMinion() bool {
	for _, m := range p.minions {
		if m.usable() {
			return true
		}
	}
	return false
}

// Slots that are kept free for short jobs.
const (
	maxShortWork      = 2 * time.Second // greatest work of a short job
	shortJobWindow    = 5 * time.Second // how long slots are kept free after a short job was added
	maxReserveBacklog = 3 * time.Second // queued work per slot above which no slot is kept free
	slotsPerReserve   = 48              // slots of the pool per slot kept free
	minReserveSlots   = 24              // slots of the smallest pool that keeps one free
)

// noteShortJob records when a batch of a short job is added.
func (p *pool) noteShortJob(now time.Time, b *batch) {
	if b.initialWork <= maxShortWork {
		p.shortJobAt = now
	}
}

// shortJobReserve returns how many free slots a batch must leave to short jobs, which
// then need not wait for a long task to end. With a long queue, no slot is left free.
func (p *pool) shortJobReserve(now time.Time, b *batch) int {
	if b.initialWork <= maxShortWork || p.slots < minReserveSlots || now.Sub(p.shortJobAt) > shortJobWindow {
		return 0
	}
	if p.queuedWork() > maxReserveBacklog*time.Duration(p.slots) {
		return 0
	}
	return max(1, p.slots/slotsPerReserve)
}

// freeSlots returns how many tasks may be dispatched now to minions that are not slow
// (fast) and to slow ones.
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

// tenantQueue holds the batches of one tenant with queued tasks for one service.
type tenantQueue struct {
	tenant  *tenant
	pool    *pool
	batches rrheap.Heap[*batch]
	index   int // in pool.queues; -1 when empty or when the tenant is at its slot limit
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

// reposition adds, moves or removes the queue in the pool's heap after a change.
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

// before reports whether a sorts before b. It makes batches of equal priority start in
// the same order in every run.
func (a BatchKey) before(b BatchKey) bool {
	if a.Coordinator != b.Coordinator {
		return a.Coordinator < b.Coordinator
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq < b.Seq
}
