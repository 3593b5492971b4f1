package rrkeeper

import (
	"context"

	"rattanring/core/rrpool"
)

// QueryJob returns where a job stands, after its end if abort asks for that. It reports
// false when the keeper ended or ctx did before that was known.
func (k *Executor) QueryJob(ctx context.Context, id string, abort bool) (rrpool.JobStatus, bool) {
	token := k.tokens.Add(1)
	ch := make(chan rrpool.JobStatus, 1)
	k.mu.Lock()
	k.asked[token] = ch
	k.mu.Unlock()
	defer k.unask(token)
	var ev rrpool.Event = &rrpool.JobStatusRequested{CallID: token, JobID: id}
	if abort {
		ev = &rrpool.JobAbortRequested{CallID: token, JobID: id}
	}
	k.Post(ev)
	select {
	case s := <-ch:
		return s, true
	case <-k.done:
	case <-ctx.Done():
	}
	return rrpool.JobStatus{}, false
}

func (k *Executor) report(r *rrpool.ReplyJobStatus) {
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
