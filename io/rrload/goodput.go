package rrload

import (
	"strings"
	"time"

	"rattanring/core/rrcode"
	"rattanring/io/rrstand"
)

// Window is the part of a load in which goodput is measured.
type Window struct {
	From, To time.Duration // from the start of the load
}

// Goodput returns the fraction of all slot time in the window that went into tasks of
// jobs that were answered complete.
func Goodput(samples []Sample, runs map[string]rrstand.TaskRuns, slots int, started time.Time, w Window) float64 {
	complete := map[string]bool{}
	for _, s := range samples {
		complete[s.ID] = s.Code == rrcode.Complete
	}
	var used time.Duration
	for task, taskRuns := range runs {
		job, _, _ := strings.Cut(task, "/")
		if complete[job] {
			used += w.overlap(taskRuns.StartedAt.Sub(started), taskRuns.EndedAt.Sub(started))
		}
	}
	return used.Seconds() / (w.To - w.From).Seconds() / float64(slots)
}

// overlap returns the part of the time between from and to that is in the window.
func (w Window) overlap(from, to time.Duration) time.Duration {
	return max(min(to, w.To)-max(from, w.From), 0)
}
