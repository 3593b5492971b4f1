package rrdispatcher

import "time"

// When a send counts as overdue.
const (
	stallStep   = 100 * time.Millisecond // between two looks
	stallTime   = 2 * time.Second        // at least
	stallFactor = 8                      // of the expected run time
)

// stall marks the minions that have an overdue task and have answered nothing
// since it was sent. They get nothing more until they answer. Other tasks of theirs
// are not sent again: they may run.
func (k *Dispatcher) stall(now time.Time) {
	if now.Sub(k.stalled) < stallStep {
		return
	}
	k.stalled = now
	for _, m := range k.order {
		m.stalled = false
	}
	for i := range k.flights.all {
		f := &k.flights.all[i]
		if f.id != 0 && f.overdue(now) && f.start.After(f.on.answered) {
			f.on.stalled = true
		}
	}
}

func (f *flight) overdue(now time.Time) bool {
	return now.Sub(f.start) > max(stallTime, stallFactor*f.unit.est)
}
