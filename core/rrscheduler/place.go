package rrscheduler

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// Costs and thresholds for choosing a minion, in log2 units of run time: 1 stands for twice the run
// time.
const (
	strandedCapacityLog2 = 0.25 // cost of the cores that stay free beside the task: this times their fraction of the minion's cores
	remoteDataLog2       = 1.0  // assumed slowdown of a task in another rack than its data
	avoidedMinionLog2    = 3.0  // added cost of the minion on which the task's last run failed, was refused or was stopped
	slowMinionLog2       = 1.0  // a minion with this slowdown or more is used only if the job still meets its objective there, or would miss it on a healthy minion too
)

// runTimeOn returns the expected run time of a task on a minion.
func (s *Scheduler) runTimeOn(j *job, t *task, m *minion) time.Duration {
	warm := time.Duration(float64(s.estimateRunTime(j, t.id.Phase)) * math.Exp2(warmSlowdownLog2(&j.Phases[t.id.Phase], m)))
	if m.cold.active {
		return m.cold.service.RunTime(m.cold.remaining, warm)
	}
	return warm
}

// warmSlowdownLog2 returns the slowdown of a task on a minion, in log2 units, relative to a healthy
// minion in the rack of the task's data. It does not include that of a cold minion.
func warmSlowdownLog2(ph *Phase, m *minion) float64 {
	log2 := max(m.slowdown.Log2(), 0)
	if ph.DataRack != "" && ph.DataRack != m.Rack {
		log2 += remoteDataLog2
	}
	return log2
}

// bestMinion returns the usable minion with the lowest cost for a task, or nil if none fits or the
// task should wait.
func (s *Scheduler) bestMinion(now time.Time, j *job, t *task, reserved map[*minion]bool) *minion {
	var best *minion
	bestCost := math.Inf(1)
	ph := &j.Phases[t.id.Phase]
	for _, m := range s.sortedMinions {
		if !m.takes(now, j) || reserved[m] || !s.meetsConstraints(j, t, m) || !m.fits(ph.Resources) || s.mustRunElsewhere(now, j, t, m) {
			continue
		}
		if m.cold.active && !m.cold.mayStart(now) {
			continue
		}
		c := cost(ph, t, m)
		if c < bestCost || c == bestCost && m.ID < best.ID {
			best, bestCost = m, c
		}
	}
	if best != nil && s.shouldWait(now, j, t, best, best.cold.log2 > 0 && s.hasWarmMinion(now, j, t)) {
		return nil
	}
	return best
}

// mustRunElsewhere reports whether a task that has failed must avoid this minion because another one
// can run it, now or later. A faulty minion must not use up all attempts of a task while the others
// are full.
func (s *Scheduler) mustRunElsewhere(now time.Time, j *job, t *task, m *minion) bool {
	if t.failures == 0 || t.avoidMinion != m.ID {
		return false
	}
	return slices.ContainsFunc(s.sortedMinions, func(o *minion) bool {
		return o != m && o.takes(now, j) && s.meetsConstraints(j, t, o) && j.Phases[t.id.Phase].Resources.Fits(o.Capacity)
	})
}

// shouldWait reports whether a task should wait instead of running on a slow minion. The argument hasWarm
// is the result of hasWarmMinion; only cold minions need it.
func (s *Scheduler) shouldWait(now time.Time, j *job, t *task, m *minion, hasWarm bool) bool {
	if m.cold.log2 > 0 && s.shouldWaitForWarm(now, j, t, m, hasWarm) {
		return true
	}
	if m.slowdown.Log2() < slowMinionLog2 {
		return false
	}
	end := now.Add(s.runTimeOn(j, t, m))
	return end.After(j.valueEndsAt) || end.After(j.objectiveAt) && now.Add(s.estimateRunTime(j, t.id.Phase)).Before(j.objectiveAt)
}

// meetsConstraints reports whether a minion has the service and label that a task requires, and fewer
// than MaxPerMinion runs of its phase.
func (s *Scheduler) meetsConstraints(j *job, t *task, m *minion) bool {
	ph := &j.Phases[t.id.Phase]
	return m.Service == j.Service && hasLabel(m.Labels, ph.RequiredLabel) && (ph.MaxPerMinion == 0 || m.phaseRuns(t.id) < ph.MaxPerMinion)
}

// phaseRuns returns the number of runs of the task's phase on the minion.
func (m *minion) phaseRuns(id TaskID) int {
	n := 0
	for _, r := range m.runsByStart {
		if r.Task.Job == id.Job && r.Task.Phase == id.Phase {
			n++
		}
	}
	return n
}

// cost rates a minion for a task, in log2 units of run time. It grows with the minion's
// slowdown and with the cores that would stay free, which may be too few for most tasks.
func cost(ph *Phase, t *task, m *minion) float64 {
	c := warmSlowdownLog2(ph, m) + m.cold.log2
	if t.avoidMinion == m.ID {
		c += avoidedMinionLog2
	}
	rest := float64(m.Capacity.MilliCores) - float64(m.used.MilliCores) - float64(ph.Resources.MilliCores)
	if m.Capacity.MilliCores > 0 {
		c += strandedCapacityLog2 * rest / float64(m.Capacity.MilliCores)
	}
	return c
}

// minionToReserve returns the minion on which a task that fits nowhere now will fit first, or nil.
// Without the reservation, smaller tasks could take its capacity forever.
func (s *Scheduler) minionToReserve(now time.Time, j *job, t *task, reserved map[*minion]bool) *minion {
	var best *minion
	var bestAt time.Time
	hasWarm := len(s.warmups) > 0 && s.hasWarmMinion(now, j, t) // once for all cold minions, which may be many
	for _, m := range s.sortedMinions {
		if !m.takes(now, j) || reserved[m] || !s.meetsConstraints(j, t, m) || m.cold.active && s.shouldWait(now, j, t, m, hasWarm) {
			continue
		}
		at, ok := m.fitsAt(now, j.Phases[t.id.Phase].Resources)
		if ok && (best == nil || at.Before(bestAt) || at.Equal(bestAt) && m.ID < best.ID) {
			best, bestAt = m, at
		}
	}
	return best
}

// fitsAt estimates when the cores will be free, or reports false if the resources exceed the minion's
// capacity. It ignores memory and accelerators that are in use.
func (m *minion) fitsAt(now time.Time, resources rrtask.Resources) (time.Time, bool) {
	if !resources.Fits(m.Capacity) {
		return time.Time{}, false
	}
	// All runs that have to end first count as ending at the same time as the last of them.
	at := now
	used := m.used
	for _, r := range m.runsByStart {
		used.MilliCores -= r.resources.MilliCores
		at = later(at, r.startSentAt.Add(r.expectedRunTime))
		if (rrtask.Resources{MilliCores: used.MilliCores + resources.MilliCores}).Fits(rrtask.Resources{MilliCores: m.Capacity.MilliCores}) {
			break
		}
	}
	return at, true
}
