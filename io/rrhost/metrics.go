package rrhost

import (
	"fmt"
	"time"

	"rattanring/core/rrscheduler"
)

// registerMetrics registers the gauges of this host. The number of label values is bounded,
// since a zone has one shard or at most as many as members.
func (h *Host) registerMetrics() {
	h.Metrics.RegisterGauge("config_version", func() float64 {
		if config := h.Config(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	h.Metrics.RegisterGauge("config_age_seconds", func() float64 {
		if snapshot := h.config.Load(); snapshot != nil {
			return time.Since(snapshot.checkedAt).Seconds()
		}
		return -1
	})
	h.Metrics.RegisterGauge("processor_share", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.cpuUtilization
	})
	for _, shard := range h.Zones {
		h.registerShardMetrics(shard)
		if h.hasEvacuations() {
			h.Metrics.RegisterGauge(fmt.Sprintf("zone_evacuated{zone=%q}", shard), func() float64 {
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.zoneEvacuated(shard) {
					return 1
				}
				return 0
			})
		}
	}
}

// recordTiming records the queue and run time of a task.
func (h *Host) recordTiming(t *rrscheduler.RecordTiming) {
	if t.QueueTime > 0 {
		h.Metrics.ObserveWait(t.Service, t.Queue, t.QueueTime)
	}
	if t.RunTime > 0 {
		h.Metrics.ObserveRun(t.Service, t.Queue, t.RunTime)
	}
}

// registerShardMetrics registers the gauges of one shard. They are zero while this host has
// no executor for the shard.
func (h *Host) registerShardMetrics(shard string) {
	load := func(f func(rrscheduler.Load) float64) func() float64 {
		return func() float64 {
			if ex := h.executor(shard); ex != nil {
				return f(ex.Load())
			}
			return 0
		}
	}
	stat := func(f func(rrscheduler.Stats) uint64) func() float64 {
		return func() float64 {
			if ex := h.executor(shard); ex != nil {
				return float64(f(ex.Stats()))
			}
			return 0
		}
	}
	h.Metrics.RegisterGauge(fmt.Sprintf("cold_minions{seat=%q}", shard), func() float64 {
		if ex := h.executor(shard); ex != nil {
			return float64(ex.ColdMinions().Count)
		}
		return 0
	})
	for name, f := range map[string]func() float64{
		"wait_seconds":   load(func(l rrscheduler.Load) float64 { return l.ExpectedWait.Seconds() }),
		"free_cores":     load(func(l rrscheduler.Load) float64 { return float64(l.FreeMillicores) / 1000 }),
		"capacity_cores": load(func(l rrscheduler.Load) float64 { return float64(l.CapacityMillicores) / 1000 }),
		"waiting_jobs": func() float64 {
			if ex := h.executor(shard); ex != nil {
				return float64(ex.WaitingJobs())
			}
			return 0
		},
		"held_tasks": func() float64 {
			if ex := h.executor(shard); ex != nil {
				return float64(ex.Stats().HeldTasks)
			}
			return 0
		},
		"held_tasks_limit": func() float64 { return float64(h.heldTasks.Load()) },

		"starts":   stat(func(s rrscheduler.Stats) uint64 { return s.Starts }),
		"ends":     stat(func(s rrscheduler.Stats) uint64 { return s.FinishedRuns }),
		"reruns":   stat(func(s rrscheduler.Stats) uint64 { return s.Retries }),
		"adopted":  stat(func(s rrscheduler.Stats) uint64 { return s.TakenOverJobs }),
		"stops":    stat(func(s rrscheduler.Stats) uint64 { return s.Stops }),
		"unknown":  stat(func(s rrscheduler.Stats) uint64 { return s.UnknownStarts }),
		"lapsed":   stat(func(s rrscheduler.Stats) uint64 { return s.ExpiredRuns }),
		"forwards": stat(func(s rrscheduler.Stats) uint64 { return s.Forwards }),
		"orphans":  stat(func(s rrscheduler.Stats) uint64 { return s.Orphans }),
		"refusals": stat(func(s rrscheduler.Stats) uint64 { return s.Refusals }),
	} {
		h.Metrics.RegisterGauge(fmt.Sprintf("seat_%s{seat=%q}", name, shard), f)
	}
}
