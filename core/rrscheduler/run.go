package rrscheduler

import (
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// runState is the state of a run.
type runState int

const (
	starting runState = iota + 1 // start command sent, no answer yet
	running
	startUnknown // start command sent, no answer within startTimeout
	stopping     // stop command sent or due
)

// run is one run of a task, from the start command to its end. It holds capacity on its minion until
// then.
type run struct {
	RunID
	job             *job
	task            *task
	minion          *minion
	resources       rrtask.Resources
	resourcesKnown  bool
	state           runState
	startPending    bool          // the result of the start command is still due
	startSentAt     time.Time     // when the start command was sent
	commandAddr     string        // address that the last start or stop command was sent to
	expectedRunTime time.Duration // on this minion
	confirmedAt     time.Time     // when the minion first confirmed the start; zero before
	adopted         bool          // a previous owner started it; startSentAt is when this one found it
	coldObserved    bool          // its run time has updated the model of cold minions
	mayHaveCrossed  bool          // the start command was sent to a previous incarnation of the minion, and may reach this one
	resolveSentAt   time.Time     // when a stop command or a poll last was sent to resolve the run; zero before the first, and when a stop command is due again
	stopAccepted    bool          // the minion has accepted the stop command
	percent         int
	lastProgressAt  time.Time // when percent last changed
	lastListedAt    time.Time // when the minion last listed the run
}

// startRun starts a new run of a task on a minion.
func (s *Scheduler) startRun(now time.Time, t *task, j *job, m *minion) {
	ph := &j.Phases[t.id.Phase]
	t.lastAttempt++
	r := &run{
		RunID: RunID{Task: t.id, Attempt: t.lastAttempt}, job: j, task: t, minion: m,
		resources: ph.Resources, resourcesKnown: true, state: starting, startPending: true, startSentAt: now, commandAddr: m.Addr, lastProgressAt: now,
		expectedRunTime: s.runTimeOn(j, t, m),
	}
	oneRun.Assert(t.run == nil && !t.done)
	constraintsMet.Assert(s.meetsConstraints(j, t, m))
	notEvacuated.Assert(s.mayStartIn(now, m.Zone, j))
	withinAttempts.Assert(t.failures < j.MaxAttempts)
	t.run = r
	m.addRun(r)
	m.allocate(ph.Resources)
	if m.cold.active {
		m.cold.noteStart(now)
	}
	m.extendLease(now.Add(maxElapsed(startWindow)))
	if !j.started() {
		j.firstStartAt = now
	}
	j.mayHaveStarted = true
	s.Stats.Starts++
	if t.lastAttempt > 1 {
		s.Stats.Retries++
	} else {
		s.emit(&RecordTiming{Service: j.Service, Queue: j.Queue, QueueTime: now.Sub(j.ReceivedAt)})
	}
	s.emit(&StartRun{
		MinionID: m.ID, Incarnation: m.Incarnation, Addr: m.Addr, Run: r.RunID, Spec: j.Spec, FencingToken: s.fencingToken,
		StartByMs: m.clockNow(now) + startWindow.Milliseconds(), Timeout: startTimeout + s.lag.patience(),
	})
	s.renewLeaseNow(now, m)
}

// startDone handles the result of a start command.
func (s *Scheduler) startDone(now time.Time, ev *StartRunDone) {
	m := s.minions[ev.MinionID]
	if m == nil {
		return
	}
	if r := m.runs[ev.Run]; r != nil {
		r.startPending = false
	}
	if ev.Status == CommandWrongIncarnation {
		s.startMisdirected(now, m, m.runs[ev.Run])
		return
	}
	m, current := s.observeIncarnation(now, m, ev.Incarnation)
	if current {
		m.observeClock(now, ev.MinionClockMs)
	}
	r := m.runs[ev.Run]
	if ev.Status == CommandFenced && (r == nil || !s.sentUnderOldToken(r.startSentAt)) {
		s.stepDown(m.ID)
		return
	}
	if r == nil {
		return
	}
	if r.state != starting {
		if ev.Status == CommandOK && current {
			r.confirm(now) // it ends by the stop command
		}
		return
	}
	switch ev.Status {
	case CommandOK:
		if !current {
			s.endRun(now, r, RunLeaseExpired) // it began in an incarnation that has ended
			return
		}
		r.state = running
		r.confirm(now)
		return
	case CommandOutcomeUnknown:
		s.Stats.UnknownStarts++
		s.lastUnansweredStartAt = now
		r.state = startUnknown
		s.emit(&LogDecision{Message: "no answer to start command", JobID: r.Task.Job, MinionID: m.ID, Age: now.Sub(r.startSentAt)})
		s.poll(now, m, 0)
		return
	case CommandMalformed:
		s.failMalformed(now, r)
		return
	}
	s.startRefused(now, r, ev.Status)
}

// startRefused handles a start command that the minion has refused, or that was not sent.
func (s *Scheduler) startRefused(now time.Time, r *run, status CommandStatus) {
	m := r.minion
	switch status {
	case CommandStaleAttempt:
		r.task.lastAttempt += attemptSkip
	case CommandDeadlineExceeded:
		m.clockMs = 0
	default: // CommandUnhealthy, CommandNotSent, CommandNoCapacity, or CommandFenced for a token that was raised since
		m.cooldown = max(m.cooldown, minCooldown)
		m.cooldownUntil = later(m.cooldownUntil, now.Add(m.cooldown))
		r.task.avoidMinion = m.ID
	}
	s.runNotStarted(now, r, status)
	s.updateUsable(now, m)
}

// runNotStarted releases a run whose start command was refused.
func (s *Scheduler) runNotStarted(now time.Time, r *run, status CommandStatus) {
	s.emit(&LogDecision{Message: "run not started", JobID: r.Task.Job, MinionID: r.minion.ID, Detail: status.String(), Age: now.Sub(r.startSentAt)})
	s.releaseRun(now, r)
	s.requeue(now, r.job)
}

// confirm records that the minion has confirmed the start of the run.
func (r *run) confirm(now time.Time) {
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
}

// started reports whether the minion has confirmed the start of the run.
func (r *run) started() bool { return !r.confirmedAt.IsZero() }

// failMalformed fails a job with a task that minions can't parse.
func (s *Scheduler) failMalformed(now time.Time, r *run) {
	j := r.job
	s.releaseRun(now, r)
	if !j.closing {
		s.finish(now, j, JobOutcome{Kind: OutcomeFailed, Reason: ReasonMalformedTask})
		return
	}
	s.removeIfClosed(now, j)
}

// releaseRun removes a run and frees its capacity.
func (s *Scheduler) releaseRun(now time.Time, r *run) {
	m := r.minion
	m.removeRun(r)
	m.lastRunChangeAt = now
	m.tombstones[r.RunID] = now
	if r.resourcesKnown {
		m.free(r.resources)
	} else {
		m.runsWithoutResources--
	}
	r.task.run = nil
	s.updateUsable(now, m)
	s.needsPass = true
}

// requeue queues a job again after one of its runs has ended without success.
func (s *Scheduler) requeue(now time.Time, j *job) {
	if j.closing {
		s.removeIfClosed(now, j)
		return
	}
	if !j.hasBody {
		return
	}
	s.enqueue(j)
}

func (s *Scheduler) enqueue(j *job) {
	if !slices.Contains(s.queue, j) {
		s.queue = append(s.queue, j)
		s.needsPass = true
	}
}

// stopRun stops a run, unless it is being stopped already.
func (s *Scheduler) stopRun(now time.Time, r *run, reason string) {
	if r.state == stopping {
		return
	}
	r.state = stopping
	s.Stats.Stops++
	s.emit(&LogDecision{Message: "stop", JobID: r.Task.Job, MinionID: r.minion.ID, Detail: reason, Age: now.Sub(r.startSentAt)})
	s.sendStop(now, r)
}

func (s *Scheduler) sendStop(now time.Time, r *run) {
	r.resolveSentAt, r.commandAddr = now, r.minion.Addr
	s.emit(&StopRun{MinionID: r.minion.ID, Addr: r.minion.Addr, Run: r.RunID, FencingToken: s.fencingToken, Timeout: stopTimeout + s.lag.patience()})
}

// stopDone handles the result of a stop command.
func (s *Scheduler) stopDone(now time.Time, ev *StopRunDone) {
	m := s.minions[ev.MinionID]
	if m == nil {
		return
	}
	if ev.Status == CommandWrongIncarnation {
		s.stopMisdirected(now, m, m.runs[ev.Run])
		return
	}
	m, current := s.observeIncarnation(now, m, ev.Incarnation)
	r := m.runs[ev.Run]
	switch {
	case ev.Status == CommandFenced && (r == nil || !s.sentUnderOldToken(r.resolveSentAt)):
		s.stepDown(m.ID)
	case r == nil || r.state != stopping:
	case ev.Status == CommandOK && current:
		r.stopAccepted = true
		r.resolveSentAt = now
		s.poll(now, m, 0)
	default:
		r.resolveSentAt = time.Time{}
	}
}

// reconcileRuns compares the runs that a minion lists with those that the scheduler expects there.
// The poll was sent at sentAt.
func (s *Scheduler) reconcileRuns(now time.Time, m *minion, ev *PollMinionDone, sentAt time.Time) {
	isListed := make(map[RunID]bool, len(ev.RunningRuns))
	for _, progress := range ev.RunningRuns {
		isListed[progress.Run] = true
		r := m.runs[progress.Run]
		if r == nil {
			s.addUnknownRun(now, m, progress)
			continue
		}
		s.observeProgress(now, r, progress.Percent)
	}
	for _, r := range m.runsByStart {
		switch {
		case isListed[r.RunID]:
		case m.reborn && r.started() && sentAt.After(r.confirmedAt) && len(ev.FinishedRuns) < maxListedEnds:
			s.endForgotten(now, r)
		default:
			s.reconcileUnlisted(now, r, sentAt)
		}
	}
}

// observeProgress records that the minion lists the run, and its progress.
func (s *Scheduler) observeProgress(now time.Time, r *run, percent int) {
	if r.state == starting || r.state == startUnknown {
		r.state = running
	}
	r.confirm(now)
	if percent != r.percent || r.lastListedAt.IsZero() && percent > 0 {
		r.percent, r.lastProgressAt = percent, now
	}
	r.lastListedAt = now
	if percent >= minReliablePercent && r.job.hasTask(r.Task) && r.expectedRunTime != 0 {
		s.observePhaseRunTime(r, r.lastProgressAt.Sub(r.startSentAt)*100/time.Duration(percent))
	}
}

// addUnknownRun adds a run that this owner doesn't know: a previous owner started it, or this owner
// considered it ended and its tombstone has expired.
func (s *Scheduler) addUnknownRun(now time.Time, m *minion, progress RunProgress) {
	if _, ended := m.tombstones[progress.Run]; ended {
		return
	}
	j := s.jobs[progress.Run.Task.Job]
	if j == nil {
		j = newJob(progress.Run.Task.Job, now, s.unclaimedUntil())
		j.mayHaveStarted = true
		s.addJob(j)
	}
	t := j.task(progress.Run.Task)
	r := &run{
		RunID: progress.Run, job: j, task: t, minion: m, state: running, confirmedAt: now,
		startSentAt: now, lastProgressAt: now, percent: progress.Percent, adopted: true,
	}
	m.addRun(r)
	m.runsWithoutResources++
	s.emit(&LogDecision{Message: "run found", JobID: j.ID, MinionID: m.ID, Detail: m.Addr})
	if t.run != nil || t.done || j.closing {
		r.task = &task{id: t.id} // a second run of the task, which must not count
		s.stopRun(now, r, "second run of the task")
		return
	}
	t.lastAttempt = max(t.lastAttempt, progress.Run.Attempt)
	t.run = r
	if j.hasTask(t.id) {
		s.setResources(r, j.Phases[t.id.Phase].Resources)
		r.expectedRunTime = s.runTimeOn(j, t, m)
	}
	s.recordTakeover(now, j)
	s.updateUsable(now, m)
}

// reconcileUnlisted resolves a run that the minion does not list.
func (s *Scheduler) reconcileUnlisted(now time.Time, r *run, sentAt time.Time) {
	switch {
	case r.state == startUnknown && sentAt.After(r.startSentAt):
		// The start command has not arrived but still may: a stop command rules that out.
		s.stopRun(now, r, "not there")
	case r.state == stopping && r.startPending: // the start command may still reach a later incarnation, which does not know the stop command
	case r.state == stopping && r.stopAccepted && !r.started() && sentAt.After(r.resolveSentAt.Add(-time.Nanosecond)):
		s.endUnstarted(now, r)
	case r.state == stopping && !r.started() && !r.mayHaveCrossed && sentAt.Sub(r.startSentAt) > startWindow+leaseSlack:
		s.endUnstarted(now, r) // the minion would refuse the start command by now
	}
}

// endUnstarted removes a run that has not started and will not.
func (s *Scheduler) endUnstarted(now time.Time, r *run) {
	r.task.avoidMinion = r.minion.ID
	s.releaseRun(now, r)
	s.requeue(now, r.job)
}

// processFinished handles a finished run that a minion lists.
func (s *Scheduler) processFinished(now time.Time, m *minion, finished FinishedRun) {
	if finished.EndSeq <= m.ackedEndSeq {
		return
	}
	m.ackedEndSeq = finished.EndSeq
	s.Stats.FinishedRuns++
	r := m.runs[finished.Run]
	if r == nil {
		s.processUnknownFinished(now, m, finished)
		return
	}
	s.endRun(now, r, finished.Outcome)
}

// processUnknownFinished handles a finished run that this owner doesn't know: a previous owner
// started it.
func (s *Scheduler) processUnknownFinished(now time.Time, m *minion, finished FinishedRun) {
	if _, ended := m.tombstones[finished.Run]; ended {
		return
	}
	m.tombstones[finished.Run] = now
	id := finished.Run.Task
	j := s.jobs[id.Job]
	if j == nil && m.runsKnown {
		return
	}
	if j == nil {
		j = newJob(id.Job, now, s.unclaimedUntil())
		j.mayHaveStarted = true
		s.addJob(j)
	}
	t := j.task(id)
	t.lastAttempt = max(t.lastAttempt, finished.Run.Attempt)
	if finished.Outcome != RunSucceeded || t.done || t.run != nil {
		return
	}
	t.done = true
	s.recordTakeover(now, j)
	if j.hasTask(id) {
		j.unfinishedByPhase[id.Phase]--
		if j.complete() && !j.closing {
			s.finish(now, j, JobOutcome{Kind: OutcomeCompleted})
		}
	}
}

// endRun ends a run with an outcome and updates its task, job and minion.
func (s *Scheduler) endRun(now time.Time, r *run, outcome RunOutcome) {
	j, t, m := r.job, r.task, r.minion
	s.releaseRun(now, r)
	switch outcome {
	case RunSucceeded:
		s.learnRunTime(now, r)
		m.recordSuccess()
		s.taskDone(now, j, t)
		return
	case RunFailed:
		t.avoidMinion = m.ID
		t.failures++
		m.recordFailure(now, j.ID)
		s.emit(&LogDecision{Message: "run failed", JobID: j.ID, MinionID: m.ID, Age: now.Sub(r.startSentAt)})
		if j.hasBody && !j.closing && t.failures >= j.MaxAttempts {
			s.finish(now, j, JobOutcome{Kind: OutcomeFailed, Reason: ReasonAttemptsExhausted})
			return
		}
	case RunStopped:
		t.avoidMinion = m.ID
	}
	s.requeue(now, j)
}

// learnRunTime updates the estimates from the run time of a completed task.
func (s *Scheduler) learnRunTime(now time.Time, r *run) {
	if !r.job.hasBody || r.expectedRunTime == 0 {
		return
	}
	ran := now.Sub(r.startSentAt)
	s.emit(&RecordTiming{Service: r.job.Service, Queue: r.job.Queue, RunTime: ran})
	ph := r.Task.Phase
	s.observePhaseRunTime(r, ran)
	if r.coldAtStart() > 0 {
		return
	}
	s.runTimes.Observe(r.job.Queue, "", r.job.Phases[ph].DeclaredRunTime, ran)
	r.minion.slowdown.Observe(s.estimateRunTime(r.job, ph), ran)
}

// taskDone marks a task complete, and answers the job if this was its last task.
func (s *Scheduler) taskDone(now time.Time, j *job, t *task) {
	t = j.task(t.id) // a second run of the task has its own task value
	if t.done {
		s.removeIfClosed(now, j)
		return
	}
	t.done = true
	if t.run != nil {
		s.stopRun(now, t.run, "task completed by another run")
	}
	if j.hasTask(t.id) {
		j.unfinishedByPhase[t.id.Phase]--
	}
	switch {
	case j.closing:
		s.removeIfClosed(now, j)
	case j.complete():
		s.finish(now, j, JobOutcome{Kind: OutcomeCompleted})
	case j.hasTask(t.id) && j.unfinishedByPhase[t.id.Phase] == 0 && len(j.unfinishedByPhase) > 1:
		s.enqueue(j)
	}
}

// String returns the status as one word for the log.
func (s CommandStatus) String() string {
	switch s {
	case CommandOK:
		return "ok"
	case CommandOutcomeUnknown:
		return "unsure"
	case CommandNotSent:
		return "not-sent"
	case CommandFenced:
		return "fence"
	case CommandStaleAttempt:
		return "old"
	case CommandDeadlineExceeded:
		return "late"
	case CommandNoCapacity:
		return "no-room"
	case CommandUnhealthy:
		return "busy"
	case CommandMalformed:
		return "bad"
	case CommandWrongIncarnation:
		return "other-life"
	}
	return "none"
}
