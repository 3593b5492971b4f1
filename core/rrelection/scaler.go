package rrelection

import (
	"slices"
	"time"
)

// Limits for the number of shards of a zone. Utilization is a fraction of the CPU cores that an owner may use.
const (
	maxUtilization    = 0.6              // above this an owner is overloaded; the rest is for bursts and takeovers
	removeUtilization = 0.3              // a shard is removed if the average with one shard less would be below this; half of maxUtilization, so that the count does not oscillate
	addDelay          = 5 * time.Second  // an owner is overloaded for this long before a shard is added
	removeDelay       = 60 * time.Second // a shard must be removable for this long, by load or by maxShards, before it is removed; ten times the longest usual burst
)

// ShardScaler decides how many shards the minions of a zone are divided into. The zero
// value is ready for use.
type ShardScaler struct {
	overloadedSince time.Time // zero if no owner is overloaded
	removableSince  time.Time // zero if no shard can be removed
}

// DesiredShards takes the CPU utilization of each shard's owner, as a fraction of the cores
// that it may use, and returns the number of shards that the zone should have, at most
// maxShards.
func (s *ShardScaler) DesiredShards(now time.Time, utilization []float64, maxShards int) int {
	shards := len(utilization)
	var sum float64
	for _, u := range utilization {
		sum += u
	}
	trackSince(&s.overloadedSince, now, shards < maxShards && slices.Max(utilization) > maxUtilization)
	trackSince(&s.removableSince, now, shards > 1 && (shards > maxShards || sum < removeUtilization*float64(shards-1)))
	switch {
	case !s.overloadedSince.IsZero() && now.Sub(s.overloadedSince) >= addDelay:
		*s = ShardScaler{}
		return shards + 1
	case !s.removableSince.IsZero() && now.Sub(s.removableSince) >= removeDelay:
		*s = ShardScaler{}
		return shards - 1
	}
	return shards
}

// trackSince sets since to the time from which holds has been true, zero if it is false.
func trackSince(since *time.Time, now time.Time, holds bool) {
	if !holds {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}
