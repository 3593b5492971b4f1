package rradmission

import (
	"math"
	"time"
)

// maxSavedRetries bounds the unused retries of a budget, in tasks.
const maxSavedRetries = 4000

// retryBudget limits retried tasks to a fraction of the tasks that were started (budget
// of the entry) or released (budget of a tenant). The zero value has earned none.
type retryBudget struct {
	earned float64 // tasks; at most spent plus maxSavedRetries
	spent  float64 // tasks
}

// allows reports whether n tasks may be retried if the budget has free tasks in
// addition to the earned ones.
func (b *retryBudget) allows(n, free int) bool {
	return b.spent+float64(n) <= b.earned+float64(free)
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

// jitterDelay limits the delay to the bounds above and returns 1 to 1.5 times the result.
// Each refusal gets a different factor, which prevents refused callers from retrying together.
func (c *Controller) jitterDelay(delay time.Duration) time.Duration {
	c.refusals++
	_, fraction := math.Modf(float64(c.refusals) * goldenFraction)
	delay = min(max(delay, minRetryDelay), maxRetryDelay)
	return delay + time.Duration(fraction*float64(delay)/2)
}
