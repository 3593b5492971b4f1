// Package rrelection elects the process that owns each shard of an availability zone's
// minions.
//
// A zone has one shard or several. Each shard has an item in the platform's store, which
// names its owner; the item's revision gives the owner's fencing token. A process that
// finds the owner dead or unresponsive replaces the item on the condition that it has not
// changed, and the minions then refuse commands with the previous owner's lower token. No
// lease has to expire first.
//
// Where the store is unreachable, as in a zone that is cut off, a process of the same zone
// takes over under the last revision and a higher epoch. The next write to the store has a
// higher revision and so outranks all these epochs.
package rrelection

import (
	"fmt"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
)

// Timing and limits of the election.
const (
	HeartbeatInterval     = 200 * time.Millisecond // between two heartbeats to an owner
	discoveryGrace        = 700 * time.Millisecond // after the start of a process, to discover the other members; all start within 300 ms
	ownerTimeout          = 450 * time.Millisecond // an owner without an answer for this long counts as unresponsive: three heartbeats in a row
	unresponsiveRankDelay = 300 * time.Millisecond // extra wait of each further candidate
	deadRankDelay         = 200 * time.Millisecond // the same if the owner is known to be dead
	claimInterval         = 400 * time.Millisecond // minimum time between two claims of the same shard

	handoverCPURatio = 1.5             // a member with this many times the owner's CPU cores gets the shard
	minOwnershipTime = time.Second     // minimum time before a shard is handed to a larger member
	maxFormerMembers = 64              // members that are remembered after their removal
	epochStride      = 1024            // each change of owner advances the epoch into the next range of this size; the member's hash selects the epoch in it
	epochInterval    = 3 * time.Second // minimum time between two claims of one shard without the store
	persistInterval  = time.Second     // minimum time between two attempts to write such a claim to the store
	emptyZoneTimeout = 4 * time.Second // other zones may take over the shards of a zone that has had no members for this long
)

// Member is a process that can own a shard.
type Member struct {
	Name        string
	Addr        string // for calls between processes
	Zone        string
	CPUCores    float64 // CPU cores that it may use
	Incarnation int64   // differs for each start of the process
}

// Owner is the owner of a shard, as its item in the store names it.
type Owner struct {
	Name        string
	Addr        string
	Incarnation int64
	Revision    int64 // of the item at its last write
	Epoch       int64 // rises with each change of owner that the store does not know
}

// epochBits is the number of low bits of a fencing token that hold the epoch.
const epochBits = 24

// FencingToken returns the fencing token of the owner, zero for none. Every change of owner
// gives a higher token.
func (o Owner) FencingToken() int64 {
	return o.Revision<<epochBits | o.Epoch
}

// shardState is what this process knows about one shard.
type shardState struct {
	owner           Owner     // zero Revision: vacant
	since           time.Time // when this owner, or the vacancy, was first seen
	unansweredSince time.Time // first heartbeat after the owner's last answer; zero if all were answered
	deadSince       time.Time // when the owner was found dead; zero if it was not
	lastClaim       time.Time // last claim by this process
	lastEpochTry    time.Time // last claim without the store
}

// Election is one process's view of members and shards. Create it with New.
type Election struct {
	self      Member
	startedAt time.Time
	members   map[string]Member
	shards    map[string]*shardState
	draining  bool

	layouts         map[string]ShardLayout // by zone
	layoutChangedAt map[string]time.Time   // when this process received a zone's layout
	formerMembers   map[string]Member      // members that are no longer listed
	joinedAt        map[string]time.Time   // when a member was first listed
	memberRemovedAt map[string]time.Time   // when a zone last lost a member; the start of this process if it has not lost one
}

// New returns the view of a process that has just started. zones are the names of all
// zones, which are also those of their primary shards.
func New(now time.Time, self Member, zones []string) *Election {
	e := &Election{self: self, startedAt: now, members: make(map[string]Member), shards: make(map[string]*shardState),
		layouts: make(map[string]ShardLayout), layoutChangedAt: make(map[string]time.Time), formerMembers: make(map[string]Member), joinedAt: make(map[string]time.Time), memberRemovedAt: make(map[string]time.Time)}
	for _, z := range zones {
		e.memberRemovedAt[z] = now
		e.shards[z] = &shardState{since: now}
	}
	return e
}

// StopClaiming makes this process claim no more shards, since it drains.
func (e *Election) StopClaiming() {
	e.draining = true
}

// AddMember records a member that the store lists.
func (e *Election) AddMember(now time.Time, m Member) {
	if _, ok := e.members[m.Name]; !ok {
		e.joinedAt[m.Name] = now
	}
	e.members[m.Name] = m
	delete(e.formerMembers, m.Name)
}

// RemoveMember records that the store no longer lists a member.
func (e *Election) RemoveMember(now time.Time, name string) {
	if m, ok := e.members[name]; ok {
		e.memberRemovedAt[m.Zone] = now
		if len(e.formerMembers) >= maxFormerMembers {
			clear(e.formerMembers)
		}
		e.formerMembers[name] = m
	}
	delete(e.members, name)
	delete(e.joinedAt, name)
}

// MonitoredOwners returns the owners that this process sends frequent heartbeats to, since
// it may have to replace them: the owner of its zone's primary shard, the owners of the
// zone's other shards if this process owns the primary one, and those of zones without
// members. Owners that are known to be dead are included.
func (e *Election) MonitoredOwners() []Owner {
	ownsPrimary := e.ownsPrimaryShard()
	var out []Owner
	for _, name := range e.Shards() {
		s := e.shards[name]
		zone, _ := ParseShardName(name)
		switch {
		case s.owner.Revision == 0:
		case name == e.self.Zone, zone == e.self.Zone && ownsPrimary, !e.hasMembers(zone), !s.deadSince.IsZero():
			out = append(out, s.owner)
		}
	}
	return out
}

// ownsPrimaryShard reports whether this process owns the primary shard of its zone.
func (e *Election) ownsPrimaryShard() bool {
	primary, _ := e.Owner(e.self.Zone)
	return primary.Name == e.self.Name && primary.Incarnation == e.self.Incarnation
}

// ZonePeerAddrs returns the addresses of the other members of this process's zone. Former
// members are included: while the store is unreachable it can't list one that has returned.
func (e *Election) ZonePeerAddrs() []string {
	var out []string
	for _, list := range []map[string]Member{e.members, e.formerMembers} {
		for _, m := range list {
			if m.Zone == e.self.Zone && m.Name != e.self.Name {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

// PeerAddrs returns the addresses of all other members, including former ones.
func (e *Election) PeerAddrs() []string {
	var out []string
	for _, list := range []map[string]Member{e.members, e.formerMembers} {
		for _, m := range list {
			if m.Name != e.self.Name {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

// ConfirmMember records that an incarnation of the process at an address answered. A former
// member becomes a member again.
func (e *Election) ConfirmMember(now time.Time, addr string, incarnation int64) {
	for _, list := range []map[string]Member{e.members, e.formerMembers} {
		for _, m := range list {
			if m.Addr == addr && m.Name != e.self.Name && incarnation >= m.Incarnation {
				m.Incarnation = incarnation
				e.AddMember(now, m)
				return
			}
		}
	}
}

// Members returns the listed members by name.
func (e *Election) Members() map[string]Member {
	return e.members
}

// SetOwner records the owner of a shard and reports whether the shard changed owner. It
// ignores an owner whose fencing token is not higher.
func (e *Election) SetOwner(now time.Time, name string, o Owner) bool {
	s := e.shards[name]
	if s == nil {
		s = &shardState{}
		e.shards[name] = s
	}
	if o.FencingToken() <= s.owner.FencingToken() {
		return false
	}
	same := o.Name == s.owner.Name && o.Incarnation == s.owner.Incarnation
	if same {
		s.owner, s.deadSince = o, time.Time{} // the same owner wrote the item again
		return false
	}
	*s = shardState{owner: o, since: now, lastClaim: s.lastClaim, lastEpochTry: s.lastEpochTry}
	return true
}

// ClearOwner records that a shard's item was deleted at a revision.
func (e *Election) ClearOwner(now time.Time, name string, revision int64) {
	s := e.shards[name]
	if s == nil || revision <= s.owner.Revision {
		return
	}
	*s = shardState{since: now, lastClaim: s.lastClaim, lastEpochTry: s.lastEpochTry}
}

// Owner returns the owner of a shard, zero if there is none, and whether that owner is not
// known to be dead.
func (e *Election) Owner(name string) (Owner, bool) {
	s := e.shards[name]
	if s == nil || s.owner.Revision == 0 {
		return Owner{}, false
	}
	return s.owner, s.deadSince.IsZero()
}

// Shards returns the names of all shards in order.
func (e *Election) Shards() []string {
	names := make([]string, 0, len(e.shards))
	for n := range e.shards {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// HeartbeatSent records a heartbeat to an address, which need not be that of an owner.
func (e *Election) HeartbeatSent(now time.Time, addr string) {
	for _, s := range e.shards {
		if s.owner.Revision != 0 && s.owner.Addr == addr && s.unansweredSince.IsZero() {
			s.unansweredSince = now
		}
	}
}

// HeartbeatAnswered records that an incarnation of the process at an address answered. If
// the owner at that address is another incarnation, it is dead.
func (e *Election) HeartbeatAnswered(now time.Time, addr string, incarnation int64) {
	for _, s := range e.shards {
		if s.owner.Revision == 0 || s.owner.Addr != addr {
			continue
		}
		if s.owner.Incarnation != incarnation {
			e.setOwnerDead(now, s)
			continue
		}
		s.unansweredSince, s.deadSince = time.Time{}, time.Time{}
	}
}

// MarkDead records that the owner at an address is dead, since nothing listens there.
func (e *Election) MarkDead(now time.Time, addr string) {
	for _, s := range e.shards {
		if s.owner.Revision != 0 && s.owner.Addr == addr {
			e.setOwnerDead(now, s)
		}
	}
}

func (e *Election) setOwnerDead(now time.Time, s *shardState) {
	if s.deadSince.IsZero() {
		s.deadSince = now
	}
}

// UnansweredFor returns the time since the first unanswered heartbeat to the owner of a
// shard. It is zero if this process sends that owner no heartbeats.
func (e *Election) UnansweredFor(now time.Time, name string) time.Duration {
	s := e.shards[name]
	if s == nil || s.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(s.unansweredSince)
}

// MarkFenced records that minions fenced off the owner of a shard with a higher token,
// whose owner is not known here.
func (e *Election) MarkFenced(now time.Time, name string) {
	if s := e.shards[name]; s != nil {
		e.setOwnerDead(now, s)
	}
}

// NextEpoch returns m as the next owner of a shard without the store. m must be a member of
// the shard's zone. Epochs of different members and incarnations differ, so that no two
// owners have the same fencing token.
func (e *Election) NextEpoch(name string, m Member) Owner {
	s := e.shards[name]
	epoch := (s.owner.Epoch/epochStride+1)*epochStride + int64(rrrendezvous.Weight(fmt.Sprint(m.Name, m.Incarnation), name)%epochStride)
	return Owner{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, Revision: s.owner.Revision, Epoch: epoch}
}

// TryStartEpoch reports whether this process may take a shard without the store: the shard
// must be in its own zone and have an owner that is known to be dead. It allows one claim
// per epochInterval, since a process that has lost only its own connectivity would disturb
// a healthy owner.
func (e *Election) TryStartEpoch(now time.Time, name string) bool {
	s := e.shards[name]
	if e.draining || s == nil || s.owner.Revision == 0 || zoneDistance(e.self, name) == 1 || now.Sub(s.lastEpochTry) < epochInterval {
		return false
	}
	previousIncarnation := s.owner.Name == e.self.Name && s.owner.Incarnation != e.self.Incarnation
	if s.deadSince.IsZero() && !previousIncarnation {
		return false
	}
	s.lastEpochTry = now
	return true
}

// UnpersistedClaims returns claims for the shards that this process owns under an epoch,
// which the store does not know yet.
func (e *Election) UnpersistedClaims(now time.Time) []Claim {
	var out []Claim
	for _, name := range e.Shards() {
		s := e.shards[name]
		owned := s.owner.Name == e.self.Name && s.owner.Incarnation == e.self.Incarnation
		if owned && s.owner.Epoch > 0 && now.Sub(s.lastClaim) > persistInterval {
			s.lastClaim = now
			out = append(out, Claim{Shard: name, ExpectedRevision: s.owner.Revision})
		}
	}
	return out
}

// Claim asks to write this process as owner into a shard's item if that still has the
// expected revision.
type Claim struct {
	Shard            string
	ExpectedRevision int64
}

// DueClaims returns claims for the shards that this process should take now.
func (e *Election) DueClaims(now time.Time) []Claim {
	if e.draining {
		return nil
	}
	var out []Claim
	for _, name := range e.Shards() {
		s := e.shards[name]
		if now.Sub(s.lastClaim) < claimInterval || !e.shouldClaim(now, name, s) {
			continue
		}
		s.lastClaim = now
		out = append(out, Claim{Shard: name, ExpectedRevision: s.owner.Revision})
	}
	return out
}

// shouldClaim reports whether this process should take a shard.
func (e *Election) shouldClaim(now time.Time, name string, s *shardState) bool {
	zone, _ := ParseShardName(name)
	if s.owner.Name != e.self.Name && zoneDistance(e.self, name) == 1 && (e.hasMembers(zone) || now.Sub(e.memberRemovedAt[zone]) < emptyZoneTimeout) {
		return false // the zone may be cut off from here and served by its own members
	}
	if e.isSurplus(name) {
		return false
	}
	switch {
	case s.owner.Name == e.self.Name && s.owner.Incarnation == e.self.Incarnation:
		return !s.deadSince.IsZero() || e.needsHigherToken(name, s) // fenced off by an unknown token, or about to be
	case s.owner.Name == e.self.Name:
		return true // owned by a previous incarnation of this process
	case s.deadSince.IsZero() && now.Sub(e.startedAt) < discoveryGrace:
		return false
	case s.owner.Revision == 0:
		return now.Sub(s.since)-discoveryGrace > e.claimDelay(name, s, unresponsiveRankDelay)
	case !s.deadSince.IsZero():
		return now.Sub(s.deadSince) >= e.claimDelay(name, s, deadRankDelay)
	case e.UnansweredFor(now, name) <= ownerTimeout:
		return false
	case name != zone && e.ownsPrimaryShard():
		return true // no other member sends this owner heartbeats; PreferredOwners spreads the shards later
	}
	return e.UnansweredFor(now, name) > ownerTimeout+e.claimDelay(name, s, unresponsiveRankDelay)
}

func (e *Election) hasMembers(zone string) bool {
	for _, m := range e.members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
