package rradmission

import (
	"math"
	"math/bits"
	"time"
)

// buckets is the number of classes of work by size.
const buckets = 16

// rateHalfLife is the time after which admitted work counts half as much.
const rateHalfLife = 15 * time.Second

// workRate averages the work that is admitted per second, by octave of the job's work.
// Keepers run small jobs first, so that work delays every larger job that waits.
// The zero value has seen nothing.
type workRate struct {
	rates   [buckets]float64 // seconds of work per second
	updated time.Time        // of the rates
	first   time.Time        // of the first job
}

// bucketOf returns the class of a job: the first ends at 32 ms, each one after it at
// twice the one before.
func bucketOf(work time.Duration) int {
	return min(bits.Len64(uint64(max(work, 0)/(32*time.Millisecond))), buckets-1)
}

// add records an admitted job.
func (f *workRate) add(now time.Time, work time.Duration) {
	f.decay(now)
	f.rates[bucketOf(work)] += work.Seconds() * math.Ln2 / rateHalfLife.Seconds()
}

func (f *workRate) decay(now time.Time) {
	if f.first.IsZero() {
		f.first, f.updated = now, now
	}
	if since := now.Sub(f.updated); since > 0 {
		factor := math.Exp2(-float64(since) / float64(rateHalfLife))
		for i := range f.rates {
			f.rates[i] *= factor
		}
		f.updated = now
	}
}

// smallerJobs returns the work per second of jobs that go before one of a size: all of
// the octaves below it and half of its own.
func (f *workRate) smallerJobs(now time.Time, work time.Duration) float64 {
	f.decay(now)
	bucket := bucketOf(work)
	sum := f.rates[bucket] / 2
	for _, r := range f.rates[:bucket] {
		sum += r
	}
	return sum
}
