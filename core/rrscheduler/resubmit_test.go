package rrscheduler

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// Two callers submit a job whose former runs are still being stopped. The second submission replaced the
// first one, whose caller never got an answer.
func TestSubmissionsToClosingJob(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(syncTime)
	job := w.newJob("a", 2, 300*ms)
	w.submit(job, 300*ms)
	w.advance(100 * ms)
	w.step(&JobCancelRequested{JobID: "a"})
	j := w.submit(job, 0)
	w.submit(job, 0)
	w.advance(time.Second)
	var got []OutcomeKind
	for _, a := range j.answers {
		got = append(got, a.Kind)
	}
	want := []OutcomeKind{OutcomeAbandoned, OutcomeCompleted, OutcomeCompleted}
	if !slices.Equal(got, want) {
		t.Errorf("answers: got %v, want %v", got, want)
	}
	if got, want := w.starts, 4; got != want {
		t.Errorf("starts: got %d, want %d", got, want)
	}
}

// A process submits a job and is lost before the job has begun: while its former runs are being stopped, or
// before the minions are listed. The job was started for nobody.
func TestLostProcessLeavesNoSubmission(t *testing.T) {
	for name, prepare := range map[string]func(w *world, job Job){
		"closing job": func(w *world, job Job) {
			w.advance(syncTime)
			w.submit(job, 300*ms)
			w.advance(100 * ms)
			w.step(&JobCancelRequested{JobID: "a"})
		},
		"minions not listed": func(w *world, _ Job) {
			w.scheduler = New(11, w.scheduler.options)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3)
			job := w.newJob("a", 2, 300*ms)
			job.CallerProcess = "p"
			prepare(w, job)
			before := w.starts
			w.submit(job, 300*ms)
			w.step(&CallerProcessLost{CallerProcess: "p"})
			w.registerMinions()
			w.advance(time.Second)
			if w.starts != before {
				t.Errorf("starts: got %d, want %d", w.starts, before)
			}
		})
	}
}

// An owner hands its shard over while a submission waits for the runs of a closing job. The next owner took
// it for a job without runs, and its tasks could run twice.
func TestHandoverOfClosingJob(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(syncTime)
	job := w.newJob("a", 2, 300*ms)
	w.submit(job, 300*ms)
	w.advance(100 * ms)
	w.step(&JobCancelRequested{JobID: "a"})
	var got []JobOutcome
	effects := slices.Concat(w.scheduler.Step(w.now, &JobSubmitted{CallID: 50, Job: job}), w.scheduler.Step(w.now, &OwnershipLost{}))
	for _, e := range effects {
		if r, ok := e.(*ReplyOutcome); ok && r.CallID == 50 {
			got = append(got, r.Outcome)
		}
	}
	want := JobOutcome{Kind: OutcomeOwnerChanged, MayHaveRuns: true, RunMinionsKnown: true, RunMinions: []string{"m00", "m00"}}
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("answers: got %+v, want %+v", got, want)
	}
}

// A process withdraws a submission late: it was frozen, or the owner was. Meanwhile the caller has submitted the
// job again through another process, and its new try was ended (504) with the old one.
func TestLateWithdrawalKeepsLaterSubmission(t *testing.T) {
	for name, withdraw := range map[string]Event{
		"withdrawal":   &JobCancelRequested{JobID: "a", CallerProcess: "p", Submission: 1},
		"lost process": &CallerProcessLost{CallerProcess: "p"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 3)
			w.advance(syncTime)
			job := w.newJob("a", 2, 300*ms)
			job.CallerProcess, job.Submission = "p", 1
			w.submit(job, 300*ms)
			again := job
			again.CallerProcess, again.Submission = "q", 1
			j := w.submit(again, 300*ms)
			w.advance(100 * ms)
			w.step(withdraw)
			w.advance(time.Second)
			var got []OutcomeKind
			for _, a := range j.answers {
				got = append(got, a.Kind)
			}
			if want := []OutcomeKind{OutcomeAbandoned, OutcomeCompleted}; !slices.Equal(got, want) {
				t.Errorf("answers: got %v, want %v", got, want)
			}
			if got, want := w.starts, 2; got != want {
				t.Errorf("starts: got %d, want %d", got, want)
			}
		})
	}
}

// The last submission of a job is withdrawn after another one: nobody waits any longer, and its runs end.
func TestWithdrawalOfAllSubmissions(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(syncTime)
	job := w.newJob("a", 2, 300*ms)
	for n := range uint64(2) {
		job.Submission = n
		w.submit(job, 300*ms)
	}
	w.advance(100 * ms)
	for n := range uint64(2) {
		w.step(&JobCancelRequested{JobID: "a", Submission: n})
	}
	w.advance(200 * ms)
	if got := w.scheduler.jobs["a"]; got != nil {
		t.Errorf("the job is still known, with %d callers", len(got.callers))
	}
}
