package rrkeep

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrlearn"
	"rattanring/core/rrqueue"
	"rattanring/core/rrsize"
	"rattanring/core/rrtask"
)

// Keeper decides what its minions run next. It holds no clock: each call carries
// the time. It is not safe for concurrent use.
type Keeper struct {
	Learn *rrlearn.Table // run times; shared with the coordinator
	Rules rrconf.Rules   // thresholds in force

	cfg     rrconf.Config
	fleet   int // slots of the whole fleet
	slots   int // slots of the kept minions
	leaving bool
	listing uint64    // number of the last SetMinions
	now     time.Time // of the last Next
	stalled time.Time // when stalled minions were looked for last
	shared  time.Time // when the shares of tenants were looked at last

	minions  map[string]*minion // kept ones, and vanished ones that still run tasks
	order    []*minion          // kept ones by name
	pools    []*pool
	tenants  tenants
	batches  map[Key]*batch
	due      rrqueue.Heap[*batch] // batches with waiting tasks by deadline
	late     rrqueue.Heap[*batch] // those to be estimated again, by the time of that
	flights  flights
	past     past
	heard    heard
	sizes    rrsize.Table
	outcomes []Outcome
	spare    []*batch // records for reuse
	counts   Counts
}

// New returns a keeper without minions that serves every tenant alike. A nil
// table starts an empty one.
func New(learn *rrlearn.Table) *Keeper {
	if learn == nil {
		learn = &rrlearn.Table{}
	}
	k := &Keeper{
		Learn:   learn,
		minions: make(map[string]*minion),
		batches: make(map[Key]*batch),
	}
	k.counts.Finished = make(map[rrcode.Code]uint64)
	k.due.Less = func(a, b *batch) bool { return a.Deadline.Before(b.Deadline) }
	k.due.Place = func(b *batch, place int) { b.due = place }
	k.late.Less = func(a, b *batch) bool { return a.reviewAt().Before(b.reviewAt()) }
	k.late.Place = func(b *batch, place int) { b.late = place }
	k.SetConfig(rrconf.Default(), 0)
	return k
}

// SetConfig puts a configuration in force. The keeper enforces each quota times
// its share of fleetSlots, at least one slot.
func (k *Keeper) SetConfig(cfg rrconf.Config, fleetSlots int) {
	ageing := k.Rules.Ageing
	k.cfg = cfg
	k.Rules = cfg.InForce()
	k.fleet = fleetSlots
	moved := ageing != k.Rules.Ageing
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
func (k *Keeper) limit(t *tenant) {
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
func (k *Keeper) Add(now time.Time, in Batch) bool {
	k.past.forget(now)
	if k.Known(in.Key) {
		return false
	}
	b := k.record(in)
	k.batches[in.Key] = b
	b.pool.noteShort(now, b)
	if k.leaving {
		b.dropped = true
		k.handBack(now, b, rrcode.Leaving)
		return true
	}
	k.settle(b)
	k.retire(now, b)
	return true
}

// record returns a filled record for a batch, with its tasks in starting order.
func (k *Keeper) record(in Batch) *batch {
	b := k.blank()
	*b = batch{Batch: in, units: b.units[:0], phases: b.phases[:0], tallies: b.tallies[:0], place: -1, due: -1, late: -1}
	b.pool = k.pool(in.Service)
	b.line = k.tenant(in.Tenant).line(b.pool)
	own := max(b.pool.slots, 1)
	b.queue(max(k.fleet, own), own, func(t *rrtask.Task) time.Duration {
		return k.Learn.Estimate(in.Tenant, in.Class, t.Expect)
	})
	return b
}

// blank returns a record for reuse, or a new one.
func (k *Keeper) blank() *batch {
	n := len(k.spare)
	if n == 0 {
		return &batch{}
	}
	b := k.spare[n-1]
	k.spare = k.spare[:n-1]
	return b
}

func (k *Keeper) pool(service string) *pool {
	for _, p := range k.pools {
		if p.service == service {
			return p
		}
	}
	p := newPool(service)
	k.pools = append(k.pools, p)
	return p
}

func (k *Keeper) tenant(name string) *tenant {
	t, known := k.tenants.find(name)
	if !known {
		k.limit(t)
	}
	return t
}

// settle puts a batch where it belongs after its waiting tasks or rank changed.
func (k *Keeper) settle(b *batch) {
	l := b.line
	b.score(l.tenant.weight, k.Rules.Ageing)
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
func (k *Keeper) remind(b *batch, waits bool) {
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
func (k *Keeper) retire(now time.Time, b *batch) {
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

// Known reports whether a batch was added, or is too old to tell.
func (k *Keeper) Known(key Key) bool {
	return k.batches[key] != nil || k.past.known(key)
}

// Progress returns how many tasks of a batch wait and run.
func (k *Keeper) Progress(key Key) (queued, running int) {
	b := k.batches[key]
	if b == nil {
		return 0, 0
	}
	return len(b.units), b.running
}

// Take removes up to most tasks of a batch that have not started and returns the
// indexes of all tasks given back so far. A repeated call removes more.
func (k *Keeper) Take(now time.Time, key Key, most int) []int {
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

// Drop cancels the tasks of a batch that have not started, without outcomes, and
// returns how many. Running tasks go on and have outcomes.
func (k *Keeper) Drop(now time.Time, key Key) int {
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

// Rest sets the remaining work of the whole job that a batch belongs to.
func (k *Keeper) Rest(now time.Time, key Key, rest time.Duration) {
	b := k.batches[key]
	if b == nil {
		return
	}
	b.Rest = rest
	k.settle(b)
}

// Leave hands back all tasks that have not started. Later batches are handed back
// at once.
func (k *Keeper) Leave(now time.Time) {
	k.leaving = true
	for _, b := range k.sorted() {
		b.dropped = true
		k.handBack(now, b, rrcode.Leaving)
	}
}

// handBack ends the waiting tasks of a batch with a code of the class not run.
func (k *Keeper) handBack(now time.Time, b *batch, code rrcode.Code) {
	for len(b.units) > 0 {
		k.end(b, b.pop(), rrtask.Result{Code: code})
	}
	k.settle(b)
	k.retire(now, b)
}

// end records the final outcome of one task.
func (k *Keeper) end(b *batch, u unit, r rrtask.Result) {
	oneOutcome.Assert(b.phases[u.task] != ended)
	b.phases[u.task] = ended
	r.Index = b.Tasks[u.task].Index
	k.counts.Finished[r.Code]++
	k.outcomes = append(k.outcomes, Outcome{b.Key, r})
}

// Outcomes appends the outcomes since the last call.
func (k *Keeper) Outcomes(out []Outcome) []Outcome {
	out = append(out, k.outcomes...)
	clear(k.outcomes)
	k.outcomes = k.outcomes[:0]
	return out
}

// Counts returns the totals. The caller must not change the map.
func (k *Keeper) Counts() Counts {
	return k.counts
}
