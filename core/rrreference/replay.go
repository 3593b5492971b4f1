// Package rrreference replays arrivals through one central queue that knows all
// run times and needs no messages. Its responses are what a fleet of entries is
// held against.
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
	AsListed     Order = iota // what can be done without knowing each task
	LongestFirst              // needs the run time of each task in advance
)

// Simulate serves the jobs on the given slots, the job with the least remaining
// work first, and returns the response time of each. A started task is never
// interrupted. The jobs must be in order of arrival.
func Simulate(jobs []rrworkload.Job, slots int, order Order) []time.Duration {
	r := &replay{free: slots, order: order, response: make([]time.Duration, len(jobs))}
	for i := range jobs {
		at := jobs[i].Arrival
		r.finishUntil(at)
		r.now = at
		r.arrive(i, &jobs[i])
		r.start()
	}
	r.finishUntil(forever)
	return r.response
}

const forever = time.Duration(1<<63 - 1)

type replay struct {
	now      time.Duration
	free     int
	order    Order
	waiting  waiting
	running  running
	response []time.Duration
}

func (r *replay) arrive(index int, job *rrworkload.Job) {
	j := &state{index: index, at: job.Arrival, left: len(job.Tasks)}
	for _, t := range job.Tasks {
		j.runs = append(j.runs, t.Run)
		j.rest += t.Run
	}
	if r.order == LongestFirst {
		slices.SortFunc(j.runs, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	}
	heap.Push(&r.waiting, j)
}

// start fills the free slots.
func (r *replay) start() {
	for r.free > 0 && len(r.waiting) > 0 {
		j := r.waiting[0]
		run := j.pop()
		if len(j.runs) == 0 {
			heap.Pop(&r.waiting)
		} else {
			heap.Fix(&r.waiting, 0)
		}
		r.free--
		heap.Push(&r.running, end{r.now + run, j})
	}
}

// finishUntil ends all tasks that end by the given time.
func (r *replay) finishUntil(t time.Duration) {
	for len(r.running) > 0 && r.running[0].at <= t {
		e := heap.Pop(&r.running).(end)
		r.now = e.at
		r.free++
		if e.job.left--; e.job.left == 0 {
			r.response[e.job.index] = r.now - e.job.at
		}
		r.start()
	}
}

// state is one job in the queue.
type state struct {
	index int
	at    time.Duration
	runs  []time.Duration // of tasks that wait, the next one first
	rest  time.Duration   // sum of runs
	left  int             // tasks that have not ended
}

// pop removes the next task.
func (j *state) pop() time.Duration {
	run := j.runs[0]
	j.runs = j.runs[1:]
	j.rest -= run
	return run
}

// waiting orders jobs by remaining work.
type waiting []*state

func (w waiting) Len() int { return len(w) }
func (w waiting) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(w[i].rest, w[k].rest), cmp.Compare(w[i].index, w[k].index)) < 0
}
func (w waiting) Swap(i, k int) { w[i], w[k] = w[k], w[i] }
func (w *waiting) Push(x any)   { *w = append(*w, x.(*state)) }
func (w *waiting) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}

// end is the end of one task.
type end struct {
	at  time.Duration
	job *state
}

// running orders tasks by their end.
type running []end

func (r running) Len() int           { return len(r) }
func (r running) Less(i, k int) bool { return r[i].at < r[k].at }
func (r running) Swap(i, k int)      { r[i], r[k] = r[k], r[i] }
func (r *running) Push(x any)        { *r = append(*r, x.(end)) }
func (r *running) Pop() any {
	last := len(*r) - 1
	x := (*r)[last]
	*r = (*r)[:last]
	return x
}
