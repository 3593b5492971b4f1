package rrcoord

import (
	"time"

	"rattanring/core/rradmission"
	"rattanring/core/rrcode"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// estimate sets the estimated run time of each task and the job's remaining work.
func (c *Coordinator) estimate(j *job) {
	var last, work time.Duration = -1, 0
	for i := range j.Tasks {
		if declared := j.Tasks[i].DeclaredRunTime; declared != last {
			last = declared
			work = c.estimator.Estimate(j.Tenant, j.Class, declared)
		}
		j.records[i].estimate = work
		j.remainingWork += work
	}
}

// admit runs a job through admission control and places its tasks.
func (c *Coordinator) admit(now time.Time, j *job) {
	j.claimGranted = true
	if c.draining {
		c.refuse(now, j, rrcode.Draining, time.Second)
		return
	}
	owners := c.fleet.Owners(now, j.Service)
	all := allIndexes(len(j.Tasks))
	plan := rrplacement.Split(c.splitRequest(j, all), owners)
	decision := c.admission.Admit(now, rradmission.Request{
		Tenant:              j.Tenant,
		Tasks:               len(j.Tasks),
		TotalRunTime:        j.remainingWork,
		EstimatedCompletion: max(plan.EstimatedCompletion, c.completionAtEvenLoad(j, owners)),
		Timeout:             j.Deadline.Sub(now),
		Backlog:             backlogPerSlot(owners),
		Slots:               usableSlots(owners),
		IsRetry:             j.IsRetry,
		Unschedulable:       !c.fits(j),
		Evacuated:           c.needsEvacuated(j, all),
	})
	if decision.Code != 0 {
		c.refuse(now, j, decision.Code, decision.RetryAfter)
		return
	}
	j.admitted = true
	j.admittedWork = j.remainingWork
	j.outstanding = &c.outstanding
	c.outstanding.add(j.admittedWork, j.admittedWork)
	c.jobs[j.ID] = j
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Accepted, Tasks: len(j.Tasks)})
	c.place(now, j, plan, all)
}

// completionAtEvenLoad estimates the time until the job completes, assuming that every
// other entry has as much outstanding work as this one. In a burst this is more accurate
// than loads that were reported seconds ago.
func (c *Coordinator) completionAtEvenLoad(j *job, owners []rrplacement.Candidate) time.Duration {
	slots := usableSlots(owners)
	if slots == 0 {
		return 0
	}
	work := c.outstanding.workBefore(j.remainingWork)*time.Duration(len(owners)) + j.remainingWork
	return work / time.Duration(slots)
}

// fits reports whether each task fits some minion of the job's service.
func (c *Coordinator) fits(j *job) bool {
	for i := range j.Tasks {
		if resources := j.Tasks[i].Resources; !resources.IsZero() && !c.fleet.Fits(j.Service, resources) {
			return false
		}
	}
	return true
}

func usableSlots(owners []rrplacement.Candidate) int {
	slots := 0
	for i := range owners {
		slots += owners[i].Load.UsableSlots
	}
	return slots
}

// backlogPerSlot returns the queued work per slot over all owners.
func backlogPerSlot(owners []rrplacement.Candidate) time.Duration {
	var work time.Duration
	slots := usableSlots(owners)
	for i := range owners {
		work += owners[i].Load.QueuedWork() + owners[i].UnreportedWork
	}
	if slots == 0 {
		return 0
	}
	return work / time.Duration(slots)
}

func (c *Coordinator) refuse(now time.Time, j *job, code rrcode.Code, retryAfter time.Duration) {
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Refused, Detail: code.String()})
	c.answer(now, j, rrtask.Answer{RequestID: j.ID, Code: code, Detail: code.Description(), RetryAfter: retryAfter}, j.NonIdempotent)
}

// splitRequest describes the tasks at the given indexes for rrplacement.Split.
func (c *Coordinator) splitRequest(j *job, tasks []int) rrplacement.Request {
	req := c.SplitParams
	req.RemainingWork = j.remainingWork
	req.RunTimes = make([]time.Duration, len(tasks))
	for at, i := range tasks {
		req.RunTimes[at] = j.records[i].estimate
	}
	return req
}

func allIndexes(n int) []int {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}
