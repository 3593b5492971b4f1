package rrscheduler

import (
	"slices"
	"testing"
	"time"
)

// queryStatus returns the status of a job.
func (w *world) queryStatus(id string) JobStatus {
	return w.statusOf(&JobStatusRequested{CallID: 7, JobID: id})
}

// abort aborts a job and returns its status.
func (w *world) abort(id string) JobStatus {
	return w.statusOf(&JobAbortRequested{CallID: 7, JobID: id})
}

func (w *world) statusOf(ev Event) JobStatus {
	w.statusReplies = nil
	w.step(ev)
	if len(w.statusReplies) != 1 {
		w.t.Fatalf("got %d status replies, want 1", len(w.statusReplies))
	}
	return w.statusReplies[0].Status
}

// TestJobStatus checks the status of a job from before its submission until its outcome is forgotten.
func TestJobStatus(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(syncTime)
	check := func(when string, want JobStatus) {
		t.Helper()
		if got := w.queryStatus("a"); got != want {
			t.Errorf("%s: got %+v, want %+v", when, got, want)
		}
	}
	check("before the submission", JobStatus{})
	w.submit(w.newJob("a", 1, 300*time.Millisecond), 300*time.Millisecond)
	w.advance(50 * time.Millisecond)
	check("running", JobStatus{Known: true, MayHaveStarted: true})
	w.advance(time.Second)
	check("done", JobStatus{Known: true, Outcome: OutcomeCompleted})
	w.advance(answerTTL + time.Second)
	check("long done", JobStatus{})
}

// abortCase is a job in one of the states that it can have when a caller aborts it.
type abortCase struct {
	name      string
	prepare   func(w *world, job Job) *fakeJob
	want      JobStatus
	answers   []OutcomeKind
	maxStarts int
}

var abortCases = []abortCase{
	{
		name:    "unknown",
		prepare: func(w *world, job Job) *fakeJob { return nil },
	},
	{
		name: "running",
		prepare: func(w *world, job Job) *fakeJob {
			w.advance(syncTime)
			j := w.submit(job, 900*time.Millisecond)
			w.advance(100 * time.Millisecond)
			return j
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, answers: []OutcomeKind{OutcomeAborted}, maxStarts: 2,
	},
	{
		name: "before the minions are listed",
		prepare: func(w *world, job Job) *fakeJob {
			w.scheduler = New(11, w.scheduler.options)
			return w.submit(job, 900*time.Millisecond)
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, answers: []OutcomeKind{OutcomeAborted},
	},
	{
		name: "completed",
		prepare: func(w *world, job Job) *fakeJob {
			w.advance(syncTime)
			j := w.submit(job, 50*time.Millisecond)
			w.advance(500 * time.Millisecond)
			return j
		},
		want: JobStatus{Known: true, Outcome: OutcomeCompleted}, answers: []OutcomeKind{OutcomeCompleted}, maxStarts: 2,
	},
	{
		name: "known by its runs only",
		prepare: func(w *world, job Job) *fakeJob {
			w.advance(syncTime)
			w.submit(job, 900*time.Millisecond)
			w.advance(100 * time.Millisecond)
			clear(w.jobOfCall)
			w.takeOver(false)
			w.advance(100 * time.Millisecond)
			return nil
		},
		want: JobStatus{Known: true, Outcome: OutcomeAborted}, maxStarts: 2,
	},
}

// TestAbort aborts jobs in each state that they can have. Their callers must receive the outcome,
// their runs must stop, and a repeated submission must start nothing.
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
		t.Errorf("status: got %+v, want %+v", got, tc.want)
	}
	if got := w.queryStatus("a"); got != tc.want {
		t.Errorf("status later: got %+v, want %+v", got, tc.want)
	}
	w.registerMinions()
	w.advance(300 * time.Millisecond)
	if n := w.runningTasks("a"); n != 0 {
		t.Errorf("%d runs still run after the abort", n)
	}
	if tc.want.Known {
		again := w.submit(job, 0)
		w.advance(time.Second)
		if got, want := again.answers[len(again.answers)-1].Kind, tc.want.Outcome; got != want {
			t.Errorf("repeated submission: got %v, want %v", got, want)
		}
	}
	if w.starts > tc.maxStarts {
		t.Errorf("got %d starts, want at most %d", w.starts, tc.maxStarts)
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

// runningTasks returns the number of a job's runs on all minions.
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
