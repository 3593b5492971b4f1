package rrcoord

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// TestInvariants breaks each invariant on purpose.
func TestInvariants(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	one := []rrtask.Result{{Code: rrcode.Complete}}
	ended := func(j *job) { j.end(0, ended) }
	tests := []struct {
		name string
		do   func(j *job)
		code rrcode.Code
		with []rrtask.Result
		want *rrinvariant.Invariant
	}{
		{"sound", ended, rrcode.Complete, one, nil},
		{"sound refusal", func(*job) {}, rrcode.Overloaded, nil, nil},
		{"placed twice", func(j *job) { j.slots[0].phase = placed; j.idle--; assertPlace(&j.slots[0]) }, rrcode.TimedOut, nil, placedOnce},
		{"miscounted", func(j *job) { j.open++ }, rrcode.Overloaded, nil, tallied},
		{"answered twice", func(j *job) { j.answered = true }, rrcode.Overloaded, nil, answeredOne},
		{"a result is missing", ended, rrcode.Complete, nil, whole},
		{"a failure has results", ended, rrcode.TaskFailed, one, whole},
		{"a refusal after a start", func(j *job) { j.ran = true }, rrcode.Overloaded, nil, trulyNotRun},
		{"a refusal while a keeper may run it", func(j *job) {
			j.batches[1] = &batch{seq: 1, job: j, out: 1, calling: true}
		}, rrcode.Overloaded, nil, trulyNotRun},
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
				t.Errorf("got %v broken, want %v", name(got), name(test.want))
			}
		})
	}
}

func name(v *rrinvariant.Invariant) string {
	if v == nil {
		return "nothing"
	}
	return v.Name()
}
