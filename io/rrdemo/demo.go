// Package rrdemo shows the product at work in one process: a platform, minions
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

// Demo says what is shown. The zero value is not useful; New fills it in.
type Demo struct {
	Out    io.Writer
	Logs   io.Writer     // of the entries; nil drops them
	Zones  []string      // availability zones with one entry each
	Perish time.Duration // into the second job, when a minion is killed
	Run    time.Duration // of each task
	Tasks  int           // of each job
}

// New returns the demonstration that rrlab runs.
func New(out io.Writer) *Demo {
	return &Demo{
		Out:    out,
		Zones:  []string{"caerdydd", "abertawe", "bangor"},
		Perish: 250 * time.Millisecond,
		Run:    200 * time.Millisecond,
		Tasks:  240,
	}
}

// row is one line of the closing table.
type row struct {
	name     string
	want     rrcode.Class // how the job must end; zero means complete
	answer   rrtask.Answer
	response time.Duration
	ideal    time.Duration
	cost     rrload.Cost
}

// Show runs the demonstration. The error says what did not go as it must.
func (d *Demo) Show(ctx context.Context) error {
	f, err := d.start(ctx)
	if err != nil {
		return err
	}
	defer f.stop()
	d.say("%d entries and %d minions of %d slots run in this process.", len(d.Zones), len(f.minions.Servers), slots)
	rows, err := d.jobs(ctx, f)
	if err != nil {
		return err
	}
	if err := d.preset(ctx, f); err != nil {
		return err
	}
	last, err := d.job(ctx, f, row{name: "after the loss, preset peak"}, 2, func() {})
	if err != nil {
		return err
	}
	rows = append(rows, last)
	d.table(rows)
	return d.check(f, rows)
}

// jobs runs one job on minions that get few tasks at first since nothing is known
// of them, one on a fleet that has warmed up, and one in whose middle a minion dies.
func (d *Demo) jobs(ctx context.Context, f *fleet) ([]row, error) {
	cold, err := d.job(ctx, f, row{name: "new minions"}, 0, func() {})
	if err != nil {
		return nil, err
	}
	warm, err := d.job(ctx, f, row{name: "warm fleet"}, 0, func() {})
	if err != nil {
		return nil, err
	}
	dying, err := d.job(ctx, f, row{name: "a minion dies", want: rrcode.ClassMayHaveRun}, 1, f.killBusiest)
	if err != nil {
		return nil, err
	}
	d.say("\nWhat entry %s decided for it:", dying.answer.Coordinator)
	h, err := f.client(1).Explain(ctx, dying.answer.RequestID, "")
	if err != nil {
		return nil, err
	}
	return []row{cold, warm, dying}, rrrender.WriteHistory(d.Out, h)
}

// job submits one job to an entry, and calls disturb in its middle. It fills in
// r when both have ended.
func (d *Demo) job(ctx context.Context, f *fleet, r row, entry int, disturb func()) (row, error) {
	job := rrtask.Job{
		ID:       uuid.Must(uuid.NewV7()).String(),
		Tenant:   "ports",
		Class:    "proof",
		Service:  service,
		Deadline: time.Now().Add(20 * time.Second),
	}
	for i := range d.Tasks {
		job.Tasks = append(job.Tasks, rrtask.Task{Index: i, Body: rrstand.Work{Run: d.Run}.Marshal()})
	}
	r.ideal = max(d.Run, d.Run*time.Duration(d.Tasks)/time.Duration(f.slotsLeft())) + rrload.RoundTrips
	before, err := f.cost(ctx)
	if err != nil {
		return row{}, err
	}
	d.say("\nJob %q: %d tasks of %s.", r.name, d.Tasks, d.Run)
	disturbed := make(chan struct{})
	time.AfterFunc(d.Perish, func() {
		disturb()
		close(disturbed)
	})
	begun := time.Now()
	answer := f.client(entry).Submit(ctx, job)
	r.answer, r.response = answer, time.Since(begun)
	<-disturbed
	after, err := f.cost(ctx)
	r.cost = after.Minus(before)
	d.say("Answer: %d %s (%s), %d results. %s", uint32(answer.Code), answer.Code, answer.Code.Class(), len(answer.Results), answer.Detail)
	return r, err
}

// preset puts another preset in force and waits until every entry has it.
func (d *Demo) preset(ctx context.Context, f *fleet) error {
	begun := time.Now()
	out, err := f.client(0).SetPreset(ctx, rrconf.Peak, "demo")
	if err != nil {
		return err
	}
	if out.Code != rrcode.Applied {
		return merry.Errorf("preset: %s: %s", out.Code, out.Detail)
	}
	for i := range f.addrs {
		if err := f.await(ctx, i, func(s rrstatus.Status) bool { return s.Preset == rrconf.Peak }); err != nil {
			return merry.Prepend(err, "preset")
		}
	}
	d.say("\nPreset peak is version %d and in force at all %d entries after %s.",
		out.Active.Version, len(f.addrs), time.Since(begun).Round(time.Millisecond))
	return nil
}

func (d *Demo) say(format string, args ...any) {
	fmt.Fprintf(d.Out, format+"\n", args...)
}
