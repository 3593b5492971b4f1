package rrscheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanring/core/rrwarmup"
)

const syncTime = 200 * time.Millisecond // until a new scheduler has polled its minions

func TestJobCompletes(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.advance(syncTime)
	j := w.submit(w.newJob("a", 8, 60*time.Millisecond), 60*time.Millisecond)
	w.advance(time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := w.starts, 8; got != want {
		t.Errorf("starts: got %d, want %d", got, want)
	}
	if took := j.answeredAt.Sub(j.job.ReceivedAt); took > 70*time.Millisecond {
		t.Errorf("took %v, want at most 70 ms", took)
	}
}

// A job that runs longer than a job without callers is kept must not be dropped as an orphan while its caller waits.
func TestLongJobKeepsItsCaller(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.advance(syncTime)
	j := w.submit(w.newJob("a", 2, 4*time.Second), 4*time.Second)
	w.advance(5 * time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

func TestJobWaitsForMinionList(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.scheduler = New(11, w.scheduler.options)
	j := w.submit(w.newJob("a", 2, 50*time.Millisecond), 50*time.Millisecond)
	w.advance(50 * time.Millisecond)
	w.addMinion("m", false)
	w.registerMinions()
	w.advance(syncTime)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		edit   func(*Job)
		reason Reason
	}{
		{"larger than every minion", func(j *Job) { j.Phases[0].Resources.MilliCores = 97_000 }, ReasonNeverFits},
		{"label that no minion has", func(j *Job) { j.Phases[0].RequiredLabel = "x" }, ReasonNeverFits},
		{"service without minions", func(j *Job) { j.Service = "other" }, ReasonNoMinion},
		{"too late already", func(j *Job) { j.ReceivedAt = j.ReceivedAt.Add(-time.Second) }, ReasonDeadlineUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 3)
			w.advance(syncTime)
			job := w.newJob("a", 2, 60*time.Millisecond)
			tc.edit(&job)
			j := w.submit(job, 60*time.Millisecond)
			out := j.outcome(t)
			if out.Kind != OutcomeRefused || out.Reason != tc.reason {
				t.Errorf("got %v %v, want %v %v", out.Kind, out.Reason, OutcomeRefused, tc.reason)
			}
			w.advance(time.Second)
			if w.starts != 0 {
				t.Errorf("got %d starts, want none", w.starts)
			}
		})
	}
}

func TestRepeatedSubmission(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(syncTime)
	job := w.newJob("a", 2, 300*time.Millisecond)
	j := w.submit(job, 300*time.Millisecond)
	w.advance(100 * time.Millisecond)
	w.submit(job, 0)
	other := job
	other.Spec = "another body"
	w.submit(other, 0)
	w.advance(time.Second)
	w.submit(job, 0)
	var got []OutcomeKind
	for _, a := range j.answers {
		got = append(got, a.Kind)
	}
	want := []OutcomeKind{OutcomeIDConflict, OutcomeCompleted, OutcomeCompleted, OutcomeCompleted}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("answers: got %v, want %v", got, want)
	}
	if got, want := w.starts, 2; got != want {
		t.Errorf("starts: got %d, want %d", got, want)
	}
}

// Tasks run only on minions of their service that have their label, and no more of them on one minion
// than the phase allows.
func TestPlacementMeetsConstraints(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.minions["m00"].info.Service = "other"
	w.minions["m01"].info.Labels = []string{"fast"}
	w.registerMinions()
	w.advance(syncTime)
	labeled := w.newJob("labeled", 3, 100*time.Millisecond)
	labeled.Phases[0].RequiredLabel = "fast"
	spread := w.newJob("spread", 6, 100*time.Millisecond)
	spread.Phases[0].MaxPerMinion = 1
	w.submit(labeled, 100*time.Millisecond)
	w.submit(spread, 100*time.Millisecond)
	for range 40 {
		w.advance(5 * time.Millisecond)
		if n := len(w.minions["m00"].running); n > 0 {
			t.Fatalf("a minion of another service runs %d tasks", n)
		}
		for _, id := range w.minionIDs() {
			n := map[string]int{}
			for run := range w.minions[id].running {
				n[run.Task.Job]++
			}
			if n["labeled"] > 0 && id != "m01" || n["spread"] > 1 {
				t.Fatalf("%s runs %v", id, n)
			}
		}
	}
	w.advance(2 * time.Second)
	for id, j := range w.jobs {
		if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
			t.Errorf("%s: got %v, want %v", id, got, want)
		}
	}
}

// A job that always fails ends after MaxAttempts runs.
func TestFailingJobEndsAfterMaxAttempts(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(syncTime)
	job := w.newJob("a", 1, 100*time.Millisecond)
	w.jobs["a"] = &fakeJob{job: job, runTime: 100 * time.Millisecond, alwaysFails: true, done: map[TaskID]bool{}}
	j := w.submit(job, 0)
	w.advance(2 * time.Second)
	if got, want := j.outcome(t).Kind, OutcomeFailed; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := w.starts, job.MaxAttempts; got != want {
		t.Errorf("starts: got %d, want %d", got, want)
	}
}

func TestCancelFreesCapacity(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(syncTime)
	w.submit(w.newJob("a", 2, 2*time.Second), 2*time.Second)
	w.advance(100 * time.Millisecond)
	w.step(&JobCancelRequested{JobID: "a"})
	w.advance(100 * time.Millisecond)
	j := w.submit(w.newJob("b", 2, 60*time.Millisecond), 60*time.Millisecond)
	w.advance(200 * time.Millisecond)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

func TestPhasesInOrder(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.advance(syncTime)
	job := w.newJob("a", 3, 50*time.Millisecond)
	second := job.Phases[0]
	second.DependsOn = []int{0}
	job.Phases = append(job.Phases, second)
	j := w.submit(job, 50*time.Millisecond)
	w.advance(time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// When an owner's process is killed, the new owner takes over its runs and restarts none of them.
func TestNewOwnerTakesOverRuns(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.advance(syncTime)
	var jobs []*fakeJob
	for i := range 4 {
		jobs = append(jobs, w.submit(w.newJob(fmt.Sprintf("j%d", i), 2, 800*time.Millisecond), 800*time.Millisecond))
	}
	w.advance(200 * time.Millisecond)
	before := w.starts
	w.dead[w.scheduler] = true
	w.advance(300 * time.Millisecond)
	w.takeOver(false)
	w.advance(2 * time.Second)
	for _, j := range jobs {
		if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
			t.Errorf("%s: got %v, want %v", j.job.ID, got, want)
		}
	}
	if w.starts != before {
		t.Errorf("starts: got %d, want %d: the runs are taken over", w.starts, before)
	}
}

// An owner that was only unresponsive is fenced off, and its callers submit their jobs to the new
// owner.
func TestReplacedOwnerSendsCallersToNewOwner(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.advance(syncTime)
	var jobs []*fakeJob
	for i := range 8 {
		jobs = append(jobs, w.submit(w.newJob(fmt.Sprintf("j%d", i), 3, 500*time.Millisecond), 500*time.Millisecond))
	}
	w.advance(100 * time.Millisecond)
	w.takeOver(true)
	w.advance(4 * time.Second)
	for _, j := range jobs {
		if got := j.outcome(t).Kind; got != OutcomeCompleted && got != OutcomeRefused {
			t.Errorf("%s: got %v, want completed or refused", j.job.ID, got)
		}
	}
}

// A job may have runs of a previous owner on a minion that is unknown here. It must not start, since a
// task could then run twice.
func TestJobWithRunsOnUnknownMinionIsAbandoned(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	job := w.newJob("a", 1, 100*time.Millisecond)
	job.MayHaveRuns, job.RunMinionsKnown, job.RunMinions = true, true, []string{"elsewhere"}
	j := w.submit(job, 100*time.Millisecond)
	w.advance(2 * time.Second)
	if got, want := j.outcome(t), (JobOutcome{Kind: OutcomeAbandoned, Reason: ReasonMinionsUnresponsive}); got.Kind != want.Kind || got.Reason != want.Reason {
		t.Errorf("got %v %v, want %v %v", got.Kind, got.Reason, want.Kind, want.Reason)
	}
	if w.starts != 0 {
		t.Errorf("got %d starts, want none", w.starts)
	}
}

// A minion that fails, stalls or is slow delays only its first tasks, which then run elsewhere.
func TestFaultyMinionIsAvoided(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*fakeMinion)
	}{
		{"fails", func(m *fakeMinion) { m.failsAll = true }},
		{"stalls", func(m *fakeMinion) { m.stalls = true }},
		{"slow", func(m *fakeMinion) { m.speed = 1 / 6.5 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 6)
			w.advance(syncTime)
			w.learnRunTimes()
			tc.set(w.minions["m00"])
			late := 0
			for i := range 60 {
				j := w.submit(w.newJob(fmt.Sprintf("j%d", i), 2, 200*time.Millisecond), 200*time.Millisecond)
				w.advance(50 * time.Millisecond)
				defer func() {
					if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
						t.Errorf("%s: got %v, want %v", j.job.ID, got, want)
					}
				}()
				w.after(400*time.Millisecond, func() {
					if len(j.answers) == 0 {
						late++
					}
				})
			}
			w.advance(5 * time.Second)
			if late > 8 {
				t.Errorf("got %d late jobs of 60, want at most 8", late)
			}
		})
	}
}

// learnRunTimes runs jobs so that the scheduler learns their run times.
func (w *world) learnRunTimes() {
	for i := range 20 {
		w.submit(w.newJob(fmt.Sprintf("learn%d", i), 2, 200*time.Millisecond), 200*time.Millisecond)
		w.advance(100 * time.Millisecond)
	}
	w.advance(time.Second)
}

// TestRandom injects random faults; the world checks the rules for starts and answers.
func TestRandom(t *testing.T) {
	checkRandom(t, func(*rapid.T, *world) {})
}

// The same with minions that are cold after each start, with registrations that say so or not.
func TestRandomCold(t *testing.T) {
	checkRandom(t, func(rt *rapid.T, w *world) {
		rate := rapid.SampledFrom([]float64{0, 0, 3, 20}).Draw(rt, "rate")
		coldTime := rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 10 * time.Second}).Draw(rt, "configured")
		w.step(&WarmupConfigured{ByService: map[string]rrwarmup.Settings{"s": {ColdTime: coldTime, StartsPerSecond: rate}}})
		for _, id := range w.minionIDs() {
			m := w.minions[id]
			m.coldTime = time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "cold")) * time.Millisecond
			m.coldSlowdown = rapid.Float64Range(1, 20).Draw(rt, "slowdown")
			m.hidesCold = rapid.Bool().Draw(rt, "hidden")
			m.crash()
			m.restart()
		}
	})
}

// checkRandom draws histories of worlds that prepare has changed.
func checkRandom(t *testing.T, prepare func(rt *rapid.T, w *world)) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.Uint64().Draw(rt, "seed"), 6)
		w.faults.lostAnswer = rapid.SampledFrom([]float64{0, 0, 0.1, 0.3}).Draw(rt, "lost")
		w.faults.delayed = rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(rt, "late")
		w.faults.slowed = rapid.SampledFrom([]float64{0, 0, 0.1, 0.3}).Draw(rt, "slow")
		w.faults.crossing = rapid.Bool().Draw(rt, "crossing")
		prepare(rt, w)
		w.advance(syncTime)
		for i := range 30 {
			w.randomStep(rt, i)
			w.advance(time.Duration(rapid.IntRange(1, 200).Draw(rt, "pause")) * time.Millisecond)
		}
		w.clearFaults()
		w.advance(15 * time.Second)
		if got := w.scheduler.evacuatedMinions; got != 0 {
			rt.Errorf("minions in evacuated zones: got %d, want none with all zones in use", got)
		}
		for id, j := range w.jobs {
			if len(j.answers) == 0 && !j.canceled() {
				rt.Errorf("%s has no answer", id)
			}
		}
	})
}

// canceled reports whether the caller has canceled the job.
func (j *fakeJob) canceled() bool { return j.job.Deadline.IsZero() }

func (w *world) clearFaults() {
	w.faults = faults{}
	w.evacuate(0)
	for _, id := range w.minionIDs() {
		m := w.minions[id]
		m.unreachable, m.failsAll, m.stalls = false, false, false
		if m.down {
			m.restart()
		}
	}
}

func (w *world) randomStep(rt *rapid.T, i int) {
	m := w.minions[rapid.SampledFrom(w.minionIDs()).Draw(rt, "minion")]
	switch rapid.IntRange(0, 16).Draw(rt, "step") {
	case 0:
		if !m.down {
			m.crash()
		}
	case 1:
		if m.down {
			m.restart()
		}
	case 2:
		m.unreachable = !m.unreachable
	case 3:
		m.failsAll = !m.failsAll
	case 4:
		m.stalls = !m.stalls
	case 5:
		w.takeOver(rapid.Bool().Draw(rt, "alive"))
	case 6:
		w.step(&MinionDeregistered{MinionID: m.info.ID})
	case 7:
		if !m.down && !m.unreachable {
			w.step(&MinionRegistered{Minion: m.info})
		}
	case 8, 9:
		if !m.down {
			m.restartQuickly(time.Duration(rapid.IntRange(0, 100).Draw(rt, "down"))*time.Millisecond, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "report"))*time.Millisecond)
		}
	case 10:
		w.loseCallers(rapid.SampledFrom([]string{"", "j1", "j2"}).Draw(rt, "of"))
	case 11:
		w.evacuate(time.Duration(rapid.IntRange(0, 800).Draw(rt, "grace"))*time.Millisecond, rapid.SampledFrom([][]string{nil, {""}, {"", "other"}, {"other"}}).Draw(rt, "evacuated")...)
	default:
		runTime := time.Duration(rapid.IntRange(30, 1500).Draw(rt, "work")) * time.Millisecond
		declared := float64(runTime) * math.Exp2(rapid.Float64Range(-1, 1).Draw(rt, "off"))
		job := w.newJob(fmt.Sprintf("j%d", i), rapid.IntRange(1, 8).Draw(rt, "tasks"), time.Duration(declared))
		w.submit(job, runTime)
	}
}

// Previous owners left two runs of one task. When both end, the task must count as complete once, not
// also for another task of the job.
func TestSecondRunCountsOnce(t *testing.T) {
	s := New(10, Options{MaxLease: maxLease, MaxStopTime: 50 * time.Millisecond})
	now := time.Unix(1_800_000_000, 0)
	var replies []*ReplyOutcome
	var polls []*PollMinion
	step := func(ev Event) {
		for _, e := range append(slices.Clone(s.Step(now, ev)), s.Schedule(now)...) {
			switch e := e.(type) {
			case *ReplyOutcome:
				replies = append(replies, e)
			case *PollMinion:
				polls = append(polls, e)
			}
		}
		now = now.Add(time.Millisecond)
	}
	answerPoll := func(id string, running []RunProgress, ended []FinishedRun) {
		for i := len(polls) - 1; i >= 0; i-- {
			if polls[i].MinionID == id {
				step(&PollMinionDone{MinionID: id, PollSeq: polls[i].PollSeq, Status: CommandOK, MinionClockMs: 5, RunningRuns: running, FinishedRuns: ended})
				return
			}
		}
		t.Fatalf("no poll of %s", id)
	}
	run := func(index, attempt int) RunID { return RunID{Task: TaskID{Job: "a", Index: index}, Attempt: attempt} }
	w := newWorld(t, 1, 2)
	for _, id := range w.minionIDs() {
		step(&MinionRegistered{Minion: w.minions[id].info})
	}
	step(&MinionListSynced{})
	answerPoll("m00", []RunProgress{{Run: run(0, 1)}, {Run: run(1, 1)}}, nil)
	answerPoll("m01", []RunProgress{{Run: run(0, 2)}}, nil)
	job := w.newJob("a", 2, time.Second)
	job.MayHaveRuns = true
	step(&JobSubmitted{CallID: 1, Job: job})
	answerPoll("m01", nil, []FinishedRun{{EndSeq: 1, Run: run(0, 2), Outcome: RunSucceeded}})
	answerPoll("m00", []RunProgress{{Run: run(1, 1), Percent: 50}}, []FinishedRun{{EndSeq: 1, Run: run(0, 1), Outcome: RunSucceeded}})
	if len(replies) > 0 {
		t.Fatalf("answered %v before the second task is done", replies[0].Outcome.Kind)
	}
	answerPoll("m00", nil, []FinishedRun{{EndSeq: 2, Run: run(1, 1), Outcome: RunSucceeded}})
	if len(replies) != 1 || replies[0].Outcome.Kind != OutcomeCompleted {
		t.Errorf("got %d answers, want one that says completed", len(replies))
	}
}

// A job with runs of a previous owner counts as taken over exactly once, whether the submission or the
// minions' list of runs arrives first.
func TestTakeoverIsCountedOnce(t *testing.T) {
	for _, tc := range []struct {
		name        string
		submitDelay time.Duration // from the new owner's first list of minions to the submission
		runTime     time.Duration
	}{
		{"submission first", 0, 400 * time.Millisecond},
		{"runs first", 100 * time.Millisecond, 400 * time.Millisecond},
		{"ends while there is no owner", 0, 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.advance(syncTime)
			job := w.newJob("a", 2, 400*time.Millisecond)
			j := w.submit(job, tc.runTime)
			w.advance(20 * time.Millisecond)
			w.fencingToken++
			w.dead[w.scheduler] = true
			clear(w.jobOfCall)
			w.advance(50 * time.Millisecond)
			w.scheduler = New(w.fencingToken, w.scheduler.options)
			w.registerMinions()
			w.advance(tc.submitDelay)
			job.MayHaveRuns = true
			w.submit(job, tc.runTime)
			w.advance(time.Second)
			if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			if got, want := w.starts, 2; got != want {
				t.Errorf("starts: got %d, want %d", got, want)
			}
			logged := 0
			for _, d := range w.decisions {
				if d.Message == "adopted" && d.JobID == "a" {
					logged++
				}
			}
			if got, want := []uint64{uint64(logged), w.scheduler.Stats.TakenOverJobs}, []uint64{1, 1}; !slices.Equal(got, want) {
				t.Errorf("log lines and count of adopted jobs: got %v, want %v", got, want)
			}
		})
	}
}
