package rrhost

import (
	"fmt"
	"time"

	"rattanring/core/rrscheduler"
)

// showMetrics registers what the metrics page shows of this host. Seats are as many as
// members of the fleet at most, so their label is bounded.
func (h *Host) showMetrics() {
	h.Metrics.RegisterGauge("config_version", func() float64 {
		if t := h.Config(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	h.Metrics.RegisterGauge("config_age_seconds", func() float64 {
		if p := h.table.Load(); p != nil {
			return time.Since(p.checked).Seconds()
		}
		return -1
	})
	h.Metrics.RegisterGauge("processor_share", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.busy
	})
	for _, seat := range h.Zones {
		h.showSeat(seat)
	}
}

// time measures a task.
func (h *Host) time(t *rrscheduler.RecordTiming) {
	if t.QueueTime > 0 {
		h.Metrics.ObserveWait(t.Service, t.Queue, t.QueueTime)
	}
	if t.RunTime > 0 {
		h.Metrics.ObserveRun(t.Service, t.Queue, t.RunTime)
	}
}

// showSeat registers the gauges of one seat. They are zero while another host keeps it.
func (h *Host) showSeat(seat string) {
	load := func(f func(rrscheduler.Load) float64) func() float64 {
		return func() float64 {
			if k := h.keeper(seat); k != nil {
				return f(k.Load())
			}
			return 0
		}
	}
	stat := func(f func(rrscheduler.Stats) uint64) func() float64 {
		return func() float64 {
			if k := h.keeper(seat); k != nil {
				return float64(f(k.Stats()))
			}
			return 0
		}
	}
	for name, f := range map[string]func() float64{
		"wait_seconds":   load(func(l rrscheduler.Load) float64 { return l.ExpectedWait.Seconds() }),
		"free_cores":     load(func(l rrscheduler.Load) float64 { return float64(l.FreeMillicores) / 1000 }),
		"capacity_cores": load(func(l rrscheduler.Load) float64 { return float64(l.CapacityMillicores) / 1000 }),
		"waiting_jobs": func() float64 {
			if k := h.keeper(seat); k != nil {
				return float64(k.WaitingJobs())
			}
			return 0
		},
		"starts":   stat(func(s rrscheduler.Stats) uint64 { return s.Starts }),
		"ends":     stat(func(s rrscheduler.Stats) uint64 { return s.Ends }),
		"reruns":   stat(func(s rrscheduler.Stats) uint64 { return s.Retries }),
		"adopted":  stat(func(s rrscheduler.Stats) uint64 { return s.AdoptedJobs }),
		"stops":    stat(func(s rrscheduler.Stats) uint64 { return s.Stops }),
		"unknown":  stat(func(s rrscheduler.Stats) uint64 { return s.UnknownStarts }),
		"lapsed":   stat(func(s rrscheduler.Stats) uint64 { return s.ExpiredRuns }),
		"forwards": stat(func(s rrscheduler.Stats) uint64 { return s.Forwards }),
		"refusals": stat(func(s rrscheduler.Stats) uint64 { return s.Refusals }),
	} {
		h.Metrics.RegisterGauge(fmt.Sprintf("seat_%s{seat=%q}", name, seat), f)
	}
}
