package rrmembership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// Times of the view.
const (
	HeartbeatInterval    = 3 * time.Second        // one heartbeat exchange per entry
	DeadTimeout          = 12 * time.Second       // after which a member counts as dead
	CrossZoneDeadTimeout = 36 * time.Second       // the same for a member of another zone in a large fleet
	SuspectTimeout       = 5 * time.Second        // the same for a member that refused a connection
	MaxPause             = 3 * time.Second        // a pause longer than this ends all keeperships
	RefreshDelay         = 500 * time.Millisecond // wait for a heartbeat answer after a pause, and after a start
	RelistTimeout        = 2 * time.Second        // wait for the instance list after a pause, at most
	DeadMemberRetention  = 10 * time.Minute       // dead members that nobody lists are dropped
)

// flatLimit is the fleet size up to which heartbeats go to any member. Larger
// fleets exchange within a zone, and one member per zone does so across zones.
const flatLimit = 16

// View is one entry's view of the fleet. Create it with New.
type View struct {
	self    Member
	peers   map[string]*Peer
	names   []string // sorted names of peers
	minions []rrtask.Minion
	rnd     *rand.Rand

	ticked  time.Time // last Tick
	beaten  time.Time // last heartbeat sent
	lapsed  time.Time // when the view stopped being fresh; zero while it is fresh
	paused  time.Time // end of the last pause if no new list has come since, otherwise zero
	changed bool      // live members or minions differ since TakeChanged was asked
	live    map[string]bool
}

// New returns the view of an entry that knows nobody yet. Random choices are
// drawn from seed.
func New(now time.Time, self rrtask.Entry, life, seed uint64) *View {
	return &View{
		self:    Member{Entry: self, Incarnation: life, HeartbeatSeq: 1},
		peers:   make(map[string]*Peer),
		rnd:     rand.New(rand.NewPCG(seed, life)),
		ticked:  now,
		lapsed:  now,
		changed: true,
		live:    make(map[string]bool),
	}
}

// Self returns what this entry says of itself.
func (v *View) Self() *Member {
	return &v.self
}

// Peer returns the peer called name, or nil.
func (v *View) Peer(name string) *Peer {
	return v.peers[name]
}

// Peers returns all other known members by name.
func (v *View) Peers() []*Peer {
	all := make([]*Peer, 0, len(v.names))
	for _, name := range v.names {
		all = append(all, v.peers[name])
	}
	return all
}

// SetEntries takes the entries that the instance list or the settings name.
func (v *View) SetEntries(now time.Time, entries []rrtask.Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Name == v.self.Name {
			continue
		}
		listed[e.Name] = true
		p := v.add(e.Name)
		if p.Addr == "" || p.LastHeard.IsZero() {
			p.Entry = e
		}
		p.Listed = true
	}
	for name, p := range v.peers {
		p.Listed = listed[name]
	}
	v.refresh(now)
}

func (v *View) add(name string) *Peer {
	if p, ok := v.peers[name]; ok {
		return p
	}
	p := &Peer{}
	p.Name = name
	v.peers[name] = p
	at, _ := slices.BinarySearch(v.names, name)
	v.names = slices.Insert(v.names, at, name)
	return p
}

func (v *View) drop(name string) {
	delete(v.peers, name)
	at, found := slices.BinarySearch(v.names, name)
	if found {
		v.names = slices.Delete(v.names, at, at+1)
	}
}

// Merge takes the members that a heartbeat brought.
func (v *View) Merge(now time.Time, members []Member) {
	for i := range members {
		v.merge(now, &members[i])
	}
	v.refresh(now)
}

func (v *View) merge(now time.Time, m *Member) {
	if m.Name == "" || m.Name == v.self.Name {
		return
	}
	p := v.add(m.Name)
	if !p.LastHeard.IsZero() && !m.newer(&p.Member) {
		return
	}
	if m.Incarnation != p.Incarnation {
		p.mended()
	}
	p.Member = *m
	p.NoCapacity = p.NoCapacity && p.Member.Load.UsableSlots == 0
	p.Excluded = false
	p.sent = 0
	if p.stale() {
		return
	}
	p.LastHeard = now
	p.suspect = false
}

// UpdateLoad takes a newer load of a peer that came with another message. One that
// handed tasks back and has no slots is empty until it says otherwise.
func (v *View) UpdateLoad(name string, life uint64, load rrdispatcher.Load, handedBack bool) {
	p, ok := v.peers[name]
	if !ok || p.Incarnation != life {
		return
	}
	p.Member.Load = load
	p.NoCapacity = (p.NoCapacity || handedBack) && load.UsableSlots == 0
	p.sent = 0
}

// ConnectionRefused notes that a connection to the peer was refused.
func (v *View) ConnectionRefused(now time.Time, name string) {
	p, ok := v.peers[name]
	if !ok {
		return
	}
	p.doubt()
	p.suspect = true
	v.refresh(now)
}

// CallFailed notes that a call to the peer ended without an answer. The peer is asked for a
// heartbeat at the next Tick, then in the usual rounds, and gets no work until it has
// answered.
func (v *View) CallFailed(name string) {
	p, ok := v.peers[name]
	if !ok {
		return
	}
	p.ask = !p.CallFailed
	p.doubt()
}

// PeerAnswered notes that the peer itself answered.
func (v *View) PeerAnswered(now time.Time, name string) {
	p, ok := v.peers[name]
	if !ok {
		return
	}
	p.mended()
	v.refresh(now)
}

// State returns how the peer is regarded.
func (v *View) State(now time.Time, p *Peer) MemberState {
	if p.LastHeard.IsZero() {
		return Unknown
	}
	quiet := now.Sub(p.LastHeard)
	if quiet > v.silence(p) || (p.suspect && quiet > SuspectTimeout) {
		return Dead
	}
	if p.suspect {
		return Suspect
	}
	return Alive
}

// silence returns the time without a heartbeat after which the peer counts as
// dead. In a large fleet, heartbeats of other zones come over several members.
func (v *View) silence(p *Peer) time.Duration {
	if len(v.names) < flatLimit || p.Zone == v.self.Zone {
		return DeadTimeout
	}
	return CrossZoneDeadTimeout
}

// Live reports whether the peer may keep minions.
func (v *View) Live(now time.Time, p *Peer) bool {
	c := v.State(now, p)
	return (c == Alive || c == Suspect) && !p.Draining
}

// refresh notes changes among the live members and forgets old dead ones.
func (v *View) refresh(now time.Time) {
	for name, p := range v.peers {
		live := v.Live(now, p)
		if live != v.live[name] {
			v.live[name] = live
			v.changed = true
		}
		if !p.Listed && !p.LastHeard.IsZero() && now.Sub(p.LastHeard) > DeadMemberRetention {
			v.drop(name)
			delete(v.live, name)
		}
	}
}

// TakeChanged reports whether keeperships have to be worked out again, and resets
// the mark.
func (v *View) TakeChanged() bool {
	c := v.changed
	v.changed = false
	return c
}

// Drain marks this entry as leaving.
func (v *View) Drain() {
	v.self.Draining = true
	v.self.HeartbeatSeq++
	v.changed = true
}

// oldList is the age of a pause up to which a list may have been read before it.
const oldList = 200 * time.Millisecond

// InstanceListRead notes that the instance list was read.
func (v *View) InstanceListRead(now time.Time) {
	if now.Sub(v.paused) > oldList {
		v.paused = time.Time{}
	}
}

// relisted reports whether the list of minions was read since the last pause, or
// stays away: a minion may have begun to leave during the pause.
func (v *View) relisted(now time.Time) bool {
	return v.paused.IsZero() || now.Sub(v.paused) > RelistTimeout
}

// Zones returns the names of all known zones and whether a member or a minion
// of each is in reach.
func (v *View) Zones(now time.Time) []Zone {
	reach := map[string]bool{v.self.Zone: true}
	for _, p := range v.peers {
		c := v.State(now, p)
		reach[p.Zone] = reach[p.Zone] || c == Alive || c == Suspect
	}
	for _, m := range v.minions {
		if _, ok := reach[m.Zone]; !ok {
			reach[m.Zone] = false
		}
	}
	zones := make([]Zone, 0, len(reach))
	for name, ok := range reach {
		if name != "" {
			zones = append(zones, Zone{Name: name, Reachable: ok})
		}
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// Zone is one availability zone as this entry sees it.
type Zone struct {
	Name      string
	Reachable bool // a live entry of the zone answers
}
