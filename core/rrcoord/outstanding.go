package rrcoord

import (
	"time"

	"rattanring/core/rrdispatcher"
)

// OutstandingWork is the work of the jobs that this entry coordinates and that has not
// ended, by octave of the work that each job had at its admission. The zero value
// is empty.
type OutstandingWork [rrdispatcher.BacklogBuckets]time.Duration

func (o *OutstandingWork) add(job, work time.Duration) {
	o[rrdispatcher.BacklogBucket(job)] += work
}

func (o *OutstandingWork) sub(job, work time.Duration) {
	o[rrdispatcher.BacklogBucket(job)] -= work
}

// workBefore returns the work that goes before a job with so much work: that of
// smaller jobs, and half of that of jobs like it.
func (o *OutstandingWork) workBefore(job time.Duration) time.Duration {
	own := rrdispatcher.BacklogBucket(job)
	var work time.Duration
	for i := range own {
		work += o[i]
	}
	return work + o[own]/2
}
