package rrscheduler

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// world simulates, in virtual time, the minions and callers around one or more schedulers. It checks
// the platform's rules for starts and answers.
type world struct {
	t             tester
	rnd           *rand.Rand
	now           time.Time
	timers        timerHeap
	seq           int
	scheduler     *Scheduler          // current one, which callers use
	previous      []*Scheduler        // replaced ones that still run
	dead          map[*Scheduler]bool // replaced ones that don't run
	pausedUntil   time.Time           // the current one handles events only after this
	fencingToken  int64
	minions       map[string]*fakeMinion
	jobs          map[string]*fakeJob
	jobOfCall     map[uint64]string // job ID of each pending call
	lastCallID    uint64
	oneWay        time.Duration // network delay
	faults        faults
	starts        int
	polls         int
	decisions     []*LogDecision
	released      []string
	statusReplies []*ReplyJobStatus
	evacuated     map[string]bool          // as last reported
	startsUntil   map[*Scheduler]time.Time // of the schedulers that know that the minions' zone is evacuated

	onForward func(j *fakeJob, shard string) // nil: a forward counts as an answer
	onCommand func(e Effect) *delivery       // of a start or stop command; nil for the world's faults
	cpu       *cpuModel                      // of the owner's process; nil: it takes no time
}

// tester is the part of testing.T and rapid.T that a world uses.
type tester interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// faults are the probabilities of faults, for each command.
type faults struct {
	lostAnswer float64 // carried out, but the answer is lost
	delayed    float64 // no answer; carried out 2 to 12 s later
	slowed     float64 // carried out up to 350 ms later and then answered
	crossing   bool    // commands wait up to connectTime for a connection, so they may reach the minion's next incarnation
}

type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// fakeJob is a job as its caller sees it.
type fakeJob struct {
	job         Job
	runTime     time.Duration // true run time of a task on a minion of speed 1
	answers     []JobOutcome
	answeredAt  time.Time // of the first answer
	alwaysFails bool
	starts      int
	done        map[TaskID]bool
}

func newWorld(t tester, seed uint64, minions int) *world {
	t.Helper()
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { t.Errorf("broken invariant: %s", v.Name()) })
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), fencingToken: 10, oneWay: 300 * time.Microsecond,
		minions: make(map[string]*fakeMinion), dead: make(map[*Scheduler]bool), startsUntil: make(map[*Scheduler]time.Time), jobs: make(map[string]*fakeJob), jobOfCall: make(map[uint64]string),
	}
	w.scheduler = New(w.fencingToken, Options{MaxLease: maxLease, MaxStopTime: 50 * time.Millisecond, ResendDelay: resendDelay})
	for i := range minions {
		w.addMinion(fmt.Sprintf("m%02d", i), i%3 == 2)
	}
	w.registerMinions()
	w.tick()
	return w
}

func (w *world) addMinion(id string, large bool) *fakeMinion {
	cores := uint32(64_000)
	if large {
		cores = 96_000
	}
	m := &fakeMinion{
		w: w, startedAt: w.now, speed: 1, running: make(map[RunID]*fakeRun), highestAttempt: make(map[TaskID]int),
		info: Minion{ID: id, Incarnation: w.now.UnixMilli(), Addr: id, Service: "s", Capacity: rrtask.Resources{MilliCores: cores, MemoryBytes: 64 << 30}},
	}
	w.minions[id] = m
	return m
}

// registerMinions reports all running minions to the scheduler.
func (w *world) registerMinions() {
	for _, id := range w.minionIDs() {
		switch m := w.minions[id]; {
		case m.listed != nil:
			w.step(&MinionRegistered{Minion: *m.listed})
		case !m.down:
			w.step(&MinionRegistered{Minion: m.info})
		}
	}
	w.step(&MinionListSynced{})
}

func (w *world) minionIDs() []string {
	var ids []string
	for id := range w.minions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{w.now.Add(d), w.seq, do})
}

// advance advances virtual time by d and carries out the events that are due.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		e := heap.Pop(&w.timers).(timer)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) tick() {
	w.afterCPU(0, func(lag time.Duration) { w.step(&Tick{Lag: lag}) })
	for _, s := range w.previous {
		w.stepOf(s, &Tick{})
	}
	w.after(TickInterval, w.tick)
}

func (w *world) step(ev Event) { w.stepOf(w.scheduler, ev) }

func (w *world) stepOf(s *Scheduler, ev Event) {
	if w.dead[s] {
		return
	}
	if pause := w.pausedUntil.Sub(w.now); s == w.scheduler && pause > 0 {
		w.after(pause, func() { w.stepOf(s, ev) })
		return
	}
	for _, e := range append(slices.Clone(s.Step(w.now, ev)), slices.Clone(s.Schedule(w.now))...) {
		w.perform(s, e)
	}
}

func (w *world) perform(s *Scheduler, e Effect) {
	switch e := e.(type) {
	case *StartRun:
		if until, evacuated := w.startsUntil[s]; evacuated && !w.now.Before(until) {
			w.t.Errorf("%v starts %v after the last start in the evacuated zone", e.Run, w.now.Sub(until))
		}
		w.sendCommand(s, e, e.MinionID, e.Timeout, func(m *fakeMinion) Event { return m.start(e) },
			&StartRunDone{MinionID: e.MinionID, Run: e.Run, Status: CommandOutcomeUnknown})
	case *StopRun:
		w.sendCommand(s, e, e.MinionID, e.Timeout, func(m *fakeMinion) Event { return m.stop(e) },
			&StopRunDone{MinionID: e.MinionID, Run: e.Run, Status: CommandOutcomeUnknown})
	case *PollMinion:
		w.polls++
		w.sendPoll(s, e)
	case *ReplyOutcome:
		w.reply(e)
	case *ReplyJobStatus:
		w.statusReplies = append(w.statusReplies, e)
	case *ReleaseMinion:
		w.released = append(w.released, e.MinionID)
	case *LogDecision:
		w.decisions = append(w.decisions, e)
		if testing.Verbose() {
			w.t.Logf("%8s token %d: %s job=%s minion=%s %s %v", w.now.Sub(time.Unix(1_800_000_000, 0)), s.fencingToken, e.Message, e.JobID, e.MinionID, e.Detail, e.Age)
		}
	}
}

// sendCommand delivers one command and its answer, with the world's faults.
func (w *world) sendCommand(s *Scheduler, e Effect, id string, timeout time.Duration, do func(*fakeMinion) Event, noAnswer Event) {
	m := w.minions[id]
	answered := false
	w.after(timeout, func() {
		if !answered {
			answered = true
			w.disconnect(id)
			w.stepOf(s, noAnswer)
		}
	})
	if d := w.delivery(e); d != nil && m != nil {
		w.deliver(d, m, do, func(ev Event) {
			if !answered {
				answered = true
				w.stepOf(s, ev)
			}
		})
		return
	}
	if w.faults.crossing && m != nil {
		w.after(time.Duration(w.rnd.Int64N(int64(connectTime))), func() {
			if s == w.scheduler { // a process that has ended connects no longer; TestStaleStartOfReplacedOwner has one that lives
				w.sendConnected(s, m, do, &answered)
			}
		})
		return
	}
	w.sendConnected(s, m, do, &answered)
}

// connectTime is the longest time that a command may wait for a connection to its minion; all time-outs of
// commands are longer.
const connectTime = 45 * time.Millisecond

// sendConnected delivers a command to the incarnation of the minion that runs now.
func (w *world) sendConnected(s *Scheduler, m *fakeMinion, do func(*fakeMinion) Event, answered *bool) {
	if m == nil || m.down || m.unreachable {
		return
	}
	incarnation, delayed, lostAnswer := m.startedAt, w.rnd.Float64() < w.faults.delayed, w.rnd.Float64() < w.faults.lostAnswer
	delay := w.oneWay
	if w.rnd.Float64() < w.faults.slowed {
		delay = time.Duration(w.rnd.Int64N(int64(350 * time.Millisecond)))
	}
	if delayed {
		delay = 2*time.Second + time.Duration(w.rnd.Int64N(int64(10*time.Second)))
	}
	w.afterCPU(w.commandCost(m.info.ID), func(time.Duration) {
		w.after(delay, func() {
			if m.down || m.unreachable || m.startedAt != incarnation {
				return
			}
			ev := do(m)
			if delayed || lostAnswer {
				return
			}
			w.after(w.oneWay, func() {
				w.afterCPU(w.answerCost(), func(time.Duration) {
					if !*answered {
						*answered = true
						w.stepOf(s, ev)
					}
				})
			})
		})
	})
}

// delivery is how one command is delivered, without the world's faults.
type delivery struct {
	delay       time.Duration // until it reaches the incarnation of the minion that then runs
	answerDelay time.Duration
	answerLost  bool
}

func (w *world) delivery(e Effect) *delivery {
	if w.onCommand == nil {
		return nil
	}
	return w.onCommand(e)
}

func (w *world) deliver(d *delivery, m *fakeMinion, do func(*fakeMinion) Event, answer func(Event)) {
	w.after(d.delay, func() {
		if m.down || m.unreachable {
			return
		}
		ev := do(m)
		if !d.answerLost {
			w.after(d.answerDelay, func() { answer(ev) })
		}
	})
}

// sendPoll delivers a poll and its answer, for which the minion may wait until a run finishes.
func (w *world) sendPoll(s *Scheduler, poll *PollMinion) {
	answered := false
	answer := func(ev *PollMinionDone) {
		if !answered {
			answered = true
			w.stepOf(s, ev)
		}
	}
	w.after(poll.Timeout, func() {
		if !answered {
			w.disconnect(poll.MinionID)
		}
		answer(&PollMinionDone{MinionID: poll.MinionID, PollSeq: poll.PollSeq, Status: CommandOutcomeUnknown})
	})
	m := w.minions[poll.MinionID]
	if m == nil || m.down || m.unreachable || w.rnd.Float64() < w.faults.delayed {
		return
	}
	lostAnswer := w.rnd.Float64() < w.faults.lostAnswer
	incarnation := m.startedAt
	w.afterCPU(w.commandCost(poll.MinionID), func(time.Duration) {
		w.after(w.oneWay, func() {
			if m.down || m.unreachable || m.startedAt != incarnation {
				return
			}
			m.poll(poll, func(ev *PollMinionDone) {
				if !lostAnswer && !m.unreachable {
					w.after(w.oneWay, func() { w.afterCPU(w.answerCost(), func(time.Duration) { answer(ev) }) })
				}
			})
		})
	})
}

// submit submits a job, for the first time or again.
func (w *world) submit(job Job, runTime time.Duration) *fakeJob {
	submitted := w.jobs[job.ID]
	if submitted == nil {
		submitted = &fakeJob{job: job, runTime: runTime, done: make(map[TaskID]bool)}
		w.jobs[job.ID] = submitted
	}
	w.lastCallID++
	w.jobOfCall[w.lastCallID] = job.ID
	w.step(&JobSubmitted{CallID: w.lastCallID, Job: job})
	return submitted
}

func (w *world) reply(r *ReplyOutcome) {
	id, ok := w.jobOfCall[r.CallID]
	if !ok {
		return
	}
	delete(w.jobOfCall, r.CallID)
	j := w.jobs[id]
	if r.Outcome.Kind == OutcomeOwnerChanged {
		again := j.job
		if r.Outcome.MayHaveRuns {
			again.MayHaveRuns, again.RunMinionsKnown, again.RunMinions = true, r.Outcome.RunMinionsKnown, r.Outcome.RunMinions
		}
		w.after(w.oneWay, func() { w.submit(again, j.runTime) })
		return
	}
	if r.Outcome.Kind == OutcomeForwarded && w.onForward != nil {
		w.onForward(j, r.Outcome.Shard)
		return
	}
	if len(j.answers) == 0 {
		j.answeredAt = w.now
	}
	j.answers = append(j.answers, r.Outcome)
	w.checkAnswer(j, r.Outcome)
}

func (w *world) checkAnswer(j *fakeJob, out JobOutcome) {
	switch out.Kind {
	case OutcomeRefused:
		if j.starts > 0 {
			w.t.Errorf("%s: refused as not run after %d starts", j.job.ID, j.starts)
		}
	case OutcomeCompleted:
		for ph := range j.job.Phases {
			for i := range j.job.Phases[ph].TaskCount {
				if id := (TaskID{j.job.ID, ph, i}); !j.done[id] {
					w.t.Errorf("%s: completed, but %v is not done", j.job.ID, id)
				}
			}
		}
	}
}

// nextOwnerOptions returns the options of an owner that has just heard of the present one.
func (w *world) nextOwnerOptions() Options {
	options := w.scheduler.options
	if w.now.Sub(w.scheduler.firstStepAt) >= options.MaxClaimTime() {
		options.FormerOwnerAliveAt = w.now
	}
	return options
}

// evacuate tells the schedulers that run which zones are evacuated. That of the world's minions has
// no name.
func (w *world) evacuate(grace time.Duration, zones ...string) {
	w.evacuated = toSet(zones)
	for _, s := range append(slices.Clone(w.previous), w.scheduler) {
		w.report(s, w.evacuated, grace)
	}
}

func (w *world) report(s *Scheduler, evacuated map[string]bool, grace time.Duration) {
	if _, known := w.startsUntil[s]; !known {
		w.startsUntil[s] = w.now.Add(grace)
	}
	if !evacuated[""] {
		delete(w.startsUntil, s)
	}
	w.stepOf(s, &EvacuationsReported{Evacuated: evacuated, StartsUntil: w.now.Add(grace)})
}

func toSet(zones []string) map[string]bool {
	out := make(map[string]bool)
	for _, zone := range zones {
		out[zone] = true
	}
	return out
}

// takeOver replaces the scheduler by one of a new owner. The old one keeps running if alive is true.
func (w *world) takeOver(alive bool) {
	w.fencingToken++
	if alive {
		w.previous = append(w.previous, w.scheduler)
	} else {
		w.dead[w.scheduler] = true
	}
	options := w.nextOwnerOptions()
	w.scheduler = New(w.fencingToken, options)
	if w.evacuated != nil {
		w.report(w.scheduler, w.evacuated, 0)
	}
	w.registerMinions()
	if alive {
		return
	}
	for _, callID := range slices.Sorted(maps.Keys(w.jobOfCall)) {
		id := w.jobOfCall[callID]
		delete(w.jobOfCall, callID)
		again := w.jobs[id].job
		again.MayHaveRuns = true
		w.submit(again, w.jobs[id].runTime)
	}
}

// newJob returns a job with one phase and default settings.
func (w *world) newJob(id string, tasks int, runTime time.Duration) Job {
	return Job{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 4, TargetSlowdown: 1.6, TargetLatency: 60 * time.Millisecond,
		Phases:     []Phase{{TaskCount: tasks, Resources: rrtask.Resources{MilliCores: 27_000, MemoryBytes: 64 << 20}, DeclaredRunTime: runTime}},
		ReceivedAt: w.now, Deadline: w.now.Add(max(2500*time.Millisecond, 4*runTime)),
	}
}

// outcome returns the answer of a job, which must have exactly one.
func (j *fakeJob) outcome(t *testing.T) JobOutcome {
	t.Helper()
	if len(j.answers) != 1 {
		t.Fatalf("%s: got %d answers, want 1", j.job.ID, len(j.answers))
	}
	return j.answers[0]
}
