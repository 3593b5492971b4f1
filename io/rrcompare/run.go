package rrcompare

import (
	"context"
	"time"

	"rattanring/core/rrreference"
	"rattanring/core/rrworkload"
	"rattanring/io/rrload"
	"rattanring/io/rrstand"
)

// lateStarts is how long after the last answer a task that nobody waits for may
// still turn up at a minion and be counted.
const lateStarts = 500 * time.Millisecond

// Config sizes a comparison. Every field must be set.
type Config struct {
	Scenario Scenario
	Seed     uint64
	Length   time.Duration // in which jobs arrive
	Minions  int
	Slots    int // of each minion
	Entries  int
	Conns    int // of each minion
}

func (c Config) slots() int {
	return c.Minions * c.Slots
}

func (c Config) jobs() []rrworkload.Job {
	return c.Scenario.Jobs(c.Seed, c.slots(), c.Length)
}

// Result is what one strategy made of a scenario.
type Result struct {
	Strategy string
	Summary  rrload.Summary
	Cost     rrload.Cost   // of all entries
	Began    time.Time     // of the load
	Took     time.Duration // until the last answer
	Goodput  float64       // share of the slots' time that went into complete jobs
	Tally    rrstand.Tally // of all minions
	Audit    rrload.Audit
	Entries  int
}

// References replays the scenario through one central queue, once with the tasks
// of a job as listed and once with the longest first.
func References(c Config) []Result {
	return []Result{
		replay(c, "central", rrreference.AsListed),
		replay(c, "central, longest", rrreference.LongestFirst),
	}
}

func replay(c Config, name string, order rrreference.Order) Result {
	jobs := c.jobs()
	samples := rrload.Reference(jobs, rrreference.Simulate(jobs, c.slots(), order))
	return Result{Strategy: name, Summary: rrload.Summarize(samples, c.slots())}
}

// Run runs the scenario through one strategy with minions of its own.
func Run(ctx context.Context, c Config, s Strategy) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := rrstand.StartFleet("minion", c.Minions, c.Slots)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	env := &Env{Fleet: fleet, Slots: c.Slots, Entries: c.Entries, Seed: c.Seed}
	env.Place = rrstand.Place{Service: c.Scenario.Service, Zones: c.Scenario.Zones, Conns: c.Conns}
	d, err := s.Start(ctx, env)
	if err != nil {
		return Result{}, err
	}
	defer d.Stop()
	for _, dist := range c.Scenario.Disturb {
		go dist.apply(ctx, fleet)
	}
	r, samples, err := measure(ctx, c, d)
	if err != nil {
		return Result{}, err
	}
	time.Sleep(lateStarts)
	r.Strategy = s.Name
	r.Tally = fleet.Tally()
	runs := fleet.Runs()
	r.Audit = rrload.Check(samples, runs)
	r.Goodput = rrload.Goodput(samples, runs, c.slots(), r.Began, c.Scenario.window(c.Length))
	return r, ctx.Err()
}

// Submit runs the scenario's load through entries that run already. The minions
// are not asked, so that the result has no tally and no audit.
func Submit(ctx context.Context, c Config, addrs []string) (Result, error) {
	r, _, err := measure(ctx, c, dispatchTo(addrs))
	r.Strategy = ProductName
	r.Tally.Starts = int(r.Cost.Starts - r.Cost.Refused)
	return r, err
}

// measure submits all jobs and takes the cost before and after.
func measure(ctx context.Context, c Config, d *Dispatch) (Result, []rrload.Sample, error) {
	before, err := d.Cost(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	l := &rrload.Load{Entries: d.Entries, Service: c.Scenario.Service, Jobs: c.jobs()}
	began := time.Now()
	samples := l.Run(ctx)
	took := time.Since(began)
	after, err := d.Cost(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	sum := rrload.Summarize(samples, c.slots())
	return Result{Summary: sum, Cost: after.Minus(before), Began: began, Took: took, Entries: c.Entries}, samples, nil
}

// apply waits for the time of the disturbance and sets the faults.
func (d Disturbance) apply(ctx context.Context, fleet *rrstand.Fleet) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(d.At):
	}
	for n, s := range fleet.Servers {
		if d.Minions(n) {
			s.Minion.Set(d.Faults)
		}
	}
}
