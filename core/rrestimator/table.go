// Package rrestimator learns how long tasks run, per tenant and class, and corrects
// declared run times by what was seen.
package rrestimator

import "time"

// Bounds of the table and of what it says.
const (
	MaxClasses      = 512                    // pairs of tenant and class with a cell of their own
	DefaultEstimate = 250 * time.Millisecond // estimate when nothing is declared or learned
	MinEstimate     = time.Millisecond       // least estimate
	MaxEstimate     = 10 * time.Minute       // greatest estimate
)

// Estimator learns run times per tenant and class. Labels beyond MaxClasses share the
// cell of everything until another one is no longer used. The zero value is ready to use.
type Estimator struct {
	cells map[label]*cell
	all   cell
	n     uint64 // observations
	late  uint64 // observations of labels without a cell
}

type label struct {
	tenant, class string
}

// Observe records that a task with a declared run time, zero for none, ran for run.
func (t *Estimator) Observe(tenant, class string, declared, run time.Duration) {
	run = clamp(run)
	t.n++
	t.all.observe(declared, run)
	if c := t.cell(label{tenant, class}); c != nil {
		c.seen = t.n
		c.observe(declared, run)
	}
}

// Estimate returns the expected run time of a task: a declared run time corrected
// by what was seen, the mean when nothing is declared, and DefaultEstimate when nothing is
// known.
func (t *Estimator) Estimate(tenant, class string, declared time.Duration) time.Duration {
	c := t.cells[label{tenant, class}]
	if c == nil {
		c = &t.all
	}
	return c.estimate(declared)
}

// Len returns the number of labels with a cell of their own.
func (t *Estimator) Len() int {
	return len(t.cells)
}

func (t *Estimator) cell(l label) *cell {
	if c := t.cells[l]; c != nil {
		return c
	}
	if len(t.cells) >= MaxClasses && !t.evict() {
		return nil
	}
	if t.cells == nil {
		t.cells = make(map[label]*cell)
	}
	c := &cell{}
	t.cells[l] = c
	return c
}

// When a label may take the cell of another.
const (
	evictStep = 64   // observations without a cell for one search
	staleRuns = 8192 // observations since the last one of a label that may go
)

// evict drops the label that was seen the longest ago if that is long enough, and
// reports whether it did.
func (t *Estimator) evict() bool {
	t.late++
	if t.late%evictStep != 0 {
		return false
	}
	var oldest label
	seen := t.n
	for l, c := range t.cells {
		if c.seen < seen {
			oldest, seen = l, c.seen
		}
	}
	if t.n-seen < staleRuns {
		return false
	}
	delete(t.cells, oldest)
	return true
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, MinEstimate), MaxEstimate)
}

func clip(x, low, high float64) float64 {
	return min(max(x, low), high)
}
