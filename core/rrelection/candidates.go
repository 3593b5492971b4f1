package rrelection

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
)

// PreferredOwners returns the members of a shard's zone that should own the shard in place
// of this process, best first: all if this process is in another zone, otherwise those
// without a shard, if they have far more CPU cores or this process owns several shards of
// the zone.
func (e *Election) PreferredOwners(now time.Time, shard string) []Member {
	s := e.shards[shard]
	if now.Sub(s.lastAttempt) < claimInterval || e.draining {
		return nil
	}
	ownedLongEnough := now.Sub(s.since) > minOwnershipTime
	lastOfSeveral := ownedLongEnough && e.isLastOfSeveralOwned(shard)
	var out []Member
	for _, m := range e.candidates(shard, e.self.Name) {
		if zoneDistance(m, shard) == 1 || now.Sub(e.joinedAt[m.Name]) < discoveryGrace {
			continue
		}
		ownsNone := e.ownedShards(m.Name, shard) == 0
		larger := m.CPUCores >= handoverCPURatio*e.self.CPUCores && ownsNone && ownedLongEnough
		if zoneDistance(e.self, shard) == 1 || larger || lastOfSeveral && ownsNone {
			out = append(out, m)
		}
	}
	return out
}

// HandoverAttempted records that this process tries to hand a shard to a preferred owner.
// PreferredOwners returns none for the next claimInterval.
func (e *Election) HandoverAttempted(now time.Time, shard string) {
	e.shards[shard].lastAttempt = now
}

// isLastOfSeveralOwned reports whether this process owns several shards of a shard's zone
// and this is the last of them by name.
func (e *Election) isLastOfSeveralOwned(shard string) bool {
	zone, _ := ParseShardName(shard)
	last, n := "", 0
	for other, s := range e.shards {
		if z, _ := ParseShardName(other); z == zone && s.owner.Name == e.self.Name {
			last, n = max(last, other), n+1
		}
	}
	return n > 1 && last == shard
}

// HasFarMoreCPUThanSuccessors reports whether this process has far more CPU cores than each
// member of the shard's zone that could replace it.
func (e *Election) HasFarMoreCPUThanSuccessors(shard string) bool {
	return !slices.ContainsFunc(e.candidates(shard, e.self.Name), func(m Member) bool {
		return zoneDistance(m, shard) == 0 && m.CPUCores*handoverCPURatio > e.self.CPUCores
	})
}

// Successors returns the members that can replace the owner of a shard, best first.
func (e *Election) Successors(shard, owner string) []Member {
	return e.candidates(shard, owner)
}

// claimDelay returns how long this process waits for better candidates to claim a shard.
func (e *Election) claimDelay(shard string, s *shardState, rankDelay time.Duration) time.Duration {
	return time.Duration(e.rank(shard, s.owner.Name)) * rankDelay
}

// rank returns the number of members that are better candidates than this process.
func (e *Election) rank(shard, owner string) int {
	excluded := owner
	if owner == e.self.Name {
		excluded = "" // a previous incarnation of this process
	}
	return slices.IndexFunc(append(e.candidates(shard, excluded), e.self), func(m Member) bool { return m.Name == e.self.Name })
}

// candidates returns the members that can own a shard, except the one named excluded, best
// first: members of its zone, then those with fewer shards, then those with more CPU cores.
func (e *Election) candidates(shard, excluded string) []Member {
	var list []Member
	owned := make(map[string]int, len(e.members))
	for _, m := range e.members {
		if m.Name != excluded {
			list = append(list, m)
			owned[m.Name] = e.ownedShards(m.Name, shard)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(a, shard), zoneDistance(b, shard)),
			cmp.Compare(owned[a.Name], owned[b.Name]),
			cmp.Compare(b.CPUCores, a.CPUCores),
			cmp.Compare(rrrendezvous.Weight(shard, a.Name), rrrendezvous.Weight(shard, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return list
}

// zoneDistance is 0 for a member of the shard's zone and 1 for others.
func zoneDistance(m Member, shard string) int {
	if zone, _ := ParseShardName(shard); m.Zone == zone {
		return 0
	}
	return 1
}

// ownedShards counts the shards that a member owns, except one.
func (e *Election) ownedShards(member, except string) int {
	n := 0
	for shard, s := range e.shards {
		if shard != except && s.owner.Name == member {
			n++
		}
	}
	return n
}
