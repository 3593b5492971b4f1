package rrcoord

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// TaskDone takes the result of a task from the entry's own keeper.
func (c *Coordinator) TaskDone(now time.Time, o rrdispatcher.Outcome) {
	b, ok := c.batches[o.Key.Seq]
	if !ok || o.Key.Incarnation != c.life {
		return
	}
	c.result(now, b, o.Result)
	c.after(now, b)
}

// RunBatchDone takes the outcome of a Run call.
func (c *Coordinator) RunBatchDone(now time.Time, r RunBatchResult) {
	b, ok := c.batches[r.Seq]
	if !ok {
		return
	}
	b.calling = false
	switch {
	case r.Delivery == DeliveryNotSent:
		c.notSent(now, b)
	case r.Delivery == DeliveryUnknown:
		c.ambiguous(now, b)
	case r.Code != 0:
		c.turnedAway(now, b, r)
	default:
		c.progress(now, b, r)
	}
	c.after(now, b)
}

// notSent handles a call of which no byte was written.
func (c *Coordinator) notSent(now time.Time, b *batch) {
	if b.tried || b.taken {
		c.fleet.ConnectionRefused(now, b.keeper)
		b.broken++
		c.again(now, b)
		return
	}
	c.handBack(now, b, rrcode.Unreachable)
}

// ambiguous handles a call that broke after bytes were written.
func (c *Coordinator) ambiguous(now time.Time, b *batch) {
	b.tried = true
	b.broken++
	c.again(now, b)
}

// again plans a further call to the same incarnation, or gives the batch up when
// that incarnation is gone.
func (c *Coordinator) again(now time.Time, b *batch) {
	if c.gone(now, b) {
		c.lost(now, b)
		return
	}
	b.later(now)
}

// turnedAway handles a refusal of the whole batch. A keeper that refuses a batch for
// a reason of its own has never run it and never will, whatever became of earlier
// calls: it remembers the keys of an incarnation. One that does not know the
// incarnation or the key says nothing about earlier calls.
func (c *Coordinator) turnedAway(now time.Time, b *batch, r RunBatchResult) {
	if b.taken || b.tried && (r.Code == rrcode.StaleIncarnation || r.Incarnation != b.life) {
		c.lost(now, b)
		return
	}
	c.handBack(now, b, r.Code)
}

// progress takes results and returned tasks.
func (c *Coordinator) progress(now time.Time, b *batch, r RunBatchResult) {
	b.taken = true
	b.backoff = 0
	b.broken = 0
	for i := range r.Results {
		c.result(now, b, r.Results[i])
	}
	if c.giveBack(now, b, r.Returned) > 0 {
		b.job.pause(now)
	}
	if b.out == 0 {
		return
	}
	if !r.More {
		c.lost(now, b)
		return
	}
	c.call(now, b)
}

// RecallDone takes the answer to a take-back: all tasks of the batch that the keeper
// has given back so far.
func (c *Coordinator) RecallDone(now time.Time, seq uint64, returned []int) {
	b, ok := c.batches[seq]
	if !ok {
		return
	}
	for _, i := range returned {
		if b.has(i) {
			b.job.slots[i].tries--
		}
	}
	c.giveBack(now, b, returned)
	c.after(now, b)
}

// giveBack makes tasks wait again that a keeper confirmed never to start, and
// returns how many.
func (c *Coordinator) giveBack(now time.Time, b *batch, returned []int) int {
	n := 0
	for _, i := range returned {
		if !b.has(i) {
			continue
		}
		b.job.unplace(i)
		b.out--
		n++
	}
	if n > 0 {
		b.job.note(now, rrstatus.Event{Kind: rrstatus.Returned, Peer: b.keeper, Tasks: n})
	}
	return n
}

// handBack makes all tasks of a batch wait again that is known not to have run.
func (c *Coordinator) handBack(now time.Time, b *batch, code rrcode.Code) {
	n := 0
	for _, i := range b.tasks {
		if b.has(i) {
			b.job.unplace(i)
			n++
		}
	}
	b.out = 0
	b.job.pause(now)
	if code == rrcode.Unreachable {
		c.fleet.ConnectionRefused(now, b.keeper)
	} else {
		c.fleet.Exclude(b.keeper)
	}
	b.job.note(now, rrstatus.Event{Kind: rrstatus.Returned, Peer: b.keeper, Tasks: n, Detail: code.String()})
}

// lost ends a batch whose keeper is gone. Its tasks may have run.
func (c *Coordinator) lost(now time.Time, b *batch) {
	j := b.job
	j.ran = true
	j.note(now, rrstatus.Event{Kind: rrstatus.Lost, Peer: b.keeper, Tasks: b.out})
	for _, i := range b.tasks {
		if b.has(i) {
			j.end(i, ended)
		}
	}
	b.out = 0
	c.fail(now, j, rrcode.OwnerLost, "entry "+b.keeper+" was lost while it held tasks of the job")
}

// result takes the result of one task.
func (c *Coordinator) result(now time.Time, b *batch, r rrtask.Result) {
	j := b.job
	if !b.has(r.Index) {
		return
	}
	b.out--
	switch r.Code.Class() {
	case rrcode.ClassComplete:
		c.learn.Observe(j.Tenant, j.Class, j.Tasks[r.Index].DeclaredRunTime, r.RunTime)
		j.ran = true
		j.bounces = 0
		j.end(r.Index, ended)
		j.results[r.Index] = r
	case rrcode.ClassNotRun:
		c.notStarted(now, b, r)
	default:
		j.ran = true
		j.end(r.Index, ended)
		c.fail(now, j, r.Code, r.Detail)
	}
}

// notStarted handles a task that is known not to have started.
func (c *Coordinator) notStarted(now time.Time, b *batch, r rrtask.Result) {
	j := b.job
	j.unplace(r.Index)
	if r.Code == rrcode.DeadlinePassed {
		c.fail(now, j, rrcode.DeadlinePassed, "")
		return
	}
	if int(j.slots[r.Index].tries) >= maxTries {
		c.fail(now, j, r.Code, r.Detail)
		return
	}
	if j.retryAt.IsZero() {
		j.retryAt = now.Add(placeEvery)
		j.note(now, rrstatus.Event{Kind: rrstatus.Returned, Peer: b.keeper, Tasks: 1, Detail: r.Code.String()})
	}
}

// after cleans up a batch and moves its job on.
func (c *Coordinator) after(now time.Time, b *batch) {
	j := b.job
	if b.out == 0 && !b.calling {
		c.forget(b)
	}
	if _, ok := c.jobs[j.ID]; !ok {
		return
	}
	if j.ending() {
		c.conclude(now, j)
		return
	}
	if j.open == 0 {
		c.complete(now, j)
		return
	}
	if j.idle > 0 && j.retryAt.IsZero() {
		c.replace(now, j)
	}
	if !b.local {
		c.shareRest(now, j)
	}
}

// shareRest tells the own keeper how much of the job is left, which ranks it.
func (c *Coordinator) shareRest(now time.Time, j *job) {
	for _, b := range j.batches {
		if b.local {
			c.local.SetRemainingWork(now, c.key(b), j.rest)
		}
	}
}

// replace places the waiting tasks of a job again.
func (c *Coordinator) replace(now time.Time, j *job) {
	j.retryAt = time.Time{}
	var tasks []int
	for i := range j.slots {
		if j.slots[i].phase == waiting {
			tasks = append(tasks, i)
		}
	}
	plan := rrplacement.Split(c.ask(j, tasks), c.fleet.Owners(now, j.Service))
	if len(plan.Assignments) == 0 {
		j.retryAt = now.Add(placeEvery)
		return
	}
	j.note(now, rrstatus.Event{Kind: rrstatus.Retried, Tasks: len(tasks)})
	c.place(now, j, plan, tasks)
}
