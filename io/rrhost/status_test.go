package rrhost

import (
	"context"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
)

// startHosts starts two hosts in zone a and one in zone b and returns them once both zones are
// kept.
func (f *testFleet) startHosts() (a0, a1, b *member) {
	f.minion("a", "m1")
	f.minion("b", "m2")
	a0, a1, b = f.host("a0", "a"), f.host("a1", "a"), f.host("b0", "b")
	f.awaitOwner("a")
	f.awaitOwner("b")
	return a0, a1, b
}

// awaitStatus waits for what a host says of a job.
func (f *testFleet) awaitStatus(h *member, id string, want rrscheduler.JobStatus) {
	f.t.Helper()
	var got rrscheduler.JobStatus
	for range 300 {
		if got, _ = h.JobStatus(context.Background(), id); got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("%s says of %s: got %+v, want %+v", h.Self.Name, id, got, want)
}

// Any host tells where a job stands, and ends it for a caller.
func TestAbort(t *testing.T) {
	f := newTestFleet(t, 20*time.Second)
	entry, near, far := f.startHosts()
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- entry.Submit(context.Background(), f.job("j")) }()
	for _, h := range []*member{entry, near, far} {
		f.awaitStatus(h, "j", rrscheduler.JobStatus{Known: true, MayHaveStarted: true})
	}
	status, _ := far.Abort(context.Background(), "j")
	if got, want := status, (rrscheduler.JobStatus{Known: true, Outcome: rrscheduler.OutcomeAborted}); got != want {
		t.Errorf("standing: got %+v, want %+v", got, want)
	}
	if got, want := (<-done).Kind, rrscheduler.OutcomeAborted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := near.Submit(context.Background(), f.job("j")).Kind, rrscheduler.OutcomeAborted; got != want {
		t.Errorf("repeated hand-in: got %v, want %v", got, want)
	}
	for range 100 {
		if f.runningRuns() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d runs go on", f.runningRuns())
}

// runningRuns returns the number of runs that go on.
func (f *testFleet) runningRuns() int {
	f.minions.mu.Lock()
	defer f.minions.mu.Unlock()
	n := 0
	for _, runs := range f.minions.running {
		n += len(runs)
	}
	return n
}

// A host does not say that a job does not exist while a keeper can't be asked.
func TestJobStatusCompleteness(t *testing.T) {
	f := newTestFleet(t, 20*time.Millisecond)
	a0, _, far := f.startHosts()
	if status, complete := a0.JobStatus(context.Background(), "x"); status.Known || !complete {
		t.Errorf("all keepers asked: got %+v, sure %v, want an unknown job for sure", status, complete)
	}
	far.kill()
	if status, complete := a0.JobStatus(context.Background(), "x"); status.Known || complete {
		t.Errorf("a keeper is gone: got %+v, sure %v, want an unknown job, not for sure", status, complete)
	}
}
