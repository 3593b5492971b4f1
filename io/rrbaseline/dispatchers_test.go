package rrbaseline

import (
	"context"
	"testing"

	"rattanring/core/rrcode"
	"rattanring/io/rrminion"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

type submitter interface {
	Submit(context.Context, *rrwire.Job) (*rrwire.Answer, error)
}

func TestSubmit(t *testing.T) {
	tests := []struct {
		name      string
		make      func(*rrminion.Client, []string) submitter
		slots     int
		timeoutMs uint32
		want      rrcode.Code
	}{
		{"random", func(c *rrminion.Client, addrs []string) submitter { return NewRetryDispatcher(c, addrs, 1, 1) }, 2, 60_000, rrcode.Complete},
		{"two choices", func(c *rrminion.Client, addrs []string) submitter { return NewRetryDispatcher(c, addrs, 2, 1) }, 2, 60_000, rrcode.Complete},
		{"shares", func(c *rrminion.Client, addrs []string) submitter { return NewShareDispatcher(c, addrs, 2) }, 2, 60_000, rrcode.Complete},
		{"no slots", func(c *rrminion.Client, addrs []string) submitter { return NewRetryDispatcher(c, addrs, 1, 1) }, 0, 20, rrcode.DeadlinePassed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fleet, err := rrstand.StartFleet("m", 2, test.slots)
			if err != nil {
				t.Fatal(err)
			}
			defer fleet.Close()
			c := &rrminion.Client{}
			defer c.Close()
			job := &rrwire.Job{Id: "job", Patience: test.timeoutMs}
			for i := range uint32(20) {
				job.Tasks = append(job.Tasks, &rrwire.Task{Index: i, Body: []byte(`{"run":"1ms"}`), Expect: 1})
			}
			answer, err := test.make(c, fleet.Addrs()).Submit(context.Background(), job)
			if err != nil || rrcode.Code(answer.Code) != test.want {
				t.Errorf("got %v, %v, want %v", answer, err, test.want)
			}
			for task, run := range fleet.Runs() {
				if run.Starts != 1 {
					t.Errorf("%s: got %d starts, want 1", task, run.Starts)
				}
			}
			if got := fleet.Tally().Starts; test.want == rrcode.Complete && got != 20 {
				t.Errorf("got %d starts, want 20", got)
			}
		})
	}
}
