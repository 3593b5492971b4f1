package rrcoord

import (
	"slices"
	"time"

	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
)

// minRecallTasks is the smallest number of tasks that justifies the two messages of a
// recall.
const minRecallTasks = 16

// recallSurplus recalls unstarted tasks from an owner with a long queue while other owners
// have free slots and empty queues. Each call recalls tasks of at most one batch.
func (c *Coordinator) recallSurplus(now time.Time) {
	if c.draining {
		return
	}
	var best *batch
	bestSurplus := minRecallTasks - 1
	for _, b := range c.remoteBatches {
		n := c.surplus(now, b)
		if n > bestSurplus || n == bestSurplus && best != nil && b.seq < best.seq {
			best, bestSurplus = b, n
		}
	}
	if best == nil {
		return
	}
	best.job.lastRecall = now
	best.job.addEvent(now, rrstatus.Event{Kind: rrstatus.Recalled, Peer: best.owner, Tasks: bestSurplus})
	c.Effects.Recalls = append(c.Effects.Recalls, RecallCall{To: best.owner, Addr: best.ownerAddr, Incarnation: best.ownerIncarnation, Key: c.batchKey(best), MaxTasks: bestSurplus})
}

// surplus estimates how many unstarted tasks of b would finish sooner elsewhere: it
// spreads the owner's queue over the free slots of the other owners.
func (c *Coordinator) surplus(now time.Time, b *batch) int {
	if !b.callInFlight || b.job.failed() || now.Sub(b.job.lastRecall) < recallInterval || now.Sub(b.sentAt) < recallInterval {
		return 0
	}
	owners := c.fleet.Owners(now, b.job.Service)
	at := slices.IndexFunc(owners, func(owner rrplacement.Candidate) bool { return owner.Name == b.owner })
	if at < 0 {
		return 0
	}
	owner := &owners[at]
	queued := min(owner.Load.QueuedTasks, b.unresolved)
	if queued < minRecallTasks || timeToIdle(owner) < b.job.records[b.tasks[0]].estimate {
		return 0
	}
	free := 0
	for i := range owners {
		if other := &owners[i]; i != at && other.Load.QueuedTasks == 0 && other.UnreportedWork == 0 {
			free += other.Load.UsableSlots - other.Load.BusySlots
		}
	}
	if free < minRecallTasks {
		return 0
	}
	return min(queued, max(free, queued*free/(free+owner.Load.UsableSlots)))
}

// timeToIdle returns how long an owner needs for its running and queued work.
func timeToIdle(owner *rrplacement.Candidate) time.Duration {
	if owner.Load.UsableSlots == 0 {
		return 0
	}
	return (owner.Load.RunningWork + owner.Load.QueuedWork()) / time.Duration(owner.Load.UsableSlots)
}
