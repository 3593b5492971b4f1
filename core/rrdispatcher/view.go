package rrdispatcher

import (
	"slices"
	"strings"
	"time"

	"rattanring/core/rrtask"
)

// goneTime is how long a keeper remembers what it knows of a minion that has
// vanished from its list. Lists lag, and keeperships move there and back.
const goneTime = 5 * time.Minute

// SetMinions sets the minions that the keeper keeps. One that vanishes gets
// nothing new; its running tasks go on.
func (k *Dispatcher) SetMinions(now time.Time, ms []rrtask.Minion) {
	k.listing++
	for _, in := range ms {
		k.keep(now, in)
	}
	for _, m := range k.order {
		if m.listing != k.listing {
			m.kept = false
			m.gone = now
		}
	}
	for name, m := range k.minions {
		if !m.kept && m.busy == 0 && now.Sub(m.gone) > goneTime {
			delete(k.minions, name)
		}
	}
	k.arrange()
	for _, t := range k.tenants.all {
		k.limit(t)
	}
}

// keep adds or updates one minion. Another address is another process.
func (k *Dispatcher) keep(now time.Time, in rrtask.Minion) {
	m := k.minions[in.Name]
	if m == nil || m.Addr != in.Addr {
		m = &minion{since: now}
		k.minions[in.Name] = m
	}
	if !m.kept {
		m.retreat.adopt(now)
		m.adopt(now, k.heard.all[in.Name])
	}
	m.listing = k.listing
	m.Minion = in
	m.worker.Capacity = in.Capacity
	m.kept = true
	m.pool = k.pool(in.Service)
}

// adopt takes over what another keeper found out since. A minion that was bad or
// leaving before is checked at once: it may have been started again.
func (m *minion) adopt(now time.Time, v HealthReport) {
	if m.gone.IsZero() || !v.Since.Before(m.since) {
		m.believe(now, v.State)
	}
	m.check.at = now
}

// believe takes over the verdict of another keeper.
func (m *minion) believe(now time.Time, s MinionState) {
	switch s {
	case Quarantined, Probation:
		m.quarantine(now)
	case Draining:
		m.leave(now)
	}
}

// arrange lists the kept minions by name and pool.
func (k *Dispatcher) arrange() {
	k.order = k.order[:0]
	for _, m := range k.minions {
		if m.kept {
			k.order = append(k.order, m)
		}
	}
	slices.SortFunc(k.order, func(a, b *minion) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range k.pools {
		p.minions = p.minions[:0]
		p.slots = 0
		p.stale = true
	}
	k.slots = 0
	for _, m := range k.order {
		m.pool.minions = append(m.pool.minions, m)
		m.pool.slots += m.cap()
		k.slots += m.cap()
	}
}

// sorted returns all batches in the order of their keys.
func (k *Dispatcher) sorted() []*batch {
	all := make([]*batch, 0, len(k.batches))
	for _, b := range k.batches {
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

// Load returns what peers need to know to choose a keeper.
func (k *Dispatcher) Load(now time.Time) Load {
	var l Load
	for _, m := range k.order {
		if m.works() {
			l.UsableSlots += m.cap()
		}
	}
	l.BusySlots = k.flights.n
	for _, p := range k.pools {
		l.QueuedTasks += p.queued
		for i, w := range p.backlog {
			l.Backlog[i] += w
		}
	}
	l.RunningWork = k.flights.rest(now)
	return l
}

// MinionStatus is what operators see of one minion.
type MinionStatus struct {
	Name     string
	Zone     string
	Service  string
	State    MinionState
	Since    time.Time // of the state
	Slots    int
	InFlight int     // sends in flight
	Slowdown float64 // how many times as long as on its peers tasks take
	Runs     uint64  // tasks that ran, failed ones included
	Failures uint64  // tasks that failed
}

// MinionStatuses returns the kept minions by name.
func (k *Dispatcher) MinionStatuses(now time.Time) []MinionStatus {
	out := make([]MinionStatus, 0, len(k.order))
	for _, m := range k.order {
		out = append(out, MinionStatus{
			Name: m.Name, Zone: m.Zone, Service: m.Service,
			State: m.shown(), Since: m.since,
			Slots: m.cap(), InFlight: m.busy,
			Slowdown: m.factor(), Runs: m.runs, Failures: m.fails,
		})
	}
	return out
}

// NextWakeup returns the next time at which Dispatch, TakeOutcomes or DueProbes have something to
// do although nothing happens, or the zero time.
func (k *Dispatcher) NextWakeup(now time.Time) time.Time {
	var at time.Time
	if k.due.Len() > 0 {
		at = k.due.At(0).Deadline
	}
	for _, m := range k.order {
		if m.checks() {
			at = sooner(at, m.check.at)
		}
		if m.pool.queued > 0 {
			at = sooner(at, m.wake(now))
		}
	}
	for _, p := range k.pools {
		if !p.stuck.IsZero() {
			at = sooner(at, p.stuck.Add(stuckTime))
		}
	}
	return at
}

// wake returns when the minion may take more by time alone, or the zero time.
func (m *minion) wake(now time.Time) time.Time {
	at := m.worker.ReportExpiry(now)
	if m.retreat.hold.After(now) {
		at = sooner(at, m.retreat.hold)
	}
	if m.retreat.lift.After(now) {
		at = sooner(at, m.retreat.lift)
	}
	return at
}

// sooner returns the earlier of two times, where zero means never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
