// Package rrplacement decides how the tasks of a job are divided over keepers.
//
// The division balances two costs: the job's completion time, which more keepers
// shorten, and messages, of which each further keeper costs two.
package rrplacement

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrdispatcher"
)

// Candidate is what the coordinator knows about one keeper.
type Candidate struct {
	Name            string
	Local           bool              // the coordinator itself; a share of it costs no message
	Load            rrdispatcher.Load // as last heard
	SentSinceReport time.Duration     // work sent to it since then
	RTT             time.Duration     // a round trip to it
}

// Request describes the tasks to divide.
type Request struct {
	RunTimes      []time.Duration // estimated run time of each task
	RemainingWork time.Duration   // remaining work of the whole job, for its rank
	MinBatchTasks int             // smallest share worth a message to another keeper, tasks
	MinGain       float64         // smallest cut of the completion time worth a message, as a share of it
}

// Assignment is the part of one keeper.
type Assignment struct {
	Name  string
	Tasks []int // positions in Request.RunTimes
}

// Plan is the division of a job.
type Plan struct {
	Assignments         []Assignment
	EstimatedCompletion time.Duration // estimated time until the last task ends
}

// ownerQueue is a keeper seen from one job: the work that goes before the job, and
// the slots that serve it.
type ownerQueue struct {
	owner     *Candidate
	workAhead time.Duration // work before the job's first task
	slots     int
}

func newOwnerQueue(owner *Candidate, remaining time.Duration) ownerQueue {
	workAhead := owner.Load.RunningWork + owner.SentSinceReport
	bucket := rrdispatcher.BacklogBucket(remaining)
	for i := range bucket {
		workAhead += owner.Load.Backlog[i]
	}
	workAhead += owner.Load.Backlog[bucket] / 2
	return ownerQueue{owner: owner, workAhead: workAhead, slots: owner.Load.UsableSlots}
}

// wait returns the time that a task spends in line while its keeper is level.
func (q *ownerQueue) wait() time.Duration {
	return q.workAhead / time.Duration(q.slots)
}

// Split divides the tasks over keepers. It returns a Plan without shares when
// no keeper has a slot.
func Split(req Request, owners []Candidate) Plan {
	queues := usableQueues(req, owners)
	if len(queues) == 0 {
		return Plan{}
	}
	var work, longest time.Duration
	for _, w := range req.RunTimes {
		work += w
		longest = max(longest, w)
	}
	n, finish := chooseQueues(req, queues, work, longest)
	return Plan{Assignments: assign(req, queues[:n], finish), EstimatedCompletion: finish}
}

// usableQueues returns the keepers with slots, the local one first and the others
// by their wait.
func usableQueues(req Request, owners []Candidate) []ownerQueue {
	queues := make([]ownerQueue, 0, len(owners))
	for i := range owners {
		if owners[i].Load.UsableSlots > 0 {
			queues = append(queues, newOwnerQueue(&owners[i], req.RemainingWork))
		}
	}
	slices.SortStableFunc(queues, func(x, y ownerQueue) int {
		if x.owner.Local != y.owner.Local {
			if x.owner.Local {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.wait()+x.owner.RTT, y.wait()+y.owner.RTT)
	})
	return queues
}

// chooseQueues returns how many of the queues to use, and the completion time with
// them. A further keeper is used while it gets a share of at least a.MinBatchTasks tasks
// or shortens the completion by at least the share a.MinGain.
func chooseQueues(req Request, queues []ownerQueue, work, longest time.Duration) (int, time.Duration) {
	n := 1
	finish := completionTime(queues[:1], work, longest)
	for m := 2; m <= len(queues); m++ {
		next := completionTime(queues[:m], work, longest)
		if float64(finish-next) < req.MinGain*float64(m-n)*float64(finish) {
			continue
		}
		if taskShare(&queues[m-1], next, work, len(req.RunTimes)) < req.MinBatchTasks && !smallShareWorthwhile(finish, next, longest) {
			continue
		}
		n, finish = m, next
	}
	return n, finish
}

// smallShareWorthwhile reports whether even a small share pays for its message: without it
// the job takes several times its longest task.
func smallShareWorthwhile(finish, next, longest time.Duration) bool {
	return finish > smallShareRatio*longest && next <= finish/2
}

// smallShareRatio is how far a job may stay behind its longest task before a small
// share is sent away.
const smallShareRatio = 2

// taskShare returns the number of tasks that q gets when all queues end at finish.
func taskShare(q *ownerQueue, finish, work time.Duration, tasks int) int {
	capacity := finish*time.Duration(q.slots) - q.workAhead
	if capacity <= 0 || work <= 0 {
		return 0
	}
	return int(float64(tasks) * min(1, float64(capacity)/float64(work)))
}

// completionTime returns the completion time of work shared by queues so that all of them
// end together. Queues whose own work lasts longer take no part.
func completionTime(queues []ownerQueue, work, longest time.Duration) time.Duration {
	total := work
	slots := 0
	for i := range queues {
		total += queues[i].workAhead
		slots += queues[i].slots
	}
	finish := total / time.Duration(slots)
	for range queues {
		next, used := work, 0
		for i := range queues {
			if queues[i].wait() < finish {
				next += queues[i].workAhead
				used += queues[i].slots
			}
		}
		if used == 0 || used == slots {
			break
		}
		slots = used
		finish = next / time.Duration(used)
	}
	return max(finish, earliestFreeSlot(queues)+longest)
}

// earliestFreeSlot returns the shortest time until a queue has a free slot.
func earliestFreeSlot(queues []ownerQueue) time.Duration {
	best := time.Duration(-1)
	for i := range queues {
		q := &queues[i]
		t := q.owner.RTT
		if q.owner.Load.BusySlots >= q.slots || q.owner.Load.QueuedTasks > 0 {
			t += (q.workAhead - q.owner.Load.RunningWork) / time.Duration(q.slots)
		}
		if best < 0 || t < best {
			best = t
		}
	}
	return best
}

// assign gives each task, the longest first, to the queue with the most room left
// below finish.
func assign(req Request, queues []ownerQueue, finish time.Duration) []Assignment {
	shares := make([]Assignment, len(queues))
	capacity := make([]time.Duration, len(queues))
	for i := range queues {
		shares[i].Name = queues[i].owner.Name
		capacity[i] = finish*time.Duration(queues[i].slots) - queues[i].workAhead
	}
	for _, t := range longestFirst(req.RunTimes) {
		best := 0
		for i := 1; i < len(capacity); i++ {
			if capacity[i] > capacity[best] {
				best = i
			}
		}
		shares[best].Tasks = append(shares[best].Tasks, t)
		capacity[best] -= req.RunTimes[t]
	}
	return slices.DeleteFunc(shares, func(s Assignment) bool { return len(s.Tasks) == 0 })
}

// longestFirst returns the positions of works, the longest first.
func longestFirst(runTimes []time.Duration) []int {
	order := make([]int, len(runTimes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(runTimes[y], runTimes[x]) })
	return order
}
