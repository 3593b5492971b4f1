package rrscheduler

import (
	"cmp"
	"strings"
	"time"

	"rattanring/core/rrhealth"
	"rattanring/core/rrtask"
)

// minion is what the pool knows of one minion.
type minion struct {
	Minion
	used  rrtask.Resources
	blind int // runs whose room is not known
	runs  map[RunID]*run
	list  []*run              // the same in the order of their starts; replaced, never changed, when one ends
	tombs map[RunID]time.Time // runs that have ended

	heard   bool  // it has answered under this token, so its runs are known
	noted   int64 // ends up to this one are noted
	clock   int64 // milliseconds on its clock …
	clockAt time.Time

	seq      uint64
	waiting  uint64        // sequence of the hold in flight; zero when none
	nextHold time.Time     // earliest time of the next hold
	heldFor  time.Duration // how long the last hold may wait at the minion
	worked   time.Time     // when a run last began or ended
	fails    int           // failed holds in a row
	answered time.Time     // last good answer to a hold
	lease    time.Time     // it surely runs nothing after this unless a hold succeeds
	missing  time.Time     // when its entry was removed; zero when listed
	sentAt   map[uint64]time.Time

	usable bool // may get new tasks
	yields bool // goes to another keeper once it runs nothing
	cool   time.Time
	pause  time.Duration // length of the last cool
	badJob string        // job of the last failure in a row
	bads   int           // failures in a row of different jobs
	speed  rrhealth.Slowdown
	faded  time.Time // when the speed last faded
	lookAt time.Time // when it was last asked
}

// use reserves room.
func (m *minion) use(s rrtask.Resources) {
	m.used.MilliCores += s.MilliCores
	m.used.MemoryBytes += s.MemoryBytes
	m.used.Accelerators += s.Accelerators
	withinCapacity.Assert(m.used.Fits(m.Capacity))
}

// free gives room back.
func (m *minion) free(s rrtask.Resources) {
	m.used.MilliCores -= s.MilliCores
	m.used.MemoryBytes -= s.MemoryBytes
	m.used.Accelerators -= s.Accelerators
}

// room reports whether s fits beside what runs.
func (m *minion) room(s rrtask.Resources) bool {
	return rrtask.Resources{
		MilliCores:   m.used.MilliCores + s.MilliCores,
		MemoryBytes:  m.used.MemoryBytes + s.MemoryBytes,
		Accelerators: m.used.Accelerators + s.Accelerators,
	}.Fits(m.Capacity)
}

// put notes a run.
func (m *minion) put(r *run) {
	m.runs[r.RunID] = r
	m.list = append(m.list, r)
	m.worked = r.sent
}

// take forgets a run.
func (m *minion) take(r *run) {
	delete(m.runs, r.RunID)
	m.list = without(m.list, r)
}

// without returns a new list that lacks one entry, so that walks over the old one go on.
func without[T comparable](list []T, x T) []T {
	out := make([]T, 0, len(list))
	for _, y := range list {
		if y != x {
			out = append(out, y)
		}
	}
	return out
}

func compareTasks(a, b TaskID) int {
	return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Index, b.Index))
}

// clockNow returns the time on the minion's clock.
func (m *minion) clockNow(now time.Time) int64 {
	return m.clock + now.Sub(m.clockAt).Milliseconds()
}

// hear takes a reading of the minion's clock.
func (m *minion) hear(now time.Time, clock int64) {
	if clock == 0 {
		return
	}
	if clock < m.clockNow(now) && m.clock != 0 && now.Sub(m.clockAt) < time.Second {
		return // an answer that waited says less than an earlier one
	}
	m.clock, m.clockAt = clock, now
}

// seen takes a minion's report about itself.
func (p *Scheduler) seen(now time.Time, info Minion) {
	m := p.minions[info.ID]
	if m != nil && m.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation < m.Incarnation {
		return // a report of an earlier life that came late
	}
	if m != nil && m.Incarnation != 0 && info.Incarnation > m.Incarnation {
		p.died(now, m, "reborn")
		m = nil
	}
	if m == nil {
		m = &minion{runs: make(map[RunID]*run), tombs: make(map[RunID]time.Time), sentAt: make(map[uint64]time.Time)}
		m.ID, m.worked = info.ID, now
		p.add(m)
		m.lease = now.Add(p.leaseTerm()) // an earlier keeper may just have renewed it
		p.emit(&LogDecision{Message: "minion found", MinionID: info.ID, Detail: info.Service})
	}
	if info.Draining != m.Draining {
		p.emit(&LogDecision{Message: "minion state", MinionID: info.ID, Detail: leavingText(info.Draining)})
	}
	m.Minion = info
	m.missing, m.yields = time.Time{}, false
	p.review(now, m)
	p.hold(now, m)
	p.dirty = true
}

func leavingText(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// missing notes that a minion's report is gone.
func (p *Scheduler) missing(now time.Time, id string) {
	m := p.minions[id]
	if m == nil || !m.missing.IsZero() {
		return
	}
	m.missing = now
	p.emit(&LogDecision{Message: "minion missing", MinionID: id, Age: now.Sub(m.answered)})
	p.review(now, m)
}

// leaseTerm is how long a lease lives after the order that renewed it was sent.
func (p *Scheduler) leaseTerm() time.Duration {
	return term(p.terms.MaxLease)
}

// term is how long a time on a minion's clock can last after it was sent.
func term(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+clockDrift)) + leaseSlack
}

// review decides whether a minion may get new tasks.
func (p *Scheduler) review(now time.Time, m *minion) {
	was := m.usable
	m.usable = m.heard && !m.Draining && !m.yields && m.blind == 0 && m.fails < 2 &&
		!now.Before(m.cool) && now.Sub(m.answered) < max(m.heldFor, holdWait)+2*holdPatience &&
		(m.missing.IsZero() || now.Sub(m.missing) < missingGrace)
	if m.usable && !was {
		p.dirty = true
	}
}

// hold sends the next hold if none is in flight.
func (p *Scheduler) hold(now time.Time, m *minion) {
	if m.waiting != 0 || now.Before(m.nextHold) {
		return
	}
	wait := holdWait
	switch {
	case !m.heard || m.fails > 0:
		wait = 0
	case p.lossy(now):
		wait = lossyWait
	case m.idle(now):
		wait = idleWait
	}
	m.heldFor = wait
	m.waiting = p.look(now, m, wait)
}

// idle reports whether a minion has run nothing for a while.
func (m *minion) idle(now time.Time) bool {
	return len(m.list) == 0 && now.Sub(m.worked) > idleTerm
}

// rouse renews the lease of a minion that begins to work while a long hold waits there.
func (p *Scheduler) rouse(now time.Time, m *minion) {
	if m.heldFor > holdWait {
		m.waiting = p.look(now, m, 0)
	}
}

// look asks a minion for its runs and returns the sequence of the question.
func (p *Scheduler) look(now time.Time, m *minion, wait time.Duration) uint64 {
	m.seq++
	m.lookAt = now
	h := &PollMinion{MinionID: m.ID, Addr: m.Addr, PollSeq: m.seq, FencingToken: p.token, AckedEndSeq: m.noted, MaxWait: wait, Timeout: wait + holdPatience}
	if m.clock != 0 && m.fails == 0 {
		h.LeaseUntilMs = m.clockNow(now) + p.terms.MaxLease.Milliseconds()
		m.extend(now.Add(p.leaseTerm()))
	}
	m.sentAt[m.seq] = now
	p.emit(h)
	return m.seq
}

func (m *minion) extend(until time.Time) {
	m.lease = later(m.lease, until)
}

// held takes the answer to a hold.
func (p *Scheduler) held(now time.Time, ev *PollMinionDone) {
	m := p.minions[ev.MinionID]
	if m == nil {
		return
	}
	sent, ok := m.sentAt[ev.PollSeq]
	if !ok {
		return
	}
	delete(m.sentAt, ev.PollSeq)
	if m.waiting == ev.PollSeq {
		m.waiting = 0
	}
	switch {
	case ev.Status == CommandOK:
		p.heldWell(now, m, ev, sent)
	case ev.Status == CommandFenced && !p.outrun(sent):
		p.fence(m.ID)
		return
	case ev.Status == CommandWrongIncarnation:
		p.died(now, m, "another life")
		return
	default:
		m.fails++
		m.nextHold = now.Add(holdRetry * time.Duration(m.fails))
		if m.fails == holdFails {
			p.emit(&LogDecision{Message: "minion silent", MinionID: m.ID, Age: now.Sub(m.answered)})
		}
	}
	p.review(now, m)
	if p.minions[m.ID] == m {
		p.hold(now, m)
	}
}

func (p *Scheduler) heldWell(now time.Time, m *minion, ev *PollMinionDone, sent time.Time) {
	if ev.Incarnation != 0 && m.Incarnation != 0 && ev.Incarnation != m.Incarnation {
		if ev.Incarnation < m.Incarnation {
			return
		}
		info := m.Minion
		info.Incarnation = ev.Incarnation
		p.seen(now, info)
		return
	}
	if m.Incarnation == 0 {
		m.Incarnation = ev.Incarnation
	}
	if m.fails >= holdFails {
		p.emit(&LogDecision{Message: "minion back", MinionID: m.ID, Age: now.Sub(m.answered)})
	}
	m.fails = 0
	m.answered = now
	m.hear(now, ev.MinionClockMs)
	for _, row := range ev.FinishedRuns {
		p.endListed(now, m, row)
	}
	p.compare(now, m, ev.RunningRuns, sent)
	if !m.heard {
		m.heard = true
		p.dirty = true
	}
}

// tickMinion looks at what time alone changes.
func (p *Scheduler) tickMinion(now time.Time, m *minion) {
	if p.letGo(m) {
		return
	}
	if !m.missing.IsZero() && now.Sub(m.missing) > missingGrace && len(m.runs) == 0 {
		p.died(now, m, "removed")
		return
	}
	if now.After(m.lease) && m.fails > 0 && len(m.runs) > 0 {
		p.lapsed(now, m)
	}
	for _, r := range m.list {
		p.tickRun(now, r)
	}
	m.fade(now)
	p.review(now, m)
	p.hold(now, m)
}

// lapsed takes all runs of a silent minion as ended.
func (p *Scheduler) lapsed(now time.Time, m *minion) {
	p.emit(&LogDecision{Message: "lease lapsed", MinionID: m.ID, Age: now.Sub(m.answered)})
	p.endAll(now, m)
	m.heard = false
}

// died takes all runs of a life as ended, and forgets the minion until it is heard of again.
func (p *Scheduler) died(now time.Time, m *minion, why string) {
	p.emit(&LogDecision{Message: "minion gone", MinionID: m.ID, Detail: why, Age: now.Sub(m.answered)})
	p.endAll(now, m)
	p.remove(m)
}

func (p *Scheduler) endAll(now time.Time, m *minion) {
	for _, r := range m.list {
		p.Stats.ExpiredRuns++
		p.ends(now, r, RunLeaseExpired)
	}
}

// bad pauses a minion after a failure that may be its own. Failures of several
// jobs in a row make the pause longer each time.
func (m *minion) bad(now time.Time, job string) {
	if m.badJob != job {
		m.bads++
	}
	m.badJob = job
	if m.bads < 2 {
		return
	}
	m.pause = min(max(2*m.pause, firstCool), longestCool)
	m.cool = later(m.cool, now.Add(m.pause))
}

// good notes a task that was done.
func (m *minion) good() {
	m.bads, m.badJob, m.pause = 0, "", 0
}
