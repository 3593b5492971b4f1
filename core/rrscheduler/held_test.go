package rrscheduler

import (
	"testing"
	"time"
)

// A few large jobs must not fill the memory of an owner or keep out ordinary jobs.
func TestHeldTasks(t *testing.T) {
	w := newWorld(t, 1, 40)
	w.advance(syncTime)
	w.step(&HeldTasksLimited{Limit: 200})
	large := w.submit(w.newJob("a", 70, 50*time.Millisecond), time.Second)
	second := w.submit(w.newJob("b", 70, 50*time.Millisecond), time.Second)
	ordinary := w.submit(w.newJob("c", 4, 50*time.Millisecond), 50*time.Millisecond)
	huge := w.newJob("d", 2, 50*time.Millisecond)
	huge.Phases[0].TaskCount = 1 << 31
	tooLarge := w.submit(huge, time.Second)
	w.advance(20 * time.Second)
	for _, tt := range []struct {
		name string
		got  JobOutcome
		want JobOutcome
	}{
		{"second large job", second.outcome(t), JobOutcome{Kind: OutcomeRefused, Reason: ReasonQueueFull}},
		{"ordinary job", ordinary.outcome(t), JobOutcome{Kind: OutcomeCompleted}},
		{"job above the limit", tooLarge.outcome(t), JobOutcome{Kind: OutcomeRefused, Reason: ReasonQueueFull}},
	} {
		if tt.got.Kind != tt.want.Kind || tt.got.Reason != tt.want.Reason {
			t.Errorf("%s: got %v %q, want %v %q", tt.name, tt.got.Kind, tt.got.Reason, tt.want.Kind, tt.want.Reason)
		}
	}
	if kind := large.outcome(t).Kind; kind != OutcomeCompleted {
		t.Errorf("large job: got %v, want %v", kind, OutcomeCompleted)
	}
	if got := w.scheduler.Stats.HeldTasks; got != 0 {
		t.Errorf("after the last job: got %d held tasks, want 0", got)
	}
}

// The count of a job includes its phases and their dependencies.
func TestHeldTasksOfJob(t *testing.T) {
	j := Job{Phases: []Phase{{TaskCount: 3}, {TaskCount: 1, DependsOn: make([]int, 640)}}}
	if got, want := heldTasks(&j), 4+(2*bytesPerPhase+640*bytesPerDependency)/bytesPerTask; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
