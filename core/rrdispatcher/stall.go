package rrdispatcher

import "time"

// When a send counts as overdue.
const (
	stallCheckInterval = 100 * time.Millisecond // between two looks
	minOverdue         = 2 * time.Second        // at least
	overdueFactor      = 8                      // of the expected run time
)

// markStalled marks the minions that have an overdue task and have answered nothing
// since it was sent. They get nothing more until they answer. Other tasks of theirs
// are not sent again: they may run.
func (d *Dispatcher) markStalled(now time.Time) {
	if now.Sub(d.stallCheckedAt) < stallCheckInterval {
		return
	}
	d.stallCheckedAt = now
	for _, m := range d.owned {
		m.stalled = false
	}
	for i := range d.inFlight.records {
		f := &d.inFlight.records[i]
		if f.id != 0 && f.overdue(now) && f.sentAt.After(f.minion.answeredAt) {
			f.minion.stalled = true
		}
	}
}

func (f *inFlightDispatch) overdue(now time.Time) bool {
	return now.Sub(f.sentAt) > max(minOverdue, overdueFactor*f.task.estimate)
}
