package rrdispatcher

import "time"

// Limits on the sends to a minion whose slots others may use.
const (
	takeoverLimit = 2               // sends at a time to a minion that was just adopted
	takeoverRamp  = 2 * time.Second // after it the tasks of an earlier keeper count as ended
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = 2 * time.Second
)

// dispatchLimiter limits the sends to one minion after refusals, and after its adoption
// from a keeper that may still run tasks there.
type dispatchLimiter struct {
	limit        int       // sends at a time
	rampEndsAt   time.Time // the limit of an adopted minion ends
	blockedUntil time.Time // no send before
	backoff      time.Duration
	lastRefusal  time.Time // of the last miss
	refusals     int       // misses in a row
}

// startRamp starts with a low limit.
func (r *dispatchLimiter) startRamp(now time.Time) {
	r.limit = takeoverLimit
	r.rampEndsAt = now.Add(takeoverRamp)
}

// recordRefusal records that a send made at a time was not started while busy others were
// in flight. Misses of sends made before the last one count as the same miss.
func (r *dispatchLimiter) recordRefusal(now, sentAt time.Time, inFlight int) {
	r.limit = min(r.limit, max(inFlight, 1))
	if !r.lastRefusal.IsZero() && !sentAt.After(r.lastRefusal) {
		return
	}
	r.lastRefusal = now
	r.refusals++
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.blockedUntil = now.Add(r.backoff)
	r.rampEndsAt = time.Time{}
}

// recordSuccess records that the minion ran a task that was sent at a time, and raises the
// limit by one. A task sent before the last miss says nothing about the time since.
func (r *dispatchLimiter) recordSuccess(sentAt time.Time, limit int) {
	if !r.lastRefusal.IsZero() && !sentAt.After(r.lastRefusal) {
		return
	}
	r.refusals = 0
	r.backoff = 0
	r.limit = min(r.limit+1, limit)
}

// endRamp lifts the limit of an adopted minion when its time is over.
func (r *dispatchLimiter) endRamp(now time.Time, limit int) {
	if !r.rampEndsAt.IsZero() && !now.Before(r.rampEndsAt) {
		r.limit = limit
		r.rampEndsAt = time.Time{}
	}
}
