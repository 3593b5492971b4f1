package rrdispatcher

import "time"

// Limits on the dispatches to a minion whose slots other owners may use.
const (
	takeoverLimit = 2               // dispatches at a time to a minion that was just taken over
	takeoverRamp  = 2 * time.Second // time after which the tasks of the previous owner count as ended
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = 2 * time.Second
)

// dispatchLimiter limits the dispatches to one minion after refusals, and after its
// takeover from an owner that may still run tasks there.
type dispatchLimiter struct {
	limit        int       // dispatches at a time
	rampEndsAt   time.Time // when takeoverLimit ends; zero when it does not apply
	blockedUntil time.Time // no dispatch before this time
	backoff      time.Duration
	lastRefusal  time.Time // when a refusal counted last
	refusals     int       // counted refusals in a row
}

// startRamp sets the limit of a minion that was just taken over.
func (l *dispatchLimiter) startRamp(now time.Time) {
	l.limit = takeoverLimit
	l.rampEndsAt = now.Add(takeoverRamp)
}

// recordRefusal records that the minion did not start a task that was dispatched at
// dispatchedAt and has inFlight other dispatches in flight. Refusals of tasks that were
// dispatched before the last counted refusal are not counted.
func (l *dispatchLimiter) recordRefusal(now, dispatchedAt time.Time, inFlight int) {
	l.limit = min(l.limit, max(inFlight, 1))
	if !l.lastRefusal.IsZero() && !dispatchedAt.After(l.lastRefusal) {
		return
	}
	l.lastRefusal = now
	l.refusals++
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.blockedUntil = now.Add(l.backoff)
	l.rampEndsAt = time.Time{}
}

// recordSuccess records that the minion ran a task that was dispatched at
// dispatchedAt, and raises the limit by one, up to the minion's slots. A task that was
// dispatched before the last refusal says nothing about the time since then and is
// ignored.
func (l *dispatchLimiter) recordSuccess(dispatchedAt time.Time, slots int) {
	if !l.lastRefusal.IsZero() && !dispatchedAt.After(l.lastRefusal) {
		return
	}
	l.refusals = 0
	l.backoff = 0
	l.limit = min(l.limit+1, slots)
}

// endRamp ends takeoverLimit once rampEndsAt has passed.
func (l *dispatchLimiter) endRamp(now time.Time, slots int) {
	if !l.rampEndsAt.IsZero() && !now.Before(l.rampEndsAt) {
		l.limit = slots
		l.rampEndsAt = time.Time{}
	}
}
