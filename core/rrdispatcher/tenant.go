package rrdispatcher

import (
	"math"
	"slices"
	"time"
)

// tenant holds the limits and the use of one tenant over all services.
type tenant struct {
	name    string
	weight  int
	limit   int // slots at a time; zero means no limit
	busy    int // sends in flight
	lines   []*line
	used    float64 // slot seconds of late, see shareTime
	penalty float64 // octaves added to the rank of every batch
}

func (t *tenant) full() bool {
	return t.limit > 0 && t.busy >= t.limit
}

// idle reports whether nothing of the tenant waits or runs.
func (t *tenant) idle() bool {
	return t.busy == 0 && !t.waits()
}

func (t *tenant) waits() bool {
	for _, l := range t.lines {
		if l.batches.Len() > 0 {
			return true
		}
	}
	return false
}

// settle moves all lines of the tenant after its limit, use or penalty has changed.
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

// maxTenants bounds the tenants without work that a keeper remembers. Names of
// tenants come from outside.
const maxTenants = 1024

// tenants holds all known tenants, also in the order in which they came, so that
// sums and moves do not depend on the order of a map. The zero value holds none.
type tenants struct {
	named map[string]*tenant
	all   []*tenant
}

// find returns the tenant of a name, and whether it was known before.
func (ts *tenants) find(name string) (*tenant, bool) {
	if t := ts.named[name]; t != nil {
		return t, true
	}
	if len(ts.all) >= maxTenants {
		ts.prune()
	}
	if ts.named == nil {
		ts.named = make(map[string]*tenant)
	}
	t := &tenant{name: name}
	ts.named[name] = t
	ts.all = append(ts.all, t)
	return t, false
}

// prune forgets the tenants without work.
func (ts *tenants) prune() {
	ts.all = slices.DeleteFunc(ts.all, func(t *tenant) bool {
		if t.idle() {
			delete(ts.named, t.name)
		}
		return t.idle()
	})
}

// Shares of tenants under contention.
const (
	shareStep    = 100 * time.Millisecond // between two looks at the shares
	shareTime    = 10 * time.Second       // use counts half as much after it
	sharePenalty = 4                      // octaves of rank for each octave above the share
)

// share sets the penalties of tenants that used more than their weighted share of
// late, among those that have work. Tenants within their share have none, so that
// the shortest job still goes first among them.
func (k *Dispatcher) share(now time.Time) {
	since := now.Sub(k.shared)
	if since < shareStep {
		return
	}
	k.shared = now
	fade := math.Exp2(-float64(min(since, time.Hour)) / float64(shareTime))
	used, weight := 0.0, 0.0
	for _, t := range k.tenants.all {
		t.used = t.used*fade + float64(t.busy)*min(since, time.Second).Seconds()
		if !t.idle() {
			used += t.used
			weight += float64(t.weight)
		}
	}
	for _, t := range k.tenants.all {
		t.punish(used, weight)
	}
}

// punish sets the penalty for the use of all tenants with work and their weights.
func (t *tenant) punish(used, weight float64) {
	penalty := 0.0
	if fair := used * float64(t.weight) / max(weight, 1); t.used > fair && fair > 0 {
		penalty = sharePenalty * math.Log2(t.used/fair)
	}
	if penalty != t.penalty {
		t.penalty = penalty
		t.settle()
	}
}
