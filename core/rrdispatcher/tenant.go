package rrdispatcher

import (
	"math"
	"slices"
	"time"
)

// tenant holds the limits and the use of one tenant for all services.
type tenant struct {
	name      string
	weight    int
	slotLimit int // slots at a time; zero means no limit
	inFlight  int // dispatches in flight
	queues    []*tenantQueue
	recentUse float64 // slot seconds, decaying with useHalfLife
	penalty   float64 // added to the log2 priority of every batch
}

func (t *tenant) atLimit() bool {
	return t.slotLimit > 0 && t.inFlight >= t.slotLimit
}

// idle reports whether no task of the tenant is queued or in flight.
func (t *tenant) idle() bool {
	return t.inFlight == 0 && !t.hasQueued()
}

func (t *tenant) hasQueued() bool {
	for _, q := range t.queues {
		if q.batches.Len() > 0 {
			return true
		}
	}
	return false
}

// repositionQueues repositions all queues of the tenant after its limit, its dispatches
// in flight or its penalty changed.
func (t *tenant) repositionQueues() {
	for _, q := range t.queues {
		q.reposition()
	}
}

func (t *tenant) queue(p *pool) *tenantQueue {
	for _, q := range t.queues {
		if q.pool == p {
			return q
		}
	}
	q := newTenantQueue(t, p)
	t.queues = append(t.queues, q)
	return q
}

// maxTenants is the number of known tenants above which those without tasks are
// forgotten. Callers choose the names, so their number has no other bound.
const maxTenants = 1024

// tenants holds the known tenants by name and in the order of their first batch.
// Summing in map order would give different rounding errors in each run. The zero value
// is empty.
type tenants struct {
	byName map[string]*tenant
	all    []*tenant
}

// findOrAdd returns the tenant with a name, and whether it was known before.
func (ts *tenants) findOrAdd(name string) (*tenant, bool) {
	if t := ts.byName[name]; t != nil {
		return t, true
	}
	if len(ts.all) >= maxTenants {
		ts.prune()
	}
	if ts.byName == nil {
		ts.byName = make(map[string]*tenant)
	}
	t := &tenant{name: name}
	ts.byName[name] = t
	ts.all = append(ts.all, t)
	return t, false
}

// prune forgets the tenants without tasks.
func (ts *tenants) prune() {
	ts.all = slices.DeleteFunc(ts.all, func(t *tenant) bool {
		if t.idle() {
			delete(ts.byName, t.name)
		}
		return t.idle()
	})
}

// Penalties of tenants that use more than their share.
const (
	penaltyInterval    = 100 * time.Millisecond // between two updates of the penalties
	useHalfLife        = 10 * time.Second       // use counts half as much after this time
	penaltyPerDoubling = 4                      // added to the log2 priority for each doubling of the use beyond the share
)

// updatePenalties sets the penalties of the tenants that recently used more than their
// weighted share of the use of all tenants with tasks. Tenants within their share get
// no penalty, which keeps the shortest-job-first order among them.
func (d *Dispatcher) updatePenalties(now time.Time) {
	since := now.Sub(d.penaltiesUpdatedAt)
	if since < penaltyInterval {
		return
	}
	d.penaltiesUpdatedAt = now
	decay := math.Exp2(-float64(min(since, time.Hour)) / float64(useHalfLife))
	used, weight := 0.0, 0.0
	for _, t := range d.tenants.all {
		t.recentUse = t.recentUse*decay + float64(t.inFlight)*min(since, time.Second).Seconds()
		if !t.idle() {
			used += t.recentUse
			weight += float64(t.weight)
		}
	}
	for _, t := range d.tenants.all {
		t.setPenalty(used, weight)
	}
}

// setPenalty sets the penalty. The arguments used and weight are the sums of recentUse and
// weight over all tenants with tasks.
func (t *tenant) setPenalty(used, weight float64) {
	penalty := 0.0
	if fairUse := used * float64(t.weight) / max(weight, 1); t.recentUse > fairUse && fairUse > 0 {
		penalty = penaltyPerDoubling * math.Log2(t.recentUse/fairUse)
	}
	if penalty != t.penalty {
		t.penalty = penalty
		t.repositionQueues()
	}
}
