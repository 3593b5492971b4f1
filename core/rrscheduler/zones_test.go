package rrscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// zones are several load runs, each with its own scheduler, that exchange their loads and forward
// jobs to each other.
type zones struct {
	loadRuns []*loadRun
	now      time.Time
}

const (
	zoneStep           = 2 * time.Millisecond   // the load runs advance in turn by this time
	loadReportInterval = 200 * time.Millisecond // between two load reports, as from hosts under high load
)

func newZones(t *testing.T, seed uint64, zoneCount, minions int) *zones {
	z := &zones{}
	for i := range zoneCount {
		l := newLoadRunWithSeed(t, seed+uint64(100*i), minions)
		l.traffic = rand.New(rand.NewPCG(seed, uint64(i))) // separate source, so that the traffic does not depend on decisions
		l.onForward, l.idSuffix = z.forward, shardName(i)
		z.loadRuns = append(z.loadRuns, l)
	}
	z.now = z.loadRuns[0].now
	return z
}

func shardName(i int) string { return fmt.Sprint("zone-", i) }

// forward submits a job to the shard that it was forwarded to.
func (z *zones) forward(j *fakeJob, shard string) {
	for i, l := range z.loadRuns {
		if shardName(i) != shard {
			continue
		}
		l.forwardedIn[j.job.ID] = true
		l.jobs[j.job.ID] = j
		job := j.job
		job.NoForward = true
		l.after(time.Millisecond, func() { l.submit(job, j.runTime) })
	}
}

// generate submits jobs for d. Each zone has its own factor on the usual rates.
func (z *zones) generate(d time.Duration, factors ...float64) {
	end := z.now.Add(d)
	next := make([][]time.Time, len(z.loadRuns))
	for i, l := range z.loadRuns {
		for k := range jobMix {
			next[i] = append(next[i], z.now.Add(l.nextGap(&jobMix[k], factors[i])))
		}
	}
	z.runUntil(end, func(i int) {
		l := z.loadRuns[i]
		for k := range jobMix {
			for next[i][k].Before(l.now) {
				l.submitJob(&jobMix[k], nil)
				next[i][k] = next[i][k].Add(l.nextGap(&jobMix[k], factors[i]))
			}
		}
	})
}

// runUntil advances the virtual time of all zones in turn, and calls each after each zone's step.
func (z *zones) runUntil(end time.Time, each func(i int)) {
	for z.now.Before(end) {
		if z.now.UnixNano()/int64(zoneStep)%int64(loadReportInterval/zoneStep) == 0 {
			z.exchangeLoads()
		}
		z.now = z.now.Add(zoneStep)
		for i, l := range z.loadRuns {
			l.advance(z.now.Sub(l.now))
			each(i)
		}
	}
}

// exchangeLoads reports to each scheduler the loads and profiles of the others.
func (z *zones) exchangeLoads() {
	for i, l := range z.loadRuns {
		others := make(map[string]Load)
		profiles := make(map[string][]MinionProfile)
		for k, o := range z.loadRuns {
			if k == i {
				continue
			}
			others[shardName(k)] = o.scheduler.Load()
			for p := range o.scheduler.ownProfiles {
				profiles[shardName(k)] = append(profiles[shardName(k)], p)
			}
		}
		l.step(&ShardProfilesReported{ByShard: profiles})
		l.step(&ShardLoadsReported{ByShard: others})
	}
}

// result waits for the remaining jobs and counts the outcomes in all zones.
func (z *zones) result() map[string]*outcomeCounts {
	z.runUntil(z.now.Add(8*time.Second), func(int) {})
	sum := make(map[string]*outcomeCounts)
	for _, l := range z.loadRuns {
		for name, c := range l.result() {
			if sum[name] == nil {
				sum[name] = &outcomeCounts{}
			}
			sum[name].add(c)
		}
	}
	return sum
}

func (c *outcomeCounts) add(o *outcomeCounts) {
	c.submitted += o.submitted
	c.inTime += o.inTime
	c.late += o.late
	c.refused += o.refused
	c.failed += o.failed
	c.refusedLate += o.refusedLate
	c.abandonedAtDeadline += o.abandonedAtDeadline
}

// runZones runs the traffic of three zones with several seeds and counts the outcomes.
func runZones(t *testing.T, generate func(z *zones)) outcomeCounts {
	t.Helper()
	var sum outcomeCounts
	for seed := range uint64(6) {
		z := newZones(t, 50+seed, 3, 16)
		generate(z)
		for _, x := range z.result() {
			sum.add(x)
		}
	}
	t.Logf("%+v value share %.4f", sum, sum.valueShare())
	return sum
}

// Jobs use the free capacity of other zones, both in a burst in one zone while the others have low
// load, and when bursts alternate between the zones near their total capacity.
func TestLoadUsesCapacityOfOtherZones(t *testing.T) {
	for _, tc := range []struct {
		name            string
		minValueShare   float64
		maxRefusedShare float64 // fraction of the jobs
		generate        func(z *zones)
	}{
		{"burst in one zone", 0.98, 0.01, func(z *zones) {
			z.generate(4*time.Second, 0.8, 0.8, 0.8)
			z.generate(6*time.Second, 2.4, 0.7, 0.7)
			z.generate(4*time.Second, 0.8, 0.8, 0.8)
		}},
		{"bursts in turn", 0.97, 0.015, func(z *zones) {
			for i := range 9 {
				factors := []float64{0.8, 0.8, 0.8}
				factors[i%3] = 2.2
				z.generate(1500*time.Millisecond, factors...)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := runZones(t, tc.generate)
			if c := got.valueShare(); c < tc.minValueShare {
				t.Errorf("value share: got %.4f, want at least %.4f", c, tc.minValueShare)
			}
			if r := float64(got.refused) / float64(got.submitted); r > tc.maxRefusedShare {
				t.Errorf("refused: got %.4f of the jobs, want at most %.4f", r, tc.maxRefusedShare)
			}
		})
	}
}
