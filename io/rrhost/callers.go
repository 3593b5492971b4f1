package rrhost

import (
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrscheduler"
)

// caller is a host that has jobs at the keepers of this one, and so calls it often.
type caller struct {
	jobs int
	at   time.Time // last call
}

// enter notes a job of a host. The caller holds h.mu.
func (h *Host) enter(name string) *caller {
	c := h.callers[name]
	if c == nil {
		c = &caller{}
		h.callers[name] = c
	}
	c.jobs++
	c.at = time.Now()
	return c
}

// exit notes the end of a job of a host.
func (h *Host) exit(name string, c *caller) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.jobs--; c.jobs == 0 && h.callers[name] == c {
		delete(h.callers, name)
	}
}

// heardCaller notes that a host can be reached. The caller holds h.mu.
func (h *Host) heardCaller(name string) {
	if c := h.callers[name]; c != nil {
		c.at = time.Now()
	}
}

// dropSilentCallers drops the callers of hosts that can't be reached, before these
// callers hand their jobs in elsewhere.
func (h *Host) dropSilentCallers() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, c := range h.callers {
		if now.Sub(c.at) < callerSilence {
			continue
		}
		delete(h.callers, name)
		level.Warn(h.Logger).Log("msg", "caller silent", "host", name, "silent", now.Sub(c.at), "jobs", c.jobs)
		for _, k := range h.keepers {
			k.Post(&rrscheduler.CallerProcessLost{CallerProcess: name})
		}
	}
}
