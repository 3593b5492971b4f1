package rrcompare

import (
	"context"
	"time"

	"rattanring/core/rrmix"
	"rattanring/core/rrreference"
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

func (c Config) jobs() []rrmix.Job {
	return c.Scenario.Jobs(c.Seed, c.slots(), c.Length)
}

// Result is what one strategy made of a scenario.
type Result struct {
	Strategy string
	Summary  rrload.Summary
	Cost     rrload.Cost   // of all entries
	Took     time.Duration // until the last answer
	Tally    rrstand.Tally // of all minions
	Audit    rrload.Audit
	Entries  int
}

// Reference replays the scenario through one central queue.
func Reference(c Config) Result {
	jobs := c.jobs()
	samples := rrload.Reference(jobs, rrreference.Replay(jobs, c.slots()))
	sum := rrload.Summarize(samples, c.slots(), c.Scenario.window(c.Length))
	return Result{Strategy: "central queue", Summary: sum}
}

// Run runs the scenario through one strategy with minions of its own.
func Run(ctx context.Context, c Config, s Strategy) (Result, error) {
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
	before, err := d.Cost(ctx)
	if err != nil {
		return Result{}, err
	}
	r := Result{Strategy: s.Name, Entries: c.Entries}
	began := time.Now()
	samples := load(ctx, c, d, fleet)
	r.Took = time.Since(began)
	after, err := d.Cost(ctx)
	if err != nil {
		return Result{}, err
	}
	r.Cost = after.Minus(before)
	r.Summary = rrload.Summarize(samples, c.slots(), c.Scenario.window(c.Length))
	time.Sleep(lateStarts)
	r.Tally = fleet.Tally()
	r.Audit = rrload.Check(samples, fleet.Starts())
	return r, ctx.Err()
}

// load submits all jobs while the scenario disturbs the minions.
func load(ctx context.Context, c Config, d *Dispatch, fleet *rrstand.Fleet) []rrload.Sample {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, dist := range c.Scenario.Disturb {
		go dist.apply(ctx, fleet)
	}
	l := &rrload.Load{Entries: d.Entries, Service: c.Scenario.Service, Jobs: c.jobs()}
	return l.Run(ctx)
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
