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
	unresponsiveRankDelay = 300 * time.Millisecond // wait per better candidate before claiming a shard that is vacant or whose owner is unresponsive
	deadRankDelay         = 200 * time.Millisecond // the same if the owner is known to be dead
	claimInterval         = 400 * time.Millisecond // minimum time between two claims of, or attempts to hand over, the same shard

	handoverCPURatio = 1.5             // a member with this many times the owner's CPU cores gets the shard
	minOwnershipTime = time.Second     // minimum time before an owner hands a shard to a larger member or to one without a shard
	maxFormerMembers = 64              // removed members that are remembered; a further removal drops the others
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

// Owner is the owner of a shard, as its item in the store names it or, for an Epoch above
// zero, as another process reported it.
type Owner struct {
	Name        string
	Addr        string
	Incarnation int64
	Revision    int64 // of the item at its last write
	Epoch       int64 // rises with each change of owner that the store does not know
}

// epochBits is the number of low bits of a fencing token that hold the epoch.
const epochBits = 24

// FencingToken returns the fencing token of the owner, zero for the zero Owner. Every change of owner
// gives a higher token.
func (o Owner) FencingToken() int64 {
	return o.Revision<<epochBits | o.Epoch
}

// shardState is what this process knows about one shard.
type shardState struct {
	owner                 Owner     // zero Revision: vacant
	since                 time.Time // when this owner, or the vacancy, was first seen
	unansweredSince       time.Time // first heartbeat after the owner's last answer; zero if all were answered
	deadSince             time.Time // when the owner was found dead or fenced off; zero if it was not
	aliveAt               time.Time // last sign of life of this owner
	former                []tenure  // of the previous owners, the latest last
	lastAttempt           time.Time // last claim or attempt to hand over by this process
	lastClaimWithoutStore time.Time // last claim without the store
}

// Election is one process's view of members and shards. Create it with New.
type Election struct {
	self      Member
	startedAt time.Time
	members   map[string]Member
	shards    map[string]*shardState
	draining  bool

	layouts          map[string]ShardLayout // by zone
	layoutChangedAt  map[string]time.Time   // when this process received a zone's layout
	formerMembers    map[string]Member      // members that are no longer listed
	joinedAt         map[string]time.Time   // when a member was first listed
	zoneLostMemberAt map[string]time.Time   // by zone, when it last lost a member; the start of this process if it has not lost one
}

// New returns the view of a process that has just started. zones are the names of all
// zones, which are also those of their primary shards.
func New(now time.Time, self Member, zones []string) *Election {
	e := &Election{self: self, startedAt: now, members: make(map[string]Member), shards: make(map[string]*shardState),
		layouts: make(map[string]ShardLayout), layoutChangedAt: make(map[string]time.Time), formerMembers: make(map[string]Member), joinedAt: make(map[string]time.Time), zoneLostMemberAt: make(map[string]time.Time)}
	for _, z := range zones {
		e.zoneLostMemberAt[z] = now
		e.shards[z] = &shardState{since: now}
	}
	return e
}

// StopClaiming stops this process from claiming shards, since it drains.
func (e *Election) StopClaiming() {
	e.draining = true
}

// AddMember records a member that the store or a peer lists, or that has answered.
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
		e.zoneLostMemberAt[m.Zone] = now
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
// members. All owners that are known to be dead are included.
func (e *Election) MonitoredOwners() []Owner {
	ownsPrimary := e.ownsPrimaryShard()
	var out []Owner
	for _, shard := range e.Shards() {
		s := e.shards[shard]
		zone, _ := ParseShardName(shard)
		switch {
		case s.owner.Revision == 0:
		case shard == e.self.Zone, zone == e.self.Zone && ownsPrimary, !e.hasMembers(zone), !s.deadSince.IsZero():
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

// IsFormerMember reports whether the process with this name and address was a member of this process's zone that
// the store no longer lists. If it still sends heartbeats, it has started again while the store is out of reach.
// Other zones wait for the store: if it died unlisted, they would never claim its shard.
func (e *Election) IsFormerMember(name, addr string) bool {
	m, ok := e.formerMembers[name]
	return ok && m.Addr == addr && m.Zone == e.self.Zone
}

// Members returns the listed members by name.
func (e *Election) Members() map[string]Member {
	return e.members
}

// SetOwner records the owner of a shard and reports whether the shard changed owner. It
// ignores an owner whose fencing token is not higher.
func (e *Election) SetOwner(now time.Time, shard string, o Owner) bool {
	s := e.shards[shard]
	if s == nil {
		s = &shardState{}
		e.shards[shard] = s
	}
	if o.FencingToken() <= s.owner.FencingToken() {
		return false
	}
	same := o.Name == s.owner.Name && o.Incarnation == s.owner.Incarnation
	if same {
		s.owner, s.deadSince = o, time.Time{} // the same owner wrote the item again
		return false
	}
	*s = shardState{owner: o, since: now, former: s.tenures(), lastAttempt: s.lastAttempt, lastClaimWithoutStore: s.lastClaimWithoutStore}
	return true
}

// ClearOwner records that a shard's item was deleted at a revision.
func (e *Election) ClearOwner(now time.Time, shard string, revision int64) {
	s := e.shards[shard]
	if s == nil || revision <= s.owner.Revision {
		return
	}
	*s = shardState{since: now, former: s.tenures(), lastAttempt: s.lastAttempt, lastClaimWithoutStore: s.lastClaimWithoutStore}
}

// Owner returns the owner of a shard, zero if there is none. It reports false if there is
// none or the owner is known to be dead.
func (e *Election) Owner(shard string) (Owner, bool) {
	s := e.shards[shard]
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

// HeartbeatAnswered records that an incarnation of the process at an address answered a heartbeat
// that was sent at sentAt. If the owner at that address is another incarnation, it is dead.
func (e *Election) HeartbeatAnswered(now, sentAt time.Time, addr string, incarnation int64) {
	for _, s := range e.shards {
		if s.owner.Revision == 0 || s.owner.Addr != addr {
			continue
		}
		if s.owner.Incarnation != incarnation {
			e.setOwnerDead(now, s)
			continue
		}
		s.unansweredSince, s.deadSince = time.Time{}, time.Time{}
		s.observeAlive(sentAt)
	}
}

// HeartbeatReceived records that the process at an address has sent a heartbeat, up to
// HeartbeatInterval ago. It is no sign of life of an owner that is known to be dead, since the process
// may have restarted.
func (e *Election) HeartbeatReceived(now time.Time, addr string) {
	for _, s := range e.shards {
		if s.owner.Revision != 0 && s.owner.Addr == addr && s.deadSince.IsZero() {
			s.observeAlive(now.Add(-HeartbeatInterval))
		}
	}
}

func (s *shardState) observeAlive(at time.Time) {
	if at.After(s.aliveAt) {
		s.aliveAt = at
	}
}

// tenure is the time for which a process was the owner of a shard, as far as this process knows.
type tenure struct {
	since   time.Time
	aliveAt time.Time // last sign of life
}

const maxTenures = 8 // previous owners of a shard that are remembered

// tenures returns those of the previous owners and of the present one.
func (s *shardState) tenures() []tenure {
	if s.aliveAt.IsZero() {
		return s.former
	}
	out := append(slices.Clone(s.former), tenure{s.since, s.aliveAt})
	return out[max(len(out)-maxTenures, 0):]
}

// Suspended records that this process was suspended for d, which the clock of its times has not counted. All
// signs of life are older by that time.
func (e *Election) Suspended(d time.Duration) {
	for _, s := range e.shards {
		if !s.aliveAt.IsZero() {
			s.aliveAt = s.aliveAt.Add(-d)
		}
		for i := range s.former {
			s.former[i].since, s.former[i].aliveAt = s.former[i].since.Add(-d), s.former[i].aliveAt.Add(-d)
		}
	}
}

// FormerOwnerAliveAt returns the last sign of life of the latest previous owner of a shard that had been
// the owner for at least minTenure then, zero for none.
func (e *Election) FormerOwnerAliveAt(shard string, minTenure time.Duration) time.Time {
	s := e.shards[shard]
	if s == nil {
		return time.Time{}
	}
	for _, t := range slices.Backward(s.former) {
		if t.aliveAt.Sub(t.since) >= minTenure {
			return t.aliveAt
		}
	}
	return time.Time{}
}

// MarkDead records that the owner at an address is dead: nothing listens there, or the
// process there has restarted.
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
func (e *Election) UnansweredFor(now time.Time, shard string) time.Duration {
	s := e.shards[shard]
	if s == nil || s.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(s.unansweredSince)
}

// MarkFenced records that a minion refused this process's fencing token for a shard, since
// it has seen a higher one whose owner this process does not know. This process then claims
// the shard again.
func (e *Election) MarkFenced(now time.Time, shard string) {
	if s := e.shards[shard]; s != nil {
		e.setOwnerDead(now, s)
	}
}

// NextEpochOwner returns m as the next owner of a shard without the store. m must be a
// member of the shard's zone. A hash of its name and incarnation selects the epoch, so two
// owners rarely have the same fencing token.
func (e *Election) NextEpochOwner(shard string, m Member) Owner {
	s := e.shards[shard]
	epoch := (s.owner.Epoch/epochStride+1)*epochStride + int64(rrrendezvous.Weight(fmt.Sprint(m.Name, m.Incarnation), shard)%epochStride)
	return Owner{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, Revision: s.owner.Revision, Epoch: epoch}
}

// MayClaimWithoutStore reports whether this process may take a shard without the store: the shard
// must be in its own zone, and its owner known to be dead or a previous incarnation of this process.
// It allows one claim per epochInterval, since a process that has lost only its own connectivity
// would disturb a healthy owner.
func (e *Election) MayClaimWithoutStore(now time.Time, shard string) bool {
	s := e.shards[shard]
	if e.draining || s == nil || s.owner.Revision == 0 || zoneDistance(e.self, shard) == 1 || now.Sub(s.lastClaimWithoutStore) < epochInterval {
		return false
	}
	previousIncarnation := s.owner.Name == e.self.Name && s.owner.Incarnation != e.self.Incarnation
	return !s.deadSince.IsZero() || previousIncarnation
}

// TryClaimWithoutStore reports whether this process may take a shard without the store, and
// records the claim if so.
func (e *Election) TryClaimWithoutStore(now time.Time, shard string) bool {
	if !e.MayClaimWithoutStore(now, shard) {
		return false
	}
	e.shards[shard].lastClaimWithoutStore = now
	return true
}

// UnpersistedClaims returns claims for the shards that this process owns under an epoch,
// since the store does not name it as their owner yet.
func (e *Election) UnpersistedClaims(now time.Time) []Claim {
	var out []Claim
	for _, shard := range e.Shards() {
		s := e.shards[shard]
		owned := s.owner.Name == e.self.Name && s.owner.Incarnation == e.self.Incarnation
		if owned && s.owner.Epoch > 0 && now.Sub(s.lastAttempt) > persistInterval {
			s.lastAttempt = now
			out = append(out, Claim{Shard: shard, ExpectedRevision: s.owner.Revision})
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
	for _, shard := range e.Shards() {
		s := e.shards[shard]
		if now.Sub(s.lastAttempt) < claimInterval || !e.shouldClaim(now, shard, s) {
			continue
		}
		s.lastAttempt = now
		out = append(out, Claim{Shard: shard, ExpectedRevision: s.owner.Revision})
	}
	return out
}

// shouldClaim reports whether this process should take a shard.
func (e *Election) shouldClaim(now time.Time, shard string, s *shardState) bool {
	zone, _ := ParseShardName(shard)
	if s.owner.Name != e.self.Name && zoneDistance(e.self, shard) == 1 && (e.hasMembers(zone) || now.Sub(e.zoneLostMemberAt[zone]) < emptyZoneTimeout) {
		return false // the zone may be cut off from here and served by its own members
	}
	if e.isOutsideLayout(shard) {
		return false
	}
	switch {
	case s.owner.Name == e.self.Name && s.owner.Incarnation == e.self.Incarnation:
		return !s.deadSince.IsZero() || e.needsHigherToken(shard, s) // fenced off by an unknown token, or about to be
	case s.owner.Name == e.self.Name:
		return true // owned by a previous incarnation of this process
	case s.deadSince.IsZero() && now.Sub(e.startedAt) < discoveryGrace:
		return false
	case s.owner.Revision == 0:
		return now.Sub(s.since)-discoveryGrace > e.claimDelay(shard, s, unresponsiveRankDelay)
	case !s.deadSince.IsZero():
		return now.Sub(s.deadSince) >= e.claimDelay(shard, s, deadRankDelay)
	case e.UnansweredFor(now, shard) <= ownerTimeout:
		return false
	case shard != zone && e.ownsPrimaryShard():
		return true // no other member sends this owner heartbeats; PreferredOwners spreads the shards later
	}
	return e.UnansweredFor(now, shard) > ownerTimeout+e.claimDelay(shard, s, unresponsiveRankDelay)
}

func (e *Election) hasMembers(zone string) bool {
	for _, m := range e.members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
