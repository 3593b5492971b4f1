package rrcoord

import (
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// place hands the tasks at the given indexes to the keepers of the plan.
func (c *Coordinator) place(now time.Time, j *job, plan rrplacement.Plan, tasks []int) {
	for _, s := range plan.Assignments {
		own := make([]int, len(s.Tasks))
		for at, t := range s.Tasks {
			own[at] = tasks[t]
		}
		c.placeAt(now, j, s.Name, own, plan.EstimatedCompletion)
	}
	if j.idle > 0 {
		j.retryAt = now.Add(placeEvery)
	}
}

func (c *Coordinator) placeAt(now time.Time, j *job, keeper string, tasks []int, finish time.Duration) {
	c.seq++
	b := &batch{seq: c.seq, job: j, keeper: keeper, local: keeper == c.entry, tasks: tasks, out: len(tasks), sentAt: now, due: now.Add(finish)}
	if !b.local {
		addr, life, ok := c.fleet.Peer(now, keeper)
		if !ok {
			return
		}
		b.addr, b.life = addr, life
	}
	var work time.Duration
	for _, i := range tasks {
		s := &j.slots[i]
		assertPlace(s)
		s.phase, s.seq = placed, b.seq
		s.tries++
		j.idle--
		work += s.work
	}
	c.batches[b.seq] = b
	j.batches[b.seq] = b
	if b.local {
		j.note(now, rrstatus.Event{Kind: rrstatus.Placed, Tasks: len(tasks)})
		c.local.Add(now, c.message(b))
		return
	}
	c.remote[b.seq] = b
	j.note(now, rrstatus.Event{Kind: rrstatus.Sent, Peer: keeper, Tasks: len(tasks)})
	c.fleet.AddUnreportedWork(keeper, work)
	c.call(now, b)
}

// message returns the batch as its keeper gets it.
func (c *Coordinator) message(b *batch) rrdispatcher.Batch {
	j := b.job
	tasks := make([]rrtask.Task, len(b.tasks))
	for at, i := range b.tasks {
		tasks[at] = j.Tasks[i]
	}
	return rrdispatcher.Batch{
		Key:           c.key(b),
		Job:           j.ID,
		Tenant:        j.Tenant,
		Class:         j.Class,
		Service:       j.Service,
		Deadline:      j.Deadline,
		AcceptedAt:    j.accepted,
		RemainingWork: j.rest,
		Tasks:         tasks,
	}
}

func (c *Coordinator) key(b *batch) rrdispatcher.BatchKey {
	return rrdispatcher.BatchKey{Coordinator: c.entry, Incarnation: c.life, Seq: b.seq}
}

// call sends a batch, or attaches to it again. Once the keeper has answered for
// it, the tasks are not sent again.
func (c *Coordinator) call(now time.Time, b *batch) {
	run := RunBatchCall{To: b.keeper, Addr: b.addr, Incarnation: b.life, Batch: c.message(b), Load: c.local.Load(now)}
	if b.broken > 0 {
		run.RelayAddr = c.fleet.Relay(now, b.keeper, b.broken)
	}
	if b.taken {
		run.Batch.Tasks = nil
		run.Received = b.ended()
	}
	b.calling = true
	b.retryAt = time.Time{}
	c.Effects.RunBatches = append(c.Effects.RunBatches, run)
}

// ended returns the indexes of the tasks of b that are no longer in its hands.
func (b *batch) ended() []int {
	var have []int
	for _, i := range b.tasks {
		if !b.has(i) {
			have = append(have, i)
		}
	}
	return have
}
