package rrcoord

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// CallerID identifies one caller that waits for an answer.
type CallerID uint64

// phase is the state of one task.
type phase uint8

const (
	waiting      phase = iota // not placed
	placed                    // in a batch
	finished                  // ran or may have run
	neverStarted              // will never start; only in a failed job
)

// taskRecord is the coordinator's record of one task.
type taskRecord struct {
	phase      phase
	placements uint8         // number of placements, not counting those that a recall ended
	batchSeq   uint64        // batch that has the task while it is placed
	estimate   time.Duration // estimated run time
}

// job is one submitted job until it is answered.
type job struct {
	rrtask.Job
	accepted           time.Time
	records            []taskRecord
	results            []rrtask.Result
	unfinished         int           // tasks that are waiting or placed
	unplaced           int           // tasks that are waiting
	remainingWork      time.Duration // estimated work of unfinished tasks
	batches            map[uint64]*batch
	callers            []CallerID
	mayHaveRun         bool             // a task has started, or its owner was lost
	claimGranted       bool             // the claim was granted, or none is needed
	admitted           bool             // admission control counts the job
	outstanding        *OutstandingWork // counts the job's work while the job is admitted; nil otherwise
	admittedWork       time.Duration    // estimated work at admission
	noCallerSince      time.Time        // zero while a caller is connected
	nextPlacement      time.Time        // when waiting tasks are placed again; zero for at once
	consecutiveReturns int              // returns without a recall since a task last finished
	answered           bool
	lastRecall         time.Time
	code               rrcode.Code
	detail             string
	answerBy           time.Time // latest time at which a failed job is answered
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

// failed reports whether the job has failed but is not answered yet.
func (j *job) failed() bool {
	return j.code != 0
}

// finishTask records the final phase of one task.
func (j *job) finishTask(i int, p phase) {
	record := &j.records[i]
	if record.phase == waiting {
		j.unplaced--
	}
	record.phase = p
	j.unfinished--
	j.remainingWork -= record.estimate
	if j.outstanding != nil {
		j.outstanding.sub(j.admittedWork, record.estimate)
	}
}

// unplace makes a placed task wait for another placement.
func (j *job) unplace(i int) {
	j.records[i].phase = waiting
	j.unplaced++
}

// delayPlacement delays the next placement after an owner returned tasks without a recall.
// The first return causes no delay, and the delay doubles with each one after the second
// until a task has run. The loads by which the owner was chosen may be seconds old.
func (j *job) delayPlacement(now time.Time) {
	if j.consecutiveReturns > 0 && j.nextPlacement.IsZero() {
		wait := placementInterval << min(j.consecutiveReturns-1, maxDoublings)
		j.nextPlacement = now.Add(wait)
	}
	j.consecutiveReturns++
}

// maxDoublings limits the delay between two placements to 16 times placementInterval.
const maxDoublings = 4

// maxEvents limits the history of one job.
const maxEvents = 48

// addEvent adds an event to the job's history.
func (j *job) addEvent(now time.Time, event rrstatus.Event) {
	if len(j.events) >= maxEvents {
		return
	}
	event.Elapsed = now.Sub(j.accepted)
	j.events = append(j.events, event)
}

// mayRunRemotely reports whether a task placed at another entry may have started.
func (j *job) mayRunRemotely() bool {
	for _, b := range j.batches {
		if !b.local && b.unresolved > 0 && b.mayBeAtOwner() {
			return true
		}
	}
	return false
}

// due reports whether Tick has something to do for the job.
func (j *job) due(now time.Time) bool {
	if !j.claimGranted {
		return false
	}
	if j.failed() || !now.Before(j.Deadline) {
		return true
	}
	if !j.noCallerSince.IsZero() && reached(now, j.noCallerSince.Add(reconnectGrace)) {
		return true
	}
	return j.unplaced > 0 && reached(now, j.nextPlacement)
}

// reached reports whether the time at is set and not after now.
func reached(now, at time.Time) bool {
	return !at.IsZero() && !now.Before(at)
}
