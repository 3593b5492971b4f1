package rrhost

import (
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrscheduler"
)

// callerProcess is a process that has jobs at the local executors and therefore sends
// frequent heartbeats.
type callerProcess struct {
	jobs     int
	lastCall time.Time // time of its last heartbeat or submission
}

// addCallerProcessJob counts a job that a process has submitted, by a call of an age. The caller holds h.mu.
func (h *Host) addCallerProcessJob(name string, age time.Duration) *callerProcess {
	c := h.callerProcesses[name]
	if c == nil {
		c = &callerProcess{}
		h.callerProcesses[name] = c
	}
	c.jobs++
	c.called(age)
	return c
}

// removeCallerProcessJob counts the end of a job.
func (h *Host) removeCallerProcessJob(name string, c *callerProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.jobs--; c.jobs == 0 && h.callerProcesses[name] == c {
		delete(h.callerProcesses, name)
	}
}

// refreshCallerProcess records a heartbeat of a process, of an age. The caller holds h.mu.
func (h *Host) refreshCallerProcess(name string, age time.Duration) {
	if c := h.callerProcesses[name]; c != nil {
		c.called(age)
	}
}

// called records a call of an age. It counts from when it was sent: this process may have been frozen since.
func (c *callerProcess) called(age time.Duration) {
	if at := time.Now().Add(-age); at.After(c.lastCall) {
		c.lastCall = at
	}
}

// callerProcessTimeout returns for how long a process may send nothing before it counts as lost. The
// runs of its jobs must have ended when its callers submit these jobs again.
func (h *Host) callerProcessTimeout() time.Duration {
	d := maxCallerProcessTimeout
	if resend := h.Guarantees.ResendDelay; resend > 0 {
		d = min(d, resend-shardCheckInterval-h.Guarantees.StopDuration())
	}
	return max(d, minCallerProcessTimeout)
}

// dropUnresponsiveCallerProcesses reports processes that have sent nothing for
// callerProcessTimeout to the local executors as lost.
func (h *Host) dropUnresponsiveCallerProcesses() {
	now, timeout := time.Now(), h.callerProcessTimeout()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, c := range h.callerProcesses {
		if now.Sub(c.lastCall) < timeout {
			continue
		}
		delete(h.callerProcesses, name)
		level.Warn(h.Logger).Log("msg", "caller silent", "host", name, "silent", now.Sub(c.lastCall), "jobs", c.jobs)
		for _, ex := range h.executors {
			ex.Post(&rrscheduler.CallerProcessLost{CallerProcess: name})
		}
	}
}
