package rrdispatcher

import (
	"time"

	"rattanring/core/rrcapacity"
	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrestimator"
	"rattanring/core/rrheap"
	"rattanring/core/rrtask"
)

// Dispatcher decides what its minions run next. It holds no clock: each call carries
// the time. It is not safe for concurrent use.
type Dispatcher struct {
	RunTimes *rrestimator.Estimator // run times; shared with the coordinator
	Rules    rrconf.Thresholds      // thresholds in force

	cfg     rrconf.Config
	fleet   int // slots of the whole fleet
	slots   int // slots of the kept minions
	leaving bool
	listing uint64    // number of the last SetMinions
	now     time.Time // of the last Dispatch
	stalled time.Time // when stalled minions were looked for last
	shared  time.Time // when the shares of tenants were looked at last

	minions  map[string]*minion // kept ones, and vanished ones that still run tasks
	order    []*minion          // kept ones by name
	pools    []*pool
	tenants  tenants
	batches  map[BatchKey]*batch
	due      rrheap.Heap[*batch] // batches with waiting tasks by deadline
	late     rrheap.Heap[*batch] // those to be estimated again, by the time of that
	flights  flights
	past     past
	heard    heard
	sizes    rrcapacity.Estimator
	outcomes []Outcome
	spare    []*batch // records for reuse
	counts   Stats
}

// New returns a keeper without minions that serves every tenant alike. A nil
// table starts an empty one.
func New(learn *rrestimator.Estimator) *Dispatcher {
	if learn == nil {
		learn = &rrestimator.Estimator{}
	}
	k := &Dispatcher{
		RunTimes: learn,
		minions:  make(map[string]*minion),
		batches:  make(map[BatchKey]*batch),
	}
	k.counts.Outcomes = make(map[rrcode.Code]uint64)
	k.due.Less = func(a, b *batch) bool { return a.Deadline.Before(b.Deadline) }
	k.due.SetIndex = func(b *batch, place int) { b.due = place }
	k.late.Less = func(a, b *batch) bool { return a.reviewAt().Before(b.reviewAt()) }
	k.late.SetIndex = func(b *batch, place int) { b.late = place }
	k.SetConfig(rrconf.Default(), 0)
	return k
}

// SetConfig puts a configuration in force. The keeper enforces each quota times
// its share of fleetSlots, at least one slot.
func (k *Dispatcher) SetConfig(cfg rrconf.Config, fleetSlots int) {
	ageing := k.Rules.AgingHalfLife
	k.cfg = cfg
	k.Rules = cfg.ActiveThresholds()
	k.fleet = fleetSlots
	moved := ageing != k.Rules.AgingHalfLife
	for _, t := range k.tenants.all {
		weight := t.weight
		k.limit(t)
		moved = moved || t.weight != weight
	}
	if !moved {
		return
	}
	for _, b := range k.sorted() {
		k.settle(b)
	}
}

// limit sets a tenant's weight and limit from the configuration.
func (k *Dispatcher) limit(t *tenant) {
	entry, _ := k.cfg.Tenant(t.name)
	t.weight = max(entry.Weight, 1)
	t.limit = 0
	if entry.Quota > 0 {
		fleet := max(k.fleet, k.slots, 1)
		t.limit = max(1, (entry.Quota*k.slots+fleet-1)/fleet)
	}
	t.settle()
}

// Add queues a batch. It returns false when the key is known, and changes nothing
// then. A leaving keeper hands every task back at once.
func (k *Dispatcher) Add(now time.Time, in Batch) bool {
	k.past.forget(now)
	if k.Seen(in.Key) {
		return false
	}
	b := k.record(in)
	k.batches[in.Key] = b
	b.pool.noteShort(now, b)
	if k.leaving {
		b.dropped = true
		k.handBack(now, b, rrcode.Draining)
		return true
	}
	k.settle(b)
	k.retire(now, b)
	return true
}

// record returns a filled record for a batch, with its tasks in starting order.
func (k *Dispatcher) record(in Batch) *batch {
	b := k.blank()
	*b = batch{Batch: in, units: b.units[:0], phases: b.phases[:0], tallies: b.tallies[:0], place: -1, due: -1, late: -1}
	b.pool = k.pool(in.Service)
	b.line = k.tenant(in.Tenant).line(b.pool)
	own := max(b.pool.slots, 1)
	b.queue(max(k.fleet, own), own, func(t *rrtask.Task) time.Duration {
		return k.RunTimes.Estimate(in.Tenant, in.Class, t.DeclaredRunTime)
	})
	return b
}

// blank returns a record for reuse, or a new one.
func (k *Dispatcher) blank() *batch {
	n := len(k.spare)
	if n == 0 {
		return &batch{}
	}
	b := k.spare[n-1]
	k.spare = k.spare[:n-1]
	return b
}

func (k *Dispatcher) pool(service string) *pool {
	for _, p := range k.pools {
		if p.service == service {
			return p
		}
	}
	p := newPool(service)
	k.pools = append(k.pools, p)
	return p
}

func (k *Dispatcher) tenant(name string) *tenant {
	t, known := k.tenants.find(name)
	if !known {
		k.limit(t)
	}
	return t
}

// settle puts a batch where it belongs after its waiting tasks or rank changed.
func (k *Dispatcher) settle(b *batch) {
	l := b.line
	b.score(l.tenant.weight, k.Rules.AgingHalfLife)
	b.pool.count(b)
	waits := len(b.units) > 0
	switch {
	case waits && b.place < 0:
		l.batches.Push(b)
	case waits:
		l.batches.Fix(b.place)
	case b.place >= 0:
		l.batches.Remove(b.place)
	}
	l.settle()
	k.remind(b, waits)
	if !waits {
		b.pool.release(b)
	}
}

// remind keeps a batch with waiting tasks in the heaps of deadlines and reviews.
func (k *Dispatcher) remind(b *batch, waits bool) {
	if !waits {
		if b.due >= 0 {
			k.due.Remove(b.due)
		}
		if b.late >= 0 {
			k.late.Remove(b.late)
		}
		return
	}
	if b.Deadline.IsZero() {
		return
	}
	if b.due < 0 {
		k.due.Push(b)
	}
	if b.late < 0 && !b.reviewed {
		k.late.Push(b)
	}
}

// retire moves a batch with nothing left to the past.
func (k *Dispatcher) retire(now time.Time, b *batch) {
	if !b.over() {
		return
	}
	k.past.add(now, b)
	delete(k.batches, b.Key)
	if len(k.spare) < maxSpare {
		b.Batch = Batch{}
		b.returned = nil
		k.spare = append(k.spare, b)
	}
}

// maxSpare bounds the records kept for reuse.
const maxSpare = 256

// Seen reports whether a batch was added, or is too old to tell.
func (k *Dispatcher) Seen(key BatchKey) bool {
	return k.batches[key] != nil || k.past.known(key)
}

// Progress returns how many tasks of a batch wait and run.
func (k *Dispatcher) Progress(key BatchKey) (queued, running int) {
	b := k.batches[key]
	if b == nil {
		return 0, 0
	}
	return len(b.units), b.running
}

// Reclaim removes up to most tasks of a batch that have not started and returns the
// indexes of all tasks given back so far. A repeated call removes more.
func (k *Dispatcher) Reclaim(now time.Time, key BatchKey, most int) []int {
	b := k.batches[key]
	if b == nil {
		return k.past.returned(key)
	}
	for n := min(most, len(b.units)); n > 0; n-- {
		u := b.pop()
		b.phases[u.task] = ended
		b.returned = append(b.returned, b.Tasks[u.task].Index)
	}
	out := b.returned
	k.settle(b)
	k.retire(now, b)
	return out
}

// CancelQueued cancels the tasks of a batch that have not started, without outcomes, and
// returns how many. Running tasks go on and have outcomes.
func (k *Dispatcher) CancelQueued(now time.Time, key BatchKey) int {
	b := k.batches[key]
	if b == nil {
		return 0
	}
	n := len(b.units)
	b.dropped = true
	b.clear()
	k.settle(b)
	k.retire(now, b)
	return n
}

// SetRemainingWork sets the remaining work of the whole job that a batch belongs to.
func (k *Dispatcher) SetRemainingWork(now time.Time, key BatchKey, rest time.Duration) {
	b := k.batches[key]
	if b == nil {
		return
	}
	b.RemainingWork = rest
	k.settle(b)
}

// Drain hands back all tasks that have not started. Later batches are handed back
// at once.
func (k *Dispatcher) Drain(now time.Time) {
	k.leaving = true
	for _, b := range k.sorted() {
		b.dropped = true
		k.handBack(now, b, rrcode.Draining)
	}
}

// handBack ends the waiting tasks of a batch with a code of the class not run.
func (k *Dispatcher) handBack(now time.Time, b *batch, code rrcode.Code) {
	for len(b.units) > 0 {
		k.end(b, b.pop(), rrtask.Result{Code: code})
	}
	k.settle(b)
	k.retire(now, b)
}

// end records the final outcome of one task.
func (k *Dispatcher) end(b *batch, u unit, r rrtask.Result) {
	oneOutcome.Assert(b.phases[u.task] != ended)
	b.phases[u.task] = ended
	r.Index = b.Tasks[u.task].Index
	k.counts.Outcomes[r.Code]++
	k.outcomes = append(k.outcomes, Outcome{b.Key, r})
}

// TakeOutcomes appends the outcomes since the last call.
func (k *Dispatcher) TakeOutcomes(out []Outcome) []Outcome {
	out = append(out, k.outcomes...)
	clear(k.outcomes)
	k.outcomes = k.outcomes[:0]
	return out
}

// Stats returns the totals. The caller must not change the map.
func (k *Dispatcher) Stats() Stats {
	return k.counts
}
