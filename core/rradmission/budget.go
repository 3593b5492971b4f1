package rradmission

import (
	"math"
	"time"
)

// maxEarned bounds the retries that are saved up, in tasks.
const maxEarned = 4000

// budget counts retried tasks against what starts have earned. The zero value has
// earned nothing.
type budget struct {
	earned float64 // tasks; never more than maxEarned above spent
	spent  float64 // tasks
}

// has reports whether n tasks may be retried. Free ones need not be earned.
func (b *budget) has(n, free int) bool {
	return b.spent+float64(n) <= b.earned+float64(free)
}

func (b *budget) earn(tasks float64) {
	b.earned = min(b.earned+tasks, b.spent+maxEarned)
}

// Bounds of the delay that a refused caller is told to wait.
const (
	minWait   = 100 * time.Millisecond
	maxWait   = 30 * time.Second
	retryWait = time.Second // where no time can be estimated
)

// golden is the fraction that spreads successive refusals most evenly.
var golden = (math.Sqrt(5) - 1) / 2

// spread returns a delay between d and half as much again, another one for each
// refusal, so that refused callers do not return together.
func (d *Controller) spread(wait time.Duration) time.Duration {
	d.asked++
	_, part := math.Modf(float64(d.asked) * golden)
	wait = min(max(wait, minWait), maxWait)
	return wait + time.Duration(part*float64(wait)/2)
}
