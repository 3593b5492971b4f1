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
func ShardName(zone string, part int) string {
	if part == 0 {
		return zone
	}
	return zone + "/" + strconv.Itoa(part)
}

// ParseShardName returns the zone of a seat and which of its seats it is.
func ParseShardName(seat string) (zone string, part int) {
	i := strings.LastIndexByte(seat, '/')
	if i < 0 {
		return seat, 0
	}
	n, err := strconv.Atoi(seat[i+1:])
	if err != nil || n < 1 {
		return seat, 0 // a zone with such a name
	}
	return seat[:i], n
}

// ShardCount returns the number of seats.
func (l ShardLayout) ShardCount() int {
	return max(l.Shards, 1)
}

// ShardIndex returns which seat a minion belongs to. A change of the count by one moves the
// minions of the seat that comes or goes, and no others.
func (l ShardLayout) ShardIndex(minion string) int {
	best, most := 0, uint64(0)
	if l.ShardCount() == 1 {
		return best
	}
	for part := range l.ShardCount() {
		if w := rrrendezvous.Weight(minion, strconv.Itoa(part)); part == 0 || w > most {
			best, most = part, w
		}
	}
	return best
}

// GainsMinions reports whether a seat got minions of others by the last change.
func (l ShardLayout) GainsMinions(part int) bool {
	was := max(l.PreviousShards, 1)
	if l.ShardCount() > was {
		return part >= was
	}
	return l.ShardCount() < was && part < l.ShardCount()
}

// Layout returns the layout of a zone.
func (c *Election) Layout(zone string) ShardLayout {
	return c.layouts[zone]
}

// LayoutChangedAt returns when this process learned of the layout of a zone; zero if the zone was
// never divided.
func (c *Election) LayoutChangedAt(zone string) time.Time {
	return c.divided[zone]
}

// SetLayout notes the layout of a zone and reports whether it is news.
func (c *Election) SetLayout(now time.Time, zone string, l ShardLayout) bool {
	if l.Revision <= c.layouts[zone].Revision {
		return false
	}
	c.layouts[zone], c.divided[zone] = l, now
	for part := range l.ShardCount() {
		if name := ShardName(zone, part); c.seats[name] == nil {
			c.seats[name] = &seat{since: now}
		}
	}
	return true
}

// unused reports whether a seat is left over from a layout with more seats.
func (c *Election) unused(name string) bool {
	zone, part := ParseShardName(name)
	return part >= c.layouts[zone].ShardCount()
}

// outdated reports whether a seat got minions that may have seen a higher token than its
// own. Its item has to be written anew.
func (c *Election) outdated(name string, s *seat) bool {
	zone, part := ParseShardName(name)
	l := c.layouts[zone]
	return s.holder.Revision < l.Revision && l.GainsMinions(part)
}
