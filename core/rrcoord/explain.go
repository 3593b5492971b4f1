package rrcoord

import (
	"rattanring/core/rrstatus"
)

// closedJobs holds the histories of the most recently answered jobs.
type closedJobs struct {
	ring []string // IDs in the order of their answers
	next int
	byID map[string]rrstatus.History
}

func newClosedJobs(n int) closedJobs {
	return closedJobs{ring: make([]string, n), byID: make(map[string]rrstatus.History, n)}
}

func (c *closedJobs) add(h rrstatus.History) {
	if _, ok := c.byID[h.ID]; !ok {
		delete(c.byID, c.ring[c.next])
		c.ring[c.next] = h.ID
		c.next = (c.next + 1) % len(c.ring)
	}
	c.byID[h.ID] = h
}

func (c *Coordinator) rememberClosed(j *job) {
	c.closed.add(history(j))
}

func history(j *job) rrstatus.History {
	return rrstatus.History{ID: j.ID, Tenant: j.Tenant, Class: j.Class, Code: j.code, Events: j.events}
}

// Explain returns the history of a job that runs here or was answered here recently.
func (c *Coordinator) Explain(id string) (rrstatus.History, bool) {
	if j, ok := c.jobs[id]; ok {
		return history(j), true
	}
	h, ok := c.closed.byID[id]
	return h, ok
}
