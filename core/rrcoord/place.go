package rrcoord

import (
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// place places the tasks at the given indexes with the owners of the plan.
func (c *Coordinator) place(now time.Time, j *job, plan rrplacement.Plan, tasks []int) {
	for _, assignment := range plan.Assignments {
		indexes := make([]int, len(assignment.Tasks))
		for at, t := range assignment.Tasks {
			indexes[at] = tasks[t]
		}
		c.placeAtOwner(now, j, assignment.Name, indexes, plan.EstimatedCompletion)
	}
	if j.unplaced > 0 {
		j.nextPlacement = now.Add(placementInterval)
	}
}

// placeAtOwner creates a batch of tasks for one owner and sends it there. If that peer is
// not alive, the tasks stay waiting.
func (c *Coordinator) placeAtOwner(now time.Time, j *job, owner string, tasks []int, untilCompletion time.Duration) {
	c.lastSeq++
	b := &batch{seq: c.lastSeq, job: j, owner: owner, local: owner == c.entry, tasks: tasks, unresolved: len(tasks), sentAt: now, estimatedEnd: now.Add(untilCompletion)}
	if !b.local {
		addr, incarnation, ok := c.fleet.Peer(now, owner)
		if !ok {
			return
		}
		b.ownerAddr, b.ownerIncarnation = addr, incarnation
	}
	var work time.Duration
	for _, i := range tasks {
		record := &j.records[i]
		assertPlace(record)
		record.phase, record.batchSeq = placed, b.seq
		record.placements++
		j.unplaced--
		work += record.estimate
	}
	c.batches[b.seq] = b
	j.batches[b.seq] = b
	if b.local {
		j.addEvent(now, rrstatus.Event{Kind: rrstatus.Placed, Tasks: len(tasks)})
		c.local.Add(now, c.dispatcherBatch(b))
		return
	}
	c.remoteBatches[b.seq] = b
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Sent, Peer: owner, Tasks: len(tasks)})
	c.fleet.AddUnreportedWork(owner, work)
	c.sendRunBatch(now, b)
}

// dispatcherBatch returns the batch in the form that its owner's dispatcher takes.
func (c *Coordinator) dispatcherBatch(b *batch) rrdispatcher.Batch {
	j := b.job
	tasks := make([]rrtask.Task, len(b.tasks))
	for at, i := range b.tasks {
		tasks[at] = j.Tasks[i]
	}
	return rrdispatcher.Batch{
		Key:           c.batchKey(b),
		Job:           j.ID,
		Tenant:        j.Tenant,
		Class:         j.Class,
		Service:       j.Service,
		Deadline:      j.Deadline,
		AcceptedAt:    j.accepted,
		RemainingWork: j.remainingWork,
		Tasks:         tasks,
	}
}

func (c *Coordinator) batchKey(b *batch) rrdispatcher.BatchKey {
	return rrdispatcher.BatchKey{Coordinator: c.entry, Incarnation: c.incarnation, Seq: b.seq}
}

// sendRunBatch sends a batch to its owner, or repeats the call for it. Once the owner has
// acknowledged the batch, repeated calls carry no tasks.
func (c *Coordinator) sendRunBatch(now time.Time, b *batch) {
	run := RunBatchCall{To: b.owner, Addr: b.ownerAddr, Incarnation: b.ownerIncarnation, Batch: c.dispatcherBatch(b), Load: c.local.Load(now)}
	if b.failedCalls > 0 {
		run.RelayAddr = c.fleet.Relay(now, b.owner, b.failedCalls)
	}
	if b.acknowledged {
		run.Batch.Tasks = nil
		run.Received = b.resolvedTasks()
	}
	b.callInFlight = true
	b.retryAt = time.Time{}
	c.Effects.RunBatches = append(c.Effects.RunBatches, run)
}

// resolvedTasks returns the indexes of the tasks that the batch no longer has.
func (b *batch) resolvedTasks() []int {
	var resolved []int
	for _, i := range b.tasks {
		if !b.hasTask(i) {
			resolved = append(resolved, i)
		}
	}
	return resolved
}
