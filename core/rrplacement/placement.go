// Package rrplacement divides the tasks of a job among owners, the entries that
// schedule tasks on minions.
//
// The division balances two costs: the job's completion time, which more owners
// shorten, and messages, two for each additional owner.
package rrplacement

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrdispatcher"
)

// Candidate is an owner that may get tasks, as the coordinator knows it.
type Candidate struct {
	Name           string
	Local          bool              // the coordinator itself, which costs no message
	Load           rrdispatcher.Load // as last reported
	UnreportedWork time.Duration     // work sent to the owner since that report
	RTT            time.Duration     // round-trip time to the owner
}

// Request describes the tasks to divide.
type Request struct {
	RunTimes      []time.Duration // estimated run time of each task
	RemainingWork time.Duration   // remaining work of the whole job, which decides its order in queues
	MinBatchTasks int             // smallest share worth a message to another owner, tasks
	MinReduction  float64         // smallest fraction by which one more owner must shorten the completion time
}

// Assignment is the share of one owner.
type Assignment struct {
	Name  string
	Tasks []int // indexes in Request.RunTimes
}

// Plan is the division of a job.
type Plan struct {
	Assignments         []Assignment
	EstimatedCompletion time.Duration // estimated time until the last task ends
}

// ownerQueue is the queue of one owner from the viewpoint of a job.
type ownerQueue struct {
	owner     *Candidate
	workAhead time.Duration // work that runs before the job's first task
	slots     int
}

func newOwnerQueue(owner *Candidate, remaining time.Duration) ownerQueue {
	workAhead := owner.Load.RunningWork + owner.UnreportedWork
	bucket := rrdispatcher.BacklogBucket(remaining)
	for i := range bucket {
		workAhead += owner.Load.Backlog[i]
	}
	workAhead += owner.Load.Backlog[bucket] / 2 // about half of the jobs in the same bucket run first
	return ownerQueue{owner: owner, workAhead: workAhead, slots: owner.Load.UsableSlots}
}

// wait returns the estimated time that a task of the job waits in the queue.
func (q *ownerQueue) wait() time.Duration {
	return q.workAhead / time.Duration(q.slots)
}

// Split divides the tasks among the owners. The Plan has no assignments if no owner
// has a usable slot.
func Split(req Request, owners []Candidate) Plan {
	queues := usableQueues(req, owners)
	if len(queues) == 0 {
		return Plan{}
	}
	var work, longest time.Duration
	for _, run := range req.RunTimes {
		work += run
		longest = max(longest, run)
	}
	n, finish := chooseQueues(req, queues, work, longest)
	return Plan{Assignments: assign(req, queues[:n], finish), EstimatedCompletion: finish}
}

// usableQueues returns the queues of the owners with usable slots: the local one first,
// the others by waiting and round-trip time.
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
// them. A larger number is chosen only if it shortens the completion time by at least
// the fraction MinReduction for each added queue, and if the last queue gets at least
// MinBatchTasks tasks or smallShareWorthwhile returns true.
func chooseQueues(req Request, queues []ownerQueue, work, longest time.Duration) (int, time.Duration) {
	n := 1
	finish := completionTime(queues[:1], work, longest)
	for m := 2; m <= len(queues); m++ {
		next := completionTime(queues[:m], work, longest)
		if float64(finish-next) < req.MinReduction*float64(m-n)*float64(finish) {
			continue
		}
		if taskShare(&queues[m-1], next, work, len(req.RunTimes)) < req.MinBatchTasks && !smallShareWorthwhile(finish, next, longest) {
			continue
		}
		n, finish = m, next
	}
	return n, finish
}

// smallShareWorthwhile reports whether a share below MinBatchTasks is worth its message:
// without the additional queue the job takes more than smallShareRatio times its longest
// task, and with it at most half as long.
func smallShareWorthwhile(finish, next, longest time.Duration) bool {
	return finish > smallShareRatio*longest && next <= finish/2
}

// smallShareRatio is the ratio of a job's completion time to its longest task above
// which a small share may be sent to another owner.
const smallShareRatio = 2

// taskShare returns the number of tasks that q gets if all queues finish at the same time.
func taskShare(q *ownerQueue, finish, work time.Duration, tasks int) int {
	capacity := finish*time.Duration(q.slots) - q.workAhead
	if capacity <= 0 || work <= 0 {
		return 0
	}
	return int(float64(tasks) * min(1, float64(capacity)/float64(work)))
}

// completionTime returns the time at which all queues that share the work finish
// together, but at least the time at which the longest task can end. Queues whose own
// work takes longer get no share.
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

// earliestFreeSlot returns the shortest time, including the round trip, until a task of
// the job can start in one of the queues. Running work is not counted: a slot becomes
// free when the first running task ends.
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

// assign assigns each task, the longest first, to the queue with the most free capacity
// before the completion time finish.
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

// longestFirst returns the indexes of runTimes, the longest first.
func longestFirst(runTimes []time.Duration) []int {
	order := make([]int, len(runTimes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(runTimes[y], runTimes[x]) })
	return order
}
