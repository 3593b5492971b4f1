package rrcoord

import (
	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// Invariants of a job and its answer.
var (
	placedOnce       = rrinvariant.New("a task is placed only while it waits")
	countsMatch      = rrinvariant.New("open and waiting tasks are counted right")
	answeredOnce     = rrinvariant.New("a job is answered once")
	allResultsOrNone = rrinvariant.New("an answer has all results or none")
	notRunHasNoStart = rrinvariant.New("an answer of the class not run has no start")
)

// Invariants returns the invariants of this package with their counters.
func Invariants() []*rrinvariant.Invariant {
	return []*rrinvariant.Invariant{placedOnce, countsMatch, answeredOnce, allResultsOrNone, notRunHasNoStart}
}

// assertPlace checks that a task may be placed.
func assertPlace(record *taskRecord) {
	placedOnce.Assert(record.phase == waiting)
}

// assertAnswer checks an answer before it is sent.
func (c *Coordinator) assertAnswer(j *job, a *rrtask.Answer) {
	answeredOnce.Assert(!j.answered)
	j.answered = true
	unfinished, unplaced := 0, 0
	for i := range j.records {
		switch j.records[i].phase {
		case waiting:
			unplaced++
			unfinished++
		case placed:
			unfinished++
		}
	}
	countsMatch.Assert(unfinished == j.unfinished && unplaced == j.unplaced)
	switch a.Code.Class() {
	case rrcode.ClassComplete:
		allResultsOrNone.Assert(allComplete(j, a.Results))
	case rrcode.ClassNotRun:
		allResultsOrNone.Assert(len(a.Results) == 0)
		notRunHasNoStart.Assert(!j.mayHaveRun && !j.mayRunRemotely() && !c.runsLocally(j))
	default:
		allResultsOrNone.Assert(len(a.Results) == 0)
	}
}

// runsLocally reports whether the entry's own dispatcher runs a task of the job.
func (c *Coordinator) runsLocally(j *job) bool {
	for _, b := range j.batches {
		if _, running := c.local.Progress(c.batchKey(b)); b.local && running > 0 {
			return true
		}
	}
	return false
}

// allComplete reports whether each task of the job has a complete result at its index. It
// does not check the phases of the tasks: if another entry answered the job, none was
// placed here.
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
