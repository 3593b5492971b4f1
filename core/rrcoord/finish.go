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

// complete answers a job of which every task has run.
func (c *Coordinator) complete(now time.Time, j *job) {
	c.answer(now, j, rrtask.Answer{RequestID: j.ID, Code: rrcode.Complete, Results: j.results}, j.NonIdempotent)
}

// fail decides that the job ends with code and cancels what has not started. The
// answer goes out once it is known to be true, see conclude.
func (c *Coordinator) fail(now time.Time, j *job, code rrcode.Code, detail string) {
	if j.ending() {
		return
	}
	j.code = code
	j.detail = detail
	if detail == "" {
		j.detail = code.Description()
	}
	j.grace = now.Add(graceAtEnd)
	for i := range j.slots {
		if j.slots[i].phase == waiting {
			j.end(i, unsent)
		}
	}
	for _, b := range sorted(j.batches) {
		c.abandon(now, b)
	}
}

func sorted(batches map[uint64]*batch) []*batch {
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

// abandon cancels the unstarted tasks of a batch.
func (c *Coordinator) abandon(now time.Time, b *batch) {
	if !b.local {
		if b.exposed() {
			c.Effects.Cancels = append(c.Effects.Cancels, CancelBatchesCall{To: b.keeper, Addr: b.addr, Incarnation: b.life, Keys: []rrdispatcher.BatchKey{c.key(b)}})
		}
		return
	}
	c.local.CancelQueued(now, c.key(b))
	_, running := c.local.Progress(c.key(b))
	if running > 0 {
		b.job.ran = true
		return
	}
	for _, i := range b.tasks {
		if b.has(i) {
			b.job.end(i, unsent)
		}
	}
	b.out = 0
	c.forget(b)
}

// conclude answers an ending job as soon as its outcome is certain: at once when
// something is known to have run, otherwise when every keeper has said that its
// tasks did not start, or after a grace time.
func (c *Coordinator) conclude(now time.Time, j *job) {
	for i := range j.slots {
		if j.slots[i].phase == waiting {
			j.end(i, unsent)
		}
	}
	if !j.ran && j.uncertain() && now.Before(j.grace) {
		return
	}
	code := j.code
	if code.Class() == rrcode.ClassNotRun && (j.ran || j.uncertain()) {
		code = afterStart(code)
	}
	a := rrtask.Answer{RequestID: j.ID, Code: code, Detail: j.detail}
	if code != j.code {
		a.Detail = code.Description() + " (" + j.detail + ")"
	}
	c.answer(now, j, a, j.NonIdempotent)
}

// afterStart returns the outcome that stands for a code of the class not run
// when tasks may have started.
func afterStart(code rrcode.Code) rrcode.Code {
	switch code {
	case rrcode.DeadlinePassed:
		return rrcode.TimedOut
	case rrcode.CanceledBeforeStart:
		return rrcode.CanceledAfterStart
	}
	return rrcode.Partial
}

// answer emits the final answer and forgets the job.
func (c *Coordinator) answer(now time.Time, j *job, a rrtask.Answer, closeClaim bool) {
	if a.Coordinator == "" {
		a.Coordinator = c.entry
	}
	c.assertAnswer(j, &a)
	if j.admitted {
		c.load.sub(j.work, j.rest)
		j.ahead = nil
		c.door.Release(now, j.Tenant, len(j.Tasks), j.work)
	}
	j.code = a.Code
	j.note(now, rrstatus.Event{Kind: rrstatus.Answered, Detail: a.Code.String()})
	c.Effects.Answers = append(c.Effects.Answers, JobAnswer{
		Callers:    j.tokens,
		Answer:     a,
		CloseClaim: closeClaim,
		Tenant:     j.Tenant,
		Class:      j.Class,
		Elapsed:    now.Sub(j.accepted),
	})
	for _, b := range j.batches {
		// A call in flight still brings the end of a remote batch; nobody waits for it.
		b.out = 0
		c.forget(b)
	}
	delete(c.jobs, j.ID)
	c.remember(j)
}

// Cancel drops the unstarted tasks of jobs of a tenant. It returns the number of
// jobs found and of tasks that had not started.
func (c *Coordinator) Cancel(now time.Time, tenant string, ids []string) (jobs, tasks int) {
	for _, id := range ids {
		j, ok := c.jobs[id]
		if !ok || j.Tenant != tenant || j.ending() || !j.granted {
			continue
		}
		jobs++
		tasks += j.open
		j.note(now, rrstatus.Event{Kind: rrstatus.Canceled})
		c.fail(now, j, rrcode.CanceledBeforeStart, "")
		c.conclude(now, j)
	}
	c.mergeDrops()
	return jobs, tasks
}

// mergeDrops joins the cancellations for one keeper into one message.
func (c *Coordinator) mergeDrops() {
	merged := c.Effects.Cancels[:0]
	for _, d := range c.Effects.Cancels {
		at := slices.IndexFunc(merged, func(m CancelBatchesCall) bool { return m.To == d.To && m.Incarnation == d.Incarnation })
		if at < 0 {
			merged = append(merged, d)
			continue
		}
		merged[at].Keys = append(merged[at].Keys, d.Keys...)
	}
	c.Effects.Cancels = merged
}

// CallerDisconnected notes that a caller no longer waits. An idempotent job that nobody waits
// for is canceled after a while, in which a caller may come back.
func (c *Coordinator) CallerDisconnected(now time.Time, tok CallerID, id string) {
	j, ok := c.jobs[id]
	if !ok {
		return
	}
	j.tokens = slices.DeleteFunc(j.tokens, func(t CallerID) bool { return t == tok })
	if len(j.tokens) == 0 && !j.NonIdempotent {
		j.goneAt = now
	}
}

// Tick moves on what time alone moves: deadlines, repeated calls, waiting tasks,
// keepers that have died and callers that have gone.
func (c *Coordinator) Tick(now time.Time) {
	if now.Sub(c.scanned) < scanEvery {
		return
	}
	c.scanned = now
	for _, j := range c.dueJobs(now) {
		c.tickJob(now, j)
	}
	for _, b := range c.dueBatches(now) {
		c.retry(now, b)
	}
	c.recall(now)
	c.mergeDrops()
}

// dueJobs returns the jobs with something to do at now, in a fixed order.
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

// dueBatches returns the batches to send again at now and those whose keeper has
// died, in a fixed order.
func (c *Coordinator) dueBatches(now time.Time) []*batch {
	var due []*batch
	for _, b := range c.remote {
		if !b.calling && reached(now, b.retryAt) || c.gone(now, b) {
			due = append(due, b)
		}
	}
	slices.SortFunc(due, bySeq)
	return due
}

// gone reports whether the incarnation that has the batch is no longer alive.
func (c *Coordinator) gone(now time.Time, b *batch) bool {
	_, life, ok := c.fleet.Peer(now, b.keeper)
	return !ok || life != b.life
}

func (c *Coordinator) tickJob(now time.Time, j *job) {
	switch {
	case !j.granted:
	case j.ending():
		c.conclude(now, j)
	case !now.Before(j.Deadline):
		j.note(now, rrstatus.Event{Kind: rrstatus.Expired})
		c.fail(now, j, rrcode.DeadlinePassed, "")
		c.conclude(now, j)
	case reached(now, j.goneAt.Add(lingerGone)) && !j.goneAt.IsZero():
		j.note(now, rrstatus.Event{Kind: rrstatus.Canceled, Detail: "the caller has gone"})
		c.fail(now, j, rrcode.CanceledBeforeStart, "")
		c.conclude(now, j)
	case j.idle > 0 && reached(now, j.retryAt):
		c.replace(now, j)
	}
}

// retry sends a batch again to the same incarnation, or gives it up.
func (c *Coordinator) retry(now time.Time, b *batch) {
	if _, ok := c.remote[b.seq]; !ok {
		return
	}
	b.retryAt = time.Time{}
	if c.gone(now, b) {
		c.lost(now, b)
		c.after(now, b)
		return
	}
	b.job.note(now, rrstatus.Event{Kind: rrstatus.Resent, Peer: b.keeper, Tasks: b.out})
	c.call(now, b)
}
