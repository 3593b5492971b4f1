package rrscheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rattanring/core/rrestimator"
	"rattanring/core/rrwarmup"
)

// coldState is what the scheduler knows about a minion's slowness after its start. The zero value is a
// warm minion.
type coldState struct {
	log2        float64           // expected slowdown of a start, in log2 units; zero unless active
	active      bool              // cold at the last tick or registration
	remaining   time.Duration     // cold time left at the last tick or registration
	service     *rrwarmup.Service // of the minion; nil if it was never cold
	until       time.Time         // slow until then; kept when it has passed, for the runs that started before
	nextStartAt time.Time         // earliest next start, by the configured rate
}

// remainingAt returns the remaining cold time at t, zero if the minion was warm.
func (c *coldState) remainingAt(t time.Time) time.Duration {
	if c.until.IsZero() {
		return 0
	}
	return max(c.until.Sub(t), 0)
}

// warmupOf returns the model of a service's cold minions. Services beyond the maximum share one.
func (s *Scheduler) warmupOf(service string) *rrwarmup.Service {
	if s.warmups[service] == nil && len(s.warmups) >= rrestimator.MaxClasses {
		service = ""
	}
	w := s.warmups[service]
	if w == nil {
		w = &rrwarmup.Service{}
		w.Configure(s.warmupSettings[service])
		if s.warmups == nil {
			s.warmups = make(map[string]*rrwarmup.Service)
		}
		s.warmups[service] = w
	}
	return w
}

// configureWarmup sets the configured properties of cold minions by service.
func (s *Scheduler) configureWarmup(settings map[string]rrwarmup.Settings) {
	if maps.Equal(s.warmupSettings, settings) {
		return
	}
	for _, m := range s.sortedMinions {
		m.cold.nextStartAt = time.Time{} // a delay by the previous rate may be as long as the cold time
	}
	s.warmupSettings = settings
	for service, w := range s.warmups {
		w.Configure(settings[service])
	}
}

// registerCold records until when a minion is cold by its newest registration.
func (s *Scheduler) registerCold(now time.Time, m *minion) {
	switch {
	case m.ColdUntil.After(now):
		m.cold.until = m.ColdUntil
		m.cold.service = s.warmupOf(m.Service)
		m.cold.service.ObserveRemaining(m.ColdUntil.Sub(now))
	case m.cold.until.After(now):
		m.cold.until = now
	}
	s.refreshCold(now, m)
}

// coldUntilAfterStart returns until when a minion is cold that has just answered as a new incarnation and
// has not registered it yet. It returns the zero time if nothing is known about cold minions of the service.
func (s *Scheduler) coldUntilAfterStart(now time.Time, service string) time.Time {
	w := s.warmups[service]
	if w == nil {
		if s.warmupSettings[service].ColdTime == 0 {
			return time.Time{}
		}
		w = s.warmupOf(service)
	}
	if w.ColdTime() == 0 {
		return time.Time{}
	}
	return now.Add(w.ColdTime())
}

// refreshCold updates what a minion may get by its remaining cold time.
func (s *Scheduler) refreshCold(now time.Time, m *minion) {
	if !m.cold.active && !m.cold.until.After(now) {
		return
	}
	c := &m.cold
	c.remaining = c.remainingAt(now)
	c.active = c.remaining > 0
	c.log2 = math.Log2(c.service.SlowdownAt(c.remaining))
	if !c.active {
		s.needsPass = true
	}
}

// mayStart reports whether the configured rate allows a start on a cold minion now.
func (c *coldState) mayStart(now time.Time) bool { return !now.Before(c.nextStartAt) }

// startsNow returns how many starts the configured rate allows on a cold minion now.
func (c *coldState) startsNow(now time.Time) int {
	gap := c.service.StartGap()
	switch {
	case gap == 0:
		return math.MaxInt
	case !c.mayStart(now):
		return 0
	case gap >= TickInterval:
		return 1
	}
	return 1 + int(now.Sub(later(c.nextStartAt, now.Add(-TickInterval)))/gap)
}

// noteStart delays the next start on a cold minion by the configured rate. Since queued tasks may be placed
// only once per tick, the starts of one tick at a higher rate may follow each other at once.
func (c *coldState) noteStart(now time.Time) {
	gap := c.service.StartGap()
	switch {
	case gap >= TickInterval:
		c.nextStartAt = now.Add(gap)
	case gap > 0:
		c.nextStartAt = later(c.nextStartAt, now.Add(-TickInterval)).Add(gap)
	}
}

// effectiveCapacity returns the cores that a minion has for work, as those of a warm minion.
func (s *Scheduler) effectiveCapacity(m *minion) uint32 {
	if !m.cold.active {
		return m.Capacity.MilliCores
	}
	total, _ := s.coldMillicores(m)
	return total
}

// coldMillicores returns the cores that a cold minion has for work, and the free ones of them. They are those
// of a warm minion that completes as much.
func (s *Scheduler) coldMillicores(m *minion) (total, free uint32) {
	slowdown := math.Exp2(m.cold.log2)
	cores := float64(m.Capacity.MilliCores)
	if gap := m.cold.service.StartGap(); gap > 0 && s.meanTaskMillicores > 0 {
		inUse := slowdown * float64(s.meanRunTime()) / float64(gap) // mean number of runs at the highest rate
		cores = min(cores, inUse*s.meanTaskMillicores)
	}
	left := max(cores-float64(m.used.MilliCores), 0)
	return uint32(cores / slowdown), uint32(left / slowdown)
}

// meanRunTime returns the mean run time of all tasks.
func (s *Scheduler) meanRunTime() time.Duration { return s.runTimes.Estimate("", "", 0) }

// coldSlots returns how many tasks of a phase fit on a cold minion now, and whether they should rather
// wait for a warm one.
func (s *Scheduler) coldSlots(now time.Time, j *job, t *task, m *minion) (n int, tooSlow bool) {
	n = min(m.freeSlots(j.Phases[t.id.Phase].Resources), m.cold.startsNow(now))
	return n, n > 0 && s.missesObjective(now, j, t, m)
}

// missesObjective reports whether a job meets its objective on a healthy minion but not on this one.
func (s *Scheduler) missesObjective(now time.Time, j *job, t *task, m *minion) bool {
	return now.Add(s.runTimeOn(j, t, m)).After(j.objectiveAt) && !now.Add(s.estimateRunTime(j, t.id.Phase)).After(j.objectiveAt)
}

// shouldWaitForWarm reports whether a task should wait instead of running on a cold minion: it would miss
// its objective there, and the shard has warm minions that suit it, or the answer would have no value.
func (s *Scheduler) shouldWaitForWarm(now time.Time, j *job, t *task, m *minion, hasWarm bool) bool {
	if now.Add(s.runTimeOn(j, t, m)).After(j.valueEndsAt) && !now.Add(s.estimateRunTime(j, t.id.Phase)).After(j.valueEndsAt) {
		return true
	}
	return hasWarm && s.missesObjective(now, j, t, m)
}

// hasWarmMinion reports whether the shard has a warm minion that suits a task and may receive it.
func (s *Scheduler) hasWarmMinion(now time.Time, j *job, t *task) bool {
	return slices.ContainsFunc(s.sortedMinions, func(o *minion) bool {
		return o.takes(now, j) && !o.cold.active && s.meetsConstraints(j, t, o) && j.Phases[t.id.Phase].Resources.Fits(o.Capacity)
	})
}

// coldDelay returns how much longer a task of the mean run time takes on the fastest cold minion than on a
// warm one, or zero if no usable minion is cold.
func (s *Scheduler) coldDelay() time.Duration {
	least := math.Inf(1)
	for _, m := range s.sortedMinions {
		if m.open() && m.cold.active && m.cold.mayStart(s.lastStepAt) && float64(m.used.MilliCores)+s.meanTaskMillicores <= float64(m.Capacity.MilliCores) {
			least = min(least, m.cold.log2)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return extraRunTime(s.meanRunTime(), least)
}

// extraRunTime returns by how much a slowdown, in log2 units, lengthens a run.
func extraRunTime(d time.Duration, log2 float64) time.Duration {
	return time.Duration(float64(d) * (math.Exp2(log2) - 1))
}

// shorterWait returns the shorter of the time until runs have ended and the delay of running on a cold
// minion at once; a delay of zero stands for no cold minion, and a wait of zero for no runs.
func shorterWait(wait, coldDelay time.Duration) time.Duration {
	if coldDelay > 0 && (wait == 0 || coldDelay < wait) {
		return coldDelay
	}
	return wait
}

// coldAtStart returns the remaining cold time of the run's minion when the run started, zero if it was warm.
func (r *run) coldAtStart() time.Duration { return r.minion.cold.remainingAt(r.startSentAt) }

// learnColdRun updates the model of cold minions from a run's time, once for each run. Runs of a previous
// owner have an unknown start.
func (s *Scheduler) learnColdRun(r *run, ran time.Duration) {
	if r.coldObserved || r.adopted {
		return
	}
	r.coldObserved = true
	expected := time.Duration(float64(s.estimateRunTime(r.job, r.Task.Phase)) * math.Exp2(warmSlowdownLog2(&r.job.Phases[r.Task.Phase], r.minion)))
	r.minion.cold.service.ObserveRun(r.coldAtStart(), expected, ran)
}

// logWarmups requests a log line for each service whose learned slowdown has changed much.
func (s *Scheduler) logWarmups(now time.Time) {
	if len(s.warmups) == 0 {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.warmups)) {
		if before, after, ok := s.warmups[service].ShouldLog(now); ok {
			s.emit(&LogDecision{Message: "cold slowdown changed", Detail: fmt.Sprintf("service=%s from=%.2f to=%.2f", service, before, after)})
		}
	}
}

// ColdMinions is the state of cold minions. The zero value has none.
type ColdMinions struct {
	Count     int                // minions that are cold now
	Slowdowns map[string]float64 // learned, of just started minions, by service; services without cold minions so far are missing
}

// ColdMinions returns the state of cold minions at the last step.
func (s *Scheduler) ColdMinions() ColdMinions {
	if len(s.warmups) == 0 {
		return ColdMinions{}
	}
	out := ColdMinions{Slowdowns: make(map[string]float64, len(s.warmups))}
	for service, w := range s.warmups {
		out.Slowdowns[service] = w.Slowdown()
	}
	for _, m := range s.sortedMinions {
		if m.cold.active {
			out.Count++
		}
	}
	return out
}
