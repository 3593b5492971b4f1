package rrscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// fakeMinion behaves as the platform says of minions.
type fakeMinion struct {
	w       *world
	info    Minion
	born    time.Time
	speed   float64 // run times are divided by this
	fails   bool    // fails all that it starts
	hangs   bool    // what it starts stands still
	cut     bool    // nothing reaches it
	down    bool
	token   int64
	lease   time.Time
	running map[RunID]*fakeRun
	ends    []FinishedRun
	n       int64
	highest map[TaskID]int // run that was stopped or has ended
	used    rrtask.Resources
	waiters []func()
}

type fakeRun struct {
	began time.Time
	takes time.Duration
	stuck bool
	size  rrtask.Resources
}

const longestLease = time.Second

func compareRuns(a, b RunID) int {
	return cmp.Or(compareTasks(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func (m *fakeMinion) clock() int64 { return m.w.now.Sub(m.born).Milliseconds() + 1000 }

// fence notes a token and reports whether an order with it counts.
func (m *fakeMinion) fence(token int64) bool {
	m.expire()
	if token < m.token {
		return false
	}
	m.token = token
	return true
}

func (m *fakeMinion) extend(deadline int64) {
	until := m.w.now.Add(min(time.Duration(deadline-m.clock())*time.Millisecond, longestLease))
	if until.After(m.lease) {
		m.lease = until
		m.w.after(until.Sub(m.w.now)+time.Millisecond, m.expire)
	}
}

// expire kills what runs when the lease has run out.
func (m *fakeMinion) expire() {
	if m.down || m.w.now.Before(m.lease) || len(m.running) == 0 {
		return
	}
	for _, run := range slices.SortedFunc(maps.Keys(m.running), compareRuns) {
		m.end(run, RunLeaseExpired)
	}
}

func (m *fakeMinion) start(s *StartRun) Event {
	out := &StartRunDone{MinionID: s.MinionID, Run: s.Run, Status: CommandOK, MinionClockMs: m.clock()}
	_, there := m.running[s.Run]
	switch {
	case !m.fence(s.FencingToken):
		out.Status = CommandFenced
		return out
	case s.StartByMs < m.clock():
		out.Status = CommandDeadlineExceeded
		return out
	case there:
		return out
	case m.highest[s.Run.Task] >= s.Run.Attempt:
		out.Status = CommandStaleAttempt
		return out
	}
	m.extend(s.StartByMs)
	m.begin(s.Run)
	return out
}

func (m *fakeMinion) begin(run RunID) {
	w := m.w
	j := w.jobs[run.Task.Job]
	if j == nil {
		w.t.Fatalf("%v: start of a task that nobody handed in", run)
	}
	w.checkStart(j, run)
	w.starts++
	j.started++
	size := j.job.Phases[run.Task.Phase].Resources
	m.used.MilliCores += size.MilliCores
	if m.used.MilliCores > m.info.Capacity.MilliCores {
		w.t.Errorf("%s: %d of %d thousandths of cores are in use", m.info.ID, m.used.MilliCores, m.info.Capacity.MilliCores)
	}
	r := &fakeRun{began: w.now, takes: time.Duration(float64(j.work) / m.speed), stuck: m.hangs, size: size}
	m.running[run] = r
	how := RunSucceeded
	if m.fails || j.poison {
		how, r.takes = RunFailed, r.takes/4
	}
	if !r.stuck {
		w.after(r.takes, func() {
			if m.running[run] == r && !m.down {
				m.end(run, how)
			}
		})
	}
}

// checkStart checks that no run of the task goes on elsewhere and none may follow.
func (w *world) checkStart(j *fakeJob, run RunID) {
	for _, m := range w.minions {
		for other := range m.running {
			if other.Task == run.Task && !m.down {
				w.t.Errorf("%v starts while run %d goes on on %s", run, other.Attempt, m.info.ID)
			}
		}
	}
	for _, a := range j.answers {
		if a.Kind == OutcomeRefused {
			w.t.Errorf("%v starts after its job was refused", run)
		}
	}
	for _, a := range j.job.Phases[run.Task.Phase].DependsOn {
		for i := range j.job.Phases[a].TaskCount {
			if id := (TaskID{run.Task.Job, a, i}); !j.done[id] {
				w.t.Errorf("%v starts before %v is done", run, id)
			}
		}
	}
}

func (m *fakeMinion) end(run RunID, how RunOutcome) {
	r := m.running[run]
	delete(m.running, run)
	m.used.MilliCores -= r.size.MilliCores
	m.highest[run.Task] = max(m.highest[run.Task], run.Attempt)
	m.n++
	m.ends = append(m.ends, FinishedRun{EndSeq: m.n, Run: run, Outcome: how})
	if how == RunSucceeded {
		m.w.jobs[run.Task.Job].done[run.Task] = true
	}
	waiters := m.waiters
	m.waiters = nil
	for _, f := range waiters {
		f()
	}
}

func (m *fakeMinion) stop(s *StopRun) Event {
	out := &StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: CommandOK}
	if !m.fence(s.FencingToken) {
		out.Status = CommandFenced
		return out
	}
	m.highest[s.Run.Task] = max(m.highest[s.Run.Task], s.Run.Attempt)
	if _, ok := m.running[s.Run]; ok {
		m.w.after(20*time.Millisecond, func() {
			if _, ok := m.running[s.Run]; ok && !m.down {
				m.end(s.Run, RunStopped)
			}
		})
	}
	return out
}

func (m *fakeMinion) hold(h *PollMinion, answer func(*PollMinionDone)) {
	if !m.fence(h.FencingToken) {
		answer(&PollMinionDone{MinionID: h.MinionID, PollSeq: h.PollSeq, Status: CommandFenced})
		return
	}
	if h.LeaseUntilMs > 0 {
		m.extend(h.LeaseUntilMs)
	}
	m.ends = slices.DeleteFunc(m.ends, func(e FinishedRun) bool { return e.EndSeq <= h.AckedEndSeq })
	told := false
	tell := func() {
		if !told {
			told = true
			answer(m.lists(h))
		}
	}
	if len(m.ends) > 0 || h.MaxWait == 0 {
		tell()
		return
	}
	m.waiters = append(m.waiters, tell)
	m.w.after(h.MaxWait, tell)
}

func (m *fakeMinion) lists(h *PollMinion) *PollMinionDone {
	out := &PollMinionDone{MinionID: h.MinionID, PollSeq: h.PollSeq, Status: CommandOK, Incarnation: m.info.Incarnation, MinionClockMs: m.clock(), FinishedRuns: slices.Clone(m.ends)}
	for run, r := range m.running {
		percent := int(100 * m.w.now.Sub(r.began) / r.takes)
		if r.stuck {
			percent = 0
		}
		out.RunningRuns = append(out.RunningRuns, RunProgress{Run: run, Percent: min(percent, 99)})
	}
	slices.SortFunc(out.RunningRuns, func(a, b RunProgress) int { return compareRuns(a.Run, b.Run) })
	return out
}

// crash ends a minion's life; back starts the next one under the same ID.
func (m *fakeMinion) crash() {
	m.down = true
	clear(m.running)
	m.ends, m.waiters, m.n, m.token, m.used = nil, nil, 0, 0, rrtask.Resources{}
	clear(m.highest)
}

func (m *fakeMinion) back() {
	m.down, m.born, m.lease = false, m.w.now, time.Time{}
	m.info.Incarnation = m.w.now.UnixMilli()
	m.w.step(&MinionReported{Minion: m.info})
}
