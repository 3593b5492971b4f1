package rrscheduler

import (
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// state is where a run stands.
type state int

const (
	starting state = iota + 1 // ordered, no answer yet
	running
	unsure   // ordered, and no answer came
	stopping // its end is ordered
)

// run is one run of a task, from the order to its end. It holds room all the while.
type run struct {
	RunID
	job     *job
	task    *task
	minion  *minion
	size    rrtask.Resources
	sized   bool
	state   state
	sent    time.Time     // when the start was sent
	expect  time.Duration // run time on this minion
	began   bool          // it is known to have started
	stopSet time.Time     // when the stop was last sent; zero when it is to be sent
	stopped bool          // the minion has taken the stop
	percent int
	moved   time.Time // when percent last changed
	looked  time.Time // when the run was last listed
}

// start orders a run.
func (p *Scheduler) start(now time.Time, t *task, j *job, m *minion) {
	ph := &j.Phases[t.id.Phase]
	t.attempt++
	r := &run{
		RunID: RunID{Task: t.id, Attempt: t.attempt}, job: j, task: t, minion: m,
		size: ph.Resources, sized: true, state: starting, sent: now, moved: now,
		expect: p.onMinion(j, t, m),
	}
	oneRun.Assert(t.run == nil && !t.done)
	onlySuited.Assert(p.allowed(j, t, m))
	withinAttempts.Assert(t.fails < j.MaxAttempts)
	t.run = r
	m.put(r)
	m.use(ph.Resources)
	m.extend(now.Add(term(startTerm)))
	j.touched = true
	p.Stats.Starts++
	if t.attempt > 1 {
		p.Stats.Retries++
	} else {
		p.emit(&RecordTiming{Service: j.Service, Queue: j.Queue, QueueTime: now.Sub(j.ReceivedAt)})
	}
	p.emit(&StartRun{
		MinionID: m.ID, Incarnation: m.Incarnation, Addr: m.Addr, Run: r.RunID, Spec: j.Spec, FencingToken: p.token,
		StartByMs: m.clockNow(now) + startTerm.Milliseconds(), Timeout: startPatience,
	})
	p.rouse(now, m)
}

// started takes the answer to a start.
func (p *Scheduler) started(now time.Time, ev *StartRunDone) {
	m := p.minions[ev.MinionID]
	if m == nil {
		return
	}
	m.hear(now, ev.MinionClockMs)
	r := m.runs[ev.Run]
	if ev.Status == CommandFenced && (r == nil || !p.outrun(r.sent)) {
		p.fence(m.ID)
		return
	}
	if r == nil || r.state != starting {
		return
	}
	switch ev.Status {
	case CommandOK:
		r.state, r.began = running, true
		return
	case CommandOutcomeUnknown:
		p.Stats.UnknownStarts++
		p.lossAt = now
		r.state = unsure
		p.emit(&LogDecision{Message: "start unanswered", JobID: r.Task.Job, MinionID: m.ID, Age: now.Sub(r.sent)})
		p.look(now, m, 0)
		return
	case CommandWrongIncarnation:
		p.died(now, m, "another life")
		return
	case CommandStaleAttempt:
		r.task.attempt += attemptSkip
	case CommandMalformed:
		p.never(now, r)
		return
	case CommandDeadlineExceeded:
		m.clock = 0
	default: // CommandUnhealthy, CommandNotSent, CommandNoCapacity, or CommandFenced under a token that has risen since
		m.pause = max(m.pause, firstCool)
		m.cool = later(m.cool, now.Add(m.pause))
		r.task.avoid = m.ID
	}
	p.emit(&LogDecision{Message: "start refused", JobID: r.Task.Job, MinionID: m.ID, Detail: ev.Status.String(), Age: now.Sub(r.sent)})
	p.release(now, r)
	p.again(now, r.job)
	p.review(now, m)
}

// never ends a job with a task that no minion can read.
func (p *Scheduler) never(now time.Time, r *run) {
	j := r.job
	p.release(now, r)
	if !j.closing {
		p.finish(now, j, JobOutcome{Kind: OutcomeFailed, Reason: ReasonMalformedTask})
		return
	}
	p.forget(now, j)
}

// release gives a run's room back.
func (p *Scheduler) release(now time.Time, r *run) {
	m := r.minion
	m.take(r)
	m.worked = now
	m.tombs[r.RunID] = now
	if r.sized {
		m.free(r.size)
	} else {
		m.blind--
	}
	r.task.run = nil
	p.review(now, m)
	p.dirty = true
}

// again puts a job whose task has to run once more back into the queue.
func (p *Scheduler) again(now time.Time, j *job) {
	if j.closing {
		p.forget(now, j)
		return
	}
	if !j.body {
		return
	}
	p.enqueue(j)
}

func (p *Scheduler) enqueue(j *job) {
	if !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
		p.dirty = true
	}
}

// stop orders the end of a run.
func (p *Scheduler) stop(now time.Time, r *run, why string) {
	if r.state == stopping {
		return
	}
	r.state = stopping
	p.Stats.Stops++
	p.emit(&LogDecision{Message: "stop", JobID: r.Task.Job, MinionID: r.minion.ID, Detail: why, Age: now.Sub(r.sent)})
	p.sendStop(now, r)
}

func (p *Scheduler) sendStop(now time.Time, r *run) {
	r.stopSet = now
	p.emit(&StopRun{MinionID: r.minion.ID, Addr: r.minion.Addr, Run: r.RunID, FencingToken: p.token, Timeout: stopPatience})
}

// stopped takes the answer to a stop.
func (p *Scheduler) stopped(now time.Time, ev *StopRunDone) {
	m := p.minions[ev.MinionID]
	if m == nil {
		return
	}
	r := m.runs[ev.Run]
	switch {
	case ev.Status == CommandFenced && (r == nil || !p.outrun(r.stopSet)):
		p.fence(m.ID)
	case ev.Status == CommandWrongIncarnation:
		p.died(now, m, "another life")
	case r == nil || r.state != stopping:
	case ev.Status == CommandOK:
		r.stopped = true
		r.stopSet = now
		p.look(now, m, 0)
	default:
		r.stopSet = time.Time{}
	}
}

// compare compares what a minion says it runs with what it should run. sent is when
// the question was sent.
func (p *Scheduler) compare(now time.Time, m *minion, rows []RunProgress, sent time.Time) {
	here := make(map[RunID]bool, len(rows))
	for _, row := range rows {
		here[row.Run] = true
		r := m.runs[row.Run]
		if r == nil {
			p.strange(now, m, row)
			continue
		}
		r.progress(now, row.Percent)
	}
	for _, r := range m.list {
		if !here[r.RunID] {
			p.absent(now, r, sent)
		}
	}
}

// progress notes that a run is there and how far it is.
func (r *run) progress(now time.Time, percent int) {
	if r.state == starting || r.state == unsure {
		r.state = running
	}
	r.began = true
	if percent != r.percent || r.looked.IsZero() && percent > 0 {
		r.percent, r.moved = percent, now
	}
	r.looked = now
	if percent >= sureProgress && r.job.body && r.expect != 0 {
		r.job.took(r.Task.Phase, r.moved.Sub(r.sent)*100/time.Duration(percent))
	}
}

// strange handles a run that the pool did not start: one of an earlier keeper, or
// one that was taken for ended.
func (p *Scheduler) strange(now time.Time, m *minion, row RunProgress) {
	if _, dead := m.tombs[row.Run]; dead {
		return
	}
	j := p.jobs[row.Run.Task.Job]
	if j == nil {
		j = newJob(row.Run.Task.Job, now)
		j.touched = true
		p.enter(j)
	}
	t := j.task(row.Run.Task)
	r := &run{
		RunID: row.Run, job: j, task: t, minion: m, state: running, began: true,
		sent: now, moved: now, percent: row.Percent,
	}
	m.put(r)
	m.blind++
	p.emit(&LogDecision{Message: "run found", JobID: j.ID, MinionID: m.ID, Detail: m.Addr})
	if t.run != nil || t.done || j.closing {
		r.task = &task{id: t.id} // a second run of the task: it must not count
		p.stop(now, r, "second run")
		return
	}
	t.attempt = max(t.attempt, row.Run.Attempt)
	t.run = r
	if j.body && t.id.Phase < len(j.Phases) {
		p.size(r, j.Phases[t.id.Phase].Resources)
		r.expect = p.onMinion(j, t, m)
	}
	p.inherit(now, j)
	p.review(now, m)
}

// absent settles a run that a minion does not list.
func (p *Scheduler) absent(now time.Time, r *run, sent time.Time) {
	switch {
	case r.state == unsure && sent.After(r.sent):
		// It has not arrived, and may still: a stop rules that out.
		p.stop(now, r, "not there")
	case r.state == stopping && r.stopped && !r.began && sent.After(r.stopSet.Add(-time.Nanosecond)):
		p.settle(now, r)
	case r.state == stopping && !r.began && sent.Sub(r.sent) > startTerm+leaseSlack:
		p.settle(now, r) // too late to be carried out
	}
}

// settle ends a run that never was.
func (p *Scheduler) settle(now time.Time, r *run) {
	r.task.avoid = r.minion.ID
	p.release(now, r)
	p.again(now, r.job)
}

// endListed takes an end that a minion lists.
func (p *Scheduler) endListed(now time.Time, m *minion, row FinishedRun) {
	if row.EndSeq <= m.noted {
		return
	}
	m.noted = row.EndSeq
	p.Stats.Ends++
	r := m.runs[row.Run]
	if r == nil {
		p.strangeEnd(now, m, row)
		return
	}
	p.ends(now, r, row.Outcome)
}

// strangeEnd takes the end of a run that an earlier keeper started.
func (p *Scheduler) strangeEnd(now time.Time, m *minion, row FinishedRun) {
	if _, dead := m.tombs[row.Run]; dead {
		return
	}
	m.tombs[row.Run] = now
	id := row.Run.Task
	j := p.jobs[id.Job]
	if j == nil && m.heard {
		return
	}
	if j == nil {
		j = newJob(id.Job, now)
		j.touched = true
		p.enter(j)
	}
	t := j.task(id)
	t.attempt = max(t.attempt, row.Run.Attempt)
	if row.Outcome != RunSucceeded || t.done || t.run != nil {
		return
	}
	t.done = true
	p.inherit(now, j)
	if j.body && id.Phase < len(j.left) {
		j.left[id.Phase]--
		if j.complete() && !j.closing {
			p.finish(now, j, JobOutcome{Kind: OutcomeCompleted})
		}
	}
}

// ends takes the end of a run.
func (p *Scheduler) ends(now time.Time, r *run, end RunOutcome) {
	j, t, m := r.job, r.task, r.minion
	p.release(now, r)
	switch end {
	case RunSucceeded:
		p.learn(now, r)
		m.good()
		p.done(now, j, t)
		return
	case RunFailed:
		t.avoid = m.ID
		t.fails++
		m.bad(now, j.ID)
		p.emit(&LogDecision{Message: "run failed", JobID: j.ID, MinionID: m.ID, Age: now.Sub(r.sent)})
		if j.body && !j.closing && t.fails >= j.MaxAttempts {
			p.finish(now, j, JobOutcome{Kind: OutcomeFailed, Reason: ReasonAttemptsExhausted})
			return
		}
	case RunStopped:
		t.avoid = m.ID
	}
	p.again(now, j)
}

// learn compares the run time with what was expected.
func (p *Scheduler) learn(now time.Time, r *run) {
	if !r.job.body || r.expect == 0 {
		return
	}
	ran := now.Sub(r.sent)
	p.emit(&RecordTiming{Service: r.job.Service, Queue: r.job.Queue, RunTime: ran})
	ph := r.Task.Phase
	r.job.took(ph, ran)
	p.learned.Observe(r.job.Queue, "", r.job.Phases[ph].DeclaredRunTime, ran)
	r.minion.speed.Observe(p.estimate(r.job, ph), ran)
}

// done notes a task that is done, and answers the job when it was the last.
func (p *Scheduler) done(now time.Time, j *job, t *task) {
	t = j.task(t.id) // a second run ends the task as well
	if t.done {
		p.forget(now, j)
		return
	}
	t.done = true
	if t.run != nil {
		p.stop(now, t.run, "done by another run")
	}
	if j.body {
		j.left[t.id.Phase]--
	}
	switch {
	case j.closing:
		p.forget(now, j)
	case j.complete():
		p.finish(now, j, JobOutcome{Kind: OutcomeCompleted})
	case j.body && j.left[t.id.Phase] == 0 && len(j.left) > 1:
		p.enqueue(j)
	}
}

// String returns the verdict in a word.
func (v CommandStatus) String() string {
	switch v {
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
