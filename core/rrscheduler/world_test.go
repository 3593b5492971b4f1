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

// world is a fleet of minions and callers in virtual time around pools. It checks
// what the platform's rules ask of starts and answers.
type world struct {
	t       tester
	rnd     *rand.Rand
	now     time.Time
	queue   eventHeap
	seq     int
	pool    *Scheduler          // that callers use
	old     []*Scheduler        // earlier ones that still live
	dead    map[*Scheduler]bool // earlier ones that do not
	token   int64
	minions map[string]*fakeMinion
	jobs    map[string]*fakeJob
	lines   map[uint64]string // caller's line to job
	line    uint64
	hop     time.Duration // one way
	faults  faults
	starts  int
	holds   int
	notes   []*LogDecision
	yielded []string
	reports []*ReplyJobStatus

	forwarded func(j *fakeJob, seat string) // nil: a forward is an answer
}

// tester is what a world needs of a test.
type tester interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// faults are shares of orders that go wrong.
type faults struct {
	lost float64 // carried out, and the answer is lost
	late float64 // no answer, and carried out 2 to 12 s later
	slow float64 // carried out up to 350 ms later, and answered then
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// fakeJob is what its caller sees.
type fakeJob struct {
	job     Job
	work    time.Duration // true run time of a task on a minion of speed one
	answers []JobOutcome
	at      time.Time // of the first answer
	poison  bool
	started int
	done    map[TaskID]bool
}

func newWorld(t tester, seed uint64, minions int) *world {
	t.Helper()
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { t.Errorf("broken invariant: %s", v.Name()) })
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), token: 10, hop: 300 * time.Microsecond,
		minions: make(map[string]*fakeMinion), dead: make(map[*Scheduler]bool), jobs: make(map[string]*fakeJob), lines: make(map[uint64]string),
	}
	w.pool = New(w.token, MinionGuarantees{MaxLease: longestLease, MaxStopTime: 50 * time.Millisecond})
	for i := range minions {
		w.addMinion(fmt.Sprintf("m%02d", i), i%3 == 2)
	}
	w.list()
	w.tick()
	return w
}

func (w *world) addMinion(id string, large bool) *fakeMinion {
	cores := uint32(64_000)
	if large {
		cores = 96_000
	}
	m := &fakeMinion{
		w: w, born: w.now, speed: 1, running: make(map[RunID]*fakeRun), highest: make(map[TaskID]int),
		info: Minion{ID: id, Incarnation: w.now.UnixMilli(), Addr: id, Service: "s", Capacity: rrtask.Resources{MilliCores: cores, MemoryBytes: 64 << 30}},
	}
	w.minions[id] = m
	return m
}

// list tells the pool of all minions that are up.
func (w *world) list() {
	for _, id := range w.ids() {
		if m := w.minions[id]; !m.down {
			w.step(&MinionReported{Minion: m.info})
		}
	}
	w.step(&MinionListSynced{})
}

func (w *world) ids() []string {
	var ids []string
	for id := range w.minions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) tick() {
	w.step(&Tick{})
	for _, p := range w.old {
		w.stepOf(p, &Tick{})
	}
	w.after(TickInterval, w.tick)
}

func (w *world) step(ev Event) { w.stepOf(w.pool, ev) }

func (w *world) stepOf(p *Scheduler, ev Event) {
	if w.dead[p] {
		return
	}
	for _, e := range append(slices.Clone(p.Step(w.now, ev)), slices.Clone(p.Schedule(w.now))...) {
		w.perform(p, e)
	}
}

func (w *world) perform(p *Scheduler, e Effect) {
	switch e := e.(type) {
	case *StartRun:
		w.order(p, e.MinionID, e.Timeout, func(m *fakeMinion) Event { return m.start(e) },
			&StartRunDone{MinionID: e.MinionID, Run: e.Run, Status: CommandOutcomeUnknown})
	case *StopRun:
		w.order(p, e.MinionID, e.Timeout, func(m *fakeMinion) Event { return m.stop(e) },
			&StopRunDone{MinionID: e.MinionID, Run: e.Run, Status: CommandOutcomeUnknown})
	case *PollMinion:
		w.holds++
		w.hold(p, e)
	case *ReplyOutcome:
		w.reply(e)
	case *ReplyJobStatus:
		w.reports = append(w.reports, e)
	case *ReleaseMinion:
		w.yielded = append(w.yielded, e.MinionID)
	case *LogDecision:
		w.notes = append(w.notes, e)
		if testing.Verbose() {
			w.t.Logf("%8s token %d: %s job=%s minion=%s %s %v", w.now.Sub(time.Unix(1_800_000_000, 0)), p.token, e.Message, e.JobID, e.MinionID, e.Detail, e.Age)
		}
	}
}

// order carries one order there and its answer back, with the faults of the world.
func (w *world) order(p *Scheduler, id string, patience time.Duration, do func(*fakeMinion) Event, unsure Event) {
	m := w.minions[id]
	answered := false
	w.after(patience, func() {
		if !answered {
			answered = true
			w.stepOf(p, unsure)
		}
	})
	if m == nil || m.down || m.cut {
		return
	}
	born, late, lost := m.born, w.rnd.Float64() < w.faults.late, w.rnd.Float64() < w.faults.lost
	delay := w.hop
	if w.rnd.Float64() < w.faults.slow {
		delay = time.Duration(w.rnd.Int64N(int64(350 * time.Millisecond)))
	}
	if late {
		delay = 2*time.Second + time.Duration(w.rnd.Int64N(int64(10*time.Second)))
	}
	w.after(delay, func() {
		if m.down || m.cut || m.born != born {
			return
		}
		ev := do(m)
		if late || lost {
			return
		}
		w.after(w.hop, func() {
			if !answered {
				answered = true
				w.stepOf(p, ev)
			}
		})
	})
}

// hold carries a hold there and its answer back, which may wait for an end.
func (w *world) hold(p *Scheduler, h *PollMinion) {
	answered := false
	answer := func(ev *PollMinionDone) {
		if !answered {
			answered = true
			w.stepOf(p, ev)
		}
	}
	w.after(h.Timeout, func() {
		answer(&PollMinionDone{MinionID: h.MinionID, PollSeq: h.PollSeq, Status: CommandOutcomeUnknown})
	})
	m := w.minions[h.MinionID]
	if m == nil || m.down || m.cut || w.rnd.Float64() < w.faults.late {
		return
	}
	lost := w.rnd.Float64() < w.faults.lost
	born := m.born
	w.after(w.hop, func() {
		if m.down || m.cut || m.born != born {
			return
		}
		m.hold(h, func(ev *PollMinionDone) {
			if !lost && !m.cut {
				w.after(w.hop, func() { answer(ev) })
			}
		})
	})
}

// submit hands a job in, or once more.
func (w *world) submit(job Job, work time.Duration) *fakeJob {
	j := w.jobs[job.ID]
	if j == nil {
		j = &fakeJob{job: job, work: work, done: make(map[TaskID]bool)}
		w.jobs[job.ID] = j
	}
	w.line++
	w.lines[w.line] = job.ID
	w.step(&JobSubmitted{CallID: w.line, Job: job})
	return j
}

func (w *world) reply(r *ReplyOutcome) {
	id, ok := w.lines[r.CallID]
	if !ok {
		return
	}
	delete(w.lines, r.CallID)
	j := w.jobs[id]
	if r.Outcome.Kind == OutcomeOwnerChanged {
		again := j.job
		if r.Outcome.MayHaveRuns {
			again.MayHaveRuns, again.RunMinionsKnown, again.RunMinions = true, r.Outcome.RunMinionsKnown, r.Outcome.RunMinions
		}
		w.after(w.hop, func() { w.submit(again, j.work) })
		return
	}
	if r.Outcome.Kind == OutcomeForwarded && w.forwarded != nil {
		w.forwarded(j, r.Outcome.Shard)
		return
	}
	if len(j.answers) == 0 {
		j.at = w.now
	}
	j.answers = append(j.answers, r.Outcome)
	w.checkAnswer(j, r.Outcome)
}

func (w *world) checkAnswer(j *fakeJob, out JobOutcome) {
	switch out.Kind {
	case OutcomeRefused:
		if j.started > 0 {
			w.t.Errorf("%s: refused as not run after %d starts", j.job.ID, j.started)
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

// takeOver replaces the pool as another process does. The old one lives on if alive.
func (w *world) takeOver(alive bool) {
	w.token++
	if alive {
		w.old = append(w.old, w.pool)
	} else {
		w.dead[w.pool] = true
	}
	w.pool = New(w.token, w.pool.terms)
	w.list()
	if alive {
		return
	}
	for _, line := range slices.Sorted(maps.Keys(w.lines)) {
		id := w.lines[line]
		delete(w.lines, line)
		again := w.jobs[id].job
		again.MayHaveRuns = true
		w.submit(again, w.jobs[id].work)
	}
}

// newJob returns a job of the usual kind.
func (w *world) newJob(id string, tasks int, work time.Duration) Job {
	return Job{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 4, TargetSlowdown: 1.6, TargetLatency: 60 * time.Millisecond,
		Phases:     []Phase{{TaskCount: tasks, Resources: rrtask.Resources{MilliCores: 27_000, MemoryBytes: 64 << 20}, DeclaredRunTime: work}},
		ReceivedAt: w.now, Deadline: w.now.Add(max(2500*time.Millisecond, 4*work)),
	}
}

// outcome returns the only answer of a job.
func (j *fakeJob) outcome(t *testing.T) JobOutcome {
	t.Helper()
	if len(j.answers) != 1 {
		t.Fatalf("%s: got %d answers, want 1", j.job.ID, len(j.answers))
	}
	return j.answers[0]
}
