package rrelection

import (
	"slices"
	"time"
)

// Limits of the number of seats.
const (
	maxUtilization   = 0.6              // share of its processor time that a keeper uses at most; the rest is for bursts and for take-overs
	mergeUtilization = 0.3              // with one seat less the mean keeper would use at most this: half of busyMost, so that the count does not swing
	splitDelay       = 5 * time.Second  // a keeper is busy so long before minions are divided further
	mergeDelay       = 60 * time.Second // all are idle so long before there is one seat less; ten times the longest usual burst
)

// ShardScaler decides among how many seats the minions of a zone are divided. The zero value
// has seen nothing yet.
type ShardScaler struct {
	overloadedSince time.Time // since when a keeper is busy
	underusedSince  time.Time // since when there could be one seat less
}

// DesiredShards takes how busy each keeper of the zone is, as a share of the processor time that
// it may use, and returns the number of seats that there should be: most at most.
func (s *ShardScaler) DesiredShards(now time.Time, utilization []float64, maxShards int) int {
	shards := len(utilization)
	var sum float64
	for _, u := range utilization {
		sum += u
	}
	trackSince(&s.overloadedSince, now, shards < maxShards && slices.Max(utilization) > maxUtilization)
	trackSince(&s.underusedSince, now, shards > 1 && (shards > maxShards || sum < mergeUtilization*float64(shards-1)))
	switch {
	case !s.overloadedSince.IsZero() && now.Sub(s.overloadedSince) >= splitDelay:
		*s = ShardScaler{}
		return shards + 1
	case !s.underusedSince.IsZero() && now.Sub(s.underusedSince) >= mergeDelay:
		*s = ShardScaler{}
		return shards - 1
	}
	return shards
}

// trackSince notes since when something holds.
func trackSince(since *time.Time, now time.Time, holds bool) {
	if !holds {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}
