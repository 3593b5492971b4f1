package rrcoord

import (
	"rattanring/core/rrstatus"
)

// answeredJobs holds the histories of the most recently answered jobs.
type answeredJobs struct {
	ring []string // ring buffer of IDs in the order of their answers
	next int      // index in ring of the next ID
	byID map[string]rrstatus.History
}

func newAnsweredJobs(n int) answeredJobs {
	return answeredJobs{ring: make([]string, n), byID: make(map[string]rrstatus.History, n)}
}

func (a *answeredJobs) add(h rrstatus.History) {
	if _, ok := a.byID[h.ID]; !ok {
		delete(a.byID, a.ring[a.next])
		a.ring[a.next] = h.ID
		a.next = (a.next + 1) % len(a.ring)
	}
	a.byID[h.ID] = h
}

func (c *Coordinator) rememberAnswered(j *job) {
	c.answeredJobs.add(history(j))
}

func history(j *job) rrstatus.History {
	return rrstatus.History{ID: j.ID, Tenant: j.Tenant, Class: j.Class, Code: j.code, Events: j.events}
}

// Explain returns the history of a job that runs here or was answered here recently.
func (c *Coordinator) Explain(id string) (rrstatus.History, bool) {
	if j, ok := c.jobs[id]; ok {
		return history(j), true
	}
	h, ok := c.answeredJobs.byID[id]
	return h, ok
}
