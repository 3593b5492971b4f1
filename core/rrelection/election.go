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
	HeartbeatInterval = 200 * time.Millisecond // between two calls to a holder
	settle            = 700 * time.Millisecond // after the start of a process, so that the others are known; all start within 300 ms
	silence           = 450 * time.Millisecond // a holder that does not answer for so long is taken for gone: three calls in a row
	stepSilent        = 300 * time.Millisecond // each further candidate waits this much longer
	stepDead          = 200 * time.Millisecond // the same where the holder is known to be dead
	claimPause        = 400 * time.Millisecond // between two claims of the same seat

	largerShare  = 1.5             // times the holder's share of a core for which a seat changes hands
	keepAtLeast  = time.Second     // a seat is kept so long before it goes to a larger member
	formerMost   = 64              // members that are remembered after they were listed
	stepMembers  = 1024            // steps that are kept apart for members of a zone
	stepPause    = 3 * time.Second // between two claims of one seat without the store
	writePause   = time.Second     // between two tries to tell the store
	unmannedTerm = 4 * time.Second // a zone without members is kept from outside after this
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

// stepBits is the part of a token that counts changes without the store.
const stepBits = 24

// FencingToken returns the fencing token of the holder, zero for none. Every change of the
// holder gives a higher one.
func (h Owner) FencingToken() int64 {
	return h.Revision<<stepBits | h.Epoch
}

// seat is what is known of one seat.
type seat struct {
	holder  Owner     // zero Revision: vacant
	since   time.Time // when this holder was first seen, or the vacancy
	asked   time.Time // first call to this holder since its last answer; zero when it has answered them all
	dead    time.Time // when it was found dead; zero when not
	claimed time.Time // last claim by this process
	stepped time.Time // last claim without the store
}

// Election is one process's view of members and seats. Create it with New.
type Election struct {
	self    Member
	born    time.Time
	members map[string]Member
	seats   map[string]*seat
	leaving bool

	layouts  map[string]ShardLayout // by zone
	divided  map[string]time.Time   // when a zone's layout was learned
	former   map[string]Member      // members that are listed no longer
	joined   map[string]time.Time   // when a member was first listed
	unmanned map[string]time.Time   // when the last member of a zone was listed
}

// New returns the view of a process that has just started. zones are the names of
// all seats.
func New(now time.Time, self Member, zones []string) *Election {
	c := &Election{self: self, born: now, members: make(map[string]Member), seats: make(map[string]*seat),
		layouts: make(map[string]ShardLayout), divided: make(map[string]time.Time), former: make(map[string]Member), joined: make(map[string]time.Time), unmanned: make(map[string]time.Time)}
	for _, z := range zones {
		c.unmanned[z] = now
		c.seats[z] = &seat{since: now}
	}
	return c
}

// StopClaiming says that this process stops and claims nothing more.
func (c *Election) StopClaiming() {
	c.leaving = true
}

// AddMember notes a member that the store lists.
func (c *Election) AddMember(now time.Time, m Member) {
	if _, ok := c.members[m.Name]; !ok {
		c.joined[m.Name] = now
	}
	c.members[m.Name] = m
	delete(c.former, m.Name)
}

// RemoveMember notes that the store lists a member no longer.
func (c *Election) RemoveMember(now time.Time, name string) {
	if m, ok := c.members[name]; ok {
		c.unmanned[m.Zone] = now
		if len(c.former) >= formerMost {
			clear(c.former)
		}
		c.former[name] = m
	}
	delete(c.members, name)
	delete(c.joined, name)
}

// MonitoredOwners returns the holders that this process has to call often, since it may have to
// follow them: that of its zone's first seat, those of the zone's others if it holds that,
// and those of zones without members. Holders that are known to be dead are among them.
func (c *Election) MonitoredOwners() []Owner {
	leads := c.leads()
	var out []Owner
	for _, name := range c.Shards() {
		s := c.seats[name]
		zone, _ := ParseShardName(name)
		switch {
		case s.holder.Revision == 0:
		case name == c.self.Zone, zone == c.self.Zone && leads, !c.manned(zone), !s.dead.IsZero():
			out = append(out, s.holder)
		}
	}
	return out
}

// leads reports whether this process holds the first seat of its zone.
func (c *Election) leads() bool {
	first, _ := c.Owner(c.self.Zone)
	return first.Name == c.self.Name && first.Incarnation == c.self.Incarnation
}

// ZonePeerAddrs returns the addresses of the other members of the own zone, and of those
// that were members and may be back while the store can't tell.
func (c *Election) ZonePeerAddrs() []string {
	var out []string
	for _, list := range []map[string]Member{c.members, c.former} {
		for _, m := range list {
			if m.Zone == c.self.Zone && m.Name != c.self.Name {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

// PeerAddrs returns the addresses of all other members, listed or not.
func (c *Election) PeerAddrs() []string {
	var out []string
	for _, list := range []map[string]Member{c.members, c.former} {
		for _, m := range list {
			if m.Name != c.self.Name {
				out = append(out, m.Addr)
			}
		}
	}
	return out
}

// ConfirmMember notes that a life of a process answered. One that was a member is one again.
func (c *Election) ConfirmMember(now time.Time, addr string, life int64) {
	for _, list := range []map[string]Member{c.members, c.former} {
		for _, m := range list {
			if m.Addr == addr && m.Name != c.self.Name && life >= m.Incarnation {
				m.Incarnation = life
				c.AddMember(now, m)
				return
			}
		}
	}
}

// Members returns the members that are listed.
func (c *Election) Members() map[string]Member {
	return c.members
}

// SetOwner notes the content of a seat and reports whether it is news.
func (c *Election) SetOwner(now time.Time, name string, h Owner) bool {
	s := c.seats[name]
	if s == nil {
		s = &seat{}
		c.seats[name] = s
	}
	if h.FencingToken() <= s.holder.FencingToken() {
		return false
	}
	same := h.Name == s.holder.Name && h.Incarnation == s.holder.Incarnation
	if same {
		s.holder, s.dead = h, time.Time{} // written anew by the same holder
		return false
	}
	*s = seat{holder: h, since: now, claimed: s.claimed, stepped: s.stepped}
	return true
}

// ClearOwner notes that a seat's item was removed at a revision.
func (c *Election) ClearOwner(now time.Time, name string, revision int64) {
	s := c.seats[name]
	if s == nil || revision <= s.holder.Revision {
		return
	}
	*s = seat{since: now, claimed: s.claimed, stepped: s.stepped}
}

// Owner returns the holder of a seat and whether it is not known to be gone.
func (c *Election) Owner(name string) (Owner, bool) {
	s := c.seats[name]
	if s == nil || s.holder.Revision == 0 {
		return Owner{}, false
	}
	return s.holder, s.dead.IsZero()
}

// Shards returns the names of all seats in order.
func (c *Election) Shards() []string {
	names := make([]string, 0, len(c.seats))
	for n := range c.seats {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// HeartbeatSent notes that this process calls an address, which may be that of a holder.
func (c *Election) HeartbeatSent(now time.Time, addr string) {
	for _, s := range c.seats {
		if s.holder.Revision != 0 && s.holder.Addr == addr && s.asked.IsZero() {
			s.asked = now
		}
	}
}

// HeartbeatAnswered notes an answer of a life of a process at the address of a holder.
func (c *Election) HeartbeatAnswered(now time.Time, addr string, life int64) {
	for _, s := range c.seats {
		if s.holder.Revision == 0 || s.holder.Addr != addr {
			continue
		}
		if s.holder.Incarnation != life {
			c.die(now, s)
			continue
		}
		s.asked, s.dead = time.Time{}, time.Time{}
	}
}

// MarkDead notes that nothing listens at the address of a holder.
func (c *Election) MarkDead(now time.Time, addr string) {
	for _, s := range c.seats {
		if s.holder.Revision != 0 && s.holder.Addr == addr {
			c.die(now, s)
		}
	}
}

func (c *Election) die(now time.Time, s *seat) {
	if s.dead.IsZero() {
		s.dead = now
	}
}

// UnansweredFor returns how long the holder of a seat has not answered, counted from the first call
// without an answer: zero for one that this process does not call.
func (c *Election) UnansweredFor(now time.Time, name string) time.Duration {
	s := c.seats[name]
	if s == nil || s.asked.IsZero() {
		return 0
	}
	return now.Sub(s.asked)
}

// MarkFenced notes that the holder of a seat was shut out by a token that is not known here.
func (c *Election) MarkFenced(now time.Time, name string) {
	if s := c.seats[name]; s != nil {
		c.die(now, s)
	}
}

// NextEpoch returns the holder that follows the present one without the store: a member of
// the seat's zone. Steps of different members and lives differ, so that no two
// have one token.
func (c *Election) NextEpoch(name string, m Member) Owner {
	s := c.seats[name]
	step := (s.holder.Epoch/stepMembers+1)*stepMembers + int64(rrrendezvous.Weight(fmt.Sprint(m.Name, m.Incarnation), name)%stepMembers)
	return Owner{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, Revision: s.holder.Revision, Epoch: step}
}

// TryStartEpoch reports whether this process may take a seat without the store: one of its
// own zone whose holder is known to be dead. It does so at most once in a while, since
// a process that only lost touch itself would disturb a sound holder.
func (c *Election) TryStartEpoch(now time.Time, name string) bool {
	s := c.seats[name]
	if c.leaving || s == nil || s.holder.Revision == 0 || away(c.self, name) == 1 || now.Sub(s.stepped) < stepPause {
		return false
	}
	earlier := s.holder.Name == c.self.Name && s.holder.Incarnation != c.self.Incarnation
	if s.dead.IsZero() && !earlier {
		return false
	}
	s.stepped = now
	return true
}

// UnpersistedClaims returns the seats that this process holds and the store does not know of.
func (c *Election) UnpersistedClaims(now time.Time) []Claim {
	var out []Claim
	for _, name := range c.Shards() {
		s := c.seats[name]
		mine := s.holder.Name == c.self.Name && s.holder.Incarnation == c.self.Incarnation
		if mine && s.holder.Epoch > 0 && now.Sub(s.claimed) > writePause {
			s.claimed = now
			out = append(out, Claim{Shard: name, ExpectedRevision: s.holder.Revision})
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
func (c *Election) DueClaims(now time.Time) []Claim {
	if c.leaving {
		return nil
	}
	var out []Claim
	for _, name := range c.Shards() {
		s := c.seats[name]
		if now.Sub(s.claimed) < claimPause || !c.due(now, name, s) {
			continue
		}
		s.claimed = now
		out = append(out, Claim{Shard: name, ExpectedRevision: s.holder.Revision})
	}
	return out
}

// due reports whether this process should take a seat.
func (c *Election) due(now time.Time, name string, s *seat) bool {
	zone, _ := ParseShardName(name)
	if s.holder.Name != c.self.Name && away(c.self, name) == 1 && (c.manned(zone) || now.Sub(c.unmanned[zone]) < unmannedTerm) {
		return false // the zone may be cut off and served from within
	}
	if c.unused(name) {
		return false
	}
	switch {
	case s.holder.Name == c.self.Name && s.holder.Incarnation == c.self.Incarnation:
		return !s.dead.IsZero() || c.outdated(name, s) // shut out by a token that is not known here, or soon to be
	case s.holder.Name == c.self.Name:
		return true // an earlier life of this process
	case s.dead.IsZero() && now.Sub(c.born) < settle:
		return false
	case s.holder.Revision == 0:
		return now.Sub(s.since)-settle > c.turn(name, s, stepSilent)
	case !s.dead.IsZero():
		return now.Sub(s.dead) >= c.turn(name, s, stepDead)
	case c.UnansweredFor(now, name) <= silence:
		return false
	case name != zone && c.leads():
		return true // the others do not call this holder; PreferredOwners spreads the seats later
	}
	return c.UnansweredFor(now, name) > silence+c.turn(name, s, stepSilent)
}

// manned reports whether a zone has a member of its own.
func (c *Election) manned(zone string) bool {
	for _, m := range c.members {
		if m.Zone == zone {
			return true
		}
	}
	return false
}
