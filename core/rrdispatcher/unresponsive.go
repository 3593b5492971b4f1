package rrdispatcher

import "time"

// Parameters of markUnresponsive.
const (
	unresponsiveCheckInterval = 100 * time.Millisecond // time between two checks
	minOverdue                = 2 * time.Second        // a dispatch is overdue no earlier than this after it was made
	overdueFactor             = 8                      // and no earlier than this multiple of the expected run time
)

// markUnresponsive marks the minions that have an overdue task and have answered
// nothing since it was dispatched. They get no more tasks until they answer. Their tasks
// in flight are not dispatched again, since they may be running.
func (d *Dispatcher) markUnresponsive(now time.Time) {
	if now.Sub(d.unresponsiveCheckedAt) < unresponsiveCheckInterval {
		return
	}
	d.unresponsiveCheckedAt = now
	for _, m := range d.owned {
		m.unresponsive = false
	}
	for i := range d.inFlight.records {
		dispatch := &d.inFlight.records[i]
		if dispatch.id != 0 && dispatch.overdue(now) && dispatch.dispatchedAt.After(dispatch.minion.answeredAt) {
			dispatch.minion.unresponsive = true
		}
	}
}

func (dispatch *inFlightDispatch) overdue(now time.Time) bool {
	return now.Sub(dispatch.dispatchedAt) > max(minOverdue, overdueFactor*dispatch.task.estimate)
}
