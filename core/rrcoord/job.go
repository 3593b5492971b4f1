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
	waiting      phase = iota // not placed
	placed                    // in a batch
	finished                  // its result is known
	neverStarted              // will never start; only in a job that is ending
)

// taskRecord is the coordinator's record of one task.
type taskRecord struct {
	phase      phase
	placements uint8  // placements so far
	batchSeq   uint64 // batch while placed
	estimate   time.Duration
}

// job is one submission until it is answered.
type job struct {
	rrtask.Job
	accepted           time.Time
	records            []taskRecord
	results            []rrtask.Result
	unfinished         int           // tasks not ended or unsent
	unplaced           int           // tasks waiting
	remainingWork      time.Duration // estimated work of open tasks
	batches            map[uint64]*batch
	callers            []CallerID
	mayHaveRun         bool             // a task is known to have started
	claimGranted       bool             // the claim is held, or none is needed
	admitted           bool             // the door counts it
	outstanding        *OutstandingWork // counts the work while the job is admitted; nil otherwise
	admittedWork       time.Duration    // estimated work at admission
	noCallerSince      time.Time
	nextPlacement      time.Time // next placement of waiting tasks
	consecutiveReturns int       // hand-backs in a row that nobody asked for
	answered           bool
	lastRecall         time.Time // last take-back
	code               rrcode.Code
	detail             string
	answerBy           time.Time // when an ending job is answered at the latest
	events             []rrstatus.Event
}

func newJob(now time.Time, j rrtask.Job) *job {
	return &job{
		Job:        j,
		accepted:   now,
		records:    make([]taskRecord, len(j.Tasks)),
		results:    make([]rrtask.Result, len(j.Tasks)),
		unfinished: len(j.Tasks),
		unplaced:   len(j.Tasks),
		batches:    make(map[uint64]*batch, 1),
	}
}

// ending reports whether the job's outcome is decided.
func (j *job) ending() bool {
	return j.code != 0
}

// finishTask records the final state of one task.
func (j *job) finishTask(i int, p phase) {
	s := &j.records[i]
	if s.phase == waiting {
		j.unplaced--
	}
	s.phase = p
	j.unfinished--
	j.remainingWork -= s.estimate
	if j.outstanding != nil {
		j.outstanding.sub(j.admittedWork, s.estimate)
	}
}

// unplace makes a placed task wait again.
func (j *job) unplace(i int) {
	j.records[i].phase = waiting
	j.unplaced++
}

// backOff delays the next placement after a keeper has handed tasks back unasked:
// not at all the first time, then longer each time until a task has run. The view
// that chose the keeper may stay wrong for seconds.
func (j *job) backOff(now time.Time) {
	if j.consecutiveReturns > 0 && j.nextPlacement.IsZero() {
		wait := placementInterval << min(j.consecutiveReturns-1, maxDoublings)
		j.nextPlacement = now.Add(wait)
	}
	j.consecutiveReturns++
}

// maxDoublings bounds the time between two placements to 16 times placeEvery.
const maxDoublings = 4

// maxEvents bounds the history of one job.
const maxEvents = 48

// addEvent adds a step to the job's history.
func (j *job) addEvent(now time.Time, event rrstatus.Event) {
	if len(j.events) >= maxEvents {
		return
	}
	event.Elapsed = now.Sub(j.accepted)
	j.events = append(j.events, event)
}

// mayRunRemotely reports whether a task placed at another keeper may have started.
func (j *job) mayRunRemotely() bool {
	for _, b := range j.batches {
		if !b.local && b.unresolved > 0 && b.mayBeAtOwner() {
			return true
		}
	}
	return false
}

// due reports whether the passing of time alone moves the job on.
func (j *job) due(now time.Time) bool {
	if !j.claimGranted {
		return false
	}
	if j.ending() || !now.Before(j.Deadline) {
		return true
	}
	if !j.noCallerSince.IsZero() && reached(now, j.noCallerSince.Add(reconnectGrace)) {
		return true
	}
	return j.unplaced > 0 && reached(now, j.nextPlacement)
}

// reached reports whether the time at is set and has come.
func reached(now, at time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}
