package rrcompare

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"rattanring/io/rrload"
)

// Print writes the results as text tables.
func Print(w io.Writer, c Config, results []Result) {
	fmt.Fprintf(w, "%s: %s; seed %d, %s, %d entries, %d minions of %d slots\n\n",
		c.Scenario.Name, c.Scenario.Description, c.Seed, c.Length, c.Entries, c.Minions, c.Slots)
	printRatios(w, results)
	printCosts(w, results)
	printOutcomes(w, results)
}

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func printRatios(w io.Writer, results []Result) {
	t := newTable(w)
	fmt.Fprintln(t, "response ÷ ideal\tclass\tjobs\tcomplete\tmean\tp50\tp99\t")
	for _, r := range results {
		for _, row := range append([]rrload.Ratios{r.Summary.All}, r.Summary.Classes...) {
			class := row.Class
			if class == "" {
				class = "all"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t\n", r.Strategy, class, row.Jobs, row.Complete, row.Mean, row.P50, row.P99)
		}
	}
	t.Flush()
	fmt.Fprintln(w)
}

func printCosts(w io.Writer, results []Result) {
	t := newTable(w)
	fmt.Fprintln(t, "per 1,000 starts\tstarts\trefused\tresend\tbatch\ttake\tdrop\tbeat\tprobe\tcontrol\tB/s entry\tCPU entry\tgoodput\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d", r.Strategy, r.Tally.Starts)
		for _, n := range []float64{r.Cost.Refused, r.Cost.Redispatches, r.Cost.Batches, r.Cost.Recalls, r.Cost.Cancels, r.Cost.Heartbeats, r.Cost.Probes, r.Cost.Control()} {
			fmt.Fprintf(t, "\t%.2f", r.perThousandStarts(n))
		}
		fmt.Fprintf(t, "\t%.0f\t%.1f%%\t%.1f%%\t\n", r.ratePerEntry(r.Cost.Bytes), 100*r.ratePerEntry(r.Cost.CPUSeconds), 100*r.Goodput)
	}
	t.Flush()
	fmt.Fprintln(w)
}

func printOutcomes(w io.Writer, results []Result) {
	for _, r := range results {
		var codes []string
		for _, o := range r.Summary.Codes {
			codes = append(codes, fmt.Sprintf("%s %d", codeName(o), o.Jobs))
		}
		fmt.Fprintf(w, "%s: %s; tasks failed %d, most starts of a task %d, most tasks on a minion %d",
			r.Strategy, strings.Join(codes, ", "), r.Tally.Failed, r.Tally.Most, r.Tally.Peak)
		if !r.Audit.OK() {
			fmt.Fprintf(w, "; WRONG: %+v", r.Audit)
		}
		fmt.Fprintln(w)
	}
}

func codeName(o rrload.CodeCount) string {
	if o.Code == 0 {
		return "no-answer"
	}
	return o.Code.String()
}

// perThousandStarts returns n per 1,000 started tasks.
func (r Result) perThousandStarts(n float64) float64 {
	if r.Tally.Starts == 0 {
		return 0
	}
	return 1000 * n / float64(r.Tally.Starts)
}

// ratePerEntry returns n per second for each entry.
func (r Result) ratePerEntry(n float64) float64 {
	if r.Entries == 0 || r.Duration == 0 {
		return 0
	}
	return n / r.Duration.Seconds() / float64(r.Entries)
}
