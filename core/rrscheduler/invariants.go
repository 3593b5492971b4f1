package rrscheduler

import "rattanring/core/rrinvariant"

// Invariants that hold after each step. Their names are label values of a metric.
var (
	withinCapacity   = rrinvariant.New("what runs on a minion fits its capacity")
	oneRun           = rrinvariant.New("a task has one run at a time and none after it is done")
	callersAnswered  = rrinvariant.New("a job that is closed has answered its callers")
	constraintsMet   = rrinvariant.New("a task starts on a minion of its service, label and spread") // and within MaxPerMinion
	withinAttempts   = rrinvariant.New("a task that failed as often as it may does not start again") // after MaxAttempts failures
	notEvacuated     = rrinvariant.New("no task starts in an evacuated zone, except in time for a job that has started")
	refusedUnstarted = rrinvariant.New("a job that is refused as not run has not been started")
)
