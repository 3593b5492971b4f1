package rrscheduler

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// Weights of the choice of a minion.
const (
	strandedWeight = 0.25 // octaves of speed that an empty rest of a whole minion is worth
	farOctaves     = 1.0  // octaves that a task away from its data is taken to be slower
	avoidOctaves   = 3.0  // octaves that a minion costs on which the task ended badly
	slowOctaves    = 1.0  // a minion slower than this is used only where it costs no objective
)

// onMinion returns the expected run time of a task on a minion.
func (p *Scheduler) onMinion(j *job, t *task, m *minion) time.Duration {
	return time.Duration(float64(p.estimate(j, t.id.Phase)) * math.Exp2(slowness(j, t, m)))
}

// slowness returns by how many octaves a task takes longer on a minion than on a sound
// one beside its data.
func slowness(j *job, t *task, m *minion) float64 {
	octaves := max(m.speed.Log2(), 0)
	if rack := j.Phases[t.id.Phase].DataRack; rack != "" && rack != m.Rack {
		octaves += farOctaves
	}
	return octaves
}

// place returns the best minion for a task now, or nil.
func (p *Scheduler) place(now time.Time, j *job, t *task, reserved map[*minion]bool) *minion {
	var best *minion
	bestCost := math.Inf(1)
	for _, m := range p.order {
		if !m.usable || reserved[m] || !p.allowed(j, t, m) || !m.room(j.Phases[t.id.Phase].Resources) || p.burnt(j, t, m) {
			continue
		}
		c := p.cost(j, t, m)
		if c < bestCost || c == bestCost && m.ID < best.ID {
			best, bestCost = m, c
		}
	}
	if best != nil && p.waits(now, j, t, best) {
		return nil
	}
	return best
}

// burnt reports whether a task has just failed on a minion and can run on another one, be it
// later: a bad minion must not use up all attempts of a task while the others are full.
func (p *Scheduler) burnt(j *job, t *task, m *minion) bool {
	if t.fails == 0 || t.avoid != m.ID {
		return false
	}
	return slices.ContainsFunc(p.order, func(o *minion) bool {
		return o != m && o.usable && p.allowed(j, t, o) && j.Phases[t.id.Phase].Resources.Fits(o.Capacity)
	})
}

// waits reports whether a task had better wait than run on a slow minion.
func (p *Scheduler) waits(now time.Time, j *job, t *task, m *minion) bool {
	if m.speed.Log2() < slowOctaves {
		return false
	}
	end := now.Add(p.onMinion(j, t, m))
	return end.After(j.late) || end.After(j.aim) && now.Add(p.estimate(j, t.id.Phase)).Before(j.aim)
}

// allowed reports whether the job's constraints let a task run on a minion at all.
func (p *Scheduler) allowed(j *job, t *task, m *minion) bool {
	ph := &j.Phases[t.id.Phase]
	return m.Service == j.Service && hasLabel(m.Labels, ph.RequiredLabel) && (ph.MaxPerMinion == 0 || m.count(t.id) < ph.MaxPerMinion)
}

// count returns the runs of tasks of the same phase.
func (m *minion) count(id TaskID) int {
	n := 0
	for _, r := range m.list {
		if r.Task.Job == id.Job && r.Task.Phase == id.Phase {
			n++
		}
	}
	return n
}

// cost rates a minion for a task, in octaves of run time: slow minions and room
// that is left over but too small for most tasks cost.
func (p *Scheduler) cost(j *job, t *task, m *minion) float64 {
	c := slowness(j, t, m)
	if t.avoid == m.ID {
		c += avoidOctaves
	}
	rest := float64(m.Capacity.MilliCores) - float64(m.used.MilliCores) - float64(j.Phases[t.id.Phase].Resources.MilliCores)
	if m.Capacity.MilliCores > 0 {
		c += strandedWeight * rest / float64(m.Capacity.MilliCores)
	}
	return c
}

// reserve picks the minion on which a task that fits nowhere now will fit first,
// so that smaller tasks don't take its room for ever.
func (p *Scheduler) reserve(now time.Time, j *job, t *task, reserved map[*minion]bool) *minion {
	var best *minion
	var bestAt time.Time
	for _, m := range p.order {
		if !m.usable || reserved[m] || !p.allowed(j, t, m) {
			continue
		}
		at, ok := m.roomAt(now, j.Phases[t.id.Phase].Resources)
		if ok && (best == nil || at.Before(bestAt) || at.Equal(bestAt) && m.ID < best.ID) {
			best, bestAt = m, at
		}
	}
	return best
}

// roomAt estimates when s will fit, or reports false if it never does.
func (m *minion) roomAt(now time.Time, s rrtask.Resources) (time.Time, bool) {
	if !s.Fits(m.Capacity) {
		return time.Time{}, false
	}
	// Every run counts as ending when the last one that has to end does.
	at := now
	used := m.used
	for _, r := range m.list {
		used.MilliCores -= r.size.MilliCores
		at = later(at, r.sent.Add(r.expect))
		if (rrtask.Resources{MilliCores: used.MilliCores + s.MilliCores}).Fits(rrtask.Resources{MilliCores: m.Capacity.MilliCores}) {
			break
		}
	}
	return at, true
}
