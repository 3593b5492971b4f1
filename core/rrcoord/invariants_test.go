package rrcoord

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// TestInvariants checks that breaking each invariant is detected.
func TestInvariants(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	oneResult := []rrtask.Result{{Code: rrcode.Complete}}
	finishFirst := func(j *job) { j.finishTask(0, finished) }
	tests := []struct {
		name string
		do   func(j *job)
		code rrcode.Code
		with []rrtask.Result
		want *rrinvariant.Invariant
	}{
		{"sound", finishFirst, rrcode.Complete, oneResult, nil},
		{"sound refusal", func(*job) {}, rrcode.Overloaded, nil, nil},
		{"placed twice", func(j *job) { j.records[0].phase = placed; j.unplaced--; assertPlace(&j.records[0]) }, rrcode.TimedOut, nil, placedOnce},
		{"miscounted", func(j *job) { j.unfinished++ }, rrcode.Overloaded, nil, countsMatch},
		{"answered twice", func(j *job) { j.answered = true }, rrcode.Overloaded, nil, answeredOnce},
		{"a result is missing", finishFirst, rrcode.Complete, nil, allResultsOrNone},
		{"a failure has results", finishFirst, rrcode.TaskFailed, oneResult, allResultsOrNone},
		{"a refusal after a start", func(j *job) { j.mayHaveRun = true }, rrcode.Overloaded, nil, notRunHasNoStart},
		{"a refusal while an owner may run the task", func(j *job) {
			j.batches[1] = &batch{seq: 1, job: j, unresolved: 1, callInFlight: true}
		}, rrcode.Overloaded, nil, notRunHasNoStart},
	}
	defer rrinvariant.SetViolationHandler(nil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got *rrinvariant.Invariant
			rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { got = v })
			c := New("e", 1, nil, nil, nil, nil)
			j := newJob(now, rrtask.Job{ID: "j", Tasks: make([]rrtask.Task, 1)})
			test.do(j)
			c.answer(now, j, rrtask.Answer{Code: test.code, Results: test.with}, false)
			if got != test.want {
				t.Errorf("got %v violated, want %v", invariantName(got), invariantName(test.want))
			}
		})
	}
}

func invariantName(v *rrinvariant.Invariant) string {
	if v == nil {
		return "nothing"
	}
	return v.Name()
}
