package rradmission

import (
	"math"
	"math/bits"
	"time"
)

// bucketCount is the number of power-of-two buckets of jobs by their work.
const bucketCount = 16

// rateHalfLife is the half-life of admitted work in workRate.
const rateHalfLife = 15 * time.Second

// workRate is a moving average of the work admitted per second, by power-of-two bucket
// of the job's work. Entries run small jobs first, and their work delays every larger
// waiting job. The zero value has no jobs.
type workRate struct {
	rates   [bucketCount]float64 // seconds of work per second
	updated time.Time            // when rates were last decayed
	first   time.Time            // of the first call
}

// bucketOf returns the bucket of a job with this much work. The first bucket ends at
// 32 ms, each later one at twice the end of the one before.
func bucketOf(work time.Duration) int {
	return min(bits.Len64(uint64(max(work, 0)/(32*time.Millisecond))), bucketCount-1)
}

// add records an admitted job.
func (w *workRate) add(now time.Time, work time.Duration) {
	w.decay(now)
	w.rates[bucketOf(work)] += work.Seconds() * math.Ln2 / rateHalfLife.Seconds()
}

func (w *workRate) decay(now time.Time) {
	if w.first.IsZero() {
		w.first, w.updated = now, now
	}
	if since := now.Sub(w.updated); since > 0 {
		factor := math.Exp2(-float64(since) / float64(rateHalfLife))
		for i := range w.rates {
			w.rates[i] *= factor
		}
		w.updated = now
	}
}

// smallerJobs returns the work per second of jobs that run before one with this much
// work: all of the smaller buckets and half of its own.
func (w *workRate) smallerJobs(now time.Time, work time.Duration) float64 {
	w.decay(now)
	bucket := bucketOf(work)
	sum := w.rates[bucket] / 2
	for _, r := range w.rates[:bucket] {
		sum += r
	}
	return sum
}
