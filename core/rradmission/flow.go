package rradmission

import (
	"math"
	"math/bits"
	"time"
)

// octaves is the number of classes of work by size.
const octaves = 16

// flowTime is the time after which admitted work counts half as much.
const flowTime = 15 * time.Second

// flow averages the work that is admitted per second, by octave of the job's work.
// Keepers run small jobs first, so that work delays every larger job that waits.
// The zero value has seen nothing.
type flow struct {
	rate  [octaves]float64 // seconds of work per second
	at    time.Time        // of the rates
	first time.Time        // of the first job
}

// octave returns the class of a job: the first ends at 32 ms, each one after it at
// twice the one before.
func octave(work time.Duration) int {
	return min(bits.Len64(uint64(max(work, 0)/(32*time.Millisecond))), octaves-1)
}

// add records an admitted job.
func (f *flow) add(now time.Time, work time.Duration) {
	f.move(now)
	f.rate[octave(work)] += work.Seconds() * math.Ln2 / flowTime.Seconds()
}

func (f *flow) move(now time.Time) {
	if f.first.IsZero() {
		f.first, f.at = now, now
	}
	if since := now.Sub(f.at); since > 0 {
		keep := math.Exp2(-float64(since) / float64(flowTime))
		for i := range f.rate {
			f.rate[i] *= keep
		}
		f.at = now
	}
}

// smaller returns the work per second of jobs that go before one of a size: all of
// the octaves below it and half of its own.
func (f *flow) smaller(now time.Time, work time.Duration) float64 {
	f.move(now)
	o := octave(work)
	sum := f.rate[o] / 2
	for _, r := range f.rate[:o] {
		sum += r
	}
	return sum
}
