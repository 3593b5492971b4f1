package rrwire

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

var now = time.UnixMilli(1_700_000_000_000)

func drawMillis(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.Uint32().Draw(t, name)) * time.Millisecond
}

func drawTasks(t *rapid.T) []rrtask.Task {
	tasks := make([]rrtask.Task, rapid.IntRange(0, 5).Draw(t, "tasks"))
	for i := range tasks {
		tasks[i] = rrtask.Task{
			Index:           i,
			Body:            rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
			DeclaredRunTime: drawMillis(t, "expect"),
			Resources:       rrtask.Resources{MilliCores: rapid.Uint32().Draw(t, "cores"), MemoryBytes: rapid.Uint64().Draw(t, "memory")},
		}
	}
	return tasks
}

func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := rrtask.Job{
			ID:            rapid.String().Draw(t, "id"),
			Tenant:        "ports",
			Class:         "proof",
			Service:       "torri",
			Deadline:      now.Add(drawMillis(t, "patience")),
			NonIdempotent: rapid.Bool().Draw(t, "once"),
			IsRetry:       rapid.Bool().Draw(t, "retry"),
			Tasks:         drawTasks(t),
		}
		got, err := ToJob(FromJob(job, now), now)
		if err != nil || !reflect.DeepEqual(got, job) {
			t.Errorf("job: got %+v, %v, want %+v", got, err, job)
		}
		answer := rrtask.Answer{
			RequestID:   job.ID,
			Code:        rrcode.TaskFailed,
			Detail:      "no board",
			Results:     []rrtask.Result{{Index: 1, Code: rrcode.Complete, RunTime: time.Second, Minion: "m1"}},
			RetryAfter:  drawMillis(t, "after"),
			Coordinator: "e1",
		}
		if got := ToAnswer(FromAnswer(answer)); !reflect.DeepEqual(got, answer) {
			t.Errorf("answer: got %+v, want %+v", got, answer)
		}
		batch := rrdispatcher.Batch{
			Key:           rrdispatcher.BatchKey{Coordinator: "e1", Incarnation: 7, Seq: rapid.Uint64().Draw(t, "seq")},
			Deadline:      job.Deadline,
			AcceptedAt:    now.Add(-drawMillis(t, "age")),
			RemainingWork: drawMillis(t, "rest"),
			Tasks:         job.Tasks,
		}
		if got := ToBatch(FromBatch(batch, 9, now), now); !reflect.DeepEqual(got, batch) {
			t.Errorf("batch: got %+v, want %+v", got, batch)
		}
		load := rrdispatcher.Load{UsableSlots: 8, BusySlots: 2, QueuedTasks: 1, RunningWork: drawMillis(t, "running")}
		load.Backlog[rapid.IntRange(0, rrdispatcher.BacklogBuckets-1).Draw(t, "bucket")] = drawMillis(t, "work")
		if got := ToLoad(FromLoad(load)); got != load {
			t.Errorf("load: got %+v, want %+v", got, load)
		}
	})
}

func TestToJobRefusesMisplacedTask(t *testing.T) {
	_, err := ToJob(&Job{Tasks: []*Task{{Index: 0}, {Index: 0}}}, now)
	var field *FieldError
	if !errors.As(err, &field) || field.Field != "tasks[1].index" {
		t.Errorf("got %v, want a FieldError for tasks[1].index", err)
	}
}

func TestDurationsOnTheWire(t *testing.T) {
	tests := []struct {
		name      string
		got, want uint32
	}{
		{"an expected time is rounded up", durationToMillis(1), 1},
		{"a negative time becomes zero", durationToMillis(-time.Second), 0},
		{"a long time becomes the maximum", durationToMillis(1 << 62), 1<<32 - 1},
		{"a deadline is rounded down", remainingMillis(now.Add(1_999_999), now), 1},
		{"a passed deadline becomes zero", remainingMillis(now.Add(-time.Hour), now), 0},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, tt.got, tt.want)
		}
	}
	if got := ToLoad(&Load{Running: 1<<64 - 1}).RunningWork; got <= 0 {
		t.Errorf("running: got %v, want a positive duration", got)
	}
}
