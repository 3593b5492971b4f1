package rrdispatcher

import (
	"slices"
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrestimator"
	"rattanring/core/rrheap"
	"rattanring/core/rrtask"
)

// Dispatcher decides what its minions run next. It reads no clock: each call passes
// the time. It is not safe for concurrent use.
type Dispatcher struct {
	RunTimes   *rrestimator.Estimator // shared with the coordinator
	Thresholds rrconf.Thresholds      // active thresholds

	cfg                   rrconf.Config
	fleetSlots            int // slots of the whole fleet
	ownSlots              int // slots of the owned minions
	draining              bool
	listVersion           uint64    // number of calls of SetMinions
	now                   time.Time // of the last Dispatch
	unresponsiveCheckedAt time.Time // of the last check by markUnresponsive
	penaltiesUpdatedAt    time.Time // of the last updatePenalties

	minions           map[string]*minion // owned ones, and unlisted ones until unlistedTTL has passed and their tasks have ended
	owned             []*minion          // sorted by name
	pools             []*pool
	tenants           tenants
	batches           map[BatchKey]*batch
	deadlines         rrheap.Heap[*batch] // batches with queued tasks, by deadline
	reestimates       rrheap.Heap[*batch] // batches to estimate again, by reestimateAt
	inFlight          dispatchTable
	history           batchHistory
	ownerReports      ownerReports
	resourceEstimates rrcapacity.Estimator
	outcomes          []Outcome
	freeBatches       []*batch // for reuse
	stats             Stats
}

// New returns a Dispatcher that has no minions and gives all tenants the same weight.
// If runTimes is nil, it starts with an empty Estimator.
func New(runTimes *rrestimator.Estimator) *Dispatcher {
	if runTimes == nil {
		runTimes = &rrestimator.Estimator{}
	}
	d := &Dispatcher{
		RunTimes: runTimes,
		minions:  make(map[string]*minion),
		batches:  make(map[BatchKey]*batch),
	}
	d.stats.Outcomes = make(map[rrcode.Code]uint64)
	d.deadlines.Less = func(a, b *batch) bool { return a.Deadline.Before(b.Deadline) }
	d.deadlines.SetIndex = func(b *batch, index int) { b.deadlineIndex = index }
	d.reestimates.Less = func(a, b *batch) bool { return a.reestimateAt().Before(b.reestimateAt()) }
	d.reestimates.SetIndex = func(b *batch, index int) { b.reestimateIndex = index }
	d.SetConfig(rrconf.Default(), 0)
	return d
}

// SetConfig activates a configuration. A tenant with a quota gets at most
// quota × owned slots ÷ fleetSlots slots of this Dispatcher, rounded up and at least one.
// Minions of evacuated zones count for no slots and get no more tasks.
func (d *Dispatcher) SetConfig(cfg rrconf.Config, fleetSlots int) {
	oldHalfLife := d.Thresholds.AgingHalfLife
	zonesChanged := !slices.Equal(d.cfg.Evacuated, cfg.Evacuated)
	d.cfg = cfg
	if zonesChanged {
		d.updateEvacuated()
	}
	d.Thresholds = cfg.ActiveThresholds()
	d.fleetSlots = fleetSlots
	changed := oldHalfLife != d.Thresholds.AgingHalfLife
	for _, t := range d.tenants.all {
		weight := t.weight
		d.updateTenant(t)
		changed = changed || t.weight != weight
	}
	if !changed {
		return
	}
	for _, b := range d.sortedBatches() {
		d.reposition(b)
	}
}

// updateTenant sets a tenant's weight and slot limit from the configuration and the
// slots.
func (d *Dispatcher) updateTenant(t *tenant) {
	settings, _ := d.cfg.Tenant(t.name)
	t.weight = max(settings.Weight, 1)
	t.slotLimit = 0
	if settings.Quota > 0 {
		fleetSlots := max(d.fleetSlots, d.ownSlots, 1)
		t.slotLimit = max(1, (settings.Quota*d.ownSlots+fleetSlots-1)/fleetSlots)
	}
	t.repositionQueues()
}

// Add queues a batch. If the key is known, it changes nothing and returns false. A
// draining Dispatcher returns every task at once.
func (d *Dispatcher) Add(now time.Time, in Batch) bool {
	d.history.forgetExpired(now)
	if d.Seen(in.Key) {
		return false
	}
	b := d.newBatch(in)
	d.batches[in.Key] = b
	b.pool.noteShortJob(now, b)
	if d.draining {
		b.dropped = true
		d.returnQueued(now, b, rrcode.Draining)
		return true
	}
	d.reposition(b)
	d.retireIfDone(now, b)
	return true
}

// newBatch returns the state of a new batch, with its tasks in starting order.
func (d *Dispatcher) newBatch(in Batch) *batch {
	b := d.allocBatch()
	*b = batch{Batch: in, queued: b.queued[:0], statuses: b.statuses[:0], minionResults: b.minionResults[:0], queueIndex: -1, deadlineIndex: -1, reestimateIndex: -1}
	b.pool = d.pool(in.Service)
	b.tenantQueue = d.tenant(in.Tenant).queue(b.pool)
	poolSlots := max(b.pool.slots, 1)
	b.queueTasks(max(d.fleetSlots, poolSlots), poolSlots, func(t *rrtask.Task) time.Duration {
		return d.RunTimes.Estimate(in.Tenant, in.Class, t.DeclaredRunTime)
	})
	return b
}

// allocBatch returns a batch from freeBatches, or a new one.
func (d *Dispatcher) allocBatch() *batch {
	n := len(d.freeBatches)
	if n == 0 {
		return &batch{}
	}
	b := d.freeBatches[n-1]
	d.freeBatches = d.freeBatches[:n-1]
	return b
}

func (d *Dispatcher) pool(service string) *pool {
	for _, p := range d.pools {
		if p.service == service {
			return p
		}
	}
	p := newPool(service)
	d.pools = append(d.pools, p)
	return p
}

func (d *Dispatcher) tenant(name string) *tenant {
	t, known := d.tenants.findOrAdd(name)
	if !known {
		d.updateTenant(t)
	}
	return t
}

// reposition updates a batch's priority and its place in the queue and the heaps
// after its queued tasks or its remaining work changed.
func (d *Dispatcher) reposition(b *batch) {
	q := b.tenantQueue
	b.updatePriority(q.tenant.weight, d.Thresholds.AgingHalfLife)
	b.pool.updateTotals(b)
	hasQueued := len(b.queued) > 0
	switch {
	case hasQueued && b.queueIndex < 0:
		q.batches.Push(b)
	case hasQueued:
		q.batches.Fix(b.queueIndex)
	case b.queueIndex >= 0:
		q.batches.Remove(b.queueIndex)
	}
	q.reposition()
	d.updateDeadlineHeaps(b, hasQueued)
	if !hasQueued {
		b.pool.clearBlocked(b)
	}
}

// updateDeadlineHeaps adds a batch with queued tasks and a deadline to the heaps
// deadlines and reestimates, and removes one without queued tasks.
func (d *Dispatcher) updateDeadlineHeaps(b *batch, hasQueued bool) {
	if !hasQueued {
		if b.deadlineIndex >= 0 {
			d.deadlines.Remove(b.deadlineIndex)
		}
		if b.reestimateIndex >= 0 {
			d.reestimates.Remove(b.reestimateIndex)
		}
		return
	}
	if b.Deadline.IsZero() {
		return
	}
	if b.deadlineIndex < 0 {
		d.deadlines.Push(b)
	}
	if b.reestimateIndex < 0 && !b.reestimated {
		d.reestimates.Push(b)
	}
}

// retireIfDone moves a batch without queued and running tasks to the history.
func (d *Dispatcher) retireIfDone(now time.Time, b *batch) {
	if !b.done() {
		return
	}
	d.history.add(now, b)
	delete(d.batches, b.Key)
	if len(d.freeBatches) < maxFreeBatches {
		b.Batch = Batch{}
		b.reclaimed = nil
		d.freeBatches = append(d.freeBatches, b)
	}
}

// maxFreeBatches bounds freeBatches.
const maxFreeBatches = 256

// Seen reports whether a batch was added before, or may have been: once the history has
// forgotten a batch, it reports true for it and all older ones of the same incarnation.
func (d *Dispatcher) Seen(key BatchKey) bool {
	return d.batches[key] != nil || d.history.known(key)
}

// Progress returns how many tasks of a batch are queued and running.
func (d *Dispatcher) Progress(key BatchKey) (queued, running int) {
	b := d.batches[key]
	if b == nil {
		return 0, 0
	}
	return len(b.queued), b.inFlight
}

// Reclaim removes up to maxTasks tasks of a batch that have not started. It returns
// the indexes of all tasks reclaimed so far. A repeated call removes more.
func (d *Dispatcher) Reclaim(now time.Time, key BatchKey, maxTasks int) []int {
	b := d.batches[key]
	if b == nil {
		return d.history.reclaimed(key)
	}
	for n := min(maxTasks, len(b.queued)); n > 0; n-- {
		qt := b.pop()
		b.statuses[qt.pos] = statusEnded
		b.reclaimed = append(b.reclaimed, b.Tasks[qt.pos].Index)
	}
	out := b.reclaimed
	d.reposition(b)
	d.retireIfDone(now, b)
	return out
}

// CancelQueued cancels the tasks of a batch that have not started and returns how
// many. They get no outcomes. Running tasks continue and get outcomes.
func (d *Dispatcher) CancelQueued(now time.Time, key BatchKey) int {
	b := d.batches[key]
	if b == nil {
		return 0
	}
	n := len(b.queued)
	b.dropped = true
	b.clearQueued()
	d.reposition(b)
	d.retireIfDone(now, b)
	return n
}

// SetRemainingWork sets the remaining work of a batch's whole job.
func (d *Dispatcher) SetRemainingWork(now time.Time, key BatchKey, remaining time.Duration) {
	b := d.batches[key]
	if b == nil {
		return
	}
	b.RemainingWork = remaining
	d.reposition(b)
}

// Drain returns all unstarted tasks to their coordinators. Add does the same with the tasks
// of later batches.
func (d *Dispatcher) Drain(now time.Time) {
	d.draining = true
	for _, b := range d.sortedBatches() {
		b.dropped = true
		d.returnQueued(now, b, rrcode.Draining)
	}
}

// returnQueued ends the queued tasks of a batch with a code of rrcode.ClassNotRun.
func (d *Dispatcher) returnQueued(now time.Time, b *batch, code rrcode.Code) {
	for len(b.queued) > 0 {
		d.recordOutcome(b, b.pop(), rrtask.Result{Code: code})
	}
	d.reposition(b)
	d.retireIfDone(now, b)
}

// recordOutcome records the final outcome of one task.
func (d *Dispatcher) recordOutcome(b *batch, qt queuedTask, r rrtask.Result) {
	oneOutcome.Assert(b.statuses[qt.pos] != statusEnded)
	b.statuses[qt.pos] = statusEnded
	r.Index = b.Tasks[qt.pos].Index
	d.stats.Outcomes[r.Code]++
	d.outcomes = append(d.outcomes, Outcome{b.Key, r})
}

// TakeOutcomes appends the outcomes since the last call to out.
func (d *Dispatcher) TakeOutcomes(out []Outcome) []Outcome {
	out = append(out, d.outcomes...)
	clear(d.outcomes)
	d.outcomes = d.outcomes[:0]
	return out
}

// Stats returns the totals. The caller must not change Stats.Outcomes.
func (d *Dispatcher) Stats() Stats {
	return d.stats
}
