package rrscheduler

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrestimator"
)

// Constants of the order and of refusals.
const (
	packingShare      = 0.85                   // share of the capacity that tasks fill when many wait
	minRetryAfter     = 200 * time.Millisecond // shortest time that a refused caller is told to wait
	minForwardSaving  = 10 * time.Millisecond  // a job goes to another keeper for at least this much
	fixedValueShare   = 0.3                    // share of an answer's gain that does not grow with the job
	priorityDiscount  = 0.25                   // by which each step of priority lowers the gain
	meanWindowJobs    = 50                     // jobs that the mean work of a queue looks back on
	reducedValueShare = 0.2                    // share of its gain that an answer past its objective has, as callers rate it
	noValueShare      = 0.02                   // the same past its usefulness: behind the others, for a caller who still waits
	unboundedWait     = time.Hour              // stands for a job that is not going to be started
	maxBlockedTasks   = 16                     // tasks that fit nowhere after which a pass ends
)

// answerValue says what an answer would still be worth.
type answerValue int

const (
	fullValue    answerValue = iota // can meet its objective
	reducedValue                    // can be answered while that is of some use
	noValue
)

// share returns the share of an answer's gain that is left.
func (u answerValue) share() float64 {
	switch u {
	case fullValue:
		return 1
	case reducedValue:
		return reducedValueShare
	}
	return noValueShare
}

// admit decides on a job at the door. The zero JobOutcome takes it.
func (s *Scheduler) admit(now time.Time, j *job) JobOutcome {
	fits, anyOfService := fitsProfiles(j, s.ownProfiles)
	if !j.NoForward && !j.MayHaveRuns {
		if shard := cmp.Or(s.peerShardFor(j), s.fasterShard(now, j, fits)); shard != "" {
			return s.forwardJob(now, j, shard)
		}
	}
	switch {
	case !anyOfService, !fits && s.fitsElsewhere(j):
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonNoMinion, RetryAfter: s.retryAfter()}
	case !fits:
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonNeverFits}
	case len(s.jobs) >= maxJobs:
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonQueueFull, RetryAfter: s.retryAfter()}
	}
	return JobOutcome{}
}

// retryAfter is when the jobs that wait now will have started.
func (s *Scheduler) retryAfter() time.Duration {
	return max(s.Load().ExpectedWait, minRetryAfter)
}

// jobPriority is where a job stands in the order.
type jobPriority struct {
	value        answerValue
	valueDensity float64 // gain for a unit of work that has no room yet
}

// priorityOf rates a job by what its caller still gains.
func (s *Scheduler) priorityOf(now time.Time, j *job) jobPriority {
	criticalPath := s.criticalPath(j)
	r := jobPriority{value: fullValue}
	switch {
	case now.Add(criticalPath).After(j.valueEndsAt):
		r.value = noValue
	case now.Add(criticalPath).After(j.objectiveAt):
		r.value = reducedValue
	}
	r.valueDensity = r.value.share() * s.valueOf(j) / max(j.pendingWork(), 1)
	return r
}

// valueOf rates an answer to a job, in units of work. Nothing tells what a kind of job is
// worth to its callers, so the mean job of each queue counts as its mean work, less
// for a lower priority; part of that is the same for small and large jobs.
func (s *Scheduler) valueOf(j *job) float64 {
	mean := s.meanWork[j.Queue]
	if mean == 0 {
		mean = j.work
	}
	return (fixedValueShare*mean + (1-fixedValueShare)*j.work) / (1 + priorityDiscount*float64(j.Priority))
}

// observeMeanWork learns the mean work of a queue's jobs.
func (s *Scheduler) observeMeanWork(j *job) {
	mean, known := s.meanWork[j.Queue]
	switch {
	case known:
		s.meanWork[j.Queue] = mean + (j.work-mean)/meanWindowJobs
	case len(s.meanWork) < rrestimator.MaxClasses:
		s.meanWork[j.Queue] = j.work
	}
}

// schedule starts what fits, in order, and refuses what can't be served in time.
func (s *Scheduler) schedule(now time.Time) {
	if len(s.queue) == 0 {
		return
	}
	priorities := make(map[*job]jobPriority, len(s.queue))
	for _, j := range s.queue {
		priorities[j] = s.priorityOf(now, j)
	}
	slices.SortStableFunc(s.queue, func(a, b *job) int {
		ra, rb := priorities[a], priorities[b]
		return cmp.Or(cmp.Compare(rb.valueDensity, ra.valueDensity), cmp.Compare(a.ID, b.ID))
	})
	pass := pass{s: s, now: now, reserved: make(map[*minion]bool)}
	for _, m := range s.sortedMinions {
		if m.usable {
			pass.capacityMillicores += float64(m.Capacity.MilliCores) * packingShare
		}
	}
	pass.updateMaxFree()
	for _, j := range slices.Clone(s.queue) {
		pass.scheduleJob(j, priorities[j])
	}
}

// pass is one walk over the queue.
type pass struct {
	s                  *Scheduler
	now                time.Time
	capacityMillicores float64 // thousandths of cores
	workAhead          float64 // work of the jobs before, in thousandths of a core times nanoseconds
	blockedTasks       int
	maxFreeMillicores  uint32        // thousandths of cores that are free on one minion
	waitingTasks       []waitingTask // tasks that fit nowhere, for which nothing is reserved yet
	reserved           map[*minion]bool
}

// waitingTask is a task that waits for room.
type waitingTask struct {
	job        *job
	task       *task
	millicores uint32 // thousandths of cores
}

func (w *pass) scheduleJob(j *job, r jobPriority) {
	s := w.s
	if w.awaitsRunMinions(j) {
		if w.now.Sub(j.knownSince) > s.leaseDuration() {
			s.refuseOrAbandon(w.now, j, ReasonMinionsUnresponsive)
		}
		return
	}
	j.runMinionsAnswered = true
	if r.value == noValue && !j.mayHaveStarted && !j.MayHaveRuns {
		s.refuseOrAbandon(w.now, j, ReasonDeadlineUnreachable)
		return
	}
	open := 0
	for _, t := range j.orderedTasks {
		if t.done || t.run != nil || !j.phaseReady(t.id.Phase) {
			continue
		}
		if w.blockedTasks >= maxBlockedTasks || !w.placeTask(j, t) {
			open++
		}
	}
	switch {
	case open == 0 && !j.closing:
		s.dequeue(j)
	case !j.mayHaveStarted && !j.MayHaveRuns:
		w.refuseIfLate(j, r)
	case r.value == noValue:
		w.abandonIfLate(j)
	}
	w.workAhead += j.pendingWork()
}

// awaitsRunMinions reports whether runs of the job may exist on minions that have not
// answered under this token yet.
func (w *pass) awaitsRunMinions(j *job) bool {
	s := w.s
	switch {
	case !j.MayHaveRuns:
		return false
	case j.RunMinionsKnown:
		return slices.ContainsFunc(j.RunMinions, func(id string) bool { return s.minions[id] == nil || !s.minions[id].runsKnown })
	case s.guarantees.MinionListIncomplete && w.now.Sub(s.firstStepAt) < incompleteListWindow:
		return !j.allDoneOrRunning()
	}
	for _, m := range s.sortedMinions {
		if !m.runsKnown && m.Service == j.Service {
			return true
		}
	}
	return false
}

// placeTask starts one task, or notes that it waits for room.
func (w *pass) placeTask(j *job, t *task) bool {
	millicores := j.Phases[t.id.Phase].Resources.MilliCores
	if millicores <= w.maxFreeMillicores {
		w.reserveForWaiting(millicores)
		if m := w.s.bestMinion(w.now, j, t, w.reserved); m != nil {
			w.s.startRun(w.now, t, j, m)
			w.updateMaxFree()
			return true
		}
	}
	w.blockedTasks++
	w.waitingTasks = append(w.waitingTasks, waitingTask{j, t, millicores})
	return false
}

// updateMaxFree finds the widest room that is free on one minion.
func (w *pass) updateMaxFree() {
	w.maxFreeMillicores = 0
	for _, m := range w.s.sortedMinions {
		if m.usable && m.Capacity.MilliCores > m.used.MilliCores {
			w.maxFreeMillicores = max(w.maxFreeMillicores, m.Capacity.MilliCores-m.used.MilliCores)
		}
	}
}

// reserveForWaiting keeps minions free for larger tasks that come first, before a smaller one
// takes the room that they wait for.
func (w *pass) reserveForWaiting(millicores uint32) {
	for _, t := range w.waitingTasks {
		if len(w.reserved) >= maxReservedMinions {
			break
		}
		if t.millicores <= millicores {
			continue
		}
		if m := w.s.minionToReserve(w.now, t.job, t.task, w.reserved); m != nil {
			w.reserved[m] = true
		}
	}
	w.waitingTasks = nil
}

// waitBehindArrivals returns how long the work ahead takes when all that comes in goes first, as it
// does before a job past its objective.
func (w *pass) waitBehindArrivals() time.Duration {
	rate := w.capacityMillicores - w.s.arrivals.rate(w.now)
	if w.workAhead > 0 && w.workAhead >= rate*float64(unboundedWait) {
		return unboundedWait
	}
	return time.Duration(w.workAhead / max(rate, 1))
}

// abandonIfLate gives up a started job with tasks that can't be placed before its caller
// leaves, as soon as that is known.
func (w *pass) abandonIfLate(j *job) {
	wait := w.waitBehindArrivals()
	j.startEstimate = startEstimate{wait: wait, queuedJobs: len(w.s.queue)}
	if w.now.Add(wait + w.s.criticalPath(j)).After(j.Deadline) {
		w.s.refuseOrAbandon(w.now, j, ReasonDeadlineUnreachable)
	}
}

// refuseIfLate refuses a job that waits and is not expected to be answered in time, as
// soon as that is known.
func (w *pass) refuseIfLate(j *job, r jobPriority) {
	s := w.s
	wait := time.Duration(0)
	switch {
	case r.value != fullValue:
		wait = w.waitBehindArrivals()
	case w.capacityMillicores > 0:
		wait = time.Duration(w.workAhead / w.capacityMillicores)
	}
	end := w.now.Add(wait + j.criticalPath)
	j.startEstimate = startEstimate{wait: wait, queuedJobs: len(s.queue)}
	if end.After(j.valueEndsAt) {
		w.forwardOrRefuse(j)
		return
	}
	objective := j.objectiveAt.Sub(j.ReceivedAt)
	if !j.feasibilityChecked && w.now.Sub(j.ReceivedAt) >= objective/feasibilityCheckDivisor {
		j.feasibilityChecked = true
		if end.After(j.objectiveAt) {
			w.forwardOrRefuse(j)
		}
	}
}

// forwardOrRefuse turns a job away of which nothing has run: to a keeper that can still answer it in
// time, or for good.
func (w *pass) forwardOrRefuse(j *job) {
	s := w.s
	if !j.NoForward && !j.MayHaveRuns {
		if shard := s.fasterShard(w.now, j, true); shard != "" && !w.now.Add(s.shardLoads[shard].ExpectedWait+j.criticalPath).After(j.objectiveAt) {
			s.forwardQueued(w.now, j, shard)
			return
		}
	}
	s.refuseOrAbandon(w.now, j, ReasonDeadlineUnreachable)
}
