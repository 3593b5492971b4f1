package rrscheduler

import (
	"math"
	"time"
)

// arrivalWindow is the time over which arriving work is averaged. It covers about twenty jobs of a
// zone at its usual rate, and a small part of a burst.
const arrivalWindow = 500 * time.Millisecond

// arrivalRate is an exponential average of the rate at which work arrives. The zero value stands for
// no work.
type arrivalRate struct {
	sum float64 // work of about the last arrivalWindow, in thousandths of a core times nanoseconds
	at  time.Time
}

// add adds the work of a job.
func (f *arrivalRate) add(now time.Time, work float64) {
	f.sum = f.decayedSum(now) + work
	f.at = now
}

// rate returns the rate of arriving work, in thousandths of a core.
func (f *arrivalRate) rate(now time.Time) float64 {
	return f.decayedSum(now) / float64(arrivalWindow)
}

func (f *arrivalRate) decayedSum(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.sum * math.Exp(-float64(now.Sub(f.at))/float64(arrivalWindow))
}
