package rrcoord

import (
	"time"

	"rattanring/core/rrstatus"
)

// leastRecall is the smallest number of tasks worth the two messages of a
// take-back.
const leastRecall = 4

// recall takes unstarted tasks back from another keeper while the own keeper has
// free slots and nothing queued. One batch is asked at a time.
func (c *Coord) recall(now time.Time) {
	if c.leaving || len(c.remote) == 0 {
		return
	}
	load := c.local.Load(now)
	idle := load.Slots - load.Busy
	if idle < leastRecall || load.Queued > 0 {
		return
	}
	var best *batch
	most := leastRecall - 1
	for _, b := range c.remote {
		if n := b.unstarted(now); n > most || n == most && best != nil && b.seq < best.seq {
			best, most = b, n
		}
	}
	if best == nil {
		return
	}
	n := min(idle, (most+1)/2)
	best.recall = now
	best.job.note(now, rrstatus.Step{What: rrstatus.Recalled, Peer: best.keeper, Tasks: n})
	c.Out.Takes = append(c.Out.Takes, Take{To: best.keeper, Addr: best.addr, Life: best.life, Key: c.key(best), Most: n})
}

// unstarted estimates how many tasks of b its keeper has not started yet and will
// not start soon.
func (b *batch) unstarted(now time.Time) int {
	left := b.due.Sub(now)
	total := b.due.Sub(b.sentAt)
	if !b.calling || b.job.ending() || total <= 0 || now.Sub(b.recall) < recallEvery {
		return 0
	}
	work := b.job.slots[b.tasks[0]].work
	if left < 2*work {
		return 0
	}
	return int(float64(b.out) * float64(left-work) / float64(total))
}
