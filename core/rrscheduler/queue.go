package rrscheduler

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrestimator"
)

// Constants for the order of the queue and for refusals.
const (
	packingShare      = 0.85                   // fraction of the capacity that tasks fill when many are queued
	minRetryAfter     = 200 * time.Millisecond // minimum retry delay given to a refused caller
	minForwardSaving  = 10 * time.Millisecond  // a job is forwarded only if it starts more than this much sooner
	fixedValueShare   = 0.3                    // fraction of an answer's value that does not grow with the job's work
	priorityDiscount  = 0.25                   // each level below the highest priority divides the value by 1 plus this times the level
	meanWindowJobs    = 50                     // number of jobs that a moving average covers
	reducedValueShare = 0.2                    // fraction of the full value that an answer past its objective has
	noValueShare      = 0.02                   // queue weight of an answer past valueEndsAt, in place of zero: such jobs come last, but their callers still wait
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
	if out := s.admitEvacuated(now, j); out.Kind != 0 {
		return out
	}
	fits, anyOfService := fitsProfiles(j, s.ownProfiles)
	if !j.NoForward && !j.MayHaveRuns {
		if shard := cmp.Or(s.peerShardFor(j), s.fasterShard(now, j, fits)); shard != "" {
			return s.recordForward(now, j, shard)
		}
	}
	switch {
	case !anyOfService, !fits && s.fitsElsewhere(j):
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonNoMinion, RetryAfter: s.retryAfter()}
	case !fits:
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonNeverFits}
	case len(s.jobs) >= maxJobs || s.tooManyHeld(j.held):
		return JobOutcome{Kind: OutcomeRefused, Reason: ReasonQueueFull, RetryAfter: s.retryAfter()}
	}
	return JobOutcome{}
}

// retryAfter returns the time until the jobs queued now will have started.
func (s *Scheduler) retryAfter() time.Duration {
	return max(s.Load().ExpectedWait, minRetryAfter)
}

// jobScore determines a job's place in the queue.
type jobScore struct {
	value        answerValue
	valueDensity float64 // value for each unit of work that waits for capacity
}

// scoreOf rates a job by the value that its answer still has.
func (s *Scheduler) scoreOf(now time.Time, j *job) jobScore {
	remaining := s.remainingCriticalPath(j)
	score := jobScore{value: fullValue}
	switch {
	case now.Add(remaining).After(j.valueEndsAt):
		score.value = noValue
	case now.Add(remaining).After(j.objectiveAt):
		score.value = reducedValue
	}
	score.valueDensity = score.value.share() * s.valueOf(j) / max(j.pendingWork(), 1)
	return score
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

// runPass makes one pass over the queue in order of score: it starts the tasks that fit and refuses the
// jobs that can't complete in time.
func (s *Scheduler) runPass(now time.Time) {
	if len(s.queue) == 0 {
		return
	}
	scores := make(map[*job]jobScore, len(s.queue))
	for _, j := range s.queue {
		scores[j] = s.scoreOf(now, j)
	}
	slices.SortStableFunc(s.queue, func(a, b *job) int {
		pa, pb := scores[a], scores[b]
		return cmp.Or(cmp.Compare(pb.valueDensity, pa.valueDensity), cmp.Compare(a.ID, b.ID))
	})
	pass := pass{s: s, now: now, reserved: make(map[*minion]bool)}
	for _, m := range s.sortedMinions {
		if m.usable {
			pass.capacityMillicores += float64(s.effectiveCapacity(m)) * packingShare
		}
	}
	pass.updateMaxFree()
	for _, j := range slices.Clone(s.queue) {
		pass.scheduleJob(j, scores[j])
	}
}

// pass is one iteration over the queue.
type pass struct {
	s                  *Scheduler
	now                time.Time
	capacityMillicores float64       // packingShare of the usable minions' cores
	workAhead          float64       // of the preceding jobs, in thousandths of a core times nanoseconds
	blockedCount       int           // tasks of this pass that fit nowhere
	maxFreeMillicores  uint32        // maximum free cores of a single minion
	blockedTasks       []blockedTask // those since the last reserveForBlocked
	reserved           map[*minion]bool
}

// blockedTask is a task that fits nowhere now.
type blockedTask struct {
	job        *job
	task       *task
	millicores uint32
}

func (ps *pass) scheduleJob(j *job, score jobScore) {
	s := ps.s
	if ps.awaitsRunMinions(j) {
		if ps.now.Sub(j.knownSince) > s.leaseDuration() {
			s.refuseOrAbandon(ps.now, j, ReasonMinionsUnresponsive)
		}
		return
	}
	j.runMinionsAnswered = true
	if s.leaveEvacuated(ps.now, j) {
		return
	}
	if score.value == noValue && !j.mayHaveStarted && !j.MayHaveRuns {
		s.refuseOrAbandon(ps.now, j, ReasonDeadlineUnreachable)
		return
	}
	waiting := 0
	for _, t := range j.orderedTasks {
		if t.done || t.run != nil || !j.phaseReady(t.id.Phase) {
			continue
		}
		if ps.blockedCount >= maxBlockedTasks || !ps.placeTask(j, t) {
			waiting++
		}
	}
	switch {
	case waiting == 0 && !j.closing:
		s.dequeue(j)
	case !j.mayHaveStarted && !j.MayHaveRuns:
		ps.refuseIfLate(j, score)
	case score.value == noValue:
		ps.abandonIfLate(j)
	}
	ps.workAhead += j.pendingWork()
}

// awaitsRunMinions reports whether the job may have runs on minions that have not listed
// their runs yet.
func (ps *pass) awaitsRunMinions(j *job) bool {
	s := ps.s
	switch {
	case !j.MayHaveRuns:
		return false
	case j.RunMinionsKnown:
		return slices.ContainsFunc(j.RunMinions, func(id string) bool { return s.minions[id] == nil || !s.minions[id].runsKnown })
	case !s.minionListComplete && ps.now.Sub(s.firstStepAt) < incompleteListWindow:
		return !j.allDoneOrRunning()
	}
	for _, m := range s.sortedMinions {
		if !m.runsKnown && m.Service == j.Service {
			return true
		}
	}
	return false
}

// placeTask starts one task, or records that it waits for capacity. It reports whether the task was
// started.
func (ps *pass) placeTask(j *job, t *task) bool {
	millicores := j.Phases[t.id.Phase].Resources.MilliCores
	if millicores <= ps.maxFreeMillicores {
		ps.reserveForBlocked(millicores)
		if m := ps.s.bestMinion(ps.now, j, t, ps.reserved); m != nil {
			ps.s.startRun(ps.now, t, j, m)
			ps.updateMaxFree()
			return true
		}
	}
	ps.blockedCount++
	ps.blockedTasks = append(ps.blockedTasks, blockedTask{j, t, millicores})
	return false
}

// updateMaxFree computes the maximum free cores of a single minion.
func (ps *pass) updateMaxFree() {
	ps.maxFreeMillicores = 0
	for _, m := range ps.s.sortedMinions {
		if m.usable && m.Capacity.MilliCores > m.used.MilliCores {
			ps.maxFreeMillicores = max(ps.maxFreeMillicores, m.Capacity.MilliCores-m.used.MilliCores)
		}
	}
}

// reserveForBlocked reserves minions for larger tasks that are ahead in the queue, before a smaller
// task takes the capacity that they wait for.
func (ps *pass) reserveForBlocked(millicores uint32) {
	for _, t := range ps.blockedTasks {
		if len(ps.reserved) >= maxReservedMinions {
			break
		}
		if t.millicores <= millicores {
			continue
		}
		if m := ps.s.minionToReserve(ps.now, t.job, t.task, ps.reserved); m != nil {
			ps.reserved[m] = true
		}
	}
	ps.blockedTasks = nil
}

// waitBehindArrivals returns how long the work ahead takes if all arriving jobs are served first.
// A job past its objective waits that long, since arriving jobs still have their full value.
func (ps *pass) waitBehindArrivals() time.Duration {
	rate := ps.capacityMillicores - ps.s.arrivals.rate(ps.now)
	if ps.workAhead > 0 && ps.workAhead >= rate*float64(unboundedWait) {
		return unboundedWait
	}
	return time.Duration(ps.workAhead / max(rate, 1))
}

// abandonIfLate abandons a started job as soon as its waiting tasks are not expected to complete
// before the job's deadline.
func (ps *pass) abandonIfLate(j *job) {
	wait := ps.waitBehindArrivals()
	j.startEstimate = startEstimate{wait: wait, queuedJobs: len(ps.s.queue)}
	if ps.now.Add(wait + ps.s.remainingCriticalPath(j)).After(j.Deadline) {
		ps.s.refuseOrAbandon(ps.now, j, ReasonDeadlineUnreachable)
	}
}

// refuseIfLate refuses or forwards a queued job as soon as its answer is expected after valueEndsAt. It
// also checks once, after the objective divided by feasibilityCheckDivisor, whether the answer is
// expected after the objective.
func (ps *pass) refuseIfLate(j *job, score jobScore) {
	s := ps.s
	wait := time.Duration(0)
	switch {
	case score.value != fullValue:
		wait = ps.waitBehindArrivals()
	case ps.capacityMillicores > 0:
		wait = time.Duration(ps.workAhead / ps.capacityMillicores)
	}
	end := ps.now.Add(wait + j.criticalPath)
	j.startEstimate = startEstimate{wait: wait, queuedJobs: len(s.queue)}
	if end.After(j.valueEndsAt) {
		ps.forwardOrRefuse(j)
		return
	}
	objective := j.objectiveAt.Sub(j.ReceivedAt)
	if !j.feasibilityChecked && ps.now.Sub(j.ReceivedAt) >= objective/feasibilityCheckDivisor {
		j.feasibilityChecked = true
		if end.After(j.objectiveAt) {
			ps.forwardOrRefuse(j)
		}
	}
}

// forwardOrRefuse forwards a job that has not started to a shard that is expected to meet the job's
// objective, or refuses it if there is none.
func (ps *pass) forwardOrRefuse(j *job) {
	s := ps.s
	if !j.NoForward && !j.MayHaveRuns {
		if shard := s.fasterShard(ps.now, j, true); shard != "" && !ps.now.Add(s.shardLoads[shard].ExpectedWait+j.criticalPath).After(j.objectiveAt) {
			s.forwardQueued(ps.now, j, shard)
			return
		}
	}
	s.refuseOrAbandon(ps.now, j, ReasonDeadlineUnreachable)
}
