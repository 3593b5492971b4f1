package rrpool

import (
	"slices"
	"testing"
	"time"
)

// ask returns where a job stands.
func (w *world) ask(id string) Standing { return w.question(&Ask{Token: 7, Job: id}) }

// abort ends a job and returns where it stands.
func (w *world) abort(id string) Standing { return w.question(&Abort{Token: 7, Job: id}) }

func (w *world) question(ev Event) Standing {
	w.reports = nil
	w.step(ev)
	if len(w.reports) != 1 {
		w.t.Fatalf("got %d reports, want 1", len(w.reports))
	}
	return w.reports[0].Standing
}

// TestStanding follows a job from its hand-in to its end.
func TestStanding(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(settleTime)
	check := func(when string, want Standing) {
		t.Helper()
		if got := w.ask("a"); got != want {
			t.Errorf("%s: got %+v, want %+v", when, got, want)
		}
	}
	check("before the hand-in", Standing{})
	w.submit(w.newJob("a", 1, 300*time.Millisecond), 300*time.Millisecond)
	w.run(50 * time.Millisecond)
	check("at work", Standing{Known: true, Begun: true})
	w.run(time.Second)
	check("done", Standing{Known: true, Kind: Completed})
	w.run(endedTerm + time.Second)
	check("long done", Standing{})
}

// abortCase is a job in one of the states that it can have when a caller asks for its end.
type abortCase struct {
	name     string
	prepare  func(w *world, job Job) *fakeJob
	want     Standing
	answers  []Kind
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
		want: Standing{Known: true, Kind: Aborted}, answers: []Kind{Aborted}, mayStart: 2,
	},
	{
		name: "before the minions are listed",
		prepare: func(w *world, job Job) *fakeJob {
			w.pool = New(11, w.pool.terms)
			return w.submit(job, 900*time.Millisecond)
		},
		want: Standing{Known: true, Kind: Aborted}, answers: []Kind{Aborted},
	},
	{
		name: "completed",
		prepare: func(w *world, job Job) *fakeJob {
			w.run(settleTime)
			j := w.submit(job, 50*time.Millisecond)
			w.run(500 * time.Millisecond)
			return j
		},
		want: Standing{Known: true, Kind: Completed}, answers: []Kind{Completed}, mayStart: 2,
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
		want: Standing{Known: true, Kind: Aborted}, mayStart: 2,
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
		if got, want := again.answers[len(again.answers)-1].Kind, tc.want.Kind; got != want {
			t.Errorf("repeated hand-in: got %v, want %v", got, want)
		}
	}
	if w.starts > tc.mayStart {
		t.Errorf("got %d starts, want at most %d", w.starts, tc.mayStart)
	}
	if j == nil {
		return
	}
	var got []Kind
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
