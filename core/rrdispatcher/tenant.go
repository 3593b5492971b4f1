package rrdispatcher

import (
	"math"
	"slices"
	"time"
)

// tenant holds the limits and the use of one tenant over all services.
type tenant struct {
	name      string
	weight    int
	slotLimit int // slots at a time; zero means no limit
	inFlight  int // sends in flight
	queues    []*tenantQueue
	recentUse float64 // slot seconds of late, see shareTime
	penalty   float64 // octaves added to the rank of every batch
}

func (t *tenant) atLimit() bool {
	return t.slotLimit > 0 && t.inFlight >= t.slotLimit
}

// idle reports whether nothing of the tenant waits or runs.
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

// repositionQueues moves all lines of the tenant after its limit, use or penalty has changed.
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

// maxTenants bounds the tenants without work that a keeper remembers. Names of
// tenants come from outside.
const maxTenants = 1024

// tenants holds all known tenants, also in the order in which they came, so that
// sums and moves do not depend on the order of a map. The zero value holds none.
type tenants struct {
	byName map[string]*tenant
	all    []*tenant
}

// findOrAdd returns the tenant of a name, and whether it was known before.
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

// prune forgets the tenants without work.
func (ts *tenants) prune() {
	ts.all = slices.DeleteFunc(ts.all, func(t *tenant) bool {
		if t.idle() {
			delete(ts.byName, t.name)
		}
		return t.idle()
	})
}

// Shares of tenants under contention.
const (
	penaltyInterval    = 100 * time.Millisecond // between two looks at the shares
	useHalfLife        = 10 * time.Second       // use counts half as much after it
	penaltyPerDoubling = 4                      // octaves of rank for each octave above the share
)

// updatePenalties sets the penalties of tenants that used more than their weighted share of
// late, among those that have work. Tenants within their share have none, so that
// the shortest job still goes first among them.
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

// setPenalty sets the penalty for the use of all tenants with work and their weights.
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
