package rrscheduler

import (
	"slices"
	"time"
)

// evacuatedRetryAfter is given to callers of refused and abandoned jobs. When a zone is put back in use
// is not known; the time that the queue takes, as for other refusals, says nothing here.
const evacuatedRetryAfter = time.Second

// evacuation is what is known of an evacuated zone.
type evacuation struct {
	since       time.Time // when it was reported here
	startsUntil time.Time // until when jobs that had started before may start tasks there
}

// permits reports whether a task of a job may start in the zone.
func (e *evacuation) permits(now time.Time, j *job) bool {
	return now.Before(e.startsUntil) && j.started() && (j.firstStartAt.IsZero() || j.firstStartAt.Before(e.since))
}

// applyEvacuations records which zones are evacuated.
func (s *Scheduler) applyEvacuations(now time.Time, ev *EvacuationsReported) {
	next := make(map[string]evacuation)
	for zone, evacuated := range ev.Evacuated {
		if !evacuated {
			continue
		}
		e, known := s.evacuated[zone]
		if !known {
			e = evacuation{since: now, startsUntil: ev.StartsUntil}
			s.lastEvacuatedAt = now
		}
		next[zone] = e
	}
	s.evacuated, s.evacuationsReported = next, true
	for _, m := range s.sortedMinions {
		s.updateUsable(now, m)
	}
	s.needsPass = true
	s.submitDeferred(now)
}

// awaitsEvacuations reports whether nothing may start yet, since the evacuated zones are not known.
// After minionListTimeout all zones count as in use: if the store is unreachable and all processes
// have just started, the alternative is to serve nobody.
func (s *Scheduler) awaitsEvacuations(now time.Time) bool {
	if s.evacuationsReported || !s.options.AwaitEvacuations {
		return false
	}
	if now.Sub(s.firstStepAt) < minionListTimeout {
		return true
	}
	s.evacuationsReported, s.needsPass = true, true
	s.emit(&LogDecision{Message: "evacuated zones not known, all count as in use", Age: now.Sub(s.firstStepAt)})
	return false
}

// open reports whether the minion may receive tasks of jobs that have not started.
func (m *minion) open() bool {
	return m.usable && !m.evacuated
}

// takes reports whether the minion may receive a task of a job.
func (m *minion) takes(now time.Time, j *job) bool {
	return m.usable && (!m.evacuated || m.evacuation.permits(now, j))
}

// started reports whether tasks of the job may have been started, also by a previous owner.
func (j *job) started() bool {
	return j.mayHaveStarted || j.MayHaveRuns
}

// mayStartIn reports whether the evacuations permit to start a task of a job in a zone.
func (s *Scheduler) mayStartIn(now time.Time, zone string, j *job) bool {
	e, evacuated := s.evacuated[zone]
	return !evacuated || e.permits(now, j)
}

// closedTo reports whether a job fits minions of evacuated zones only.
func (s *Scheduler) closedTo(j *job) bool {
	if s.evacuatedMinions == 0 {
		return false
	}
	if s.evacuatedMinions < len(s.sortedMinions) {
		if fits, _ := fitsProfiles(j, s.profilesInUse); fits {
			return false
		}
	}
	fits, _ := fitsProfiles(j, s.ownProfiles)
	return fits
}

// lastStartAt returns until when started jobs may start tasks on minions of evacuated zones.
func (s *Scheduler) lastStartAt() time.Time {
	var until time.Time
	for _, m := range s.sortedMinions {
		if m.evacuated {
			until = later(until, m.evacuation.startsUntil)
		}
	}
	return until
}

// setEvacuated updates what a minion's zone says of it.
func (s *Scheduler) setEvacuated(m *minion) {
	e, evacuated := s.evacuated[m.Zone]
	switch {
	case evacuated == m.evacuated || s.minions[m.ID] != m: // a removed minion no longer counts
	case evacuated:
		s.evacuatedMinions++
	default:
		s.evacuatedMinions--
	}
	m.evacuation, m.evacuated = e, evacuated
}

// profilesInUse yields the profiles of the scheduler's minions in zones that are not evacuated.
func (s *Scheduler) profilesInUse(yield func(MinionProfile) bool) {
	for _, m := range s.sortedMinions {
		if !m.evacuated && !yield(m.Profile()) {
			return
		}
	}
}

// admitEvacuated forwards or refuses a new job that fits minions of evacuated zones only. The zero
// JobOutcome leaves the decision to the usual rules. A job that may have runs is admitted by these,
// since its runs may end here.
func (s *Scheduler) admitEvacuated(now time.Time, j *job) JobOutcome {
	if j.MayHaveRuns || !s.closedTo(j) {
		return JobOutcome{}
	}
	if shard := s.shardWithRoom(now, j); shard != "" {
		return s.recordEvacuation(now, j, shard)
	}
	if s.awaitsLoads(now) {
		return JobOutcome{}
	}
	return JobOutcome{Kind: OutcomeRefused, Reason: ReasonEvacuated, RetryAfter: evacuatedRetryAfter}
}

// leaveEvacuated forwards, refuses or abandons a queued job that fits minions of evacuated zones only.
// It reports whether nothing more is to be done for the job in this pass.
func (s *Scheduler) leaveEvacuated(now time.Time, j *job) bool {
	if s.evacuatedMinions == 0 {
		return false
	}
	if j.started() {
		return s.abandonStranded(now, j)
	}
	if !s.closedTo(j) {
		return false
	}
	switch shard := s.shardWithRoom(now, j); {
	case shard != "":
		s.emit(&LogDecision{Message: "turned away", JobID: j.ID, Detail: string(ReasonEvacuated) + " " + shard, Age: now.Sub(j.ReceivedAt)})
		s.replyAll(j, s.recordEvacuation(now, j, shard))
		s.closeJob(now, j)
	case !s.awaitsLoads(now):
		s.finish(now, j, JobOutcome{Kind: OutcomeRefused, Reason: ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
	}
	return true
}

// abandonStranded abandons a stranded job, and reports whether it did.
func (s *Scheduler) abandonStranded(now time.Time, j *job) bool {
	if !s.stranded(now, j) {
		return false
	}
	s.finish(now, j, JobOutcome{Kind: OutcomeAbandoned, Reason: ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
	return true
}

// stranded reports whether a started job has tasks to start and fits only minions of evacuated zones
// where it may start none any longer. A job whose previous runs are not known yet is not stranded.
func (s *Scheduler) stranded(now time.Time, j *job) bool {
	if s.evacuatedMinions == 0 || !j.hasBody || !j.started() || j.MayHaveRuns && !j.runMinionsAnswered || j.allDoneOrRunning() {
		return false
	}
	return s.closedTo(j) && !now.Before(s.lastStartAt())
}

// awaitsLoads reports whether no load of another shard is known, and may be soon, so that a job must not
// be refused for lack of room elsewhere. A new owner has heard no loads yet. Those of an owner with free
// capacity may have expired, since it asks for them rarely; it asks more often from the evacuation on.
func (s *Scheduler) awaitsLoads(now time.Time) bool {
	return len(s.shardLoads) == 0 && now.Sub(later(s.firstStepAt, s.lastEvacuatedAt)) < minionListTimeout
}

// shardWithRoom returns the other shard that is expected to start the job first, and among equal ones
// that with the most free capacity. It returns an empty string if no shard is expected to answer the
// job while the answer has value. Peer shards are in the same zone and have no room either.
func (s *Scheduler) shardWithRoom(now time.Time, j *job) string {
	best := ""
	var bestLoad Load
	for shard, l := range s.shardLoads {
		end := now.Add(l.ExpectedWait + j.criticalPath)
		late := l.ExpectedWait > 0 && (end.After(j.valueEndsAt) || end.After(j.Deadline))
		if l.CapacityMillicores == 0 || late || slices.Contains(s.peerShards, shard) || !s.mayFitShard(j, shard, false) {
			continue
		}
		if best == "" || l.startsBefore(bestLoad) || !bestLoad.startsBefore(l) && shard < best {
			best, bestLoad = shard, l
		}
	}
	return best
}

// startsBefore reports whether a shard with load l is the better choice for a job than one with o.
func (l Load) startsBefore(o Load) bool {
	return l.ExpectedWait < o.ExpectedWait || l.ExpectedWait == o.ExpectedWait && l.FreeMillicores > o.FreeMillicores
}

// followedBy reports whether a job that must not be forwarded is to follow one of the same ID to the
// shard that this was forwarded to because of an evacuation: another submission may run there. A
// submission that comes back itself has not reached that shard.
func (f forwardRecord) followedBy(j *Job) bool {
	return f.evacuated && !j.MayHaveRuns && (f.process != j.CallerProcess || f.submission != j.Submission)
}

// recordEvacuation records that a job is forwarded because of an evacuation, and returns the outcome.
// Room that is free elsewhere is filled first: the forwarded work adds to the wait of a shard only
// when that has no free capacity left for it.
func (s *Scheduler) recordEvacuation(now time.Time, j *job, shard string) JobOutcome {
	before := s.shardLoads[shard]
	out := s.recordForward(now, j, shard)
	f := s.forwardedJobs[j.ID]
	f.evacuated = true
	s.forwardedJobs[j.ID] = f
	if l := s.shardLoads[shard]; before.FreeMillicores >= j.unfinishedMillicores() {
		l.ExpectedWait = before.ExpectedWait
		s.shardLoads[shard] = l
	}
	out.Reason = ReasonEvacuated
	return out
}
