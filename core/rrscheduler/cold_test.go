package rrscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rattanring/core/rrwarmup"
)

const testColdTime = 8 * time.Second

// restartCold ends the incarnations of all minions of a load run for a while and starts the next ones cold.
func (l *loadRun) restartCold(down time.Duration, slowdown float64, hidden bool) {
	for _, id := range l.minionIDs() {
		m := l.minions[id]
		m.coldTime, m.coldSlowdown, m.hidesCold = testColdTime, slowdown, hidden
		m.crash()
		l.after(down, m.restart)
	}
}

// A zone comes back cold while all zones have 80% of the usual load. Jobs that would miss their objective on
// its minions must go to the warm minions of the other zones, and the others must not wait for them.
func TestColdZoneUnderLoad(t *testing.T) {
	run := func(hidden bool) (byZone [3]float64, all outcomeCounts) {
		const seeds = 4
		for seed := range uint64(seeds) {
			z := newZones(t, 70+seed, 3, 16)
			z.generate(2*time.Second, 0.8, 0.8, 0.8)
			z.loadRuns[0].restartCold(time.Second, 8, hidden)
			z.generate(8*time.Second, 0.8, 0.8, 0.8)
			z.runUntil(z.now.Add(8*time.Second), func(int) {})
			for i, l := range z.loadRuns {
				var sum outcomeCounts
				for id, j := range l.jobs {
					if !l.forwardedIn[id] {
						sum.submitted++
						sum.count(j, l.objectives[id])
					}
				}
				byZone[i] += sum.valueShare() / seeds
				all.add(&sum)
			}
		}
		t.Logf("cold time hidden %v: value share by zone %.3f, of all %.3f, %+v", hidden, byZone, all.valueShare(), all)
		return byZone, all
	}
	_, before := run(true)
	zones, after := run(false)
	if got, want := after.valueShare(), before.valueShare(); got <= want {
		t.Errorf("value share: got %.3f with cold times and %.3f without, want more with them", got, want)
	}
	for i, got := range zones {
		if got < 0.85 {
			t.Errorf("zone %d: got value share %.3f, want at least 0.85", i, got)
		}
	}
}

// One minion starts again cold, under low load. Jobs must not wait for it or be stopped there.
func TestOneColdMinion(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(2*time.Second, 0.72, nil)
	m := l.minions["m05"]
	m.coldTime, m.coldSlowdown = testColdTime, 8
	m.crash()
	m.restart()
	stops := l.scheduler.Stats.Stops
	l.generate(10*time.Second, 0.72, nil)
	checkValueShare(t, l.result(), 0.94, 0.88)
	t.Logf("learned %v, %d stops", l.scheduler.ColdMinions().Slowdowns, l.scheduler.Stats.Stops-stops)
}

// Cold minions that aren't slow must be used like warm ones: a shard that starts cold serves a burst as a warm
// shard does.
func TestColdMinionsThatAreNotSlow(t *testing.T) {
	run := func(hidden bool) (sum outcomeCounts) {
		for seed := range uint64(6) {
			l := newLoadRunWithSeed(t, seed, 16)
			l.traffic = rand.New(rand.NewPCG(seed, 2)) // separate source, so that the traffic does not depend on decisions
			l.restartCold(0, 1, hidden)
			for range 70 {
				l.generate(100*time.Millisecond, 1, nil)
			}
			for _, c := range l.result() {
				sum.add(c)
			}
		}
		t.Logf("cold time hidden %v: value share %.3f, %+v", hidden, sum.valueShare(), sum)
		return sum
	}
	warm, cold := run(true), run(false)
	if got, want := cold.valueShare(), warm.valueShare()-0.02; got < want {
		t.Errorf("value share of cold minions that aren't slow: got %.3f, want at least %.3f", got, want)
	}
}

// Minions that fail all runs or stall must be found among cold ones, whose slowness is no fault, and the cold
// ones must not be taken for them.
func TestFaultyAmongColdMinions(t *testing.T) {
	l := newLoadRun(t, 16)
	l.restartCold(0, 4, false)
	l.generate(time.Second, 0.3, nil)
	failing, stalling := l.scheduler.minions["m03"], l.scheduler.minions["m07"]
	l.minions["m03"].failsAll, l.minions["m07"].stalls = true, true
	cooldowns := map[*minion]time.Duration{}
	for range 40 {
		l.generate(100*time.Millisecond, 0.3, nil)
		for _, m := range l.scheduler.sortedMinions {
			cooldowns[m] = max(cooldowns[m], m.cooldown)
		}
	}
	if cooldowns[failing] < time.Second || cooldowns[stalling] == 0 {
		t.Errorf("cooldowns: got %v of the failing minion, %v of the stalling one, want at least 1s and some", cooldowns[failing], cooldowns[stalling])
	}
	for m, d := range cooldowns {
		if m != failing && m != stalling && (d != 0 || m.slowdown.Log2() != 0) {
			t.Errorf("%s: got cooldown %v and slowdown %.2f, want none for a minion that is only cold", m.ID, d, m.slowdown.Log2())
		}
	}
}

// Without a configured rate, tasks must not wait while a cold minion has free cores, however slow it is.
func TestAllCoresOfColdMinion(t *testing.T) {
	w := newWorld(t, 1, 1)
	m := w.minions["m00"]
	m.coldTime, m.coldSlowdown = testColdTime, 8
	m.crash()
	m.restart()
	w.advance(syncTime)
	for range 64 {
		w.scheduler.warmups["s"].ObserveRun(testColdTime, 100*time.Millisecond, 800*time.Millisecond)
	}
	w.advance(syncTime)
	job := w.newJob("a", int(m.info.Capacity.MilliCores/1000), 400*time.Millisecond)
	job.Phases[0].Resources.MilliCores = 1000
	job.TargetLatency, job.Deadline = time.Minute, w.now.Add(time.Minute)
	w.submit(job, 400*time.Millisecond)
	w.advance(100 * time.Millisecond)
	if got, want := m.used.MilliCores, m.info.Capacity.MilliCores; got != want || w.scheduler.minions["m00"].cold.log2 < 2 {
		t.Errorf("got %d of %d thousandths of cores in use at a slowdown of 2^%.1f, want all at 2^2 or more", got, want, w.scheduler.minions["m00"].cold.log2)
	}
}

// A cold minion must get no more starts per second than the configuration allows.
func TestColdStartRate(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(syncTime)
	w.step(&WarmupConfigured{ByService: map[string]rrwarmup.Settings{"s": {ColdTime: testColdTime, StartsPerSecond: 5}}})
	m := w.minions["m00"]
	m.coldTime = testColdTime
	m.crash()
	m.restart()
	w.advance(100 * time.Millisecond)
	for i := range 30 {
		job := w.newJob(fmt.Sprint("j", i), 1, 20*time.Millisecond)
		job.TargetLatency, job.Deadline = time.Minute, w.now.Add(time.Minute)
		w.submit(job, 20*time.Millisecond)
	}
	for second := range 3 {
		before := w.starts
		w.advance(time.Second)
		if got := w.starts - before; got < 4 || got > 5 {
			t.Errorf("second %d: got %d starts, want 4 or 5", second, got)
		}
	}
}

// A rate above one start per tick must not limit a cold minion to one start per tick.
func TestHighColdStartRate(t *testing.T) {
	for rate, want := range map[float64][2]int{50: {5, 6}, 200: {18, 25}, 1000: {64, 64}, 1e6: {64, 64}} {
		w := newWorld(t, 1, 1)
		w.step(&WarmupConfigured{ByService: map[string]rrwarmup.Settings{"s": {ColdTime: testColdTime, StartsPerSecond: rate}}})
		m := w.minions["m00"]
		m.coldTime = testColdTime
		m.crash()
		m.restart()
		w.advance(syncTime)
		job := w.newJob("a", 64, 400*time.Millisecond)
		job.Phases[0].Resources.MilliCores = 1000
		job.TargetLatency, job.Deadline = time.Minute, w.now.Add(time.Minute)
		w.submit(job, 400*time.Millisecond)
		w.advance(100 * time.Millisecond)
		if w.starts < want[0] || w.starts > want[1] {
			t.Errorf("%v starts per second: got %d in 100 ms, want %d to %d", rate, w.starts, want[0], want[1])
		}
	}
}

// A rate that is far too low must have no effect after its correction; the same settings again must not
// allow another start.
func TestCorrectedColdStartRate(t *testing.T) {
	w := newWorld(t, 1, 1)
	low := map[string]rrwarmup.Settings{"s": {ColdTime: time.Minute, StartsPerSecond: 0.01}}
	w.step(&WarmupConfigured{ByService: low})
	m := w.minions["m00"]
	m.coldTime = time.Minute
	m.crash()
	m.restart()
	w.advance(syncTime)
	for i := range 5 {
		job := w.newJob(fmt.Sprint("j", i), 1, 20*time.Millisecond)
		job.TargetLatency, job.Deadline = time.Minute, w.now.Add(time.Minute)
		w.submit(job, 20*time.Millisecond)
	}
	w.advance(time.Second)
	w.step(&WarmupConfigured{ByService: map[string]rrwarmup.Settings{"s": low["s"]}})
	w.advance(time.Second)
	if w.starts != 1 {
		t.Errorf("before the correction: got %d starts, want 1", w.starts)
	}
	w.step(&WarmupConfigured{ByService: map[string]rrwarmup.Settings{"s": {ColdTime: time.Minute, StartsPerSecond: 5}}})
	w.advance(time.Second)
	if w.starts != 5 {
		t.Errorf("after the correction: got %d starts, want all 5", w.starts)
	}
}

// A run that takes four times as long on a cold minion, whose slowdown is not known yet, must not be
// stopped as a straggler when another run of its phase has ended on a warm minion.
func TestColdRunIsNoStraggler(t *testing.T) {
	w := newWorld(t, 1, 2)
	m := w.minions["m01"]
	m.coldTime, m.coldSlowdown = testColdTime, 4
	m.crash()
	m.restart()
	w.advance(syncTime)
	job := w.newJob("a", 2, 400*time.Millisecond)
	job.Phases[0].Resources.MilliCores = m.info.Capacity.MilliCores
	job.TargetLatency, job.Deadline = time.Minute, w.now.Add(time.Minute)
	w.submit(job, 400*time.Millisecond)
	w.advance(3 * time.Second)
	if got := w.jobs["a"].outcome(t); got.Kind != OutcomeCompleted || w.starts != 2 {
		t.Errorf("got %v after %d starts, want completed after 2", got, w.starts)
	}
}

// A straggler on a warm minion must not be stopped if a new run on the only minion that may get one, a cold
// one, would take longer.
func TestNoStragglerForSlowerColdMinion(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.minions["m00"].speed = 0.25
	m := w.minions["m01"]
	m.coldTime, m.coldSlowdown = testColdTime, 8
	m.crash()
	m.restart()
	w.advance(syncTime)
	for range 64 {
		w.scheduler.warmups["s"].ObserveRun(testColdTime, 100*time.Millisecond, 800*time.Millisecond)
	}
	w.advance(syncTime)
	job := w.newJob("a", 2, 400*time.Millisecond)
	job.Phases[0].Resources.MilliCores = m.info.Capacity.MilliCores
	job.TargetLatency, job.Deadline = time.Minute, w.now.Add(time.Minute)
	w.submit(job, 400*time.Millisecond)
	w.advance(100 * time.Millisecond)
	w.minions["m02"].info.Draining = true
	w.step(&MinionRegistered{Minion: w.minions["m02"].info})
	w.advance(3 * time.Second)
	if got := w.jobs["a"].outcome(t); got.Kind != OutcomeCompleted || w.starts != 2 {
		t.Errorf("got %v after %d starts, want completed after 2", got, w.starts)
	}
}

// A new owner must neither stop the slow runs that it adopts on cold minions nor learn from their unknown
// start.
func TestNewOwnerAdoptsColdRuns(t *testing.T) {
	w := newWorld(t, 1, 4)
	for _, m := range w.minions {
		m.coldTime, m.coldSlowdown = testColdTime, 3
		m.crash()
		m.restart()
	}
	w.advance(syncTime)
	job := w.newJob("a", 16, 400*time.Millisecond) // twice the runs after which a slowdown is assumed
	job.Phases[0].Resources.MilliCores = 4000
	w.submit(job, 400*time.Millisecond)
	w.advance(300 * time.Millisecond)
	w.takeOver(false)
	w.advance(4 * time.Second)
	j := w.jobs["a"]
	if got := j.outcome(t); got.Kind != OutcomeCompleted || j.starts != 16 {
		t.Errorf("got %v after %d starts, want completed after 16", got, j.starts)
	}
	if got := w.scheduler.warmups["s"]; got == nil || got.Slowdown() != 1 {
		t.Errorf("model of cold minions: got %+v, want one without observations", got)
	}
}

// A minion that has started again under its ID is cold before its registration says so, and until a
// registration says that it is warm.
func TestMinionStartsAgain(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	w.step(&WarmupConfigured{ByService: map[string]rrwarmup.Settings{"s": {ColdTime: testColdTime}}})
	m := w.minions["m00"]
	m.coldTime = testColdTime
	m.restartQuickly(10*time.Millisecond, time.Second)
	w.advance(700 * time.Millisecond)
	cold := &w.scheduler.minions["m00"].cold
	if got, want := cold.remaining, testColdTime-690*time.Millisecond; !cold.active || got > want+600*time.Millisecond || got < want {
		t.Errorf("before the registration: got %v left, want about %v", got, want)
	}
	w.advance(time.Second)
	cold = &w.scheduler.minions["m00"].cold
	if got, want := cold.until, m.coldUntil; !got.Equal(want) {
		t.Errorf("after the registration: got cold until %v, want %v", got, want)
	}
	info := m.info
	info.ColdUntil = time.Time{}
	w.step(&MinionRegistered{Minion: info})
	if cold.active || cold.log2 != 0 {
		t.Errorf("after a registration that says warm: got %+v, want a warm minion", cold)
	}
}
