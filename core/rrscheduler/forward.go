package rrscheduler

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// fasterShard returns the shard that is expected to start the job first, if that is more than
// minForwardSaving sooner than here, the job does not fit here, or no minion here is open. It returns
// an empty string if there is none.
func (s *Scheduler) fasterShard(now time.Time, j *job, fits bool) string {
	best, bestWait := "", time.Duration(math.MaxInt64)
	if fits && s.anyOpen() {
		if bestWait = s.timeUntilStarted(now, j) - minForwardSaving; bestWait < 0 {
			return ""
		}
	}
	for shard, l := range s.shardLoads {
		if l.CapacityMillicores == 0 {
			continue
		}
		if (l.ExpectedWait < bestWait || l.ExpectedWait == bestWait && shard < best) && s.mayFitShard(j, shard, fits) {
			best, bestWait = shard, l.ExpectedWait
		}
	}
	return best
}

func (s *Scheduler) anyOpen() bool {
	return slices.ContainsFunc(s.sortedMinions, (*minion).open)
}

// timeUntilStarted estimates how long it takes here to start all ready tasks of a job: the queued
// work goes first, and then one run must end for each slot that the job lacks.
func (s *Scheduler) timeUntilStarted(now time.Time, j *job) time.Duration {
	wait := s.backlogTime()
	missingSlots, leastColdDelay := 0, time.Duration(0)
	for ph := range j.Phases {
		if j.phaseReady(ph) {
			slots, coldDelay := s.freeSlots(now, j, ph)
			missingSlots += max(j.unfinishedByPhase[ph]-slots, 0)
			leastColdDelay = shorterWait(leastColdDelay, coldDelay)
		}
	}
	if missingSlots == 0 {
		return wait
	}
	return wait + shorterWait(s.timeUntilRunsEnd(now, missingSlots), leastColdDelay)
}

// timeUntilRunsEnd estimates how long it takes until n runs have ended.
func (s *Scheduler) timeUntilRunsEnd(now time.Time, n int) time.Duration {
	if n <= 0 {
		return 0
	}
	var endTimes []time.Time
	for _, m := range s.sortedMinions {
		for _, r := range m.runsByStart {
			endTimes = append(endTimes, r.startSentAt.Add(r.expectedRunTime))
		}
	}
	if len(endTimes) == 0 {
		return 0
	}
	slices.SortFunc(endTimes, time.Time.Compare)
	return max(endTimes[min(n, len(endTimes))-1].Sub(now), 0)
}

// freeSlots returns how many tasks of a phase fit now. It does not count those on cold minions where the
// job would miss its objective; it returns the least time by which the fastest of these delays a task, or zero
// if there are none.
func (s *Scheduler) freeSlots(now time.Time, j *job, ph int) (n int, coldDelay time.Duration) {
	t := &task{id: TaskID{Job: j.ID, Phase: ph}}
	for _, m := range s.sortedMinions {
		switch {
		case !m.open() || !s.meetsConstraints(j, t, m):
		case m.cold.active:
			slots, tooSlow := s.coldSlots(now, j, t, m)
			if !tooSlow {
				n += slots
			} else if slots > 0 {
				coldDelay = shorterWait(coldDelay, extraRunTime(s.estimateRunTime(j, ph), m.cold.log2))
			}
		default:
			n += m.freeSlots(j.Phases[ph].Resources)
		}
	}
	return n, coldDelay
}

// freeSlots returns how many times the resources fit into the free capacity.
func (m *minion) freeSlots(resources rrtask.Resources) int {
	n := math.MaxInt
	for _, d := range []struct{ capacity, used, needed uint64 }{
		{uint64(m.Capacity.MilliCores), uint64(m.used.MilliCores), uint64(resources.MilliCores)},
		{m.Capacity.MemoryBytes, m.used.MemoryBytes, resources.MemoryBytes},
		{uint64(m.Capacity.Accelerators), uint64(m.used.Accelerators), uint64(resources.Accelerators)},
	} {
		if d.needed > 0 {
			n = min(n, int((d.capacity-min(d.used, d.capacity))/d.needed))
		}
	}
	return n
}

// unfinishedMillicores returns the cores of all tasks that are not complete.
func (j *job) unfinishedMillicores() uint32 {
	var sum uint32
	for i := range j.Phases {
		sum += uint32(j.unfinishedByPhase[i]) * j.Phases[i].Resources.MilliCores
	}
	return sum
}

// recordForward remembers the shard that a job is forwarded to, adds the job to that shard's known
// load, and returns the outcome.
func (s *Scheduler) recordForward(now time.Time, j *job, shard string) JobOutcome {
	s.forwardedJobs[j.ID] = forwardRecord{shard: shard, at: now, process: j.CallerProcess, submission: j.Submission}
	l := s.shardLoads[shard]
	l.FreeMillicores -= min(j.unfinishedMillicores(), l.FreeMillicores)
	if l.CapacityMillicores > 0 {
		l.ExpectedWait += time.Duration(j.work / float64(l.CapacityMillicores))
	}
	s.shardLoads[shard] = l
	s.Stats.Forwards++
	return JobOutcome{Kind: OutcomeForwarded, Shard: shard}
}

// forwardQueued forwards a job that is queued here.
func (s *Scheduler) forwardQueued(now time.Time, j *job, shard string) {
	s.emit(&LogDecision{Message: "turned away", JobID: j.ID, Detail: shard, Age: now.Sub(j.ReceivedAt)})
	s.replyAll(j, s.recordForward(now, j, shard))
	s.closeJob(now, j)
}

// observeTaskMeans updates the mean cores of a task and the mean number of tasks of a job.
func (s *Scheduler) observeTaskMeans(j *job) {
	for i := range j.Phases {
		millicores := float64(j.Phases[i].Resources.MilliCores)
		if s.meanTaskMillicores == 0 {
			s.meanTaskMillicores = millicores
		}
		s.meanTaskMillicores += (millicores - s.meanTaskMillicores) / meanWindowJobs
	}
	if s.meanTaskCount == 0 {
		s.meanTaskCount = float64(len(j.orderedTasks))
	}
	s.meanTaskCount += (float64(len(j.orderedTasks)) - s.meanTaskCount) / meanWindowJobs
}
