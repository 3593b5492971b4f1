package rrdemo

import (
	"cmp"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanring/core/rrcode"
)

// printTable prints response ÷ ideal and the messages of each job. Heartbeats sent
// during a job count as its control messages.
func (d *Demo) printTable(rows []row) {
	fmt.Fprintln(d.Out)
	tw := tabwriter.NewWriter(d.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "JOB\tOUTCOME\tRESPONSE\tIDEAL\tRESPONSE÷IDEAL\tSENDS/TASK\tWASTED/TASK\tCONTROL/TASK")
	for _, r := range rows {
		ratio := "-"
		if r.answer.Code == rrcode.Complete {
			ratio = fmt.Sprintf("%.2f", float64(r.responseTime)/float64(r.idealResponseTime))
		}
		n := float64(d.Tasks)
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%.2f\t%.3f\t%.3f\n", r.name, r.answer.Code,
			r.responseTime.Round(time.Millisecond), r.idealResponseTime.Round(time.Millisecond), ratio,
			r.cost.Dispatches/n, r.cost.Wasted()/n, r.cost.Control()/n)
	}
	tw.Flush()
}

// check returns an error if a task started twice or if the class of a job's answer is
// not the expected one: complete, or may have run if a minion died during the job.
func (d *Demo) check(f *fleet, rows []row) error {
	for task, run := range f.minions.Runs() {
		if run.Starts > 1 {
			return merry.Errorf("task %s started %d times", task, run.Starts)
		}
	}
	d.printf("\nNo task started twice, by the minions' own count.")
	for _, r := range rows {
		want := cmp.Or(r.want, rrcode.ClassComplete)
		if got := r.answer.Code.Class(); got != want {
			return merry.Errorf("job %q: got %s (%s), want %s", r.name, r.answer.Code, got, want)
		}
	}
	return nil
}
