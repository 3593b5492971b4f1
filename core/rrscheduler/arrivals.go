package rrscheduler

import (
	"math"
	"time"
)

// arrivalWindow is the time over which the work that comes in is averaged: some twenty jobs
// of a zone at its usual rate, and a small part of a burst.
const arrivalWindow = 500 * time.Millisecond

// arrivalRate is the rate at which work comes in, as an exponential average. The zero value is
// no work.
type arrivalRate struct {
	sum float64 // thousandths of a core times nanoseconds, of the last inflowTerm or so
	at  time.Time
}

// add counts the work of a job.
func (f *arrivalRate) add(now time.Time, work float64) {
	f.sum = f.decayedSum(now) + work
	f.at = now
}

// rate returns the work that comes in, in thousandths of a core.
func (f *arrivalRate) rate(now time.Time) float64 {
	return f.decayedSum(now) / float64(arrivalWindow)
}

func (f *arrivalRate) decayedSum(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.sum * math.Exp(-float64(now.Sub(f.at))/float64(arrivalWindow))
}
