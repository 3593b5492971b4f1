package rrscheduler

import "time"

// When a run counts as stuck, or as too slow to wait for.
const (
	stalledShare        = 0.4                    // part of the expected run time without one percent of progress
	minStalled          = 60 * time.Millisecond  // and at least this
	stragglerFactor     = 2                      // what is left must take this many times a new run
	minStragglerExcess  = 150 * time.Millisecond // and this much more
	minReliablePercent  = 10                     // percent from which on progress tells the run time
	repollInterval      = 100 * time.Millisecond // between two looks for the outcome of an order
	lossyRepollInterval = 30 * time.Millisecond  // the same, and the time without a list, while orders go unanswered
	lossyWindow         = 3 * time.Second        // after an unanswered order: ten holds or so of each minion
	maxLossyMinions     = 160                    // minions of a pool up to which that is done; some 4,000 calls a second
	slowdownDecayFactor = 30                     // a minion's learned speed fades this many times faster than rrhealth has it
	decayInterval       = time.Second            // between two steps of the fading
)

// decaySlowdown lets a minion that was slow be tried again.
func (m *minion) decaySlowdown(now time.Time) {
	if d := now.Sub(m.lastDecayAt); d >= decayInterval {
		m.slowdown.Decay(slowdownDecayFactor * min(d, decayInterval))
		m.lastDecayAt = now
		m.expireTombstones(now)
	}
}

// expireTombstones forgets runs that ended long ago.
func (m *minion) expireTombstones(now time.Time) {
	for r, at := range m.tombstones {
		if now.Sub(at) > tombstoneTTL {
			delete(m.tombstones, r)
		}
	}
}

// tickRun looks at one run after some time.
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

// repollUnknownStart asks again where a run stands.
func (s *Scheduler) repollUnknownStart(now time.Time, r *run) {
	if r.resolveSentAt.IsZero() {
		r.resolveSentAt = now
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
	case r.stopAccepted && now.Sub(r.resolveSentAt) > repollInterval+s.guarantees.MaxStopTime:
		r.resolveSentAt = now
		s.poll(now, r.minion, 0)
	}
}

// tickProgress ends a run that stands still or is far behind, where another minion
// would be done sooner.
func (s *Scheduler) tickProgress(now time.Time, r *run) {
	j := r.job
	if !j.hasBody || j.closing || r.expectedRunTime == 0 {
		return
	}
	newRunTime := max(s.estimateRunTime(j, r.Task.Phase), j.shortestRunTime[r.Task.Phase])
	stalledFor := r.lastListedAt.Sub(r.lastProgressAt) // time that is known to have passed without progress
	threshold := max(time.Duration(stalledShare*float64(newRunTime)), minStalled)
	switch {
	case stalledFor > threshold:
		r.minion.recordFailure(now, j.ID)
		r.minion.slowdown.Observe(newRunTime, r.lastListedAt.Sub(r.startSentAt)+newRunTime)
		s.stopRun(now, r, "stands still")
	case s.isStraggler(now, r, newRunTime):
		r.task.stoppedAsStraggler = true
		s.stopRun(now, r, "slow")
	case s.endMayBeMissed(now, r, threshold):
		s.poll(now, r.minion, 0)
	}
}

// endMayBeMissed reports whether a run was not listed for so long that its end may have been
// missed.
func (s *Scheduler) endMayBeMissed(now time.Time, r *run, threshold time.Duration) bool {
	interval := repollInterval
	if s.lossy(now) {
		threshold, interval = min(threshold, lossyRepollInterval), lossyRepollInterval
	}
	return now.Sub(later(r.lastListedAt, r.startSentAt)) > threshold && now.Sub(r.minion.lastPollAt) > interval
}

// lossy reports whether orders lately had no answer, so that ends may go unheard too. In
// a large pool that is not worth the calls that it would bring.
func (s *Scheduler) lossy(now time.Time) bool {
	return !s.lastUnansweredAt.IsZero() && now.Sub(s.lastUnansweredAt) < lossyWindow && len(s.sortedMinions) <= maxLossyMinions
}

// isStraggler reports whether a run takes so long that a new one would be done first.
func (s *Scheduler) isStraggler(now time.Time, r *run, newRunTime time.Duration) bool {
	if r.percent == 0 || r.percent >= 100 || r.task.stoppedAsStraggler {
		return false
	}
	elapsed := r.lastProgressAt.Sub(r.startSentAt)
	remaining := elapsed*100/time.Duration(r.percent+1) - now.Sub(r.startSentAt)
	if remaining < stragglerFactor*newRunTime+minStragglerExcess || s.bestMinion(now, r.job, &task{id: r.Task, avoidMinion: r.minion.ID}, nil) == nil {
		return false
	}
	r.minion.slowdown.Observe(newRunTime, now.Sub(r.startSentAt)+remaining)
	return true
}

// observeRunTime notes how long a task of a phase takes, done or by its progress. Tasks of a
// phase are alike, so the shortest time tells what a sound minion needs.
func (j *job) observeRunTime(ph int, d time.Duration) {
	if j.shortestRunTime[ph] == 0 || d < j.shortestRunTime[ph] {
		j.shortestRunTime[ph] = d
	}
}
