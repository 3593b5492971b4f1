package rrcoord

import (
	"time"

	"rattanring/core/rrdispatcher"
)

// OutstandingWork is the unfinished work of the jobs that this entry coordinates, in
// power-of-two buckets of each job's work at admission. The zero value is empty.
type OutstandingWork [rrdispatcher.BacklogBuckets]time.Duration

func (o *OutstandingWork) add(job, work time.Duration) {
	o[rrdispatcher.BacklogBucket(job)] += work
}

func (o *OutstandingWork) sub(job, work time.Duration) {
	o[rrdispatcher.BacklogBucket(job)] -= work
}

// workBefore returns the work that is scheduled ahead of a job with the given work: all
// work in smaller buckets and half of the work in the job's own bucket.
func (o *OutstandingWork) workBefore(job time.Duration) time.Duration {
	own := rrdispatcher.BacklogBucket(job)
	var work time.Duration
	for i := range own {
		work += o[i]
	}
	return work + o[own]/2
}
