package rrscheduler

import (
	"slices"
	"testing"
	"time"
)

// ask returns where a job stands.
func (w *world) ask(id string) JobStatus {
	return w.question(&JobStatusRequested{CallID: 7, JobID: id})
}

// abort ends a job and returns where it stands.
func (w *world) abort(id string) JobStatus {
	return w.question(&JobAbortRequested{CallID: 7, JobID: id})
}

func (w *world) question(ev Event) JobStatus {
	w.reports = nil
	w.step(ev)
	if len(w.reports) != 1 {
		w.t.Fatalf("got %d reports, want 1", len(w.reports))
	}
	return w.reports[0].Status
}

// TestStanding follows a job from its hand-in to its end.
func TestStanding(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(settleTime)
	check := func(when string, want JobStatus) {
		t.Helper()
		if got := w.ask("a"); got != want {
			t.Errorf("%s: got %+v, want %+v", when, got, want)
		}
	}
	check("before the hand-in", JobStatus{})
	w.submit(w.newJob("a", 1, 300*time.Millisecond), 300*time.Millisecond)
	w.run(50 * time.Millisecond)
	check("at work", JobStatus{Known: true, MayHaveStarted: true})
	w.run(time.Second)
	check("done", JobStatus{Known: true, Outcome: OutcomeCompleted})
	w.run(endedTerm + time.Second)
	check("long done", JobStatus{})
}

// abortCase is a job in one of the states that it can have when a caller asks for its end.
type abortCase struct {
	name     string
	prepare  func(w *world, job Job) *fakeJob
	want     JobStatus
	answers  []OutcomeKind
	mayStart int
}

var abortCases = []abortCase{
	{
		name:    "unknown",
		prepare: func(w *world, job Job) *fakeJob { return nil },
	},
	{
		name: "at work",
		prepare: func(w *world, job Job) *fakeJob {
			w.run(settleTime)
			j := w.submit(job, 900*time.Millisecond)
			w.run(100 * time.Millisecond)
			return j
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, answers: []OutcomeKind{OutcomeAborted}, mayStart: 2,
	},
	{
		name: "before the minions are listed",
		prepare: func(w *world, job Job) *fakeJob {
			w.pool = New(11, w.pool.terms)
			return w.submit(job, 900*time.Millisecond)
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, answers: []OutcomeKind{OutcomeAborted},
	},
	{
		name: "completed",
		prepare: func(w *world, job Job) *fakeJob {
			w.run(settleTime)
			j := w.submit(job, 50*time.Millisecond)
			w.run(500 * time.Millisecond)
			return j
		},
		want: JobStatus{Known: true, Outcome: OutcomeCompleted}, answers: []OutcomeKind{OutcomeCompleted}, mayStart: 2,
	},
	{
		name: "known by its runs only",
		prepare: func(w *world, job Job) *fakeJob {
			w.run(settleTime)
			w.submit(job, 900*time.Millisecond)
			w.run(100 * time.Millisecond)
			clear(w.lines)
			w.takeOver(false)
			w.run(100 * time.Millisecond)
			return nil
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, mayStart: 2,
	},
}

// TestAbort ends jobs in each state that they can have. Their callers hear it, nothing of
// them runs on, and a repeated hand-in starts nothing.
func TestAbort(t *testing.T) {
	for _, tc := range abortCases {
		t.Run(tc.name, tc.check)
	}
}

func (tc abortCase) check(t *testing.T) {
	w := newWorld(t, 1, 3)
	job := w.newJob("a", 2, 900*time.Millisecond)
	j := tc.prepare(w, job)
	if got := w.abort("a"); got != tc.want {
		t.Errorf("standing: got %+v, want %+v", got, tc.want)
	}
	if got := w.ask("a"); got != tc.want {
		t.Errorf("standing later: got %+v, want %+v", got, tc.want)
	}
	w.list()
	w.run(300 * time.Millisecond)
	if n := w.atWork("a"); n != 0 {
		t.Errorf("%d runs go on", n)
	}
	if tc.want.Known {
		again := w.submit(job, 0)
		w.run(time.Second)
		if got, want := again.answers[len(again.answers)-1].Kind, tc.want.Outcome; got != want {
			t.Errorf("repeated hand-in: got %v, want %v", got, want)
		}
	}
	if w.starts > tc.mayStart {
		t.Errorf("got %d starts, want at most %d", w.starts, tc.mayStart)
	}
	if j == nil {
		return
	}
	var got []OutcomeKind
	for _, a := range j.answers {
		got = append(got, a.Kind)
	}
	if !slices.Equal(got[:len(tc.answers)], tc.answers) {
		t.Errorf("answers: got %v, want %v first", got, tc.answers)
	}
}

// atWork returns the number of runs of a job that minions have.
func (w *world) atWork(id string) int {
	n := 0
	for _, m := range w.minions {
		for run := range m.running {
			if run.Task.Job == id {
				n++
			}
		}
	}
	return n
}
