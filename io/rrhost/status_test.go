package rrhost

import (
	"context"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
)

// fleet starts two hosts in zone a and one in zone b and returns them once both zones are
// kept.
func (w *world) fleet() (a0, a1, b *member) {
	w.minion("a", "m1")
	w.minion("b", "m2")
	a0, a1, b = w.host("a0", "a"), w.host("a1", "a"), w.host("b0", "b")
	w.holder("a")
	w.holder("b")
	return a0, a1, b
}

// until waits for what a host says of a job.
func (w *world) until(h *member, id string, want rrscheduler.JobStatus) {
	w.t.Helper()
	var got rrscheduler.JobStatus
	for range 300 {
		if got, _ = h.JobStatus(context.Background(), id); got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("%s says of %s: got %+v, want %+v", h.Self.Name, id, got, want)
}

// Any host tells where a job stands, and ends it for a caller.
func TestAbort(t *testing.T) {
	w := newWorld(t, 20*time.Second)
	entry, near, far := w.fleet()
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- entry.Submit(context.Background(), w.job("j")) }()
	for _, h := range []*member{entry, near, far} {
		w.until(h, "j", rrscheduler.JobStatus{Known: true, MayHaveStarted: true})
	}
	s, _ := far.Abort(context.Background(), "j")
	if got, want := s, (rrscheduler.JobStatus{Known: true, Outcome: rrscheduler.OutcomeAborted}); got != want {
		t.Errorf("standing: got %+v, want %+v", got, want)
	}
	if got, want := (<-done).Kind, rrscheduler.OutcomeAborted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := near.Submit(context.Background(), w.job("j")).Kind, rrscheduler.OutcomeAborted; got != want {
		t.Errorf("repeated hand-in: got %v, want %v", got, want)
	}
	for range 100 {
		if w.atWork() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d runs go on", w.atWork())
}

// atWork returns the number of runs that go on.
func (w *world) atWork() int {
	w.minions.mu.Lock()
	defer w.minions.mu.Unlock()
	n := 0
	for _, runs := range w.minions.running {
		n += len(runs)
	}
	return n
}

// A host does not say that a job does not exist while a keeper can't be asked.
func TestStandingIsSure(t *testing.T) {
	w := newWorld(t, 20*time.Millisecond)
	a0, _, far := w.fleet()
	if s, sure := a0.JobStatus(context.Background(), "x"); s.Known || !sure {
		t.Errorf("all keepers asked: got %+v, sure %v, want an unknown job for sure", s, sure)
	}
	far.kill()
	if s, sure := a0.JobStatus(context.Background(), "x"); s.Known || sure {
		t.Errorf("a keeper is gone: got %+v, sure %v, want an unknown job, not for sure", s, sure)
	}
}
