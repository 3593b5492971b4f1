package rrhost

import (
	"fmt"
	"time"

	"rattanring/core/rrroute"
	"rattanring/core/rrscheduler"
	"rattanring/core/rrwarmup"
	"rattanring/io/rrexecutor"
)

const (
	coldTimeTolerance = 5 * time.Second // repeated registrations move the end of the cold time by their delays, which is no change
	maxColdServices   = 64              // services with a gauge of their cold minions
)

// coldTimeLeft returns for how long a minion remains cold.
func coldTimeLeft(now time.Time, m *rrscheduler.Minion) time.Duration {
	if m.ColdUntil.IsZero() {
		return 0
	}
	return max(m.ColdUntil.Sub(now), 0)
}

// coldTimeChanged reports whether a registration moves the end of a minion's cold time by more than
// coldTimeTolerance.
func coldTimeChanged(now time.Time, m, known *rrscheduler.Minion) bool {
	return (coldTimeLeft(now, m) - coldTimeLeft(now, known)).Abs() > coldTimeTolerance
}

// noteColdTime keeps the end of the cold time that is known from the same revision of a registration: a list
// read again must not start the time anew. The caller holds h.mu.
func (h *Host) noteColdTime(m, known *rrscheduler.Minion, revision int64) {
	if m.ColdUntil.IsZero() {
		delete(h.coldReports, m.ID)
		return
	}
	if h.coldReports[m.ID] == revision && known.ID == m.ID {
		m.ColdUntil = known.ColdUntil
	}
	h.coldReports[m.ID] = revision
	h.registerColdService(m.Service)
}

// applyWarmups tells the local executors what a configuration says about cold minions. The caller holds h.mu.
func (h *Host) applyWarmups(config *rrroute.Config) {
	for _, s := range config.Services {
		h.registerColdService(s.Name)
	}
	if len(config.Services) == 0 && !h.coldConfigured {
		return
	}
	h.coldConfigured = len(config.Services) > 0
	for _, ex := range h.executors {
		ex.Post(&rrscheduler.WarmupConfigured{ByService: warmupSettings(config)})
	}
}

// postWarmups tells a new executor what the configuration says about cold minions.
func (h *Host) postWarmups(ex *rrexecutor.Executor) {
	if config := h.Config(); config != nil && len(config.Services) > 0 {
		ex.Post(&rrscheduler.WarmupConfigured{ByService: warmupSettings(config)})
	}
}

func warmupSettings(config *rrroute.Config) map[string]rrwarmup.Settings {
	out := make(map[string]rrwarmup.Settings, len(config.Services))
	for _, s := range config.Services {
		out[s.Name] = rrwarmup.Settings{ColdTime: s.ColdTime, StartsPerSecond: s.ColdStartsPerSecond}
	}
	return out
}

// registerColdService registers the gauge of a service's cold minions: the largest slowdown that a local
// executor has learned, zero if none knows cold minions of the service. The caller holds h.mu.
func (h *Host) registerColdService(service string) {
	if h.coldServices[service] || len(h.coldServices) >= maxColdServices {
		return
	}
	h.coldServices[service] = true
	h.Metrics.RegisterGauge(fmt.Sprintf("cold_slowdown{service=%q}", service), func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		largest := 0.0
		for _, ex := range h.executors {
			largest = max(largest, ex.ColdMinions().Slowdowns[service])
		}
		return largest
	})
}
