// Package rrdemo demonstrates the product in one process: a platform stand-in, minions
// and entries on the loopback network.
package rrdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
	"rattanring/io/rrload"
	"rattanring/io/rrrender"
	"rattanring/io/rrstand"
)

// Demo configures a demonstration. Its zero value can't be used; New sets the fields.
type Demo struct {
	Out        io.Writer
	Logs       io.Writer     // of the entries; nil discards them
	Zones      []string      // availability zones with one entry each
	FaultDelay time.Duration // time from the submission of a job to the call that injects its fault
	RunTime    time.Duration // of each task
	Tasks      int           // of each job
}

// New returns the demonstration that rrlab runs.
func New(out io.Writer) *Demo {
	return &Demo{
		Out:        out,
		Zones:      []string{"caerdydd", "abertawe", "bangor"},
		FaultDelay: 250 * time.Millisecond,
		RunTime:    200 * time.Millisecond,
		Tasks:      240,
	}
}

// row is one line of the result table.
type row struct {
	name              string
	want              rrcode.Class // expected class of the answer; zero means complete
	answer            rrtask.Answer
	responseTime      time.Duration
	idealResponseTime time.Duration
	cost              rrload.Cost
}

// Show runs the demonstration. It returns an error if a task started twice or a job's
// answer differs from the expected one.
func (d *Demo) Show(ctx context.Context) error {
	f, err := d.start(ctx)
	if err != nil {
		return err
	}
	defer f.stop()
	d.printf("%d entries and %d minions of %d slots run in this process.", len(d.Zones), len(f.minions.Servers), slotsPerMinion)
	rows, err := d.runJobs(ctx, f)
	if err != nil {
		return err
	}
	if err := d.applyPreset(ctx, f); err != nil {
		return err
	}
	last, err := d.runJob(ctx, f, row{name: "after the loss, preset peak"}, 2, func() {})
	if err != nil {
		return err
	}
	rows = append(rows, last)
	d.printTable(rows)
	return d.check(f, rows)
}

// runJobs runs three jobs: one on new minions, which get few tasks at first because
// the entries have no experience with them, one on the same minions afterwards, and
// one during which a minion dies.
func (d *Demo) runJobs(ctx context.Context, f *fleet) ([]row, error) {
	cold, err := d.runJob(ctx, f, row{name: "new minions"}, 0, func() {})
	if err != nil {
		return nil, err
	}
	warm, err := d.runJob(ctx, f, row{name: "warm fleet"}, 0, func() {})
	if err != nil {
		return nil, err
	}
	dying, err := d.runJob(ctx, f, row{name: "a minion dies", want: rrcode.ClassMayHaveRun}, 1, f.killBusiest)
	if err != nil {
		return nil, err
	}
	d.printf("\nWhat entry %s decided for it:", dying.answer.Coordinator)
	h, err := f.client(1).Explain(ctx, dying.answer.RequestID, "")
	if err != nil {
		return nil, err
	}
	return []row{cold, warm, dying}, rrrender.WriteHistory(d.Out, h)
}

// runJob submits one job to an entry and calls injectFault after FaultDelay. It returns
// r with the measurements when both have ended.
func (d *Demo) runJob(ctx context.Context, f *fleet, r row, entry int, injectFault func()) (row, error) {
	job := rrtask.Job{
		ID:       uuid.Must(uuid.NewV7()).String(),
		Tenant:   "ports",
		Class:    "proof",
		Service:  service,
		Deadline: time.Now().Add(20 * time.Second),
	}
	for i := range d.Tasks {
		job.Tasks = append(job.Tasks, rrtask.Task{Index: i, Body: rrstand.Work{RunTime: d.RunTime}.Marshal()})
	}
	r.idealResponseTime = max(d.RunTime, d.RunTime*time.Duration(d.Tasks)/time.Duration(f.liveSlots())) + rrload.RoundTripTime
	before, err := f.cost(ctx)
	if err != nil {
		return row{}, err
	}
	d.printf("\nJob %q: %d tasks of %s.", r.name, d.Tasks, d.RunTime)
	faultInjected := make(chan struct{})
	time.AfterFunc(d.FaultDelay, func() {
		injectFault()
		close(faultInjected)
	})
	started := time.Now()
	answer := f.client(entry).Submit(ctx, job)
	r.answer, r.responseTime = answer, time.Since(started)
	<-faultInjected
	after, err := f.cost(ctx)
	r.cost = after.Minus(before)
	d.printf("Answer: %d %s (%s), %d results. %s", uint32(answer.Code), answer.Code, answer.Code.Class(), len(answer.Results), answer.Detail)
	return r, err
}

// applyPreset activates another preset and waits until every entry has it.
func (d *Demo) applyPreset(ctx context.Context, f *fleet) error {
	started := time.Now()
	out, err := f.client(0).SetPreset(ctx, rrconf.Peak, "demo")
	if err != nil {
		return err
	}
	if out.Code != rrcode.Applied {
		return merry.Errorf("preset: %s: %s", out.Code, out.Detail)
	}
	for i := range f.addrs {
		if err := f.awaitStatus(ctx, i, func(s rrstatus.Status) bool { return s.Preset == rrconf.Peak }); err != nil {
			return merry.Prepend(err, "waiting for an entry to activate preset peak")
		}
	}
	d.printf("\nPreset peak is version %d and in force at all %d entries after %s.",
		out.Active.Version, len(f.addrs), time.Since(started).Round(time.Millisecond))
	return nil
}

func (d *Demo) printf(format string, args ...any) {
	fmt.Fprintf(d.Out, format+"\n", args...)
}
