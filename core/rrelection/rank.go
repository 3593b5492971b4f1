package rrelection

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
)

// PreferredOwners returns the members that should own a shard instead of this process, its
// owner, best first: members of the shard's zone if this process is in another one, members
// with far more CPU cores, and members without a shard if this process has several.
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

// HandoverAttempted records that this process tries to hand a shard to a preferred owner.
// PreferredOwners returns none for the next claimInterval.
func (e *Election) HandoverAttempted(now time.Time, name string) {
	e.shards[name].lastClaim = now
}

// isExcess reports whether this process owns several shards of a shard's zone and this is
// the last of them by name.
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

// OutsizesSuccessors reports whether this process has far more CPU cores than each member
// of the shard's zone that could replace it.
func (e *Election) OutsizesSuccessors(name string) bool {
	return !slices.ContainsFunc(e.candidates(name, e.self.Name), func(m Member) bool {
		return zoneDistance(m, name) == 0 && m.CPUCores*handoverCPURatio > e.self.CPUCores
	})
}

// Successors returns the members that can replace the owner of a shard, best first.
func (e *Election) Successors(name, owner string) []Member {
	return e.candidates(name, owner)
}

// claimDelay returns how long this process waits for better candidates to claim a shard.
func (e *Election) claimDelay(name string, s *shardState, rankDelay time.Duration) time.Duration {
	return time.Duration(e.rank(name, s.owner.Name)) * rankDelay
}

// rank returns the number of better candidates.
func (e *Election) rank(name, owner string) int {
	excluded := owner
	if owner == e.self.Name {
		excluded = "" // a previous incarnation of this process
	}
	return slices.IndexFunc(append(e.candidates(name, excluded), e.self), func(m Member) bool { return m.Name == e.self.Name })
}

// candidates returns the members that can own a shard, best first: members of its zone,
// then those with fewer shards, then those with more CPU cores.
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

// zoneDistance is 0 for a member of the shard's zone and 1 for others.
func zoneDistance(m Member, name string) int {
	if zone, _ := ParseShardName(name); m.Zone == zone {
		return 0
	}
	return 1
}

// ownedShards counts the shards that a member owns, except one.
func (e *Election) ownedShards(member, except string) int {
	n := 0
	for name, s := range e.shards {
		if name != except && s.owner.Name == member {
			n++
		}
	}
	return n
}
