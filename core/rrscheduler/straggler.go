package rrscheduler

import "time"

// When a run counts as stuck, or as too slow to wait for.
const (
	stuckShare   = 0.4                    // part of the expected run time without one percent of progress
	stuckLeast   = 60 * time.Millisecond  // and at least this
	slowGain     = 2                      // what is left must take this many times a new run
	slowLeast    = 150 * time.Millisecond // and this much more
	sureProgress = 10                     // percent from which on progress tells the run time
	lookAgain    = 100 * time.Millisecond // between two looks for the outcome of an order
	lossyLook    = 30 * time.Millisecond  // the same, and the time without a list, while orders go unanswered
	lossyTerm    = 3 * time.Second        // after an unanswered order: ten holds or so of each minion
	lossyMost    = 160                    // minions of a pool up to which that is done; some 4,000 calls a second
	speedPace    = 30                     // a minion's learned speed fades this many times faster than rrhealth has it
	fadeInterval = time.Second            // between two steps of the fading
)

// fade lets a minion that was slow be tried again.
func (m *minion) fade(now time.Time) {
	if d := now.Sub(m.faded); d >= fadeInterval {
		m.speed.Decay(speedPace * min(d, fadeInterval))
		m.faded = now
		m.sweep(now)
	}
}

// sweep forgets runs that ended long ago.
func (m *minion) sweep(now time.Time) {
	for r, at := range m.tombs {
		if now.Sub(at) > tombstoneTerm {
			delete(m.tombs, r)
		}
	}
}

// tickRun looks at one run after some time.
func (p *Scheduler) tickRun(now time.Time, r *run) {
	switch r.state {
	case unsure:
		p.lookFor(now, r)
	case stopping:
		p.tickStop(now, r)
	case running:
		p.tickProgress(now, r)
	}
}

// lookFor asks again where a run stands.
func (p *Scheduler) lookFor(now time.Time, r *run) {
	if r.stopSet.IsZero() {
		r.stopSet = now
		return
	}
	if now.Sub(r.stopSet) > lookAgain {
		r.stopSet = now
		p.look(now, r.minion, 0)
	}
}

func (p *Scheduler) tickStop(now time.Time, r *run) {
	switch {
	case r.stopSet.IsZero():
		p.sendStop(now, r)
	case r.stopped && now.Sub(r.stopSet) > lookAgain+p.terms.MaxStopTime:
		r.stopSet = now
		p.look(now, r.minion, 0)
	}
}

// tickProgress ends a run that stands still or is far behind, where another minion
// would be done sooner.
func (p *Scheduler) tickProgress(now time.Time, r *run) {
	j := r.job
	if !j.body || j.closing || r.expect == 0 {
		return
	}
	fresh := max(p.estimate(j, r.Task.Phase), j.fastest[r.Task.Phase])
	seen := r.looked.Sub(r.moved) // time that is known to have passed without progress
	due := max(time.Duration(stuckShare*float64(fresh)), stuckLeast)
	switch {
	case seen > due:
		r.minion.bad(now, j.ID)
		r.minion.speed.Observe(fresh, r.looked.Sub(r.sent)+fresh)
		p.stop(now, r, "stands still")
	case p.behind(now, r, fresh):
		r.task.slowed = true
		p.stop(now, r, "slow")
	case p.unlisted(now, r, due):
		p.look(now, r.minion, 0)
	}
}

// unlisted reports whether a run was not listed for so long that its end may have been
// missed.
func (p *Scheduler) unlisted(now time.Time, r *run, due time.Duration) bool {
	pause := lookAgain
	if p.lossy(now) {
		due, pause = min(due, lossyLook), lossyLook
	}
	return now.Sub(later(r.looked, r.sent)) > due && now.Sub(r.minion.lookAt) > pause
}

// lossy reports whether orders lately had no answer, so that ends may go unheard too. In
// a large pool that is not worth the calls that it would bring.
func (p *Scheduler) lossy(now time.Time) bool {
	return !p.lossAt.IsZero() && now.Sub(p.lossAt) < lossyTerm && len(p.order) <= lossyMost
}

// behind reports whether a run takes so long that a new one would be done first.
func (p *Scheduler) behind(now time.Time, r *run, fresh time.Duration) bool {
	if r.percent == 0 || r.percent >= 100 || r.task.slowed {
		return false
	}
	took := r.moved.Sub(r.sent)
	rest := took*100/time.Duration(r.percent+1) - now.Sub(r.sent)
	if rest < slowGain*fresh+slowLeast || p.place(now, r.job, &task{id: r.Task, avoid: r.minion.ID}, nil) == nil {
		return false
	}
	r.minion.speed.Observe(fresh, now.Sub(r.sent)+rest)
	return true
}

// took notes how long a task of a phase takes, done or by its progress. Tasks of a
// phase are alike, so the shortest time tells what a sound minion needs.
func (j *job) took(ph int, d time.Duration) {
	if j.fastest[ph] == 0 || d < j.fastest[ph] {
		j.fastest[ph] = d
	}
}
