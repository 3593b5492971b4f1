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
		j.waitingRunTimes = append(j.waitingRunTimes, t.Run)
		j.remainingWork += t.Run
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

func (w jobHeap) Len() int { return len(w) }
func (w jobHeap) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(w[i].remainingWork, w[k].remainingWork), cmp.Compare(w[i].index, w[k].index)) < 0
}
func (w jobHeap) Swap(i, k int) { w[i], w[k] = w[k], w[i] }
func (w *jobHeap) Push(x any)   { *w = append(*w, x.(*jobState)) }
func (w *jobHeap) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}

// taskEnd is the end of a running task.
type taskEnd struct {
	at  time.Duration
	job *jobState
}

// taskHeap is a heap of running tasks by their end.
type taskHeap []taskEnd

func (r taskHeap) Len() int           { return len(r) }
func (r taskHeap) Less(i, k int) bool { return r[i].at < r[k].at }
func (r taskHeap) Swap(i, k int)      { r[i], r[k] = r[k], r[i] }
func (r *taskHeap) Push(x any)        { *r = append(*r, x.(taskEnd)) }
func (r *taskHeap) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
