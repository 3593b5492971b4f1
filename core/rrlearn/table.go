// Package rrlearn learns how long tasks run, per tenant and class, and corrects
// declared run times by what was seen.
package rrlearn

import (
	"math"
	"time"
)

// Bounds of the table and of what it says.
const (
	MaxLabels = 512                    // pairs of tenant and class with a cell of their own
	Unknown   = 250 * time.Millisecond // estimate when nothing is declared or learned
	Shortest  = time.Millisecond       // least estimate
	Longest   = 10 * time.Minute       // greatest estimate
)

const (
	memory  = 32 // observations that the averages look back on
	outlier = 8  // factor by which one observation may differ from the estimate
)

// Table learns run times per tenant and class. Labels beyond MaxLabels share the
// cell of everything. The zero value is ready to use.
type Table struct {
	cells map[label]*cell
	all   cell
}

type label struct {
	tenant, class string
}

// Observe records that a task with a declared run time, zero for none, ran for run.
func (t *Table) Observe(tenant, class string, declared, run time.Duration) {
	run = clamp(run)
	t.all.observe(declared, run)
	if c := t.cell(label{tenant, class}); c != nil {
		c.observe(declared, run)
	}
}

// Estimate returns the expected run time of a task. It corrects a declared run
// time by the learned ratio, unless the mean has predicted better, and returns
// the mean when nothing is declared and Unknown when nothing is known.
func (t *Table) Estimate(tenant, class string, declared time.Duration) time.Duration {
	c := t.cells[label{tenant, class}]
	if c == nil {
		c = &t.all
	}
	return c.estimate(declared)
}

// Len returns the number of labels with a cell of their own.
func (t *Table) Len() int {
	return len(t.cells)
}

func (t *Table) cell(l label) *cell {
	if c := t.cells[l]; c != nil {
		return c
	}
	if len(t.cells) >= MaxLabels {
		return nil
	}
	if t.cells == nil {
		t.cells = make(map[label]*cell)
	}
	c := &cell{}
	t.cells[l] = c
	return c
}

// cell holds the averages of one label. Times are in seconds.
type cell struct {
	runs     float64 // observations, up to memory
	mean     float64 // run time
	declares float64 // observations with a declared run time, up to memory
	ran      float64 // run time of those
	declared float64 // declared run time of those
	byRatio  float64 // mean error of the corrected declared time, octaves
	byMean   float64 // mean error of the mean, octaves
}

func (c *cell) observe(declared, run time.Duration) {
	r := run.Seconds()
	if declared > 0 {
		c.score(clamp(declared).Seconds(), r)
	}
	if c.runs > 0 {
		r = bound(r, c.mean/outlier, c.mean*outlier)
	}
	c.runs = min(c.runs+1, memory)
	c.mean += (r - c.mean) / c.runs
}

// score compares both predictions with a run time before it learns from it.
func (c *cell) score(declared, run float64) {
	if c.declares > 0 {
		guess := declared * c.ran / c.declared
		weight := 1 / c.declares
		c.byRatio += (math.Abs(math.Log2(run/guess)) - c.byRatio) * weight
		c.byMean += (math.Abs(math.Log2(run/c.mean)) - c.byMean) * weight
	}
	c.declares = min(c.declares+1, memory)
	c.ran += (run - c.ran) / c.declares
	c.declared += (declared - c.declared) / c.declares
}

func (c *cell) estimate(declared time.Duration) time.Duration {
	if declared > 0 && c.declares > 0 && c.byRatio <= c.byMean {
		ratio := c.ran / c.declared
		return clamp(time.Duration(float64(clamp(declared)) * ratio))
	}
	if c.runs > 0 {
		return clamp(time.Duration(c.mean * float64(time.Second)))
	}
	if declared > 0 {
		return clamp(declared)
	}
	return Unknown
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, Shortest), Longest)
}

func bound(x, low, high float64) float64 {
	return min(max(x, low), high)
}
