package rrscheduler

import "time"

// When a run counts as stalled or as a straggler, and how its state is polled.
const (
	stalledShare        = 0.4                    // a run stalls when it makes no progress for this fraction of the expected run time …
	minStalled          = 60 * time.Millisecond  // … and for at least this time
	stragglerFactor     = 2                      // a straggler's remaining time is at least this many times that of a new run …
	minStragglerExcess  = 150 * time.Millisecond // … plus this time
	minReliablePercent  = 10                     // percent of progress from which the run time can be extrapolated
	repollInterval      = 100 * time.Millisecond // minimum time between two polls that resolve a command
	lossyRepollInterval = 30 * time.Millisecond  // the same, and how long a run may be unlisted, while start commands are left unanswered
	lossyWindow         = 3 * time.Second        // since the last unanswered start command; about ten polls of each minion
	maxLossyMinions     = 160                    // larger shards don't poll faster; this many cause some 4,000 calls a second
	slowdownDecayFactor = 30                     // a minion's observed slowdown decays this many times faster than rrhealth's default
	decayInterval       = time.Second            // between two steps of the decay
)

// decay expires tombstones and reduces the observed slowdown, once per decayInterval. The
// reduction lets the scheduler try a slow minion again.
func (m *minion) decay(now time.Time) {
	if d := now.Sub(m.lastDecayAt); d >= decayInterval {
		m.slowdown.Decay(slowdownDecayFactor * min(d, decayInterval))
		m.lastDecayAt = now
		m.expireTombstones(now)
	}
}

// expireTombstones removes tombstones older than tombstoneTTL.
func (m *minion) expireTombstones(now time.Time) {
	for r, at := range m.tombstones {
		if now.Sub(at) > tombstoneTTL {
			delete(m.tombstones, r)
		}
	}
}

// tickRun does the work for a run that depends on time alone.
func (s *Scheduler) tickRun(now time.Time, r *run) {
	switch r.state {
	case startUnknown:
		s.repollUnknownStart(now, r)
	case stopping:
		s.tickStop(now, r)
	case running:
		s.tickProgress(now, r)
	}
}

// repollUnknownStart polls the minion again for a run whose start was left unanswered.
func (s *Scheduler) repollUnknownStart(now time.Time, r *run) {
	if r.resolveSentAt.IsZero() {
		r.resolveSentAt = now // startDone has just sent the first poll
		return
	}
	if now.Sub(r.resolveSentAt) > repollInterval {
		r.resolveSentAt = now
		s.poll(now, r.minion, 0)
	}
}

func (s *Scheduler) tickStop(now time.Time, r *run) {
	switch {
	case r.resolveSentAt.IsZero():
		s.sendStop(now, r)
	case r.stopAccepted && now.Sub(r.resolveSentAt) > repollInterval+s.options.MaxStopTime:
		r.resolveSentAt = now
		s.poll(now, r.minion, 0)
	}
}

// tickProgress stops a run that has stalled, and a straggler that another minion would complete
// sooner. It polls the minion if the run has not been listed for too long.
func (s *Scheduler) tickProgress(now time.Time, r *run) {
	j := r.job
	if !j.hasBody || j.closing || r.expectedRunTime == 0 {
		return
	}
	warmRunTime := max(s.estimateRunTime(j, r.Task.Phase), j.shortestRunTime[r.Task.Phase])
	newRunTime := s.tolerableRunTime(r, warmRunTime)
	stalledFor := r.lastListedAt.Sub(r.lastProgressAt) // time without progress, up to the last poll
	threshold := max(time.Duration(stalledShare*float64(newRunTime)), minStalled)
	mayRestart := !r.minion.evacuated || now.Before(r.minion.evacuation.startsUntil) || !s.closedTo(j)
	switch {
	case mayRestart && stalledFor > threshold:
		r.minion.recordFailure(now, j.ID)
		r.minion.slowdown.Observe(newRunTime, r.lastListedAt.Sub(r.startSentAt)+newRunTime)
		s.stopRun(now, r, "stands still")
	case mayRestart && s.isStraggler(now, r, newRunTime):
		r.task.stoppedAsStraggler = true
		s.stopRun(now, r, "slow")
	case s.endMayBeMissed(now, r, max(time.Duration(stalledShare*float64(warmRunTime)), minStalled)):
		s.poll(now, r.minion, 0)
	}
}

// endMayBeMissed reports whether a run has not been listed for longer than the threshold. The answer
// that listed its end may have been lost.
func (s *Scheduler) endMayBeMissed(now time.Time, r *run, threshold time.Duration) bool {
	interval := repollInterval
	if s.lossy(now) {
		threshold, interval = min(threshold, lossyRepollInterval), lossyRepollInterval
	}
	return now.Sub(later(r.lastListedAt, r.startSentAt)) > threshold && now.Sub(r.minion.lastPollAt) > interval
}

// lossy reports whether start commands were recently left unanswered. Answers that list finished runs
// may then be lost too. It is always false in a large shard, where faster polling would cost too many
// calls.
func (s *Scheduler) lossy(now time.Time) bool {
	return !s.lastUnansweredStartAt.IsZero() && now.Sub(s.lastUnansweredStartAt) < lossyWindow && len(s.sortedMinions) <= maxLossyMinions
}

// isStraggler reports whether a run is so slow that a new run elsewhere would complete first. If so,
// it also records the slowdown of the run's minion.
func (s *Scheduler) isStraggler(now time.Time, r *run, newRunTime time.Duration) bool {
	if r.percent == 0 || r.percent >= 100 || r.task.stoppedAsStraggler {
		return false
	}
	elapsed := r.lastProgressAt.Sub(r.startSentAt)
	remaining := elapsed*100/time.Duration(r.percent+1) - now.Sub(r.startSentAt)
	if remaining < stragglerFactor*newRunTime+minStragglerExcess {
		return false
	}
	other := s.bestMinion(now, r.job, &task{id: r.Task, avoidMinion: r.minion.ID}, nil)
	if other == nil || other.cold.active && remaining < stragglerFactor*s.runTimeOn(r.job, r.task, other)+minStragglerExcess {
		return false
	}
	r.minion.slowdown.Observe(newRunTime, now.Sub(r.startSentAt)+remaining)
	return true
}

// observePhaseRunTime records the run time of a task for its phase, and for the model of cold minions if
// the run started on one.
func (s *Scheduler) observePhaseRunTime(r *run, d time.Duration) {
	if cold := r.coldAtStart(); cold > 0 {
		s.learnColdRun(r, d)
		d = time.Duration(float64(d) / r.minion.cold.service.SlowdownAt(cold))
	}
	r.job.observeRunTime(r.Task.Phase, d)
}

// tolerableRunTime returns the run time that counts as usual for a run, from the one on a warm minion.
func (s *Scheduler) tolerableRunTime(r *run, warm time.Duration) time.Duration {
	if cold := r.coldAtStart(); cold > 0 {
		return time.Duration(float64(warm) * r.minion.cold.service.Tolerance(cold))
	}
	return warm
}

// observeRunTime records the run time of a task of a phase, measured or extrapolated from progress.
// The tasks of a phase are alike, so the shortest time is what a healthy minion needs.
func (j *job) observeRunTime(ph int, d time.Duration) {
	if j.shortestRunTime[ph] == 0 || d < j.shortestRunTime[ph] {
		j.shortestRunTime[ph] = d
	}
}
