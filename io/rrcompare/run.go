package rrcompare

import (
	"context"
	"time"

	"rattanring/core/rrreference"
	"rattanring/core/rrworkload"
	"rattanring/io/rrload"
	"rattanring/io/rrstand"
)

// lateStartWait is the time between the last answer and the count of starts. A task
// that no caller waits for any more may still start in it.
const lateStartWait = 500 * time.Millisecond

// Config configures a comparison. Every field must be set.
type Config struct {
	Scenario Scenario
	Seed     uint64
	Length   time.Duration // time in which jobs arrive
	Minions  int
	Slots    int // of each minion
	Entries  int
	Conns    int // maximum number of concurrent connections to each minion
}

func (c Config) totalSlots() int {
	return c.Minions * c.Slots
}

func (c Config) jobs() []rrworkload.Job {
	return c.Scenario.Jobs(c.Seed, c.totalSlots(), c.Length)
}

// Result is the measurement of one strategy in a scenario.
type Result struct {
	Strategy  string
	Summary   rrload.Summary
	Cost      rrload.Cost   // of all entries
	StartedAt time.Time     // of the load
	Duration  time.Duration // until the last answer
	Goodput   float64       // fraction of the slots' time in the scenario's window that went into complete jobs
	Tally     rrstand.Tally // of all minions
	Audit     rrload.Audit
	Entries   int
}

// References simulates the scenario with one central queue, once with the tasks of a
// job in their listed order and once with the longest task first.
func References(c Config) []Result {
	return []Result{
		simulate(c, "central", rrreference.AsListed),
		simulate(c, "central, longest", rrreference.LongestFirst),
	}
}

func simulate(c Config, name string, order rrreference.Order) Result {
	jobs := c.jobs()
	samples := rrload.ReferenceSamples(jobs, rrreference.Simulate(jobs, c.totalSlots(), order))
	return Result{Strategy: name, Summary: rrload.Summarize(samples, c.totalSlots())}
}

// Run runs the scenario with one strategy and new minions.
func Run(ctx context.Context, c Config, s Strategy) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := rrstand.StartFleet("minion", c.Minions, c.Slots)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	env := &Environment{Fleet: fleet, Slots: c.Slots, Entries: c.Entries, Seed: c.Seed}
	env.Listing = rrstand.Listing{Service: c.Scenario.Service, Zones: c.Scenario.Zones, Conns: c.Conns}
	d, err := s.Start(ctx, env)
	if err != nil {
		return Result{}, err
	}
	defer d.Stop()
	for _, dist := range c.Scenario.Disturbances {
		go dist.apply(ctx, fleet)
	}
	r, samples, err := measure(ctx, c, d)
	if err != nil {
		return Result{}, err
	}
	time.Sleep(lateStartWait)
	r.Strategy = s.Name
	r.Tally = fleet.Tally()
	runs := fleet.Runs()
	r.Audit = rrload.Check(samples, runs)
	r.Goodput = rrload.Goodput(samples, runs, c.totalSlots(), r.StartedAt, c.Scenario.window(c.Length))
	return r, ctx.Err()
}

// Submit submits the scenario's jobs to entries that already run. It has no access to
// the minions, so the result has no audit and no goodput, and its tally has only the
// starts, which are computed from the entries' metrics.
func Submit(ctx context.Context, c Config, addrs []string) (Result, error) {
	r, _, err := measure(ctx, c, connect(addrs))
	r.Strategy = ProductName
	r.Tally.Starts = int(r.Cost.Dispatches - r.Cost.Refused)
	return r, err
}

// measure submits all jobs and reads the cost before and after them.
func measure(ctx context.Context, c Config, d *Deployment) (Result, []rrload.Sample, error) {
	before, err := d.Cost(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	l := &rrload.Load{Entries: d.Entries, Service: c.Scenario.Service, Jobs: c.jobs()}
	started := time.Now()
	samples := l.Run(ctx)
	elapsed := time.Since(started)
	after, err := d.Cost(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	sum := rrload.Summarize(samples, c.totalSlots())
	return Result{Summary: sum, Cost: after.Minus(before), StartedAt: started, Duration: elapsed, Entries: c.Entries}, samples, nil
}

// apply sets the faults at the time of the disturbance.
func (d Disturbance) apply(ctx context.Context, fleet *rrstand.Fleet) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(d.At):
	}
	for n, s := range fleet.Servers {
		if d.Affects(n) {
			s.Minion.SetFaults(d.Faults)
		}
	}
}
