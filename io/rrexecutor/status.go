package rrexecutor

import (
	"context"

	"rattanring/core/rrscheduler"
)

// QueryJob returns the status of a job. If abort is true, it first aborts the job. It reports false if
// the Executor or ctx ends before the status is known.
func (x *Executor) QueryJob(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	callID := x.lastCallID.Add(1)
	ch := make(chan rrscheduler.JobStatus, 1)
	x.mu.Lock()
	x.pendingQueries[callID] = ch
	x.mu.Unlock()
	defer x.dropQuery(callID)
	var ev rrscheduler.Event = &rrscheduler.JobStatusRequested{CallID: callID, JobID: id}
	if abort {
		ev = &rrscheduler.JobAbortRequested{CallID: callID, JobID: id}
	}
	x.Post(ev)
	select {
	case s := <-ch:
		return s, true
	case <-x.done:
	case <-ctx.Done():
	}
	return rrscheduler.JobStatus{}, false
}

func (x *Executor) replyStatus(r *rrscheduler.ReplyJobStatus) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if ch := x.pendingQueries[r.CallID]; ch != nil {
		ch <- r.Status
	}
}

func (x *Executor) dropQuery(callID uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pendingQueries, callID)
}
