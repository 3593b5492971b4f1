package rrelection

import (
	"strconv"
	"strings"
	"time"

	"rattanring/core/rrrendezvous"
)

// ShardLayout says among how many seats the minions of an availability zone are divided.
// The zero value is one seat, as it always was.
type ShardLayout struct {
	Shards         int   // seats of the zone; zero stands for one
	PreviousShards int   // the same before the last change
	Revision       int64 // of the layout's item in the store; zero without one
}

// ShardName returns the name of a seat of a zone. The first one, which takes the zone's jobs,
// has the zone's name.
func ShardName(zone string, index int) string {
	if index == 0 {
		return zone
	}
	return zone + "/" + strconv.Itoa(index)
}

// ParseShardName returns the zone of a seat and which of its seats it is.
func ParseShardName(name string) (zone string, index int) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return name, 0
	}
	n, err := strconv.Atoi(name[i+1:])
	if err != nil || n < 1 {
		return name, 0 // a zone with such a name
	}
	return name[:i], n
}

// ShardCount returns the number of seats.
func (l ShardLayout) ShardCount() int {
	return max(l.Shards, 1)
}

// ShardIndex returns which seat a minion belongs to. A change of the count by one moves the
// minions of the seat that comes or goes, and no others.
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

// GainsMinions reports whether a seat got minions of others by the last change.
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

// LayoutChangedAt returns when this process learned of the layout of a zone; zero if the zone was
// never divided.
func (e *Election) LayoutChangedAt(zone string) time.Time {
	return e.layoutChangedAt[zone]
}

// SetLayout notes the layout of a zone and reports whether it is news.
func (e *Election) SetLayout(now time.Time, zone string, l ShardLayout) bool {
	if l.Revision <= e.layouts[zone].Revision {
		return false
	}
	e.layouts[zone], e.layoutChangedAt[zone] = l, now
	for index := range l.ShardCount() {
		if name := ShardName(zone, index); e.shards[name] == nil {
			e.shards[name] = &shardState{since: now}
		}
	}
	return true
}

// isSurplus reports whether a seat is left over from a layout with more seats.
func (e *Election) isSurplus(name string) bool {
	zone, index := ParseShardName(name)
	return index >= e.layouts[zone].ShardCount()
}

// needsHigherToken reports whether a seat got minions that may have seen a higher token than its
// own. Its item has to be written anew.
func (e *Election) needsHigherToken(name string, s *shardState) bool {
	zone, index := ParseShardName(name)
	l := e.layouts[zone]
	return s.owner.Revision < l.Revision && l.GainsMinions(index)
}
