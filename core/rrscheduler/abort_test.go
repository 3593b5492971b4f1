package rrscheduler

import (
	"slices"
	"testing"
	"time"
)

// queryStatus returns where a job stands.
func (w *world) queryStatus(id string) JobStatus {
	return w.statusOf(&JobStatusRequested{CallID: 7, JobID: id})
}

// abort ends a job and returns where it stands.
func (w *world) abort(id string) JobStatus {
	return w.statusOf(&JobAbortRequested{CallID: 7, JobID: id})
}

func (w *world) statusOf(ev Event) JobStatus {
	w.statusReplies = nil
	w.step(ev)
	if len(w.statusReplies) != 1 {
		w.t.Fatalf("got %d reports, want 1", len(w.statusReplies))
	}
	return w.statusReplies[0].Status
}

// TestJobStatus follows a job from its hand-in to its end.
func TestJobStatus(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(syncTime)
	check := func(when string, want JobStatus) {
		t.Helper()
		if got := w.queryStatus("a"); got != want {
			t.Errorf("%s: got %+v, want %+v", when, got, want)
		}
	}
	check("before the hand-in", JobStatus{})
	w.submit(w.newJob("a", 1, 300*time.Millisecond), 300*time.Millisecond)
	w.run(50 * time.Millisecond)
	check("at work", JobStatus{Known: true, MayHaveStarted: true})
	w.run(time.Second)
	check("done", JobStatus{Known: true, Outcome: OutcomeCompleted})
	w.run(answerTTL + time.Second)
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
			w.run(syncTime)
			j := w.submit(job, 900*time.Millisecond)
			w.run(100 * time.Millisecond)
			return j
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, answers: []OutcomeKind{OutcomeAborted}, mayStart: 2,
	},
	{
		name: "before the minions are listed",
		prepare: func(w *world, job Job) *fakeJob {
			w.scheduler = New(11, w.scheduler.guarantees)
			return w.submit(job, 900*time.Millisecond)
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, answers: []OutcomeKind{OutcomeAborted},
	},
	{
		name: "completed",
		prepare: func(w *world, job Job) *fakeJob {
			w.run(syncTime)
			j := w.submit(job, 50*time.Millisecond)
			w.run(500 * time.Millisecond)
			return j
		},
		want: JobStatus{Known: true, Outcome: OutcomeCompleted}, answers: []OutcomeKind{OutcomeCompleted}, mayStart: 2,
	},
	{
		name: "known by its runs only",
		prepare: func(w *world, job Job) *fakeJob {
			w.run(syncTime)
			w.submit(job, 900*time.Millisecond)
			w.run(100 * time.Millisecond)
			clear(w.jobOfCall)
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
	if got := w.queryStatus("a"); got != tc.want {
		t.Errorf("standing later: got %+v, want %+v", got, tc.want)
	}
	w.reportMinions()
	w.run(300 * time.Millisecond)
	if n := w.runningTasks("a"); n != 0 {
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

// runningTasks returns the number of runs of a job that minions have.
func (w *world) runningTasks(id string) int {
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
