// Package rrreference simulates one central queue that knows all run times and needs
// no messages. Its response times are the reference for those of a fleet of entries.
package rrreference

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"rattanring/core/rrworkload"
)

// Order is the order in which the tasks of one job start.
type Order int

// Orders of tasks within a job.
const (
	AsListed     Order = iota // possible without knowing the run time of each task
	LongestFirst              // needs the run time of each task in advance
)

// Simulate runs the jobs on the given number of slots, the job with the least remaining
// work first, and returns the response time of each. A started task is never
// interrupted. The jobs must be in order of arrival.
func Simulate(jobs []rrworkload.Job, slots int, order Order) []time.Duration {
	s := &simulation{freeSlots: slots, order: order, responseTimes: make([]time.Duration, len(jobs))}
	for i := range jobs {
		at := jobs[i].Arrival
		s.finishTasks(at)
		s.now = at
		s.addJob(i, &jobs[i])
		s.startTasks()
	}
	s.finishTasks(endOfTime)
	return s.responseTimes
}

const endOfTime = time.Duration(1<<63 - 1)

type simulation struct {
	now           time.Duration
	freeSlots     int
	order         Order
	waitingJobs   jobHeap
	runningTasks  taskHeap
	responseTimes []time.Duration
}

func (s *simulation) addJob(index int, job *rrworkload.Job) {
	j := &jobState{index: index, arrival: job.Arrival, unfinishedTasks: len(job.Tasks)}
	for _, t := range job.Tasks {
		j.waitingRunTimes = append(j.waitingRunTimes, t.RunTime)
		j.remainingWork += t.RunTime
	}
	if s.order == LongestFirst {
		slices.SortFunc(j.waitingRunTimes, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	}
	heap.Push(&s.waitingJobs, j)
}

// startTasks starts tasks of the waiting jobs on the free slots.
func (s *simulation) startTasks() {
	for s.freeSlots > 0 && len(s.waitingJobs) > 0 {
		j := s.waitingJobs[0]
		run := j.nextTask()
		if len(j.waitingRunTimes) == 0 {
			heap.Pop(&s.waitingJobs)
		} else {
			heap.Fix(&s.waitingJobs, 0)
		}
		s.freeSlots--
		heap.Push(&s.runningTasks, taskEnd{s.now + run, j})
	}
}

// finishTasks ends all tasks that are due by the given time and starts others in their slots.
func (s *simulation) finishTasks(until time.Duration) {
	for len(s.runningTasks) > 0 && s.runningTasks[0].at <= until {
		e := heap.Pop(&s.runningTasks).(taskEnd)
		s.now = e.at
		s.freeSlots++
		if e.job.unfinishedTasks--; e.job.unfinishedTasks == 0 {
			s.responseTimes[e.job.index] = s.now - e.job.arrival
		}
		s.startTasks()
	}
}

// jobState is one job with tasks that wait or run.
type jobState struct {
	index           int
	arrival         time.Duration
	waitingRunTimes []time.Duration // of the tasks that wait, in the order of their starts
	remainingWork   time.Duration   // sum of waitingRunTimes
	unfinishedTasks int
}

// nextTask removes the next waiting task and returns its run time.
func (j *jobState) nextTask() time.Duration {
	run := j.waitingRunTimes[0]
	j.waitingRunTimes = j.waitingRunTimes[1:]
	j.remainingWork -= run
	return run
}

// jobHeap is a heap of jobs by remaining work.
type jobHeap []*jobState

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(h[i].remainingWork, h[k].remainingWork), cmp.Compare(h[i].index, h[k].index)) < 0
}
func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(*jobState)) }
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// taskEnd is the end of a running task.
type taskEnd struct {
	at  time.Duration
	job *jobState
}

// taskHeap is a heap of running tasks by their end.
type taskHeap []taskEnd

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, k int) bool { return h[i].at < h[k].at }
func (h taskHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *taskHeap) Push(x any)        { *h = append(*h, x.(taskEnd)) }
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
