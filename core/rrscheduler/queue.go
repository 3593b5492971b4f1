package rrscheduler

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrestimator"
)

// Constants of the order and of refusals.
const (
	packing      = 0.85                   // share of the capacity that tasks fill when many wait
	leastRetry   = 200 * time.Millisecond // shortest time that a refused caller is told to wait
	forwardGain  = 10 * time.Millisecond  // a job goes to another keeper for at least this much
	fixedGain    = 0.3                    // share of an answer's gain that does not grow with the job
	priorityStep = 0.25                   // by which each step of priority lowers the gain
	meanMemory   = 50                     // jobs that the mean work of a queue looks back on
	lateWorth    = 0.2                    // share of its gain that an answer past its objective has, as callers rate it
	pastWorth    = 0.02                   // the same past its usefulness: behind the others, for a caller who still waits
	longestWait  = time.Hour              // stands for a job that is not going to be started
	blockedMost  = 16                     // tasks that fit nowhere after which a pass ends
)

// usefulness says what an answer would still be worth.
type usefulness int

const (
	inTime usefulness = iota // can meet its objective
	useful                   // can be answered while that is of some use
	tooLate
)

// worth returns the share of an answer's gain that is left.
func (u usefulness) worth() float64 {
	switch u {
	case inTime:
		return 1
	case useful:
		return lateWorth
	}
	return pastWorth
}

// admit decides on a job at the door. The zero JobOutcome takes it.
func (p *Scheduler) admit(now time.Time, j *job) JobOutcome {
	fits, any := suits(j, p.own)
	if !j.NoForward && !j.MayHaveRuns {
		if seat := cmp.Or(p.sibling(j), p.roomier(now, j, fits)); seat != "" {
			return p.forward(now, j, seat)
		}
	}
	switch {
	case !any, !fits && p.suitsElsewhere(j):
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonNoMinion, RetryAfter: p.retryAfter()}
	case !fits:
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonNeverFits}
	case len(p.jobs) >= maxHeldJobs:
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonQueueFull, RetryAfter: p.retryAfter()}
	}
	return JobOutcome{}
}

// retryAfter is when the jobs that wait now will have started.
func (p *Scheduler) retryAfter() time.Duration {
	return max(p.Load().ExpectedWait, leastRetry)
}

// rank is where a job stands in the order.
type rank struct {
	use     usefulness
	density float64 // gain for a unit of work that has no room yet
}

// rankOf rates a job by what its caller still gains.
func (p *Scheduler) rankOf(now time.Time, j *job) rank {
	chain := p.longest(j)
	r := rank{use: inTime}
	switch {
	case now.Add(chain).After(j.late):
		r.use = tooLate
	case now.Add(chain).After(j.aim):
		r.use = useful
	}
	r.density = r.use.worth() * p.gain(j) / max(j.pendingWork(), 1)
	return r
}

// gain rates an answer to a job, in units of work. Nothing tells what a kind of job is
// worth to its callers, so the mean job of each queue counts as its mean work, less
// for a lower priority; part of that is the same for small and large jobs.
func (p *Scheduler) gain(j *job) float64 {
	mean := p.means[j.Queue]
	if mean == 0 {
		mean = j.work
	}
	return (fixedGain*mean + (1-fixedGain)*j.work) / (1 + priorityStep*float64(j.Priority))
}

// observeWork learns the mean work of a queue's jobs.
func (p *Scheduler) observeWork(j *job) {
	mean, known := p.means[j.Queue]
	switch {
	case known:
		p.means[j.Queue] = mean + (j.work-mean)/meanMemory
	case len(p.means) < rrestimator.MaxClasses:
		p.means[j.Queue] = j.work
	}
}

// schedule starts what fits, in order, and refuses what can't be served in time.
func (p *Scheduler) schedule(now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	ranks := make(map[*job]rank, len(p.queue))
	for _, j := range p.queue {
		ranks[j] = p.rankOf(now, j)
	}
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		ra, rb := ranks[a], ranks[b]
		return cmp.Or(cmp.Compare(rb.density, ra.density), cmp.Compare(a.ID, b.ID))
	})
	pass := pass{p: p, now: now, reserved: make(map[*minion]bool)}
	for _, m := range p.order {
		if m.usable {
			pass.capacity += float64(m.Capacity.MilliCores) * packing
		}
	}
	pass.measure()
	for _, j := range slices.Clone(p.queue) {
		pass.job(j, ranks[j])
	}
}

// pass is one walk over the queue.
type pass struct {
	p        *Scheduler
	now      time.Time
	capacity float64 // thousandths of cores
	ahead    float64 // work of the jobs before, in thousandths of a core times nanoseconds
	blocked  int
	widest   uint32   // thousandths of cores that are free on one minion
	waiting  []waiter // tasks that fit nowhere, for which nothing is reserved yet
	reserved map[*minion]bool
}

// waiter is a task that waits for room.
type waiter struct {
	job  *job
	task *task
	size uint32 // thousandths of cores
}

func (w *pass) job(j *job, r rank) {
	p := w.p
	if w.unheard(j) {
		if w.now.Sub(j.since) > p.leaseTerm() {
			p.giveUp(w.now, j, ReasonMinionsUnresponsive)
		}
		return
	}
	j.cleared = true
	if r.use == tooLate && !j.touched && !j.MayHaveRuns {
		p.giveUp(w.now, j, ReasonDeadlineUnreachable)
		return
	}
	open := 0
	for _, t := range j.order {
		if t.done || t.run != nil || !j.ready(t.id.Phase) {
			continue
		}
		if w.blocked >= blockedMost || !w.task(j, t) {
			open++
		}
	}
	switch {
	case open == 0 && !j.closing:
		p.unqueue(j)
	case !j.touched && !j.MayHaveRuns:
		w.decide(j, r)
	case r.use == tooLate:
		w.abandon(j)
	}
	w.ahead += j.pendingWork()
}

// unheard reports whether runs of the job may exist on minions that have not
// answered under this token yet.
func (w *pass) unheard(j *job) bool {
	p := w.p
	switch {
	case !j.MayHaveRuns:
		return false
	case j.RunMinionsKnown:
		return slices.ContainsFunc(j.RunMinions, func(id string) bool { return p.minions[id] == nil || !p.minions[id].heard })
	case p.terms.MinionListIncomplete && w.now.Sub(p.begun) < vagueTerm:
		return !j.allFound()
	}
	for _, m := range p.order {
		if !m.heard && m.Service == j.Service {
			return true
		}
	}
	return false
}

// task starts one task, or notes that it waits for room.
func (w *pass) task(j *job, t *task) bool {
	size := j.Phases[t.id.Phase].Resources.MilliCores
	if size <= w.widest {
		w.reserveAhead(size)
		if m := w.p.place(w.now, j, t, w.reserved); m != nil {
			w.p.start(w.now, t, j, m)
			w.measure()
			return true
		}
	}
	w.blocked++
	w.waiting = append(w.waiting, waiter{j, t, size})
	return false
}

// measure finds the widest room that is free on one minion.
func (w *pass) measure() {
	w.widest = 0
	for _, m := range w.p.order {
		if m.usable && m.Capacity.MilliCores > m.used.MilliCores {
			w.widest = max(w.widest, m.Capacity.MilliCores-m.used.MilliCores)
		}
	}
}

// reserveAhead keeps minions free for larger tasks that come first, before a smaller one
// takes the room that they wait for.
func (w *pass) reserveAhead(size uint32) {
	for _, t := range w.waiting {
		if len(w.reserved) >= reservedMinions {
			break
		}
		if t.size <= size {
			continue
		}
		if m := w.p.reserve(w.now, t.job, t.task, w.reserved); m != nil {
			w.reserved[m] = true
		}
	}
	w.waiting = nil
}

// overtaken returns how long the work ahead takes when all that comes in goes first, as it
// does before a job past its objective.
func (w *pass) overtaken() time.Duration {
	rate := w.capacity - w.p.inflow.rate(w.now)
	if w.ahead > 0 && w.ahead >= rate*float64(longestWait) {
		return longestWait
	}
	return time.Duration(w.ahead / max(rate, 1))
}

// abandon gives up a started job with tasks that can't be placed before its caller
// leaves, as soon as that is known.
func (w *pass) abandon(j *job) {
	wait := w.overtaken()
	j.basis = basis{wait: wait, queue: len(w.p.queue)}
	if w.now.Add(wait + w.p.longest(j)).After(j.Deadline) {
		w.p.giveUp(w.now, j, ReasonDeadlineUnreachable)
	}
}

// decide refuses a job that waits and is not expected to be answered in time, as
// soon as that is known.
func (w *pass) decide(j *job, r rank) {
	p := w.p
	wait := time.Duration(0)
	switch {
	case r.use != inTime:
		wait = w.overtaken()
	case w.capacity > 0:
		wait = time.Duration(w.ahead / w.capacity)
	}
	end := w.now.Add(wait + j.chain)
	j.basis = basis{wait: wait, queue: len(p.queue)}
	if end.After(j.late) {
		w.refuse(j)
		return
	}
	objective := j.aim.Sub(j.ReceivedAt)
	if !j.decided && w.now.Sub(j.ReceivedAt) >= objective/decisionShare {
		j.decided = true
		if end.After(j.aim) {
			w.refuse(j)
		}
	}
}

// refuse turns a job away of which nothing has run: to a keeper that can still answer it in
// time, or for good.
func (w *pass) refuse(j *job) {
	p := w.p
	if !j.NoForward && !j.MayHaveRuns {
		if seat := p.roomier(w.now, j, true); seat != "" && !w.now.Add(p.loads[seat].ExpectedWait+j.chain).After(j.aim) {
			p.handOn(w.now, j, seat)
			return
		}
	}
	p.giveUp(w.now, j, ReasonDeadlineUnreachable)
}
