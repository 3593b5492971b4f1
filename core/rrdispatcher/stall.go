package rrdispatcher

import "time"

// When a dispatch counts as overdue.
const (
	stallCheckInterval = 100 * time.Millisecond // between two calls of markStalled that check
	minOverdue         = 2 * time.Second        // no dispatch is overdue before
	overdueFactor      = 8                      // multiple of the expected run time
)

// markStalled marks the minions that have an overdue task and have answered nothing
// since it was sent. They get no more tasks until they answer. Their tasks in flight are
// not dispatched again, since they may be running.
func (d *Dispatcher) markStalled(now time.Time) {
	if now.Sub(d.stallCheckedAt) < stallCheckInterval {
		return
	}
	d.stallCheckedAt = now
	for _, m := range d.owned {
		m.stalled = false
	}
	for i := range d.inFlight.records {
		sent := &d.inFlight.records[i]
		if sent.id != 0 && sent.overdue(now) && sent.sentAt.After(sent.minion.answeredAt) {
			sent.minion.stalled = true
		}
	}
}

func (sent *inFlightDispatch) overdue(now time.Time) bool {
	return now.Sub(sent.sentAt) > max(minOverdue, overdueFactor*sent.task.estimate)
}
