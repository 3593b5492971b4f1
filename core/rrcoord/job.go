package rrcoord

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// CallerID identifies one caller that waits for an answer.
type CallerID uint64

// phase is how far one task has come.
type phase uint8

const (
	waiting phase = iota // not placed
	placed               // in a batch
	ended                // its result is known
	unsent               // will never start; only in a job that is ending
)

// slot is the coordinator's record of one task.
type slot struct {
	phase phase
	tries uint8  // placements so far
	seq   uint64 // batch while placed
	work  time.Duration
}

// job is one submission until it is answered.
type job struct {
	rrtask.Job
	accepted time.Time
	slots    []slot
	results  []rrtask.Result
	open     int           // tasks not ended or unsent
	idle     int           // tasks waiting
	rest     time.Duration // estimated work of open tasks
	batches  map[uint64]*batch
	tokens   []CallerID
	ran      bool             // a task is known to have started
	granted  bool             // the claim is held, or none is needed
	admitted bool             // the door counts it
	ahead    *OutstandingWork // counts the work while the job is admitted; nil otherwise
	work     time.Duration    // estimated work at admission
	goneAt   time.Time
	retryAt  time.Time // next placement of waiting tasks
	bounces  int       // hand-backs in a row that nobody asked for
	answered bool
	recall   time.Time // last take-back
	code     rrcode.Code
	detail   string
	grace    time.Time // when an ending job is answered at the latest
	steps    []rrstatus.Event
}

func newJob(now time.Time, j rrtask.Job) *job {
	return &job{
		Job:      j,
		accepted: now,
		slots:    make([]slot, len(j.Tasks)),
		results:  make([]rrtask.Result, len(j.Tasks)),
		open:     len(j.Tasks),
		idle:     len(j.Tasks),
		batches:  make(map[uint64]*batch, 1),
	}
}

// ending reports whether the job's outcome is decided.
func (j *job) ending() bool {
	return j.code != 0
}

// end records the final state of one task.
func (j *job) end(i int, p phase) {
	s := &j.slots[i]
	if s.phase == waiting {
		j.idle--
	}
	s.phase = p
	j.open--
	j.rest -= s.work
	if j.ahead != nil {
		j.ahead.sub(j.work, s.work)
	}
}

// unplace makes a placed task wait again.
func (j *job) unplace(i int) {
	j.slots[i].phase = waiting
	j.idle++
}

// pause delays the next placement after a keeper has handed tasks back unasked:
// not at all the first time, then longer each time until a task has run. The view
// that chose the keeper may stay wrong for seconds.
func (j *job) pause(now time.Time) {
	if j.bounces > 0 && j.retryAt.IsZero() {
		wait := placeEvery << min(j.bounces-1, maxDoublings)
		j.retryAt = now.Add(wait)
	}
	j.bounces++
}

// maxDoublings bounds the time between two placements to 16 times placeEvery.
const maxDoublings = 4

// maxSteps bounds the history of one job.
const maxSteps = 48

// note adds a step to the job's history.
func (j *job) note(now time.Time, s rrstatus.Event) {
	if len(j.steps) >= maxSteps {
		return
	}
	s.Elapsed = now.Sub(j.accepted)
	j.steps = append(j.steps, s)
}

// uncertain reports whether a task placed at another keeper may have started.
func (j *job) uncertain() bool {
	for _, b := range j.batches {
		if !b.local && b.out > 0 && b.exposed() {
			return true
		}
	}
	return false
}

// due reports whether the passing of time alone moves the job on.
func (j *job) due(now time.Time) bool {
	if !j.granted {
		return false
	}
	if j.ending() || !now.Before(j.Deadline) {
		return true
	}
	if !j.goneAt.IsZero() && reached(now, j.goneAt.Add(lingerGone)) {
		return true
	}
	return j.idle > 0 && reached(now, j.retryAt)
}

// reached reports whether the time at is set and has come.
func reached(now, at time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}
