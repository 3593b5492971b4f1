package rrscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// fakeMinion behaves as the platform guarantees for minions.
type fakeMinion struct {
	w              *world
	info           Minion
	startedAt      time.Time
	speed          float64       // run times are divided by this
	coldTime       time.Duration // after a start …
	coldSlowdown   float64       // … run times are multiplied by this, which falls evenly to 1
	coldUntil      time.Time     // end of the cold time of this incarnation
	hidesCold      bool          // its registrations say nothing of it
	failsAll       bool          // all runs that it starts fail
	stalls         bool          // runs that it starts stall
	unreachable    bool          // no command or answer gets through
	down           bool
	listed         *Minion // registration of a former incarnation that the store still has; nil for none
	fencingToken   int64
	leaseEndsAt    time.Time
	running        map[RunID]*fakeRun
	finished       []FinishedRun
	lastEndSeq     int64
	highestAttempt map[TaskID]int // highest attempt that was stopped or has ended
	used           rrtask.Resources
	waitingPolls   []func()
}

type fakeRun struct {
	startedAt time.Time
	runTime   time.Duration
	stalled   bool
	resources rrtask.Resources
}

const (
	maxLease    = time.Second
	resendDelay = 1300 * time.Millisecond // of callers whose connection broke
)

func compareRuns(a, b RunID) int {
	return cmp.Or(compareTaskIDs(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func (m *fakeMinion) clockMs() int64 { return m.w.now.Sub(m.startedAt).Milliseconds() + 1000 }

// acceptToken records a fencing token and reports whether it is current.
func (m *fakeMinion) acceptToken(token int64) bool {
	m.expireLease()
	if token < m.fencingToken {
		return false
	}
	m.fencingToken = token
	return true
}

func (m *fakeMinion) extendLease(untilMs int64) {
	until := m.w.now.Add(min(time.Duration(untilMs-m.clockMs())*time.Millisecond, maxLease))
	if until.After(m.leaseEndsAt) {
		m.leaseEndsAt = until
		m.w.after(until.Sub(m.w.now)+time.Millisecond, m.expireLease)
	}
}

// expireLease ends all runs if the lease has expired.
func (m *fakeMinion) expireLease() {
	if m.down || m.w.now.Before(m.leaseEndsAt) || len(m.running) == 0 {
		return
	}
	for _, run := range slices.SortedFunc(maps.Keys(m.running), compareRuns) {
		m.endRun(run, RunLeaseExpired)
	}
}

func (m *fakeMinion) start(s *StartRun) Event {
	out := &StartRunDone{MinionID: s.MinionID, Run: s.Run, Status: CommandOK, Incarnation: m.info.Incarnation, MinionClockMs: m.clockMs()}
	_, alreadyRunning := m.running[s.Run]
	switch {
	case !m.acceptToken(s.FencingToken):
		out.Status = CommandFenced
		return out
	case s.StartByMs < m.clockMs():
		out.Status = CommandDeadlineExceeded
		return out
	case alreadyRunning:
		return out
	case m.highestAttempt[s.Run.Task] >= s.Run.Attempt:
		out.Status = CommandStaleAttempt
		return out
	}
	m.extendLease(s.StartByMs)
	m.beginRun(s.Run)
	return out
}

func (m *fakeMinion) beginRun(run RunID) {
	w := m.w
	j := w.jobs[run.Task.Job]
	if j == nil {
		w.t.Fatalf("%v: start of a task that nobody submitted", run)
	}
	w.checkStart(j, run)
	w.starts++
	j.starts++
	resources := j.job.Phases[run.Task.Phase].Resources
	m.used.MilliCores += resources.MilliCores
	if m.used.MilliCores > m.info.Capacity.MilliCores {
		w.t.Errorf("%s: %d of %d thousandths of cores are in use", m.info.ID, m.used.MilliCores, m.info.Capacity.MilliCores)
	}
	r := &fakeRun{startedAt: w.now, runTime: time.Duration(float64(j.runTime) * m.coldFactor() / m.speed), stalled: m.stalls, resources: resources}
	m.running[run] = r
	outcome := RunSucceeded
	if m.failsAll || j.alwaysFails {
		outcome, r.runTime = RunFailed, r.runTime/4
	}
	if !r.stalled {
		w.after(r.runTime, func() {
			if m.running[run] == r && !m.down {
				m.endRun(run, outcome)
			}
		})
	}
}

// coldFactor returns by how much the minion's remaining cold time lengthens a run that starts now.
func (m *fakeMinion) coldFactor() float64 {
	remaining := m.coldUntil.Sub(m.w.now)
	if m.coldUntil.IsZero() || remaining <= 0 || m.coldSlowdown == 0 {
		return 1
	}
	return 1 + (m.coldSlowdown-1)*float64(remaining)/float64(m.coldTime)
}

// checkStart checks that the task has no other run, that its job was not refused, and that the phases
// before it are complete.
func (w *world) checkStart(j *fakeJob, run RunID) {
	for _, m := range w.minions {
		for other := range m.running {
			if other.Task == run.Task && !m.down {
				w.t.Errorf("%v starts while attempt %d still runs on %s", run, other.Attempt, m.info.ID)
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

func (m *fakeMinion) endRun(run RunID, outcome RunOutcome) {
	r := m.running[run]
	delete(m.running, run)
	m.used.MilliCores -= r.resources.MilliCores
	m.highestAttempt[run.Task] = max(m.highestAttempt[run.Task], run.Attempt)
	m.lastEndSeq++
	m.finished = append(m.finished, FinishedRun{EndSeq: m.lastEndSeq, Run: run, Outcome: outcome})
	if outcome == RunSucceeded {
		m.w.jobs[run.Task.Job].done[run.Task] = true
	}
	waiters := m.waitingPolls
	m.waitingPolls = nil
	for _, f := range waiters {
		f()
	}
}

func (m *fakeMinion) stop(s *StopRun) Event {
	out := &StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: CommandOK, Incarnation: m.info.Incarnation}
	if !m.acceptToken(s.FencingToken) {
		out.Status = CommandFenced
		return out
	}
	m.highestAttempt[s.Run.Task] = max(m.highestAttempt[s.Run.Task], s.Run.Attempt)
	if _, ok := m.running[s.Run]; ok {
		m.w.after(20*time.Millisecond, func() {
			if _, ok := m.running[s.Run]; ok && !m.down {
				m.endRun(s.Run, RunStopped)
			}
		})
	}
	return out
}

func (m *fakeMinion) poll(p *PollMinion, answer func(*PollMinionDone)) {
	if !m.acceptToken(p.FencingToken) {
		answer(&PollMinionDone{MinionID: p.MinionID, PollSeq: p.PollSeq, Status: CommandFenced})
		return
	}
	if p.LeaseUntilMs > 0 {
		m.extendLease(p.LeaseUntilMs)
	}
	m.finished = slices.DeleteFunc(m.finished, func(e FinishedRun) bool { return e.EndSeq <= p.AckedEndSeq })
	replied := false
	reply := func() {
		if !replied {
			replied = true
			answer(m.pollAnswer(p))
		}
	}
	if len(m.finished) > 0 || p.MaxWait == 0 {
		reply()
		return
	}
	m.waitingPolls = append(m.waitingPolls, reply)
	m.w.after(p.MaxWait, reply)
}

func (m *fakeMinion) pollAnswer(p *PollMinion) *PollMinionDone {
	out := &PollMinionDone{MinionID: p.MinionID, PollSeq: p.PollSeq, Status: CommandOK, Incarnation: m.info.Incarnation, MinionClockMs: m.clockMs(), FinishedRuns: slices.Clone(m.finished)}
	for run, r := range m.running {
		percent := int(100 * m.w.now.Sub(r.startedAt) / r.runTime)
		if r.stalled {
			percent = 0
		}
		out.RunningRuns = append(out.RunningRuns, RunProgress{Run: run, Percent: min(percent, 99)})
	}
	slices.SortFunc(out.RunningRuns, func(a, b RunProgress) int { return compareRuns(a.Run, b.Run) })
	return out
}

// crash ends an incarnation of a minion; restart starts the next one with the same ID.
func (m *fakeMinion) crash() {
	m.down = true
	clear(m.running)
	m.finished, m.waitingPolls, m.lastEndSeq, m.fencingToken, m.used = nil, nil, 0, 0, rrtask.Resources{}
	clear(m.highestAttempt)
}

// restartQuickly ends an incarnation and starts the next one after a short time, as a supervisor does. Its
// registration arrives later.
func (m *fakeMinion) restartQuickly(down, report time.Duration) {
	former := m.info
	m.listed = &former
	m.crash()
	m.w.after(down, func() {
		if !m.down {
			return
		}
		m.restartUnregistered()
		m.w.after(report, func() {
			m.listed = nil
			if !m.down {
				m.w.step(&MinionRegistered{Minion: m.info})
			}
		})
	})
}

// restart starts the next incarnation and registers it.
func (m *fakeMinion) restart() {
	m.restartUnregistered()
	m.w.step(&MinionRegistered{Minion: m.info})
}

// restartUnregistered starts the next incarnation. Its registration is still on the way.
func (m *fakeMinion) restartUnregistered() {
	m.down, m.startedAt, m.leaseEndsAt = false, m.w.now, time.Time{}
	m.info.Incarnation = m.w.now.UnixMilli()
	m.coldUntil = m.w.now.Add(m.coldTime)
	if m.coldTime > 0 && !m.hidesCold {
		m.info.ColdUntil = m.coldUntil
	}
}
