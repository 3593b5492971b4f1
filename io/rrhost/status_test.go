package rrhost

import (
	"context"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
)

// startHosts starts two hosts in zone a and one in zone b and returns them once both zones
// have an owner.
func (f *testFleet) startHosts() (a0, a1, b *testHost) {
	f.minion("a", "m1")
	f.minion("b", "m2")
	a0, a1, b = f.host("a0", "a"), f.host("a1", "a"), f.host("b0", "b")
	f.awaitOwner("a")
	f.awaitOwner("b")
	return a0, a1, b
}

// awaitStatus waits until a host returns a status of a job.
func (f *testFleet) awaitStatus(h *testHost, id string, want rrscheduler.JobStatus) {
	f.t.Helper()
	var got rrscheduler.JobStatus
	for range 300 {
		if got, _ = h.JobStatus(context.Background(), id); got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("status at %s of job %s: got %+v, want %+v", h.Self.Name, id, got, want)
}

// Any host returns the status of a job, and aborts it for a caller.
func TestAbort(t *testing.T) {
	f := newTestFleet(t, 20*time.Second)
	entry, near, far := f.startHosts()
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- entry.Submit(context.Background(), f.job("j")) }()
	for _, h := range []*testHost{entry, near, far} {
		f.awaitStatus(h, "j", rrscheduler.JobStatus{Known: true, MayHaveStarted: true})
	}
	status, _ := far.Abort(context.Background(), "j")
	if got, want := status, (rrscheduler.JobStatus{Known: true, Outcome: rrscheduler.OutcomeAborted}); got != want {
		t.Errorf("status: got %+v, want %+v", got, want)
	}
	if got, want := (<-done).Kind, rrscheduler.OutcomeAborted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := near.Submit(context.Background(), f.job("j")).Kind, rrscheduler.OutcomeAborted; got != want {
		t.Errorf("repeated submission: got %v, want %v", got, want)
	}
	for range 100 {
		if f.runningRuns() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d runs are still running", f.runningRuns())
}

// runningRuns returns the number of running runs.
func (f *testFleet) runningRuns() int {
	f.minions.mu.Lock()
	defer f.minions.mu.Unlock()
	n := 0
	for _, runs := range f.minions.running {
		n += len(runs)
	}
	return n
}

// A host does not report a job as nonexistent while an owner of a shard can't be asked.
func TestJobStatusCompleteness(t *testing.T) {
	f := newTestFleet(t, 20*time.Millisecond)
	a0, _, far := f.startHosts()
	if status, complete := a0.JobStatus(context.Background(), "x"); status.Known || !complete {
		t.Errorf("all owners answer: got %+v, complete %v, want an unknown job and a complete answer", status, complete)
	}
	far.kill()
	if status, complete := a0.JobStatus(context.Background(), "x"); status.Known || complete {
		t.Errorf("an owner is dead: got %+v, complete %v, want an unknown job and an incomplete answer", status, complete)
	}
}
