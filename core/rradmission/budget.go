package rradmission

import (
	"math"
	"time"
)

// maxSavedRetries bounds the retries that are saved up, in tasks.
const maxSavedRetries = 4000

// retryBudget counts retried tasks against what starts have earned. The zero value has
// earned nothing.
type retryBudget struct {
	earned float64 // tasks; never more than maxEarned above spent
	spent  float64 // tasks
}

// allows reports whether n tasks may be retried. Free ones need not be earned.
func (b *retryBudget) allows(n, unearned int) bool {
	return b.spent+float64(n) <= b.earned+float64(unearned)
}

func (b *retryBudget) earn(tasks float64) {
	b.earned = min(b.earned+tasks, b.spent+maxSavedRetries)
}

// Bounds of the delay that a refused caller is told to wait.
const (
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 30 * time.Second
	defaultRetryDelay = time.Second // where no time can be estimated
)

// goldenFraction is the fraction that spreads successive refusals most evenly.
var goldenFraction = (math.Sqrt(5) - 1) / 2

// jitterDelay returns a delay between d and half as much again, another one for each
// refusal, so that refused callers do not return together.
func (c *Controller) jitterDelay(delay time.Duration) time.Duration {
	c.refusals++
	_, fraction := math.Modf(float64(c.refusals) * goldenFraction)
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	return delay + time.Duration(fraction*float64(delay)/2)
}
