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

// queue is a keeper seen from one job: the work that goes before the job, and
// the slots that serve it.
type queue struct {
	keeper *Candidate
	ahead  time.Duration // work before the job's first task
	slots  int
}

func newQueue(k *Candidate, rest time.Duration) queue {
	ahead := k.Load.RunningWork + k.SentSinceReport
	own := rrdispatcher.BacklogBucket(rest)
	for i := range own {
		ahead += k.Load.Backlog[i]
	}
	ahead += k.Load.Backlog[own] / 2
	return queue{keeper: k, ahead: ahead, slots: k.Load.UsableSlots}
}

// wait returns the time that a task spends in line while its keeper is level.
func (q *queue) wait() time.Duration {
	return q.ahead / time.Duration(q.slots)
}

// Split divides the tasks over keepers. It returns a Plan without shares when
// no keeper has a slot.
func Split(a Request, keepers []Candidate) Plan {
	queues := candidates(a, keepers)
	if len(queues) == 0 {
		return Plan{}
	}
	var work, longest time.Duration
	for _, w := range a.RunTimes {
		work += w
		longest = max(longest, w)
	}
	n, finish := choose(a, queues, work, longest)
	return Plan{Assignments: deal(a, queues[:n], finish), EstimatedCompletion: finish}
}

// candidates returns the keepers with slots, the local one first and the others
// by their wait.
func candidates(a Request, keepers []Candidate) []queue {
	queues := make([]queue, 0, len(keepers))
	for i := range keepers {
		if keepers[i].Load.UsableSlots > 0 {
			queues = append(queues, newQueue(&keepers[i], a.RemainingWork))
		}
	}
	slices.SortStableFunc(queues, func(x, y queue) int {
		if x.keeper.Local != y.keeper.Local {
			if x.keeper.Local {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.wait()+x.keeper.RTT, y.wait()+y.keeper.RTT)
	})
	return queues
}

// choose returns how many of the queues to use, and the completion time with
// them. A further keeper is used while it gets a share of at least a.MinBatchTasks tasks
// or shortens the completion by at least the share a.MinGain.
func choose(a Request, queues []queue, work, longest time.Duration) (int, time.Duration) {
	n := 1
	finish := level(queues[:1], work, longest)
	for m := 2; m <= len(queues); m++ {
		next := level(queues[:m], work, longest)
		if float64(finish-next) < a.MinGain*float64(m-n)*float64(finish) {
			continue
		}
		if shareOf(&queues[m-1], next, work, len(a.RunTimes)) < a.MinBatchTasks && !worthAlone(finish, next, longest) {
			continue
		}
		n, finish = m, next
	}
	return n, finish
}

// worthAlone reports whether even a small share pays for its message: without it
// the job takes several times its longest task.
func worthAlone(finish, next, longest time.Duration) bool {
	return finish > aloneRatio*longest && next <= finish/2
}

// aloneRatio is how far a job may stay behind its longest task before a small
// share is sent away.
const aloneRatio = 2

// shareOf returns the number of tasks that q gets when all queues end at finish.
func shareOf(q *queue, finish, work time.Duration, tasks int) int {
	part := finish*time.Duration(q.slots) - q.ahead
	if part <= 0 || work <= 0 {
		return 0
	}
	return int(float64(tasks) * min(1, float64(part)/float64(work)))
}

// level returns the completion time of work shared by queues so that all of them
// end together. Queues whose own work lasts longer take no part.
func level(queues []queue, work, longest time.Duration) time.Duration {
	total := work
	slots := 0
	for i := range queues {
		total += queues[i].ahead
		slots += queues[i].slots
	}
	finish := total / time.Duration(slots)
	for range queues {
		next, used := work, 0
		for i := range queues {
			if queues[i].wait() < finish {
				next += queues[i].ahead
				used += queues[i].slots
			}
		}
		if used == 0 || used == slots {
			break
		}
		slots = used
		finish = next / time.Duration(used)
	}
	return max(finish, firstFree(queues)+longest)
}

// firstFree returns the shortest time until a queue has a free slot.
func firstFree(queues []queue) time.Duration {
	best := time.Duration(-1)
	for i := range queues {
		q := &queues[i]
		t := q.keeper.RTT
		if q.keeper.Load.BusySlots >= q.slots || q.keeper.Load.QueuedTasks > 0 {
			t += (q.ahead - q.keeper.Load.RunningWork) / time.Duration(q.slots)
		}
		if best < 0 || t < best {
			best = t
		}
	}
	return best
}

// deal gives each task, the longest first, to the queue with the most room left
// below finish.
func deal(a Request, queues []queue, finish time.Duration) []Assignment {
	shares := make([]Assignment, len(queues))
	room := make([]time.Duration, len(queues))
	for i := range queues {
		shares[i].Name = queues[i].keeper.Name
		room[i] = finish*time.Duration(queues[i].slots) - queues[i].ahead
	}
	for _, t := range byLength(a.RunTimes) {
		best := 0
		for i := 1; i < len(room); i++ {
			if room[i] > room[best] {
				best = i
			}
		}
		shares[best].Tasks = append(shares[best].Tasks, t)
		room[best] -= a.RunTimes[t]
	}
	return slices.DeleteFunc(shares, func(s Assignment) bool { return len(s.Tasks) == 0 })
}

// byLength returns the positions of works, the longest first.
func byLength(works []time.Duration) []int {
	order := make([]int, len(works))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(works[y], works[x]) })
	return order
}
