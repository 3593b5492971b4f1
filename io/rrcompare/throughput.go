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
	Conns   int           // of each minion
	Jobs    int           // in flight
	Tasks   int           // of each job
	Run     time.Duration // of each task
	Length  time.Duration
	Place   rrstand.Place
}

// Rate is what a flood got through.
type Rate struct {
	Starts float64 // tasks a second
	CPU    float64 // cores that the entry used
	Jobs   []rrload.Outcomes
	Tally  rrstand.Tally
	Audit  rrload.Audit
}

// Throughput floods one entry that is started by the strategy.
func Throughput(ctx context.Context, f Flood, s Strategy) (Rate, error) {
	fleet, err := rrstand.StartFleet("minion", f.Minions, f.Slots)
	if err != nil {
		return Rate{}, err
	}
	defer fleet.Close()
	env := &Env{Fleet: fleet, Place: f.Place, Slots: f.Slots, Entries: 1}
	d, err := s.Start(ctx, env)
	if err != nil {
		return Rate{}, err
	}
	defer d.Stop()
	before, err := d.Cost(ctx)
	if err != nil {
		return Rate{}, err
	}
	began := time.Now()
	samples := f.submit(ctx, d.Entries[0])
	took := time.Since(began).Seconds()
	after, err := d.Cost(ctx)
	if err != nil {
		return Rate{}, err
	}
	tally := fleet.Tally()
	return Rate{
		Starts: float64(tally.Starts) / took,
		CPU:    after.Minus(before).CPU / took,
		Jobs:   rrload.CountCodes(samples),
		Tally:  tally,
		Audit:  rrload.Check(samples, fleet.Runs()),
	}, nil
}

// submit returns the samples of all jobs.
func (f Flood) submit(ctx context.Context, to rrload.Submitter) []rrload.Sample {
	end := time.Now().Add(f.Length)
	lists := make([][]rrload.Sample, f.Jobs)
	var wg sync.WaitGroup
	for i := range lists {
		wg.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				lists[i] = append(lists[i], f.one(ctx, to))
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

// one submits one job and waits for its answer.
func (f Flood) one(ctx context.Context, to rrload.Submitter) rrload.Sample {
	job := &rrworkload.Job{Tenant: "north", Class: "flood", Timeout: longPatience, Tasks: make([]rrworkload.Task, f.Tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = rrworkload.Task{Run: f.Run, DeclaredRunTime: f.Run}
	}
	l := &rrload.Load{Entries: []rrload.Submitter{to}, Service: f.Place.Service, Jobs: []rrworkload.Job{*job}}
	return l.Run(ctx)[0]
}

// Print writes the rate for readers.
func (r Rate) Print(w io.Writer) {
	fmt.Fprintf(w, "%.0f starts/s, %.2f cores of the entry, %d starts, most starts of a task %d\n",
		r.Starts, r.CPU, r.Tally.Starts, r.Tally.Most)
	for _, o := range r.Jobs {
		fmt.Fprintf(w, "%s %d\n", codeName(o), o.Jobs)
	}
	if !r.Audit.OK() {
		fmt.Fprintf(w, "WRONG: %+v\n", r.Audit)
	}
}
