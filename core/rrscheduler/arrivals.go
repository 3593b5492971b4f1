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
func (r *arrivalRate) add(now time.Time, work float64) {
	r.sum = r.decayedSum(now) + work
	r.at = now
}

// rate returns the rate of arriving work, in thousandths of a core.
func (r *arrivalRate) rate(now time.Time) float64 {
	return r.decayedSum(now) / float64(arrivalWindow)
}

func (r *arrivalRate) decayedSum(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(arrivalWindow))
}
