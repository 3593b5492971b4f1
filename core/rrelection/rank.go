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
func (e *Election) PreferredOwners(now time.Time, name string) []Member {
	s := e.shards[name]
	if now.Sub(s.lastClaim) < claimInterval || e.draining {
		return nil
	}
	ownedLongEnough := now.Sub(s.since) > minOwnershipTime
	excess := ownedLongEnough && e.isExcess(name)
	var out []Member
	for _, m := range e.candidates(name, e.self.Name) {
		if zoneDistance(m, name) == 1 || now.Sub(e.joinedAt[m.Name]) < discoveryGrace {
			continue
		}
		ownsNone := e.ownedShards(m.Name, name) == 0
		larger := m.CPUCores >= handoverCPURatio*e.self.CPUCores && ownsNone && ownedLongEnough
		if zoneDistance(e.self, name) == 1 || larger || excess && ownsNone {
			out = append(out, m)
		}
	}
	return out
}

// HandoverAttempted notes that this process tries to hand a seat to a better holder; PreferredOwners says
// nothing for a while.
func (e *Election) HandoverAttempted(now time.Time, name string) {
	e.shards[name].lastClaim = now
}

// isExcess reports whether a seat of this process is the last of several of its zone.
func (e *Election) isExcess(name string) bool {
	zone, _ := ParseShardName(name)
	last, n := "", 0
	for other, s := range e.shards {
		if z, _ := ParseShardName(other); z == zone && s.owner.Name == e.self.Name {
			last, n = max(last, other), n+1
		}
	}
	return n > 1 && last == name
}

// OutsizesSuccessors reports whether this process has a far larger share of a core than each member
// that may follow it in a seat.
func (e *Election) OutsizesSuccessors(name string) bool {
	return !slices.ContainsFunc(e.candidates(name, e.self.Name), func(m Member) bool {
		return zoneDistance(m, name) == 0 && m.CPUCores*handoverCPURatio > e.self.CPUCores
	})
}

// Successors returns the members that may follow the holder of a seat, best first.
func (e *Election) Successors(name, owner string) []Member {
	return e.candidates(name, owner)
}

// claimDelay returns how long this process lets better candidates for a seat go first.
func (e *Election) claimDelay(name string, s *shardState, rankDelay time.Duration) time.Duration {
	return time.Duration(e.rank(name, s.owner.Name)) * rankDelay
}

// rank returns how many other candidates go first.
func (e *Election) rank(name, owner string) int {
	excluded := owner
	if owner == e.self.Name {
		excluded = "" // an earlier life of this process
	}
	return slices.IndexFunc(append(e.candidates(name, excluded), e.self), func(m Member) bool { return m.Name == e.self.Name })
}

// candidates returns the members that may hold a seat, best first: those of the
// zone, with few seats, with much of a core.
func (e *Election) candidates(name, excluded string) []Member {
	var list []Member
	owned := make(map[string]int, len(e.members))
	for _, m := range e.members {
		if m.Name != excluded {
			list = append(list, m)
			owned[m.Name] = e.ownedShards(m.Name, name)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(a, name), zoneDistance(b, name)),
			cmp.Compare(owned[a.Name], owned[b.Name]),
			cmp.Compare(b.CPUCores, a.CPUCores),
			cmp.Compare(rrrendezvous.Weight(name, a.Name), rrrendezvous.Weight(name, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}

// zoneDistance is 1 for a member of another zone than the seat's.
func zoneDistance(m Member, name string) int {
	if zone, _ := ParseShardName(name); m.Zone == zone {
		return 0
	}
	return 1
}

// ownedShards counts the seats of a member besides one.
func (e *Election) ownedShards(member, except string) int {
	n := 0
	for name, s := range e.shards {
		if name != except && s.owner.Name == member {
			n++
		}
	}
	return n
}
