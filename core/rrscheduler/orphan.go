package rrscheduler

import (
	"slices"
	"time"
)

// claimGrace is how long a new owner waits for the processes that have jobs at the previous one. They
// submit these jobs again as soon as they know the new owner.
const claimGrace = 250 * time.Millisecond

// A caller whose connection broke submits its job again after Options.ResendDelay, to any process. That
// process may use the shard of another zone, whose owner does not know that tasks of the job still run
// here. So every run of a job without callers must have ended ResendDelay after the connection broke,
// also if the owner of this shard dies or stands still meanwhile: then its runs go on until their lease
// ends, and the next owner adopts those that it finds in time.

// StopDuration returns how long it can take until a run that is to be stopped has ended.
func (o Options) StopDuration() time.Duration {
	return o.MaxStopTime + stopTimeout
}

// MaxClaimTime returns how long it takes from the start of a new owner until all unclaimed runs that it has
// found have ended.
func (o Options) MaxClaimTime() time.Duration {
	return claimGrace + 2*TickInterval + o.StopDuration()
}

// resendDelay returns the time after which a caller whose connection broke submits its job again. Where
// that is not known, it is the shortest time for which orphanTTL holds after the death of an owner.
func (s *Scheduler) resendDelay() time.Duration {
	if s.options.ResendDelay > 0 {
		return s.options.ResendDelay
	}
	return s.leaseDuration() + s.options.StopDuration()
}

// orphanTTL returns for how long a job runs on after its last caller's connection broke. A job that
// completes in this time can be answered when it is submitted again. What is left of the resend delay
// covers the death of this owner just before the end, after which a lease goes on, or a pause of its
// process as long as a lease.
func (s *Scheduler) orphanTTL() time.Duration {
	return max(s.resendDelay()-s.leaseDuration()-s.options.StopDuration(), 0)
}

// Runs that a previous owner started are unclaimed until a process submits their job to this owner. A
// previous owner has stopped the runs of the jobs that had no callers for orphanTTL, and MaxClaimTime after
// its start also those that it had found unclaimed. So the connections of the others broke orphanTTL before
// its last sign of life at the earliest.

// unclaimedUntil returns when unclaimed runs are stopped.
func (s *Scheduler) unclaimedUntil() time.Time {
	return s.firstStepAt.Add(claimGrace)
}

// leaseToGrant returns how long the lease is that a poll grants a minion, which is that of all its runs;
// zero does not renew it. While runs there are unclaimed, it must end in time for their callers' next try,
// since this owner may die before it has stopped them.
func (s *Scheduler) leaseToGrant(now time.Time, m *minion) time.Duration {
	unclaimed := func(r *run) bool { return !r.job.hasBody && !s.isDeferred(r.job.ID) }
	if !slices.ContainsFunc(m.runsByStart, unclaimed) {
		return s.options.MaxLease
	}
	end := s.options.FormerOwnerAliveAt.Add(s.resendDelay() - s.orphanTTL() - s.options.StopDuration())
	left := float64(end.Sub(now)-leaseSlack) / (1 + maxClockDrift)
	return min(max(time.Duration(left), 0), s.options.MaxLease)
}

// orphanJob lets a job without callers run on for orphanTTL. Callers submit to the owner in their own
// zone first, so a job that was forwarded from another zone is closed at once, and so is a job that has
// not started.
func (s *Scheduler) orphanJob(now time.Time, j *job) {
	if j.closing {
		return
	}
	s.Stats.Orphans++
	ttl := s.orphanTTL()
	if j.NoForward || !j.mayHaveStarted || ttl == 0 {
		s.dropOrphan(now, j, "not kept")
		return
	}
	j.keepUntil = now.Add(ttl)
	s.emit(&LogDecision{Message: "orphaned", JobID: j.ID, Detail: "kept " + ttl.String(), Age: now.Sub(j.knownSince)})
}

// dropOrphan ends a job without callers.
func (s *Scheduler) dropOrphan(now time.Time, j *job, reason string) {
	s.emit(&LogDecision{Message: "orphan dropped", JobID: j.ID, Detail: reason, Age: now.Sub(j.knownSince)})
	s.closeJob(now, j)
}
