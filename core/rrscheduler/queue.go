package rrscheduler

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrestimator"
)

// Constants of the queue's order and of refusals.
const (
	packingShare      = 0.85                   // fraction of the capacity that tasks fill when many are queued
	minRetryAfter     = 200 * time.Millisecond // minimum retry delay given to a refused caller
	minForwardSaving  = 10 * time.Millisecond  // a job is forwarded only if it starts at least this much sooner
	fixedValueShare   = 0.3                    // fraction of an answer's value that does not grow with the job's work
	priorityDiscount  = 0.25                   // each level below the highest priority divides the value by 1 plus this times the level
	meanWindowJobs    = 50                     // jobs over which moving averages extend
	reducedValueShare = 0.2                    // fraction of its value that callers give an answer past its objective
	noValueShare      = 0.02                   // the same for an answer past valueEndsAt: lowest priority, but the caller still waits
	unboundedWait     = time.Hour              // expected wait of a job that will not start
	maxBlockedTasks   = 16                     // a pass places no more tasks after this many fit nowhere
)

// answerValue is the value that an answer still has for its callers.
type answerValue int

const (
	fullValue    answerValue = iota // the answer can meet its objective
	reducedValue                    // the answer comes late, but before valueEndsAt
	noValue                         // the answer comes after valueEndsAt
)

// share returns the fraction of the full value that is left.
func (v answerValue) share() float64 {
	switch v {
	case fullValue:
		return 1
	case reducedValue:
		return reducedValueShare
	}
	return noValueShare
}

// admit decides on a new job. The zero JobOutcome admits it.
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

// retryAfter returns the time until the jobs queued now will have started.
func (s *Scheduler) retryAfter() time.Duration {
	return max(s.Load().ExpectedWait, minRetryAfter)
}

// jobPriority determines a job's place in the queue.
type jobPriority struct {
	value        answerValue
	valueDensity float64 // value for each unit of work that waits for capacity
}

// priorityOf rates a job by the value that its answer still has.
func (s *Scheduler) priorityOf(now time.Time, j *job) jobPriority {
	criticalPath := s.criticalPath(j)
	p := jobPriority{value: fullValue}
	switch {
	case now.Add(criticalPath).After(j.valueEndsAt):
		p.value = noValue
	case now.Add(criticalPath).After(j.objectiveAt):
		p.value = reducedValue
	}
	p.valueDensity = p.value.share() * s.valueOf(j) / max(j.pendingWork(), 1)
	return p
}

// valueOf rates the answer to a job, in units of work. The value of a kind of job to its callers is
// unknown, so the mean job of each queue is worth its mean work, and less with a lower priority. A
// fixed part of the value is the same for small and large jobs.
func (s *Scheduler) valueOf(j *job) float64 {
	mean := s.meanWork[j.Queue]
	if mean == 0 {
		mean = j.work
	}
	return (fixedValueShare*mean + (1-fixedValueShare)*j.work) / (1 + priorityDiscount*float64(j.Priority))
}

// observeMeanWork updates the mean work of the queue's jobs.
func (s *Scheduler) observeMeanWork(j *job) {
	mean, known := s.meanWork[j.Queue]
	switch {
	case known:
		s.meanWork[j.Queue] = mean + (j.work-mean)/meanWindowJobs
	case len(s.meanWork) < rrestimator.MaxClasses:
		s.meanWork[j.Queue] = j.work
	}
}

// schedule sorts the queue, starts the tasks that fit, and refuses the jobs that can't complete in
// time.
func (s *Scheduler) schedule(now time.Time) {
	if len(s.queue) == 0 {
		return
	}
	priorities := make(map[*job]jobPriority, len(s.queue))
	for _, j := range s.queue {
		priorities[j] = s.priorityOf(now, j)
	}
	slices.SortStableFunc(s.queue, func(a, b *job) int {
		pa, pb := priorities[a], priorities[b]
		return cmp.Or(cmp.Compare(pb.valueDensity, pa.valueDensity), cmp.Compare(a.ID, b.ID))
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

// pass is one iteration over the queue.
type pass struct {
	s                  *Scheduler
	now                time.Time
	capacityMillicores float64 // for queued tasks
	workAhead          float64 // of the preceding jobs, in thousandths of a core times nanoseconds
	blockedTasks       int
	maxFreeMillicores  uint32        // maximum of a single minion
	waitingTasks       []waitingTask // tasks that fit nowhere and have no reservation yet
	reserved           map[*minion]bool
}

// waitingTask is a task that waits for capacity.
type waitingTask struct {
	job        *job
	task       *task
	millicores uint32
}

func (w *pass) scheduleJob(j *job, p jobPriority) {
	s := w.s
	if w.awaitsRunMinions(j) {
		if w.now.Sub(j.knownSince) > s.leaseDuration() {
			s.refuseOrAbandon(w.now, j, ReasonMinionsUnresponsive)
		}
		return
	}
	j.runMinionsAnswered = true
	if p.value == noValue && !j.mayHaveStarted && !j.MayHaveRuns {
		s.refuseOrAbandon(w.now, j, ReasonDeadlineUnreachable)
		return
	}
	waiting := 0
	for _, t := range j.orderedTasks {
		if t.done || t.run != nil || !j.phaseReady(t.id.Phase) {
			continue
		}
		if w.blockedTasks >= maxBlockedTasks || !w.placeTask(j, t) {
			waiting++
		}
	}
	switch {
	case waiting == 0 && !j.closing:
		s.dequeue(j)
	case !j.mayHaveStarted && !j.MayHaveRuns:
		w.refuseIfLate(j, p)
	case p.value == noValue:
		w.abandonIfLate(j)
	}
	w.workAhead += j.pendingWork()
}

// awaitsRunMinions reports whether the job may have runs on minions that have not yet answered
// with this fencing token.
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

// placeTask starts one task, or records that it waits for capacity.
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

// updateMaxFree computes the maximum free cores of a single minion.
func (w *pass) updateMaxFree() {
	w.maxFreeMillicores = 0
	for _, m := range w.s.sortedMinions {
		if m.usable && m.Capacity.MilliCores > m.used.MilliCores {
			w.maxFreeMillicores = max(w.maxFreeMillicores, m.Capacity.MilliCores-m.used.MilliCores)
		}
	}
}

// reserveForWaiting reserves minions for larger tasks that are ahead in the queue, before a smaller
// task takes the capacity that they wait for.
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

// waitBehindArrivals returns how long the work ahead takes if all arriving jobs are served first.
// This holds for a job past its objective.
func (w *pass) waitBehindArrivals() time.Duration {
	rate := w.capacityMillicores - w.s.arrivals.rate(w.now)
	if w.workAhead > 0 && w.workAhead >= rate*float64(unboundedWait) {
		return unboundedWait
	}
	return time.Duration(w.workAhead / max(rate, 1))
}

// abandonIfLate abandons a started job as soon as its waiting tasks are not expected to complete
// before the job's deadline.
func (w *pass) abandonIfLate(j *job) {
	wait := w.waitBehindArrivals()
	j.startEstimate = startEstimate{wait: wait, queuedJobs: len(w.s.queue)}
	if w.now.Add(wait + w.s.criticalPath(j)).After(j.Deadline) {
		w.s.refuseOrAbandon(w.now, j, ReasonDeadlineUnreachable)
	}
}

// refuseIfLate refuses or forwards a queued job as soon as its answer is expected to be too late:
// after valueEndsAt, or, at the check after part of the objective, after the objective.
func (w *pass) refuseIfLate(j *job, p jobPriority) {
	s := w.s
	wait := time.Duration(0)
	switch {
	case p.value != fullValue:
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

// forwardOrRefuse forwards a job that has not started to a shard that is expected to meet the job's
// objective, or refuses it if there is none.
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
