package rrload

import (
	"strings"

	"rattanring/core/rrcode"
	"rattanring/io/rrstand"
)

// Audit counts violations of the dispatcher's guarantees. They are found by comparing
// the answers with the starts that the minions counted.
type Audit struct {
	Doubled int // tasks that started more than once
	Untrue  int // jobs answered "not run" although a task started
	Partial int // jobs answered complete without exactly one start and one result for each task
	Unasked int // tasks that started but belong to no submitted job
	Silent  int // jobs without an answer
}

// OK reports whether there are no violations.
func (a Audit) OK() bool {
	return a == Audit{}
}

// Check compares samples with the minions' runs of each task, by JOB/INDEX.
func Check(samples []Sample, runs map[string]rrstand.TaskRuns) Audit {
	var a Audit
	startedTasks := map[string]int{}
	for task, taskRuns := range runs {
		if taskRuns.Starts > 1 {
			a.Doubled++
		}
		job, _, _ := strings.Cut(task, "/")
		startedTasks[job]++
	}
	startedOfSubmitted := 0
	for _, s := range samples {
		n := startedTasks[s.ID]
		startedOfSubmitted += n
		a.check(s, n)
	}
	a.Unasked = len(runs) - startedOfSubmitted
	return a
}

// check adds the violations of one job of which n tasks started.
func (a *Audit) check(s Sample, n int) {
	switch s.Code.Class() {
	case rrcode.ClassNone:
		a.Silent++
	case rrcode.ClassNotRun:
		if n > 0 {
			a.Untrue++
		}
	case rrcode.ClassComplete:
		if n != len(s.Job.Tasks) || s.ResultCount != n {
			a.Partial++
		}
	}
}
