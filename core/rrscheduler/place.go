package rrscheduler

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// Weights of the choice of a minion.
const (
	strandedCapacityLog2 = 0.25 // octaves of speed that an empty rest of a whole minion is worth
	remoteDataLog2       = 1.0  // octaves that a task away from its data is taken to be slower
	failedMinionLog2     = 3.0  // octaves that a minion costs on which the task ended badly
	slowMinionLog2       = 1.0  // a minion slower than this is used only where it costs no objective
)

// runTimeOn returns the expected run time of a task on a minion.
func (s *Scheduler) runTimeOn(j *job, t *task, m *minion) time.Duration {
	return time.Duration(float64(s.estimateRunTime(j, t.id.Phase)) * math.Exp2(slowdownLog2(j, t, m)))
}

// slowdownLog2 returns by how many octaves a task takes longer on a minion than on a sound
// one beside its data.
func slowdownLog2(j *job, t *task, m *minion) float64 {
	log2 := max(m.slowdown.Log2(), 0)
	if rack := j.Phases[t.id.Phase].DataRack; rack != "" && rack != m.Rack {
		log2 += remoteDataLog2
	}
	return log2
}

// bestMinion returns the best minion for a task now, or nil.
func (s *Scheduler) bestMinion(now time.Time, j *job, t *task, reserved map[*minion]bool) *minion {
	var best *minion
	bestCost := math.Inf(1)
	for _, m := range s.sortedMinions {
		if !m.usable || reserved[m] || !s.meetsConstraints(j, t, m) || !m.fits(j.Phases[t.id.Phase].Resources) || s.failedHere(j, t, m) {
			continue
		}
		c := s.cost(j, t, m)
		if c < bestCost || c == bestCost && m.ID < best.ID {
			best, bestCost = m, c
		}
	}
	if best != nil && s.shouldWait(now, j, t, best) {
		return nil
	}
	return best
}

// failedHere reports whether a task has just failed on a minion and can run on another one, be it
// later: a bad minion must not use up all attempts of a task while the others are full.
func (s *Scheduler) failedHere(j *job, t *task, m *minion) bool {
	if t.failures == 0 || t.avoidMinion != m.ID {
		return false
	}
	return slices.ContainsFunc(s.sortedMinions, func(o *minion) bool {
		return o != m && o.usable && s.meetsConstraints(j, t, o) && j.Phases[t.id.Phase].Resources.Fits(o.Capacity)
	})
}

// shouldWait reports whether a task had better wait than run on a slow minion.
func (s *Scheduler) shouldWait(now time.Time, j *job, t *task, m *minion) bool {
	if m.slowdown.Log2() < slowMinionLog2 {
		return false
	}
	end := now.Add(s.runTimeOn(j, t, m))
	return end.After(j.valueEndsAt) || end.After(j.objectiveAt) && now.Add(s.estimateRunTime(j, t.id.Phase)).Before(j.objectiveAt)
}

// meetsConstraints reports whether the job's constraints let a task run on a minion at all.
func (s *Scheduler) meetsConstraints(j *job, t *task, m *minion) bool {
	ph := &j.Phases[t.id.Phase]
	return m.Service == j.Service && hasLabel(m.Labels, ph.RequiredLabel) && (ph.MaxPerMinion == 0 || m.phaseRuns(t.id) < ph.MaxPerMinion)
}

// phaseRuns returns the runs of tasks of the same phase.
func (m *minion) phaseRuns(id TaskID) int {
	n := 0
	for _, r := range m.runsByStart {
		if r.Task.Job == id.Job && r.Task.Phase == id.Phase {
			n++
		}
	}
	return n
}

// cost rates a minion for a task, in octaves of run time: slow minions and room
// that is left over but too small for most tasks cost.
func (s *Scheduler) cost(j *job, t *task, m *minion) float64 {
	c := slowdownLog2(j, t, m)
	if t.avoidMinion == m.ID {
		c += failedMinionLog2
	}
	rest := float64(m.Capacity.MilliCores) - float64(m.used.MilliCores) - float64(j.Phases[t.id.Phase].Resources.MilliCores)
	if m.Capacity.MilliCores > 0 {
		c += strandedCapacityLog2 * rest / float64(m.Capacity.MilliCores)
	}
	return c
}

// minionToReserve picks the minion on which a task that fits nowhere now will fit first,
// so that smaller tasks don't take its room for ever.
func (s *Scheduler) minionToReserve(now time.Time, j *job, t *task, reserved map[*minion]bool) *minion {
	var best *minion
	var bestAt time.Time
	for _, m := range s.sortedMinions {
		if !m.usable || reserved[m] || !s.meetsConstraints(j, t, m) {
			continue
		}
		at, ok := m.fitsAt(now, j.Phases[t.id.Phase].Resources)
		if ok && (best == nil || at.Before(bestAt) || at.Equal(bestAt) && m.ID < best.ID) {
			best, bestAt = m, at
		}
	}
	return best
}

// fitsAt estimates when s will fit, or reports false if it never does.
func (m *minion) fitsAt(now time.Time, resources rrtask.Resources) (time.Time, bool) {
	if !resources.Fits(m.Capacity) {
		return time.Time{}, false
	}
	// Every run counts as ending when the last one that has to end does.
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
