package rrhost

import (
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrscheduler"
)

// caller is a host that has jobs at the local executors and therefore sends frequent
// heartbeats.
type caller struct {
	jobs     int
	lastCall time.Time // time of its last heartbeat or submission
}

// addCallerJob counts a job that a host has submitted. The caller holds h.mu.
func (h *Host) addCallerJob(name string) *caller {
	c := h.callers[name]
	if c == nil {
		c = &caller{}
		h.callers[name] = c
	}
	c.jobs++
	c.lastCall = time.Now()
	return c
}

// removeCallerJob counts the end of a job.
func (h *Host) removeCallerJob(name string, c *caller) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.jobs--; c.jobs == 0 && h.callers[name] == c {
		delete(h.callers, name)
	}
}

// refreshCaller records a heartbeat of a host. The caller holds h.mu.
func (h *Host) refreshCaller(name string) {
	if c := h.callers[name]; c != nil {
		c.lastCall = time.Now()
	}
}

// dropUnresponsiveCallers reports hosts that have sent nothing for callerTimeout to the
// local executors as lost, before their callers submit the jobs elsewhere.
func (h *Host) dropUnresponsiveCallers() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, c := range h.callers {
		if now.Sub(c.lastCall) < callerTimeout {
			continue
		}
		delete(h.callers, name)
		level.Warn(h.Logger).Log("msg", "caller silent", "host", name, "silent", now.Sub(c.lastCall), "jobs", c.jobs)
		for _, ex := range h.executors {
			ex.Post(&rrscheduler.CallerProcessLost{CallerProcess: name})
		}
	}
}
