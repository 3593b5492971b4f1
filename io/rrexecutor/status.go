package rrexecutor

import (
	"context"

	"rattanring/core/rrscheduler"
)

// QueryJob returns where a job stands, after its end if abort asks for that. It reports
// false when the keeper ended or ctx did before that was known.
func (k *Executor) QueryJob(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	token := k.tokens.Add(1)
	ch := make(chan rrscheduler.JobStatus, 1)
	k.mu.Lock()
	k.asked[token] = ch
	k.mu.Unlock()
	defer k.unask(token)
	var ev rrscheduler.Event = &rrscheduler.JobStatusRequested{CallID: token, JobID: id}
	if abort {
		ev = &rrscheduler.JobAbortRequested{CallID: token, JobID: id}
	}
	k.Post(ev)
	select {
	case s := <-ch:
		return s, true
	case <-k.done:
	case <-ctx.Done():
	}
	return rrscheduler.JobStatus{}, false
}

func (k *Executor) report(r *rrscheduler.ReplyJobStatus) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ch := k.asked[r.CallID]; ch != nil {
		ch <- r.Status
	}
}

func (k *Executor) unask(token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.asked, token)
}
