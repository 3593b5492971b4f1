package rrcoord

import (
	"time"

	"rattanring/core/rrdispatcher"
)

// OutstandingWork is the unfinished work of the jobs that this entry coordinates, in
// power-of-two buckets of each job's work at admission. The zero value is empty.
type OutstandingWork [rrdispatcher.BacklogBuckets]time.Duration

// add adds work of a job whose work at admission was jobWork.
func (o *OutstandingWork) add(jobWork, work time.Duration) {
	o[rrdispatcher.BacklogBucket(jobWork)] += work
}

// sub subtracts work of a job whose work at admission was jobWork.
func (o *OutstandingWork) sub(jobWork, work time.Duration) {
	o[rrdispatcher.BacklogBucket(jobWork)] -= work
}

// workBefore returns the work that is scheduled ahead of a job whose work is jobWork: all
// work in smaller buckets and half of the work in the job's own bucket.
func (o *OutstandingWork) workBefore(jobWork time.Duration) time.Duration {
	own := rrdispatcher.BacklogBucket(jobWork)
	var work time.Duration
	for i := range own {
		work += o[i]
	}
	return work + o[own]/2
}
