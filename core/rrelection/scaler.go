package rrelection

import (
	"slices"
	"time"
)

// Limits of the number of seats.
const (
	busyMost  = 0.6              // share of its processor time that a keeper uses at most; the rest is for bursts and for take-overs
	busyLeast = 0.3              // with one seat less the mean keeper would use at most this: half of busyMost, so that the count does not swing
	busyTerm  = 5 * time.Second  // a keeper is busy so long before minions are divided further
	idleTerm  = 60 * time.Second // all are idle so long before there is one seat less; ten times the longest usual burst
)

// ShardScaler decides among how many seats the minions of a zone are divided. The zero value
// has seen nothing yet.
type ShardScaler struct {
	busy time.Time // since when a keeper is busy
	idle time.Time // since when there could be one seat less
}

// DesiredShards takes how busy each keeper of the zone is, as a share of the processor time that
// it may use, and returns the number of seats that there should be: most at most.
func (n *ShardScaler) DesiredShards(now time.Time, used []float64, most int) int {
	parts := len(used)
	var sum float64
	for _, u := range used {
		sum += u
	}
	mark(&n.busy, now, parts < most && slices.Max(used) > busyMost)
	mark(&n.idle, now, parts > 1 && (parts > most || sum < busyLeast*float64(parts-1)))
	switch {
	case !n.busy.IsZero() && now.Sub(n.busy) >= busyTerm:
		*n = ShardScaler{}
		return parts + 1
	case !n.idle.IsZero() && now.Sub(n.idle) >= idleTerm:
		*n = ShardScaler{}
		return parts - 1
	}
	return parts
}

// mark notes since when something holds.
func mark(since *time.Time, now time.Time, holds bool) {
	if !holds {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}
