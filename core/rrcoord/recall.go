package rrcoord

import (
	"slices"
	"time"

	"rattanring/core/rrsplit"
	"rattanring/core/rrstatus"
)

// leastRecall is the smallest number of tasks worth the two messages of a
// take-back.
const leastRecall = 16

// recall takes unstarted tasks back from a keeper that is behind while others
// have free slots and nothing queued. One batch is asked at a time.
func (c *Coord) recall(now time.Time) {
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
	best.job.note(now, rrstatus.Step{What: rrstatus.Recalled, Peer: best.keeper, Tasks: most})
	c.Out.Takes = append(c.Out.Takes, Take{To: best.keeper, Addr: best.addr, Life: best.life, Key: c.key(best), Most: most})
}

// surplus estimates how many unstarted tasks of b would end sooner elsewhere: its
// keeper's queue is shared out over the free slots of the other keepers.
func (c *Coord) surplus(now time.Time, b *batch) int {
	if !b.calling || b.job.ending() || now.Sub(b.job.recall) < recallEvery || now.Sub(b.sentAt) < recallEvery {
		return 0
	}
	keepers := c.fleet.Keepers(now, b.job.Service)
	at := slices.IndexFunc(keepers, func(k rrsplit.Keeper) bool { return k.Name == b.keeper })
	if at < 0 {
		return 0
	}
	k := &keepers[at]
	queued := min(k.Load.Queued, b.out)
	if queued < leastRecall || drain(k) < b.job.slots[b.tasks[0]].work {
		return 0
	}
	free := 0
	for i := range keepers {
		if o := &keepers[i]; i != at && o.Load.Queued == 0 && o.Sent == 0 {
			free += o.Load.Slots - o.Load.Busy
		}
	}
	if free < leastRecall {
		return 0
	}
	return min(queued, max(free, queued*free/(free+k.Load.Slots)))
}

// drain returns how long a keeper needs for what it has.
func drain(k *rrsplit.Keeper) time.Duration {
	if k.Load.Slots == 0 {
		return 0
	}
	return (k.Load.Running + k.Load.Waiting()) / time.Duration(k.Load.Slots)
}
