package rrscheduler

import (
	"testing"
	"time"
)

// Another writer leaves a registration that names a newer incarnation of a minion which runs on. Its
// runs must not start again elsewhere, and it is used again.
func TestRegistrationOfFalseIncarnation(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	j := w.submit(w.newJob("a", 4, 600*time.Millisecond), 600*time.Millisecond)
	w.advance(100 * time.Millisecond)
	before := w.starts
	for _, id := range w.minionIDs() {
		odd := w.minions[id].info
		odd.Incarnation += 1_000_000
		odd.Addr = "elsewhere"
		w.step(&MinionRegistered{Minion: odd})
	}
	w.advance(time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if w.starts != before {
		t.Errorf("starts: got %d, want %d", w.starts, before)
	}
	next := w.submit(w.newJob("b", 2, 50*time.Millisecond), 50*time.Millisecond)
	w.advance(time.Second)
	if got, want := next.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("job afterwards: got %v, want %v", got, want)
	}
}

// The same for minions that run nothing: the minion's own answer outweighs the registration.
func TestFalseIncarnationOfIdleMinion(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	for _, id := range w.minionIDs() {
		odd := w.minions[id].info
		odd.Incarnation += 1_000_000
		w.step(&MinionRegistered{Minion: odd})
	}
	w.advance(time.Second)
	w.registerMinions() // the minions report again
	w.advance(time.Second)
	j := w.submit(w.newJob("a", 2, 50*time.Millisecond), 50*time.Millisecond)
	w.advance(time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// A minion that was truly restarted while it ran tasks is used again, and its tasks run again.
func TestRestartedMinion(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(syncTime)
	j := w.submit(w.newJob("a", 2, 300*time.Millisecond), 300*time.Millisecond)
	w.advance(100 * time.Millisecond)
	w.minions["m00"].crash()
	w.advance(50 * time.Millisecond)
	w.minions["m00"].restart()
	w.advance(3 * time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := w.starts, 4; got != want {
		t.Errorf("starts: got %d, want %d", got, want)
	}
}

// Minions list runs of tasks that the job does not have: those of another body under the same ID, or
// nonsense. They end without effect on the job.
func TestRunsOfUnknownTasks(t *testing.T) {
	for _, id := range []TaskID{{"a", 3, 0}, {"a", 0, 7}, {"a", -1, 0}, {"a", 0, -1}} {
		w := newWorld(t, 1, 2)
		w.advance(syncTime)
		w.takeOver(false)
		w.advance(syncTime)
		job := w.newJob("a", 2, 400*time.Millisecond)
		job.MayHaveRuns = true
		j := w.submit(job, 400*time.Millisecond)
		w.advance(100 * time.Millisecond)
		run := RunID{Task: id, Attempt: 1}
		list := func(running []RunProgress, finished []FinishedRun) {
			m := w.scheduler.minions["m00"]
			seq := w.scheduler.poll(w.now, m, 0)
			for own, r := range w.minions["m00"].running {
				running = append(running, RunProgress{Run: own, Percent: int(100 * w.now.Sub(r.startedAt) / r.runTime)})
			}
			w.step(&PollMinionDone{MinionID: "m00", PollSeq: seq, Status: CommandOK, Incarnation: m.Incarnation, MinionClockMs: w.minions["m00"].clockMs(), RunningRuns: running, FinishedRuns: finished})
		}
		list([]RunProgress{{Run: run, Percent: 50}}, nil)
		list(nil, []FinishedRun{{EndSeq: 1, Run: run, Outcome: RunSucceeded}})
		list(nil, []FinishedRun{{EndSeq: 2, Run: RunID{Task: id, Attempt: 2}, Outcome: RunSucceeded}})
		if len(j.answers) > 0 {
			t.Errorf("%v: answered %v before its tasks are done", id, j.answers[0].Kind)
		}
	}
}

// Minions are silent for a while, to the store (which drops their registrations) or to their owner (for
// less than their lease). What runs there goes on, starts nowhere else and is not given up.
func TestSilentMinionKeepsRuns(t *testing.T) {
	for name, silence := range map[string]func(w *world){
		"to the store": func(w *world) {
			for _, id := range w.minionIDs() {
				w.step(&MinionDeregistered{MinionID: id})
			}
		},
		"to the owner": func(w *world) {
			for _, id := range w.minionIDs() {
				w.minions[id].unreachable = true
				w.after(600*time.Millisecond, func() { w.minions[id].unreachable = false })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 2)
			w.advance(syncTime)
			j := w.submit(w.newJob("a", 4, 4*time.Second), 4*time.Second)
			w.advance(300 * time.Millisecond)
			before := w.starts
			silence(w)
			w.advance(5 * time.Second)
			if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			if w.starts != before {
				t.Errorf("starts: got %d, want %d", w.starts, before)
			}
		})
	}
}
