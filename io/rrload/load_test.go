package rrload

import (
	"context"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrworkload"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

type fakeSubmitter struct{ err error }

func (f fakeSubmitter) Submit(_ context.Context, job *rrwire.Job) (*rrwire.Answer, error) {
	return &rrwire.Answer{Id: job.Id, Code: uint32(rrcode.Complete), Results: make([]*rrwire.Result, len(job.Tasks))}, f.err
}

func TestRun(t *testing.T) {
	task := rrworkload.Task{RunTime: 50 * time.Millisecond}
	jobs := []rrworkload.Job{{Class: "cut", Tasks: []rrworkload.Task{task}}, {Class: "cut", Arrival: time.Millisecond, Tasks: []rrworkload.Task{task}}}
	l := &Load{Entries: []Submitter{fakeSubmitter{}, fakeSubmitter{errors.New("gone")}}, Jobs: jobs}
	got := l.Run(context.Background())
	if got[0].Code != rrcode.Complete || got[0].ResultCount != 1 {
		t.Errorf("got %+v, want complete with 1 result", got[0])
	}
	if got[1].Code != 0 || got[1].Detail != "gone" {
		t.Errorf("got %+v, want no code", got[1])
	}
}

func TestSummarize(t *testing.T) {
	job := &rrworkload.Job{Class: "cut", Tasks: []rrworkload.Task{{RunTime: time.Second - RoundTripTime}}}
	samples := []Sample{
		{Job: job, Code: rrcode.Complete, ResponseTime: time.Second, AnsweredAfter: time.Second},
		{Job: job, Code: rrcode.Complete, ResponseTime: 3 * time.Second, AnsweredAfter: 4 * time.Second},
		{Job: job, Code: rrcode.Overloaded, AnsweredAfter: time.Second},
	}
	got := Summarize(samples, 1)
	want := Ratios{Class: "cut", Jobs: 3, Complete: 2, Mean: 2, P50: 1, P99: 3}
	if got.Classes[0] != want {
		t.Errorf("got %+v, want %+v", got.Classes[0], want)
	}
	if want := []CodeCount{{rrcode.Complete, 2}, {rrcode.Overloaded, 1}}; !reflect.DeepEqual(got.Codes, want) {
		t.Errorf("got %v, want %v", got.Codes, want)
	}
}

func TestGoodput(t *testing.T) {
	started := time.Unix(1000, 0)
	run := func(from, to float64) rrstand.TaskRuns {
		at := func(x float64) time.Time { return started.Add(time.Duration(x * float64(time.Second))) }
		return rrstand.TaskRuns{Starts: 1, StartedAt: at(from), EndedAt: at(to)}
	}
	samples := []Sample{{ID: "a", Code: rrcode.Complete}, {ID: "b", Code: rrcode.TimedOut}}
	runs := map[string]rrstand.TaskRuns{"a/0": run(0, 1.5), "a/1": run(2.5, 9), "b/0": run(1, 3), "a/2": run(5, 6)}
	if got, want := Goodput(samples, runs, 2, started, Window{time.Second, 3 * time.Second}), 0.25; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// starts returns runs from alternating task names and numbers of starts.
func starts(list ...any) map[string]rrstand.TaskRuns {
	runs := map[string]rrstand.TaskRuns{}
	for i := 0; i < len(list); i += 2 {
		runs[list[i].(string)] = rrstand.TaskRuns{Starts: list[i+1].(int)}
	}
	return runs
}

func TestCheck(t *testing.T) {
	twoTasks := &rrworkload.Job{Tasks: make([]rrworkload.Task, 2)}
	tests := []struct {
		name   string
		sample Sample
		runs   map[string]rrstand.TaskRuns
		want   Audit
	}{
		{"complete", Sample{ID: "a", Job: twoTasks, Code: rrcode.Complete, ResultCount: 2}, starts("a/0", 1, "a/1", 1), Audit{}},
		{"doubled", Sample{ID: "a", Job: twoTasks, Code: rrcode.Complete, ResultCount: 2}, starts("a/0", 2, "a/1", 1), Audit{Doubled: 1}},
		{"partial", Sample{ID: "a", Job: twoTasks, Code: rrcode.Complete, ResultCount: 2}, starts("a/0", 1), Audit{Partial: 1}},
		{"result missing", Sample{ID: "a", Job: twoTasks, Code: rrcode.Complete, ResultCount: 1}, starts("a/0", 1, "a/1", 1), Audit{Partial: 1}},
		{"refused", Sample{ID: "a", Job: twoTasks, Code: rrcode.Overloaded}, nil, Audit{}},
		{"refused after a start", Sample{ID: "a", Job: twoTasks, Code: rrcode.Overloaded}, starts("a/0", 1), Audit{Untrue: 1}},
		{"may have run", Sample{ID: "a", Job: twoTasks, Code: rrcode.OwnerLost}, starts("a/0", 1), Audit{}},
		{"no answer", Sample{ID: "a", Job: twoTasks}, nil, Audit{Silent: 1}},
		{"unknown job", Sample{ID: "a", Job: twoTasks, Code: rrcode.Overloaded}, starts("b/0", 1), Audit{Unasked: 1}},
	}
	for _, test := range tests {
		if got := Check([]Sample{test.sample}, test.runs); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestParseCost(t *testing.T) {
	text := "rr_messages_total{kind=\"start\"} 12\nrr_messages_total{kind=\"beat\"} 3\nother 5\n\nrr_control_bytes_total 1e3\nprocess_cpu_seconds_total 0.25\n"
	got, err := parseCost(strings.NewReader(text))
	want := Cost{Dispatches: 12, Heartbeats: 3, Bytes: 1000, CPUSeconds: 0.25}
	if err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if _, err := parseCost(strings.NewReader("process_cpu_seconds_total x")); err == nil {
		t.Error("got nil, want an error for a value that is not a number")
	}
}
