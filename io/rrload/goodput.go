package rrload

import (
	"strings"
	"time"

	"rattanring/core/rrcode"
	"rattanring/io/rrstand"
)

// Window is the stretch of a load over which goodput is measured.
type Window struct {
	From, To time.Duration // from the start of the load
}

// Goodput returns the time that slots spent within the window on tasks of jobs
// that were answered complete, as a share of all the time of the slots.
func Goodput(samples []Sample, runs map[string]rrstand.Run, slots int, started time.Time, w Window) float64 {
	complete := map[string]bool{}
	for _, s := range samples {
		complete[s.ID] = s.Code == rrcode.Complete
	}
	var used time.Duration
	for task, run := range runs {
		job, _, _ := strings.Cut(task, "/")
		if complete[job] {
			used += w.overlap(run.StartedAt.Sub(started), run.EndedAt.Sub(started))
		}
	}
	return used.Seconds() / (w.To - w.From).Seconds() / float64(slots)
}

// overlap returns how much of the time between from and to is in the window.
func (w Window) overlap(from, to time.Duration) time.Duration {
	return max(min(to, w.To)-max(from, w.From), 0)
}
