package rrcoord

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// TaskDone handles the result of a task from the entry's own dispatcher.
func (c *Coordinator) TaskDone(now time.Time, o rrdispatcher.Outcome) {
	b, ok := c.batches[o.Key.Seq]
	if !ok || o.Key.Incarnation != c.incarnation {
		return
	}
	c.applyResult(now, b, o.Result)
	c.advanceJob(now, b)
}

// RunBatchDone handles the result of a RunBatchCall.
func (c *Coordinator) RunBatchDone(now time.Time, r RunBatchResult) {
	b, ok := c.batches[r.Seq]
	if !ok {
		return
	}
	b.callInFlight = false
	switch {
	case r.Delivery == DeliveryNotSent:
		c.callNotSent(now, b)
	case r.Delivery == DeliveryUnknown:
		c.callFailed(now, b)
	case r.Code != 0:
		c.batchRefused(now, b, r)
	default:
		c.applyProgress(now, b, r)
	}
	c.advanceJob(now, b)
}

// callNotSent handles a call of which no byte was written.
func (c *Coordinator) callNotSent(now time.Time, b *batch) {
	if b.deliveryUnknown || b.acknowledged {
		c.fleet.ConnectionRefused(now, b.owner)
		b.failedCalls++
		c.retryOrFail(now, b)
		return
	}
	c.returnBatch(now, b, rrcode.Unreachable)
}

// callFailed handles a call that failed after bytes were written.
func (c *Coordinator) callFailed(now time.Time, b *batch) {
	b.deliveryUnknown = true
	b.failedCalls++
	c.retryOrFail(now, b)
}

// retryOrFail schedules another call to the same incarnation of the owner, or fails the
// batch if that incarnation is dead.
func (c *Coordinator) retryOrFail(now time.Time, b *batch) {
	if c.ownerDead(now, b) {
		c.failLostBatch(now, b)
		return
	}
	b.scheduleRetry(now)
}

// batchRefused handles a refusal of the whole batch. An owner remembers the batch keys
// that it received in this incarnation. If it refuses a batch for any reason but
// rrcode.StaleIncarnation, it has never run the batch and never will, even if earlier
// calls failed. StaleIncarnation means that the owner doesn't know the incarnation or the
// key, which says nothing about earlier calls.
func (c *Coordinator) batchRefused(now time.Time, b *batch, r RunBatchResult) {
	if b.acknowledged || b.deliveryUnknown && (r.Code == rrcode.StaleIncarnation || r.Incarnation != b.ownerIncarnation) {
		c.failLostBatch(now, b)
		return
	}
	c.returnBatch(now, b, r.Code)
}

// applyProgress handles the results and returned tasks of an answered call.
func (c *Coordinator) applyProgress(now time.Time, b *batch, r RunBatchResult) {
	b.acknowledged = true
	b.callBackoff = 0
	b.failedCalls = 0
	for i := range r.Results {
		c.applyResult(now, b, r.Results[i])
	}
	if c.returnTasks(now, b, r.Returned) > 0 {
		b.job.delayPlacement(now)
	}
	if b.unresolved == 0 {
		return
	}
	if !r.More {
		c.failLostBatch(now, b)
		return
	}
	c.sendRunBatch(now, b)
}

// RecallDone handles the answer to a recall. The argument returned lists all tasks of the
// batch that the owner has returned so far.
func (c *Coordinator) RecallDone(now time.Time, seq uint64, returned []int) {
	b, ok := c.batches[seq]
	if !ok {
		return
	}
	// A placement that was recalled does not count towards maxPlacements.
	for _, i := range returned {
		if b.hasTask(i) {
			b.job.records[i].placements--
		}
	}
	c.returnTasks(now, b, returned)
	c.advanceJob(now, b)
}

// returnTasks makes tasks wait for another placement after their owner confirmed that it
// will never start them. It returns their number.
func (c *Coordinator) returnTasks(now time.Time, b *batch, returned []int) int {
	n := 0
	for _, i := range returned {
		if !b.hasTask(i) {
			continue
		}
		b.job.unplace(i)
		b.unresolved--
		n++
	}
	if n > 0 {
		b.job.addEvent(now, rrstatus.Event{Kind: rrstatus.Returned, Peer: b.owner, Tasks: n})
	}
	return n
}

// returnBatch makes all tasks of a batch wait for another placement. The batch is known
// not to have run.
func (c *Coordinator) returnBatch(now time.Time, b *batch, code rrcode.Code) {
	n := 0
	for _, i := range b.tasks {
		if b.hasTask(i) {
			b.job.unplace(i)
			n++
		}
	}
	b.unresolved = 0
	b.job.delayPlacement(now)
	if code == rrcode.Unreachable {
		c.fleet.ConnectionRefused(now, b.owner)
	} else {
		c.fleet.Exclude(b.owner)
	}
	b.job.addEvent(now, rrstatus.Event{Kind: rrstatus.Returned, Peer: b.owner, Tasks: n, Detail: code.String()})
}

// failLostBatch fails the job of a batch whose owner is lost. The tasks may have run.
func (c *Coordinator) failLostBatch(now time.Time, b *batch) {
	j := b.job
	j.mayHaveRun = true
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Lost, Peer: b.owner, Tasks: b.unresolved})
	for _, i := range b.tasks {
		if b.hasTask(i) {
			j.finishTask(i, finished)
		}
	}
	b.unresolved = 0
	c.fail(now, j, rrcode.OwnerLost, "entry "+b.owner+" was lost while it held tasks of the job")
}

// applyResult handles the result of one task.
func (c *Coordinator) applyResult(now time.Time, b *batch, r rrtask.Result) {
	j := b.job
	if !b.hasTask(r.Index) {
		return
	}
	b.unresolved--
	switch r.Code.Class() {
	case rrcode.ClassComplete:
		c.estimator.Observe(j.Tenant, j.Class, j.Tasks[r.Index].DeclaredRunTime, r.RunTime)
		j.mayHaveRun = true
		j.consecutiveReturns = 0
		j.finishTask(r.Index, finished)
		j.results[r.Index] = r
	case rrcode.ClassNotRun:
		c.taskNotStarted(now, b, r)
	default:
		j.mayHaveRun = true
		j.finishTask(r.Index, finished)
		c.fail(now, j, r.Code, r.Detail)
	}
}

// taskNotStarted handles a task that is known not to have started.
func (c *Coordinator) taskNotStarted(now time.Time, b *batch, r rrtask.Result) {
	j := b.job
	j.unplace(r.Index)
	if r.Code == rrcode.DeadlinePassed {
		c.fail(now, j, rrcode.DeadlinePassed, "")
		return
	}
	if int(j.records[r.Index].placements) >= maxPlacements {
		c.fail(now, j, r.Code, r.Detail)
		return
	}
	if j.nextPlacement.IsZero() {
		j.nextPlacement = now.Add(placementInterval)
		j.addEvent(now, rrstatus.Event{Kind: rrstatus.Returned, Peer: b.owner, Tasks: 1, Detail: r.Code.String()})
	}
}

// advanceJob removes b if it is resolved, then answers its job or places the job's waiting
// tasks.
func (c *Coordinator) advanceJob(now time.Time, b *batch) {
	j := b.job
	if b.unresolved == 0 && !b.callInFlight {
		c.removeBatch(b)
	}
	if _, ok := c.jobs[j.ID]; !ok {
		return
	}
	if j.failed() {
		c.answerWhenCertain(now, j)
		return
	}
	if j.unfinished == 0 {
		c.complete(now, j)
		return
	}
	if j.unplaced > 0 && j.nextPlacement.IsZero() {
		c.placeWaiting(now, j)
	}
	if !b.local {
		c.updateRemainingWork(now, j)
	}
}

// updateRemainingWork reports the job's remaining work to the entry's own dispatcher,
// which orders its queue by it.
func (c *Coordinator) updateRemainingWork(now time.Time, j *job) {
	for _, b := range j.batches {
		if b.local {
			c.local.SetRemainingWork(now, c.batchKey(b), j.remainingWork)
		}
	}
}

// placeWaiting places the waiting tasks of a job again. It fails a job with a task that
// only minions of evacuated zones could run.
func (c *Coordinator) placeWaiting(now time.Time, j *job) {
	j.nextPlacement = time.Time{}
	var tasks []int
	for i := range j.records {
		if j.records[i].phase == waiting {
			tasks = append(tasks, i)
		}
	}
	if c.needsEvacuated(j, tasks) {
		c.fail(now, j, rrcode.ZoneEvacuated, "")
		c.answerWhenCertain(now, j)
		return
	}
	plan := rrplacement.Split(c.splitRequest(j, tasks), c.fleet.Owners(now, j.Service))
	if len(plan.Assignments) == 0 {
		j.nextPlacement = now.Add(placementInterval)
		return
	}
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Retried, Tasks: len(tasks)})
	c.place(now, j, plan, tasks)
}
