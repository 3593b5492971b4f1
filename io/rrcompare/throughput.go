package rrcompare

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"rattanring/core/rrworkload"
	"rattanring/io/rrload"
	"rattanring/io/rrstand"
)

// Flood keeps a number of jobs in flight at a single entry, in a closed loop.
type Flood struct {
	Minions int
	Slots   int           // of each minion
	Conns   int           // not read; Listing.Conns is the limit
	Jobs    int           // in flight
	Tasks   int           // of each job
	RunTime time.Duration // of each task
	Length  time.Duration
	Listing rrstand.Listing
}

// FloodResult is the throughput that a flood reached.
type FloodResult struct {
	StartsPerSecond float64 // started tasks a second
	CPUCores        float64 // CPU cores that the entry used
	Jobs            []rrload.CodeCount
	Tally           rrstand.Tally
	Audit           rrload.Audit
}

// Throughput starts one entry by the strategy and floods it.
func Throughput(ctx context.Context, f Flood, s Strategy) (FloodResult, error) {
	fleet, err := rrstand.StartFleet("minion", f.Minions, f.Slots)
	if err != nil {
		return FloodResult{}, err
	}
	defer fleet.Close()
	env := &Environment{Fleet: fleet, Listing: f.Listing, Slots: f.Slots, Entries: 1}
	d, err := s.Start(ctx, env)
	if err != nil {
		return FloodResult{}, err
	}
	defer d.Stop()
	before, err := d.Cost(ctx)
	if err != nil {
		return FloodResult{}, err
	}
	started := time.Now()
	samples := f.submit(ctx, d.Entries[0])
	elapsedSeconds := time.Since(started).Seconds()
	after, err := d.Cost(ctx)
	if err != nil {
		return FloodResult{}, err
	}
	tally := fleet.Tally()
	return FloodResult{
		StartsPerSecond: float64(tally.Starts) / elapsedSeconds,
		CPUCores:        after.Minus(before).CPUSeconds / elapsedSeconds,
		Jobs:            rrload.CountCodes(samples),
		Tally:           tally,
		Audit:           rrload.Check(samples, fleet.Runs()),
	}, nil
}

// submit submits jobs until Length has passed and returns the samples of all jobs.
func (f Flood) submit(ctx context.Context, to rrload.Submitter) []rrload.Sample {
	end := time.Now().Add(f.Length)
	lists := make([][]rrload.Sample, f.Jobs)
	var wg sync.WaitGroup
	for i := range lists {
		wg.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				lists[i] = append(lists[i], f.submitOne(ctx, to))
			}
		})
	}
	wg.Wait()
	var all []rrload.Sample
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}

// submitOne submits one job and waits for its answer.
func (f Flood) submitOne(ctx context.Context, to rrload.Submitter) rrload.Sample {
	job := &rrworkload.Job{Tenant: "north", Class: "flood", Timeout: longTimeout, Tasks: make([]rrworkload.Task, f.Tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = rrworkload.Task{RunTime: f.RunTime, DeclaredRunTime: f.RunTime}
	}
	l := &rrload.Load{Entries: []rrload.Submitter{to}, Service: f.Listing.Service, Jobs: []rrworkload.Job{*job}}
	return l.Run(ctx)[0]
}

// Print writes the result as text.
func (r FloodResult) Print(w io.Writer) {
	fmt.Fprintf(w, "%.0f starts/s, %.2f cores of the entry, %d starts, most starts of a task %d\n",
		r.StartsPerSecond, r.CPUCores, r.Tally.Starts, r.Tally.Most)
	for _, o := range r.Jobs {
		fmt.Fprintf(w, "%s %d\n", codeName(o), o.Jobs)
	}
	if !r.Audit.OK() {
		fmt.Fprintf(w, "WRONG: %+v\n", r.Audit)
	}
}
