package rrdispatcher

import (
	"slices"
	"strings"
	"time"

	"rattanring/core/rrtask"
)

// unlistedTTL is how long the Dispatcher remembers the state of a minion that is no
// longer listed. Lists lag, and ownership may return soon.
const unlistedTTL = 5 * time.Minute

// SetMinions sets the owned minions. A minion that is no longer listed gets no more
// tasks; its running tasks continue.
func (d *Dispatcher) SetMinions(now time.Time, ms []rrtask.Minion) {
	d.listVersion++
	for _, in := range ms {
		d.updateMinion(now, in)
	}
	for _, m := range d.owned {
		if m.listVersion != d.listVersion {
			m.owned = false
			m.unlistedAt = now
		}
	}
	for name, m := range d.minions {
		if !m.owned && m.inFlight == 0 && now.Sub(m.unlistedAt) > unlistedTTL {
			delete(d.minions, name)
		}
	}
	d.rebuildPools()
	for _, t := range d.tenants.all {
		d.updateTenant(t)
	}
}

// updateMinion adds or updates one minion. A new address means a new incarnation of
// the minion, whose state starts empty.
func (d *Dispatcher) updateMinion(now time.Time, in rrtask.Minion) {
	m := d.minions[in.Name]
	if m == nil || m.Addr != in.Addr {
		m = &minion{stateSince: now}
		d.minions[in.Name] = m
	}
	if !m.owned {
		m.limiter.startRamp(now)
		m.takeOver(now, d.ownerReports.byMinion[in.Name])
	}
	m.listVersion = d.listVersion
	m.Minion = in
	m.worker.Capacity = in.Capacity
	m.evacuated = d.cfg.IsEvacuated(in.Zone)
	m.owned = true
	m.pool = d.pool(in.Service)
}

// takeOver applies the report of another owner unless this Dispatcher's own state of
// the minion is newer. A minion that was bad or draining before gets a health check at
// once, since it may have been restarted.
func (m *minion) takeOver(now time.Time, report HealthReport) {
	if m.unlistedAt.IsZero() || !report.Since.Before(m.stateSince) {
		m.applyState(now, report.State)
	}
	m.probe.next = now
}

// applyState applies a state that another owner reported.
func (m *minion) applyState(now time.Time, s MinionState) {
	switch s {
	case Quarantined, Probation:
		m.quarantine(now)
	case Draining:
		m.recordDraining(now)
	}
}

// rebuildPools updates the list of owned minions and the minions and slots of each pool.
func (d *Dispatcher) rebuildPools() {
	d.owned = d.owned[:0]
	for _, m := range d.minions {
		if m.owned {
			d.owned = append(d.owned, m)
		}
	}
	slices.SortFunc(d.owned, func(a, b *minion) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range d.pools {
		p.minions = p.minions[:0]
		p.slots = 0
		p.slowdownsStale = true
	}
	d.ownSlots = 0
	for _, m := range d.owned {
		m.pool.minions = append(m.pool.minions, m)
		if m.evacuated {
			continue
		}
		m.pool.slots += m.configuredSlots()
		d.ownSlots += m.configuredSlots()
	}
}

// sortedBatches returns all batches in the order of their keys.
func (d *Dispatcher) sortedBatches() []*batch {
	all := make([]*batch, 0, len(d.batches))
	for _, b := range d.batches {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *batch) int {
		if a.Key.before(b.Key) {
			return -1
		}
		return 1
	})
	return all
}

// Load returns the load of the owned minions. Coordinators use it to choose an owner for
// their tasks.
func (d *Dispatcher) Load(now time.Time) Load {
	var l Load
	for _, m := range d.owned {
		if m.usable() {
			l.UsableSlots += m.configuredSlots()
		}
	}
	l.BusySlots = d.inFlight.count
	for _, p := range d.pools {
		l.QueuedTasks += p.queuedTasks
		for i, w := range p.backlog {
			l.Backlog[i] += w
		}
	}
	l.RunningWork = d.inFlight.remainingWork(now)
	return l
}

// MinionStatus is the state of one minion as operators see it.
type MinionStatus struct {
	Name     string
	Zone     string
	Service  string
	State    MinionState
	Since    time.Time // when State changed last
	Slots    int
	InFlight int     // dispatches in flight
	Slowdown float64 // run time of tasks ÷ that on its peers
	Runs     uint64  // tasks that ran, failed ones included
	Failures uint64  // tasks that failed
}

// MinionStatuses returns the owned minions, sorted by name.
func (d *Dispatcher) MinionStatuses(now time.Time) []MinionStatus {
	out := make([]MinionStatus, 0, len(d.owned))
	for _, m := range d.owned {
		out = append(out, MinionStatus{
			Name: m.Name, Zone: m.Zone, Service: m.Service,
			State: m.reportedState(), Since: m.stateSince,
			Slots: m.configuredSlots(), InFlight: m.inFlight,
			Slowdown: m.slowdownFactor(), Runs: m.runs, Failures: m.failures,
		})
	}
	return out
}

// NextWakeup returns the next time at which Dispatch, TakeOutcomes or DueProbes have
// something to do without a further event, or the zero time if there is none.
func (d *Dispatcher) NextWakeup(now time.Time) time.Time {
	var at time.Time
	if d.deadlines.Len() > 0 {
		at = d.deadlines.At(0).Deadline
	}
	for _, m := range d.owned {
		if m.needsProbe() {
			at = earlier(at, m.probe.next)
		}
		if m.pool.queuedTasks > 0 {
			at = earlier(at, m.nextWakeup(now))
		}
	}
	for _, p := range d.pools {
		if !p.noMinionSince.IsZero() {
			at = earlier(at, p.noMinionSince.Add(noMinionsTimeout))
		}
	}
	return at
}

// nextWakeup returns when the minion may take more tasks without a further event, or the
// zero time if there is no such time.
func (m *minion) nextWakeup(now time.Time) time.Time {
	at := m.worker.ReportExpiry(now)
	if m.limiter.blockedUntil.After(now) {
		at = earlier(at, m.limiter.blockedUntil)
	}
	if m.limiter.rampEndsAt.After(now) {
		at = earlier(at, m.limiter.rampEndsAt)
	}
	return at
}

// earlier returns the earlier of two times; a zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
