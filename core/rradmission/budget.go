package rradmission

import (
	"math"
	"time"
)

// maxSavedRetries bounds the unused retries of a budget, in tasks.
const maxSavedRetries = 4000

// retryBudget limits retried tasks to those that task starts have earned. The zero
// value has earned none.
type retryBudget struct {
	earned float64 // tasks; at most spent plus maxSavedRetries
	spent  float64 // tasks
}

// allows reports whether n tasks may be retried. The first unearned tasks need not be
// earned.
func (b *retryBudget) allows(n, unearned int) bool {
	return b.spent+float64(n) <= b.earned+float64(unearned)
}

func (b *retryBudget) earn(tasks float64) {
	b.earned = min(b.earned+tasks, b.spent+maxSavedRetries)
}

// Delays before a refused caller should retry.
const (
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 30 * time.Second
	defaultRetryDelay = time.Second // if no delay can be estimated
)

// goldenFraction is the golden ratio minus one. The fractional parts of its multiples
// cover the interval from 0 to 1 most evenly.
var goldenFraction = (math.Sqrt(5) - 1) / 2

// jitterDelay returns between 1 and 1.5 times the delay, bounded to the limits above.
// Each refusal gets another value, which prevents refused callers from retrying together.
func (c *Controller) jitterDelay(delay time.Duration) time.Duration {
	c.refusals++
	_, fraction := math.Modf(float64(c.refusals) * goldenFraction)
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	return delay + time.Duration(fraction*float64(delay)/2)
}
