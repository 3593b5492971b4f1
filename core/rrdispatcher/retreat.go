package rrdispatcher

import "time"

// Limits on the sends to a minion whose slots others may use.
const (
	adoptLimit   = 2               // sends at a time to a minion that was just adopted
	adoptTime    = 2 * time.Second // after it the tasks of an earlier keeper count as ended
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// retreat limits the sends to one minion after refusals, and after its adoption
// from a keeper that may still run tasks there.
type retreat struct {
	limit   int       // sends at a time
	lift    time.Time // the limit of an adopted minion ends
	hold    time.Time // no send before
	backoff time.Duration
	last    time.Time // of the last miss
	missed  int       // misses in a row
}

// adopt starts with a low limit.
func (r *retreat) adopt(now time.Time) {
	r.limit = adoptLimit
	r.lift = now.Add(adoptTime)
}

// miss records that a send made at a time was not started while busy others were
// in flight. Misses of sends made before the last one count as the same miss.
func (r *retreat) miss(now, sent time.Time, busy int) {
	r.limit = min(r.limit, max(busy, 1))
	if !r.last.IsZero() && !sent.After(r.last) {
		return
	}
	r.last = now
	r.missed++
	r.backoff = min(max(2*r.backoff, firstBackoff), lastBackoff)
	r.hold = now.Add(r.backoff)
	r.lift = time.Time{}
}

// pass records that the minion ran a task that was sent at a time, and raises the
// limit by one. A task sent before the last miss says nothing about the time since.
func (r *retreat) pass(sent time.Time, limit int) {
	if !r.last.IsZero() && !sent.After(r.last) {
		return
	}
	r.missed = 0
	r.backoff = 0
	r.limit = min(r.limit+1, limit)
}

// ease lifts the limit of an adopted minion when its time is over.
func (r *retreat) ease(now time.Time, limit int) {
	if !r.lift.IsZero() && !now.Before(r.lift) {
		r.limit = limit
		r.lift = time.Time{}
	}
}
