package rrcoord

import (
	"time"

	"rattanring/core/rradmission"
	"rattanring/core/rrcode"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// estimate sets the estimated work of each task.
func (c *Coordinator) estimate(j *job) {
	var last, work time.Duration = -1, 0
	for i := range j.Tasks {
		if e := j.Tasks[i].DeclaredRunTime; e != last {
			last = e
			work = c.learn.Estimate(j.Tenant, j.Class, e)
		}
		j.slots[i].work = work
		j.rest += work
	}
}

// admit passes a job through the door and places it.
func (c *Coordinator) admit(now time.Time, j *job) {
	j.granted = true
	if c.leaving {
		c.refuse(now, j, rrcode.Draining, time.Second)
		return
	}
	keepers := c.fleet.Owners(now, j.Service)
	plan := rrplacement.Split(c.ask(j, all(len(j.Tasks))), keepers)
	v := c.door.Admit(now, rradmission.Request{
		Tenant:              j.Tenant,
		Tasks:               len(j.Tasks),
		TotalRunTime:        j.rest,
		EstimatedCompletion: max(plan.EstimatedCompletion, c.fairFinish(j, keepers)),
		Timeout:             j.Deadline.Sub(now),
		Backlog:             backlog(keepers),
		Slots:               slotsOf(keepers),
		Retry:               j.IsRetry,
		Unschedulable:       !c.fits(j),
	})
	if v.Code != 0 {
		c.refuse(now, j, v.Code, v.RetryAfter)
		return
	}
	j.admitted = true
	j.work = j.rest
	j.ahead = &c.load
	c.load.add(j.work, j.work)
	c.jobs[j.ID] = j
	j.note(now, rrstatus.Event{Kind: rrstatus.Accepted, Tasks: len(j.Tasks)})
	c.place(now, j, plan, all(len(j.Tasks)))
}

// fairFinish estimates the completion of a job on the assumption that every other
// entry has as much outstanding work as this one. In a burst that is nearer to the
// truth than loads heard seconds ago.
func (c *Coordinator) fairFinish(j *job, keepers []rrplacement.Candidate) time.Duration {
	slots := slotsOf(keepers)
	if slots == 0 {
		return 0
	}
	work := c.load.before(j.rest)*time.Duration(len(keepers)) + j.rest
	return work / time.Duration(slots)
}

// fits reports whether each task of the job fits some minion of its service.
func (c *Coordinator) fits(j *job) bool {
	for i := range j.Tasks {
		if size := j.Tasks[i].Resources; !size.IsZero() && !c.fleet.Fits(j.Service, size) {
			return false
		}
	}
	return true
}

func slotsOf(keepers []rrplacement.Candidate) int {
	slots := 0
	for i := range keepers {
		slots += keepers[i].Load.UsableSlots
	}
	return slots
}

// backlog returns the queued work per slot over all keepers.
func backlog(keepers []rrplacement.Candidate) time.Duration {
	var work time.Duration
	slots := slotsOf(keepers)
	for i := range keepers {
		work += keepers[i].Load.QueuedWork() + keepers[i].SentSinceReport
	}
	if slots == 0 {
		return 0
	}
	return work / time.Duration(slots)
}

func (c *Coordinator) refuse(now time.Time, j *job, code rrcode.Code, after time.Duration) {
	j.note(now, rrstatus.Event{Kind: rrstatus.Refused, Detail: code.String()})
	c.answer(now, j, rrtask.Answer{RequestID: j.ID, Code: code, Detail: code.Description(), RetryAfter: after}, j.NonIdempotent)
}

// ask describes the tasks at the given indexes for a division.
func (c *Coordinator) ask(j *job, tasks []int) rrplacement.Request {
	a := c.SplitParams
	a.RemainingWork = j.rest
	a.RunTimes = make([]time.Duration, len(tasks))
	for at, i := range tasks {
		a.RunTimes[at] = j.slots[i].work
	}
	return a
}

func all(n int) []int {
	at := make([]int, n)
	for i := range at {
		at[i] = i
	}
	return at
}
