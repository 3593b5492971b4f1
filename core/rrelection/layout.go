package rrelection

import (
	"strconv"
	"strings"
	"time"

	"rattanring/core/rrrendezvous"
)

// MaxShards is the maximum number of shards of a zone. A layout with more is not valid.
const MaxShards = 1024

// ShardLayout is the division of an availability zone's minions into shards. The zero value
// is one shard.
type ShardLayout struct {
	Shards         int   // shards of the zone; zero stands for one
	PreviousShards int   // shards before the last change
	Revision       int64 // of the layout's item in the store; zero if there is none
}

// ShardName returns the name of a shard of a zone. The primary shard, which takes the
// zone's jobs, has the zone's name.
func ShardName(zone string, index int) string {
	if index == 0 {
		return zone
	}
	return zone + "/" + strconv.Itoa(index)
}

// ParseShardName returns the zone and the index of a shard.
func ParseShardName(name string) (zone string, index int) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return name, 0
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n < 1 {
		return name, 0 // the name of a zone that contains a slash
	}
	return name[:i], n
}

// ShardCount returns the number of shards, at least one.
func (l ShardLayout) ShardCount() int {
	return max(l.Shards, 1)
}

// ShardIndex returns the index of the shard that a minion belongs to. A change of the count
// by one moves only the minions of the shard that is added or removed.
func (l ShardLayout) ShardIndex(minion string) int {
	best, maxWeight := 0, uint64(0)
	if l.ShardCount() == 1 {
		return best
	}
	for index := range l.ShardCount() {
		if w := rrrendezvous.Weight(minion, strconv.Itoa(index)); index == 0 || w > maxWeight {
			best, maxWeight = index, w
		}
	}
	return best
}

// GainsMinions reports whether the last change of the layout moved minions of other shards
// to a shard.
func (l ShardLayout) GainsMinions(index int) bool {
	previous := max(l.PreviousShards, 1)
	if l.ShardCount() > previous {
		return index >= previous
	}
	return l.ShardCount() < previous && index < l.ShardCount()
}

// Layout returns the layout of a zone.
func (e *Election) Layout(zone string) ShardLayout {
	return e.layouts[zone]
}

// LayoutChangedAt returns when this process received the layout of a zone, zero if it has
// received none.
func (e *Election) LayoutChangedAt(zone string) time.Time {
	return e.layoutChangedAt[zone]
}

// SetLayout records the layout of a zone and reports whether it is valid and newer than the
// known one.
func (e *Election) SetLayout(now time.Time, zone string, l ShardLayout) bool {
	if l.Revision <= e.layouts[zone].Revision || max(l.Shards, l.PreviousShards) > MaxShards {
		return false
	}
	e.layouts[zone], e.layoutChangedAt[zone] = l, now
	for index := range l.ShardCount() {
		if shard := ShardName(zone, index); e.shards[shard] == nil {
			e.shards[shard] = &shardState{since: now}
		}
	}
	return true
}

// isOutsideLayout reports whether the layout of its zone no longer has a shard.
func (e *Election) isOutsideLayout(shard string) bool {
	zone, index := ParseShardName(shard)
	return index >= e.layouts[zone].ShardCount()
}

// needsHigherToken reports whether a shard got minions that may have seen a higher fencing
// token than its owner's. The owner has to write the shard's item again for a new token.
func (e *Election) needsHigherToken(shard string, s *shardState) bool {
	zone, index := ParseShardName(shard)
	l := e.layouts[zone]
	return s.owner.Revision < l.Revision && l.GainsMinions(index)
}
