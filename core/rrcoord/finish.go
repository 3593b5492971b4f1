package rrcoord

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// complete answers a job whose tasks have all run.
func (c *Coordinator) complete(now time.Time, j *job) {
	c.answer(now, j, rrtask.Answer{RequestID: j.ID, Code: rrcode.Complete, Results: j.results}, j.NonIdempotent)
}

// fail ends the job with code and cancels its unstarted tasks. answerWhenCertain sends the
// answer once the code is known to be true.
func (c *Coordinator) fail(now time.Time, j *job, code rrcode.Code, detail string) {
	if j.failed() {
		return
	}
	j.code = code
	j.detail = detail
	if detail == "" {
		j.detail = code.Description()
	}
	j.answerBy = now.Add(outcomeGrace)
	for i := range j.records {
		if j.records[i].phase == waiting {
			j.finishTask(i, neverStarted)
		}
	}
	for _, b := range sortedBatches(j.batches) {
		c.cancelBatch(now, b)
	}
}

func sortedBatches(batches map[uint64]*batch) []*batch {
	all := make([]*batch, 0, len(batches))
	for _, b := range batches {
		all = append(all, b)
	}
	slices.SortFunc(all, bySeq)
	return all
}

func bySeq(x, y *batch) int {
	return cmp.Compare(x.seq, y.seq)
}

// cancelBatch cancels the unstarted tasks of a batch.
func (c *Coordinator) cancelBatch(now time.Time, b *batch) {
	if !b.local {
		if b.mayBeAtOwner() {
			c.Effects.Cancels = append(c.Effects.Cancels, CancelBatchesCall{To: b.owner, Addr: b.ownerAddr, Incarnation: b.ownerIncarnation, Keys: []rrdispatcher.BatchKey{c.batchKey(b)}})
		}
		return
	}
	c.local.CancelQueued(now, c.batchKey(b))
	_, running := c.local.Progress(c.batchKey(b))
	if running > 0 {
		b.job.mayHaveRun = true
		return
	}
	for _, i := range b.tasks {
		if b.hasTask(i) {
			b.job.finishTask(i, neverStarted)
		}
	}
	b.unresolved = 0
	c.removeBatch(b)
}

// answerWhenCertain answers a failed job as soon as its outcome is certain: at once if a
// task may have run, otherwise when every owner has confirmed that its tasks did not
// start, or when outcomeGrace has passed.
func (c *Coordinator) answerWhenCertain(now time.Time, j *job) {
	for i := range j.records {
		if j.records[i].phase == waiting {
			j.finishTask(i, neverStarted)
		}
	}
	if !j.mayHaveRun && j.mayRunRemotely() && now.Before(j.answerBy) {
		return
	}
	code := j.code
	if code.Class() == rrcode.ClassNotRun && (j.mayHaveRun || j.mayRunRemotely()) {
		code = codeAfterStart(code)
	}
	a := rrtask.Answer{RequestID: j.ID, Code: code, Detail: j.detail}
	if code == rrcode.ZoneEvacuated {
		a.RetryAfter = evacuatedRetryDelay
	}
	if code != j.code {
		a.Detail = code.Description() + " (" + j.detail + ")"
	}
	c.answer(now, j, a, j.NonIdempotent)
}

// codeAfterStart returns the code that replaces one of the class not run when tasks may
// have started.
func codeAfterStart(code rrcode.Code) rrcode.Code {
	switch code {
	case rrcode.DeadlinePassed:
		return rrcode.TimedOut
	case rrcode.CanceledBeforeStart:
		return rrcode.CanceledAfterStart
	}
	return rrcode.Partial
}

// answer sends the final answer and removes the job.
func (c *Coordinator) answer(now time.Time, j *job, a rrtask.Answer, closeClaim bool) {
	if a.Coordinator == "" {
		a.Coordinator = c.entry
	}
	c.assertAnswer(j, &a)
	if j.admitted {
		c.outstanding.sub(j.admittedWork, j.remainingWork)
		j.outstanding = nil
		c.admission.Release(now, j.Tenant, len(j.Tasks), j.admittedWork)
	}
	j.code = a.Code
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Answered, Detail: a.Code.String()})
	c.Effects.Answers = append(c.Effects.Answers, JobAnswer{
		Callers:    j.callers,
		Answer:     a,
		CloseClaim: closeClaim,
		Tenant:     j.Tenant,
		Class:      j.Class,
		Elapsed:    now.Sub(j.accepted),
	})
	for _, b := range j.batches {
		// The result of a call in flight is ignored when it arrives.
		b.unresolved = 0
		c.removeBatch(b)
	}
	delete(c.jobs, j.ID)
	c.rememberAnswered(j)
}

// Cancel cancels the unstarted tasks of a tenant's jobs. It returns the number of jobs
// found and of tasks that had not finished.
func (c *Coordinator) Cancel(now time.Time, tenant string, ids []string) (jobs, tasks int) {
	for _, id := range ids {
		j, ok := c.jobs[id]
		if !ok || j.Tenant != tenant || j.failed() || !j.claimGranted {
			continue
		}
		jobs++
		tasks += j.unfinished
		j.addEvent(now, rrstatus.Event{Kind: rrstatus.Canceled})
		c.fail(now, j, rrcode.CanceledBeforeStart, "")
		c.answerWhenCertain(now, j)
	}
	c.mergeCancels()
	return jobs, tasks
}

// mergeCancels merges the cancellations for one owner into one call.
func (c *Coordinator) mergeCancels() {
	merged := c.Effects.Cancels[:0]
	for _, call := range c.Effects.Cancels {
		at := slices.IndexFunc(merged, func(other CancelBatchesCall) bool {
			return other.To == call.To && other.Incarnation == call.Incarnation
		})
		if at < 0 {
			merged = append(merged, call)
			continue
		}
		merged[at].Keys = append(merged[at].Keys, call.Keys...)
	}
	c.Effects.Cancels = merged
}

// CallerDisconnected records that a caller disconnected. An idempotent job without callers
// is canceled after reconnectGrace, in which a caller may reconnect.
func (c *Coordinator) CallerDisconnected(now time.Time, caller CallerID, id string) {
	j, ok := c.jobs[id]
	if !ok {
		return
	}
	j.callers = slices.DeleteFunc(j.callers, func(t CallerID) bool { return t == caller })
	if len(j.callers) == 0 && !j.NonIdempotent {
		j.noCallerSince = now
	}
}

// Tick handles the passing of time: deadlines, repeated calls, waiting tasks, dead owners
// and disconnected callers.
func (c *Coordinator) Tick(now time.Time) {
	if now.Sub(c.lastScan) < scanInterval {
		return
	}
	c.lastScan = now
	for _, j := range c.dueJobs(now) {
		c.tickJob(now, j)
	}
	for _, b := range c.dueBatches(now) {
		c.retryBatch(now, b)
	}
	c.recallSurplus(now)
	c.mergeCancels()
}

// dueJobs returns the jobs for which Tick has something to do, ordered by ID.
func (c *Coordinator) dueJobs(now time.Time) []*job {
	var due []*job
	for _, j := range c.jobs {
		if j.due(now) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(x, y *job) int { return cmp.Compare(x.ID, y.ID) })
	return due
}

// dueBatches returns the batches whose call is due for a retry or whose owner is dead,
// ordered by sequence number.
func (c *Coordinator) dueBatches(now time.Time) []*batch {
	var due []*batch
	for _, b := range c.remoteBatches {
		if !b.callInFlight && reached(now, b.retryAt) || c.ownerDead(now, b) {
			due = append(due, b)
		}
	}
	slices.SortFunc(due, bySeq)
	return due
}

// ownerDead reports whether the incarnation that has the batch is dead.
func (c *Coordinator) ownerDead(now time.Time, b *batch) bool {
	_, incarnation, ok := c.fleet.Peer(now, b.owner)
	return !ok || incarnation != b.ownerIncarnation
}

func (c *Coordinator) tickJob(now time.Time, j *job) {
	switch {
	case !j.claimGranted:
	case j.failed():
		c.answerWhenCertain(now, j)
	case !now.Before(j.Deadline):
		j.addEvent(now, rrstatus.Event{Kind: rrstatus.Expired})
		c.fail(now, j, rrcode.DeadlinePassed, "")
		c.answerWhenCertain(now, j)
	case reached(now, j.noCallerSince.Add(reconnectGrace)) && !j.noCallerSince.IsZero():
		j.addEvent(now, rrstatus.Event{Kind: rrstatus.Canceled, Detail: "the caller has gone"})
		c.fail(now, j, rrcode.CanceledBeforeStart, "")
		c.answerWhenCertain(now, j)
	case j.unplaced > 0 && reached(now, j.nextPlacement):
		c.placeWaiting(now, j)
	}
}

// retryBatch repeats the call for a batch, or fails the batch if its owner is dead.
func (c *Coordinator) retryBatch(now time.Time, b *batch) {
	if _, ok := c.remoteBatches[b.seq]; !ok {
		return
	}
	b.retryAt = time.Time{}
	if c.ownerDead(now, b) {
		c.failLostBatch(now, b)
		c.advanceJob(now, b)
		return
	}
	b.job.addEvent(now, rrstatus.Event{Kind: rrstatus.Resent, Peer: b.owner, Tasks: b.unresolved})
	c.sendRunBatch(now, b)
}
