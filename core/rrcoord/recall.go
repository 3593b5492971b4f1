package rrcoord

import (
	"slices"
	"time"

	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
)

// leastRecall is the smallest number of tasks worth the two messages of a
// take-back.
const leastRecall = 16

// recall takes unstarted tasks back from a keeper that is behind while others
// have free slots and nothing queued. One batch is asked at a time.
func (c *Coordinator) recall(now time.Time) {
	if c.leaving {
		return
	}
	var best *batch
	most := leastRecall - 1
	for _, b := range c.remote {
		n := c.surplus(now, b)
		if n > most || n == most && best != nil && b.seq < best.seq {
			best, most = b, n
		}
	}
	if best == nil {
		return
	}
	best.job.recall = now
	best.job.note(now, rrstatus.Event{Kind: rrstatus.Recalled, Peer: best.keeper, Tasks: most})
	c.Effects.Recalls = append(c.Effects.Recalls, RecallCall{To: best.keeper, Addr: best.addr, Incarnation: best.life, Key: c.key(best), MaxTasks: most})
}

// surplus estimates how many unstarted tasks of b would end sooner elsewhere: its
// keeper's queue is shared out over the free slots of the other keepers.
func (c *Coordinator) surplus(now time.Time, b *batch) int {
	if !b.calling || b.job.ending() || now.Sub(b.job.recall) < recallEvery || now.Sub(b.sentAt) < recallEvery {
		return 0
	}
	keepers := c.fleet.Owners(now, b.job.Service)
	at := slices.IndexFunc(keepers, func(k rrplacement.Candidate) bool { return k.Name == b.keeper })
	if at < 0 {
		return 0
	}
	k := &keepers[at]
	queued := min(k.Load.QueuedTasks, b.out)
	if queued < leastRecall || drain(k) < b.job.slots[b.tasks[0]].work {
		return 0
	}
	free := 0
	for i := range keepers {
		if o := &keepers[i]; i != at && o.Load.QueuedTasks == 0 && o.SentSinceReport == 0 {
			free += o.Load.UsableSlots - o.Load.BusySlots
		}
	}
	if free < leastRecall {
		return 0
	}
	return min(queued, max(free, queued*free/(free+k.Load.UsableSlots)))
}

// drain returns how long a keeper needs for what it has.
func drain(k *rrplacement.Candidate) time.Duration {
	if k.Load.UsableSlots == 0 {
		return 0
	}
	return (k.Load.RunningWork + k.Load.QueuedWork()) / time.Duration(k.Load.UsableSlots)
}
