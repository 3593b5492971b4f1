package rrelection

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
)

// PreferredOwners returns the members that should keep a seat rather than this process, which holds
// it, best first: those of the seat's own zone for a process of another, those with a far
// larger share of a core, or those that hold none while this process holds several.
func (c *Election) PreferredOwners(now time.Time, name string) []Member {
	s := c.seats[name]
	if now.Sub(s.claimed) < claimPause || c.leaving {
		return nil
	}
	settled := now.Sub(s.since) > keepAtLeast
	spare := settled && c.spare(name)
	var out []Member
	for _, m := range c.candidates(name, c.self.Name) {
		if away(m, name) == 1 || now.Sub(c.joined[m.Name]) < settle {
			continue
		}
		free := c.held(m.Name, name) == 0
		larger := m.CPUCores >= largerShare*c.self.CPUCores && free && settled
		if away(c.self, name) == 1 || larger || spare && free {
			out = append(out, m)
		}
	}
	return out
}

// HandoverAttempted notes that this process tries to hand a seat to a better holder; PreferredOwners says
// nothing for a while.
func (c *Election) HandoverAttempted(now time.Time, name string) {
	c.seats[name].claimed = now
}

// spare reports whether a seat of this process is the last of several of its zone.
func (c *Election) spare(name string) bool {
	zone, _ := ParseShardName(name)
	last, n := "", 0
	for other, s := range c.seats {
		if z, _ := ParseShardName(other); z == zone && s.holder.Name == c.self.Name {
			last, n = max(last, other), n+1
		}
	}
	return n > 1 && last == name
}

// OutsizesSuccessors reports whether this process has a far larger share of a core than each member
// that may follow it in a seat.
func (c *Election) OutsizesSuccessors(name string) bool {
	return !slices.ContainsFunc(c.candidates(name, c.self.Name), func(m Member) bool {
		return away(m, name) == 0 && m.CPUCores*largerShare > c.self.CPUCores
	})
}

// Successors returns the members that may follow the holder of a seat, best first.
func (c *Election) Successors(name, holder string) []Member {
	return c.candidates(name, holder)
}

// turn returns how long this process lets better candidates for a seat go first.
func (c *Election) turn(name string, s *seat, step time.Duration) time.Duration {
	return time.Duration(c.rank(name, s.holder.Name)) * step
}

// rank returns how many other candidates go first.
func (c *Election) rank(name, holder string) int {
	gone := holder
	if holder == c.self.Name {
		gone = "" // an earlier life of this process
	}
	return slices.IndexFunc(append(c.candidates(name, gone), c.self), func(m Member) bool { return m.Name == c.self.Name })
}

// candidates returns the members that may hold a seat, best first: those of the
// zone, with few seats, with much of a core.
func (c *Election) candidates(name, gone string) []Member {
	var list []Member
	held := make(map[string]int, len(c.members))
	for _, m := range c.members {
		if m.Name != gone {
			list = append(list, m)
			held[m.Name] = c.held(m.Name, name)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(away(a, name), away(b, name)),
			cmp.Compare(held[a.Name], held[b.Name]),
			cmp.Compare(b.CPUCores, a.CPUCores),
			cmp.Compare(rrrendezvous.Weight(name, a.Name), rrrendezvous.Weight(name, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}

// away is 1 for a member of another zone than the seat's.
func away(m Member, seat string) int {
	if zone, _ := ParseShardName(seat); m.Zone == zone {
		return 0
	}
	return 1
}

// held counts the seats of a member besides one.
func (c *Election) held(member, besides string) int {
	n := 0
	for name, s := range c.seats {
		if name != besides && s.holder.Name == member {
			n++
		}
	}
	return n
}
