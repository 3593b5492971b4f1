package rrcoord

import (
	"time"

	"rattanring/core/rrtask"
)

// evacuatedRetryDelay is the RetryAfter of a job that was admitted and then refused
// because of an evacuation. Admission control draws its own.
const evacuatedRetryDelay = time.Second

// needsEvacuated reports whether one of the tasks at the given indexes can run only on
// minions of evacuated zones.
func (c *Coordinator) needsEvacuated(j *job, tasks []int) bool {
	var last rrtask.Resources
	for at, i := range tasks {
		resources := j.Tasks[i].Resources
		if at > 0 && resources == last {
			continue
		}
		last = resources
		if c.fleet.EvacuatedOnly(j.Service, resources) {
			return true
		}
	}
	return false
}

// ZonesChanged makes the next Tick place all waiting tasks, after the list of evacuated
// zones has changed. Their next placement may be up to 1.6 s away, during which a zone
// that is back in use would stay idle and a job without a zone would not be refused.
func (c *Coordinator) ZonesChanged(now time.Time) {
	for _, j := range c.jobs {
		if j.claimGranted && j.unplaced > 0 {
			j.nextPlacement = now
		}
	}
}
