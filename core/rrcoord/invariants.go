package rrcoord

import (
	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// What must always hold of a job and its answer.
var (
	placedOnce  = rrinvariant.New("a task is placed only while it waits")
	tallied     = rrinvariant.New("open and waiting tasks are counted right")
	answeredOne = rrinvariant.New("a job is answered once")
	whole       = rrinvariant.New("an answer has all results or none")
	trulyNotRun = rrinvariant.New("an answer of the class not run has no start")
)

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{placedOnce, tallied, answeredOne, whole, trulyNotRun}
}

// assertPlace checks that a task may be given to a keeper.
func assertPlace(s *slot) {
	placedOnce.Assert(s.phase == waiting)
}

// assertAnswer checks an answer that is about to go out.
func (c *Coordinator) assertAnswer(j *job, a *rrtask.Answer) {
	answeredOne.Assert(!j.answered)
	j.answered = true
	open, idle := 0, 0
	for i := range j.slots {
		switch j.slots[i].phase {
		case waiting:
			idle++
			open++
		case placed:
			open++
		}
	}
	tallied.Assert(open == j.open && idle == j.idle)
	switch a.Code.Class() {
	case rrcode.ClassComplete:
		whole.Assert(allComplete(j, a.Results))
	case rrcode.ClassNotRun:
		whole.Assert(len(a.Results) == 0)
		trulyNotRun.Assert(!j.ran && !j.uncertain() && !c.runsHere(j))
	default:
		whole.Assert(len(a.Results) == 0)
	}
}

// runsHere reports whether the own keeper runs a task of the job.
func (c *Coordinator) runsHere(j *job) bool {
	for _, b := range j.batches {
		if _, running := c.local.Progress(c.key(b)); b.local && running > 0 {
			return true
		}
	}
	return false
}

// allComplete reports whether each task of the job has its result in its place.
// A job that was answered elsewhere has no tasks placed here.
func allComplete(j *job, results []rrtask.Result) bool {
	if len(results) != len(j.Tasks) {
		return false
	}
	for i := range results {
		if results[i].Index != i || results[i].Code != rrcode.Complete {
			return false
		}
	}
	return true
}
