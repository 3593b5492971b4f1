// Package rrelection decides which process keeps the minions of an availability zone.
//
// A seat is an item in the platform's store, one for each zone. Its revision gives the
// fencing token of its holder. A process that finds the holder gone replaces the
// item under the condition that it has not changed, and the minions shut the old
// holder out by its lower token. No lease has to run out first. Where the store can't
// be reached, as in a zone that is cut off, processes of the zone itself go on from
// the last revision by steps; the next write to the store goes before all of these.
package rrelection

import (
	"fmt"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
)

// Times of the decisions.
const (
	HeartbeatInterval     = 200 * time.Millisecond // between two calls to a holder
	discoveryGrace        = 700 * time.Millisecond // after the start of a process, so that the others are known; all start within 300 ms
	ownerTimeout          = 450 * time.Millisecond // a holder that does not answer for so long is taken for gone: three calls in a row
	unresponsiveRankDelay = 300 * time.Millisecond // each further candidate waits this much longer
	deadRankDelay         = 200 * time.Millisecond // the same where the holder is known to be dead
	claimInterval         = 400 * time.Millisecond // between two claims of the same seat

	handoverCPURatio = 1.5             // times the holder's share of a core for which a seat changes hands
	minOwnershipTime = time.Second     // a seat is kept so long before it goes to a larger member
	maxFormerMembers = 64              // members that are remembered after they were listed
	epochStride      = 1024            // steps that are kept apart for members of a zone
	epochInterval    = 3 * time.Second // between two claims of one seat without the store
	persistInterval  = time.Second     // between two tries to tell the store
	emptyZoneTimeout = 4 * time.Second // a zone without members is kept from outside after this
)

// Member is a process that can hold a seat.
type Member struct {
	Name        string
	Addr        string // for calls between processes
	Zone        string
	CPUCores    float64 // of a core that it may use
	Incarnation int64   // tells starts of the process apart
}

// Owner is the content of a seat.
type Owner struct {
	Name        string
	Addr        string
	Incarnation int64
	Revision    int64 // of the item when it was last written
	Epoch       int64 // rises with each change of the holder that the store does not know of
}

// epochBits is the part of a token that counts changes without the store.
const epochBits = 24

// FencingToken returns the fencing token of the holder, zero for none. Every change of the
// holder gives a higher one.
func (o Owner) FencingToken() int64 {
	return o.Revision<<epochBits | o.Epoch
}

// shardState is what is known of one seat.
type shardState struct {
	owner           Owner     // zero Revision: vacant
	since           time.Time // when this holder was first seen, or the vacancy
	unansweredSince time.Time // first call to this holder since its last answer; zero when it has answered them all
	deadSince       time.Time // when it was found dead; zero when not
	lastClaim       time.Time // last claim by this process
	lastEpochTry    time.Time // last claim without the store
}

// Election is one process's view of members and seats. Create it with New.
type Election struct {
	self      Member
	startedAt time.Time
	members   map[string]Member
	shards    map[string]*shardState
	draining  bool

	layouts         map[string]ShardLayout // by zone
	layoutChangedAt map[string]time.Time   // when a zone's layout was learned
	formerMembers   map[string]Member      // members that are listed no longer
	joinedAt        map[string]time.Time   // when a member was first listed
	memberRemovedAt map[string]time.Time   // when the last member of a zone was listed
}

// New returns the view of a process that has just started. zones are the names of
// all seats.
func New(now time.Time, self Member, zones []string) *Election {
	e := &Election{self: self, startedAt: now, members: make(map[string]Member), shards: make(map[string]*shardState),
		layouts: make(map[string]ShardLayout), layoutChangedAt: make(map[string]time.Time), formerMembers: make(map[string]Member), joinedAt: make(map[string]time.Time), memberRemovedAt: make(map[string]time.Time)}
	for _, z := range zones {
		e.memberRemovedAt[z] = now
		e.shards[z] = &shardState{since: now}
	}
	return e
}

// StopClaiming says that this process stops and claims nothing more.
func (e *Election) StopClaiming() {
	e.draining = true
}

// AddMember notes a member that the store lists.
func (e *Election) AddMember(now time.Time, m Member) {
	if _, ok := e.members[m.Name]; !ok {
		e.joinedAt[m.Name] = now
	}
	e.members[m.Name] = m
	delete(e.formerMembers, m.Name)
}

// RemoveMember notes that the store lists a member no longer.
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

// MonitoredOwners returns the holders that this process has to call often, since it may have to
// follow them: that of its zone's first seat, those of the zone's others if it holds that,
// and those of zones without members. Holders that are known to be dead are among them.
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

// ownsPrimaryShard reports whether this process holds the first seat of its zone.
func (e *Election) ownsPrimaryShard() bool {
	primary, _ := e.Owner(e.self.Zone)
	return primary.Name == e.self.Name && primary.Incarnation == e.self.Incarnation
}

// ZonePeerAddrs returns the addresses of the other members of the own zone, and of those
// that were members and may be back while the store can't tell.
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

// PeerAddrs returns the addresses of all other members, listed or not.
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

// ConfirmMember notes that a life of a process answered. One that was a member is one again.
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

// Members returns the members that are listed.
func (e *Election) Members() map[string]Member {
	return e.members
}

// SetOwner notes the content of a seat and reports whether it is news.
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
		s.owner, s.deadSince = o, time.Time{} // written anew by the same holder
		return false
	}
	*s = shardState{owner: o, since: now, lastClaim: s.lastClaim, lastEpochTry: s.lastEpochTry}
	return true
}

// ClearOwner notes that a seat's item was removed at a revision.
func (e *Election) ClearOwner(now time.Time, name string, revision int64) {
	s := e.shards[name]
	if s == nil || revision <= s.owner.Revision {
		return
	}
	*s = shardState{since: now, lastClaim: s.lastClaim, lastEpochTry: s.lastEpochTry}
}

// Owner returns the holder of a seat and whether it is not known to be gone.
func (e *Election) Owner(name string) (Owner, bool) {
	s := e.shards[name]
	if s == nil || s.owner.Revision == 0 {
		return Owner{}, false
	}
	return s.owner, s.deadSince.IsZero()
}

// Shards returns the names of all seats in order.
func (e *Election) Shards() []string {
	names := make([]string, 0, len(e.shards))
	for n := range e.shards {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// HeartbeatSent notes that this process calls an address, which may be that of a holder.
func (e *Election) HeartbeatSent(now time.Time, addr string) {
	for _, s := range e.shards {
		if s.owner.Revision != 0 && s.owner.Addr == addr && s.unansweredSince.IsZero() {
			s.unansweredSince = now
		}
	}
}

// HeartbeatAnswered notes an answer of a life of a process at the address of a holder.
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

// MarkDead notes that nothing listens at the address of a holder.
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

// UnansweredFor returns how long the holder of a seat has not answered, counted from the first call
// without an answer: zero for one that this process does not call.
func (e *Election) UnansweredFor(now time.Time, name string) time.Duration {
	s := e.shards[name]
	if s == nil || s.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(s.unansweredSince)
}

// MarkFenced notes that the holder of a seat was shut out by a token that is not known here.
func (e *Election) MarkFenced(now time.Time, name string) {
	if s := e.shards[name]; s != nil {
		e.setOwnerDead(now, s)
	}
}

// NextEpoch returns the holder that follows the present one without the store: a member of
// the seat's zone. Steps of different members and lives differ, so that no two
// have one token.
func (e *Election) NextEpoch(name string, m Member) Owner {
	s := e.shards[name]
	epoch := (s.owner.Epoch/epochStride+1)*epochStride + int64(rrrendezvous.Weight(fmt.Sprint(m.Name, m.Incarnation), name)%epochStride)
	return Owner{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, Revision: s.owner.Revision, Epoch: epoch}
}

// TryStartEpoch reports whether this process may take a seat without the store: one of its
// own zone whose holder is known to be dead. It does so at most once in a while, since
// a process that only lost touch itself would disturb a sound holder.
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

// UnpersistedClaims returns the seats that this process holds and the store does not know of.
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

// Claim is the wish to take a seat whose item has a revision.
type Claim struct {
	Shard            string
	ExpectedRevision int64
}

// DueClaims returns the seats that this process should take now.
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

// shouldClaim reports whether this process should take a seat.
func (e *Election) shouldClaim(now time.Time, name string, s *shardState) bool {
	zone, _ := ParseShardName(name)
	if s.owner.Name != e.self.Name && zoneDistance(e.self, name) == 1 && (e.hasMembers(zone) || now.Sub(e.memberRemovedAt[zone]) < emptyZoneTimeout) {
		return false // the zone may be cut off and served from within
	}
	if e.isSurplus(name) {
		return false
	}
	switch {
	case s.owner.Name == e.self.Name && s.owner.Incarnation == e.self.Incarnation:
		return !s.deadSince.IsZero() || e.needsHigherToken(name, s) // shut out by a token that is not known here, or soon to be
	case s.owner.Name == e.self.Name:
		return true // an earlier life of this process
	case s.deadSince.IsZero() && now.Sub(e.startedAt) < discoveryGrace:
		return false
	case s.owner.Revision == 0:
		return now.Sub(s.since)-discoveryGrace > e.claimDelay(name, s, unresponsiveRankDelay)
	case !s.deadSince.IsZero():
		return now.Sub(s.deadSince) >= e.claimDelay(name, s, deadRankDelay)
	case e.UnansweredFor(now, name) <= ownerTimeout:
		return false
	case name != zone && e.ownsPrimaryShard():
		return true // the others do not call this holder; PreferredOwners spreads the seats later
	}
	return e.UnansweredFor(now, name) > ownerTimeout+e.claimDelay(name, s, unresponsiveRankDelay)
}

// hasMembers reports whether a zone has a member of its own.
func (e *Election) hasMembers(zone string) bool {
	for _, m := range e.members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
