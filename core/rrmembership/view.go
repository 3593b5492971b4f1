package rrmembership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// Intervals and timeouts of the view.
const (
	HeartbeatInterval    = 3 * time.Second        // between two heartbeat rounds of an entry
	DeadTimeout          = 12 * time.Second       // time without a heartbeat after which a member counts as dead
	CrossZoneDeadTimeout = 36 * time.Second       // the same for a member of another zone in a large fleet
	SuspectTimeout       = 5 * time.Second        // the same for a member that refused a connection; see also unresponsiveTarget
	MaxPause             = 3 * time.Second        // a longer gap between ticks makes the view stale
	RefreshDelay         = 500 * time.Millisecond // wait for a heartbeat answer at the start and after a pause
	RelistTimeout        = 2 * time.Second        // longest wait for the instance list after a pause
	DeadMemberRetention  = 10 * time.Minute       // after which a dead, unlisted member is removed
)

// flatGossipLimit is the fleet size below which an entry sends heartbeats to any member.
// In larger fleets heartbeats stay within a zone, except those between one representative
// per zone.
const flatGossipLimit = 16

// View is one entry's view of the fleet. Create it with New.
type View struct {
	self    Member
	peers   map[string]*Peer
	names   []string // sorted names of peers
	minions []rrtask.Minion
	rnd     *rand.Rand

	lastTick   time.Time // last Tick
	lastRound  time.Time // last heartbeat round
	staleSince time.Time // zero while the view is fresh
	pauseEnd   time.Time // end of the last pause; zero once the instance list was read after it
	changed    bool      // live members or minions changed since TakeChanged was last called
	wasLive    map[string]bool
}

// New returns the view of an entry that knows no peers yet. Random choices are drawn from
// seed.
func New(now time.Time, self rrtask.Entry, incarnation, seed uint64) *View {
	return &View{
		self:       Member{Entry: self, Incarnation: incarnation, HeartbeatSeq: 1},
		peers:      make(map[string]*Peer),
		rnd:        rand.New(rand.NewPCG(seed, incarnation)),
		lastTick:   now,
		staleSince: now,
		changed:    true,
		wasLive:    make(map[string]bool),
	}
}

// Self returns what this entry reports about itself.
func (v *View) Self() *Member {
	return &v.self
}

// Peer returns the peer with the name, or nil.
func (v *View) Peer(name string) *Peer {
	return v.peers[name]
}

// Peers returns all other known members, ordered by name.
func (v *View) Peers() []*Peer {
	all := make([]*Peer, 0, len(v.names))
	for _, name := range v.names {
		all = append(all, v.peers[name])
	}
	return all
}

// SetEntries sets the entries that the instance list or the settings name.
func (v *View) SetEntries(now time.Time, entries []rrtask.Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Name == v.self.Name {
			continue
		}
		listed[e.Name] = true
		p := v.addPeer(e.Name)
		if p.Addr == "" || p.LastHeartbeat.IsZero() {
			p.Entry = e
		}
		p.Listed = true
	}
	for name, p := range v.peers {
		p.Listed = listed[name]
	}
	v.updateLive(now)
}

func (v *View) addPeer(name string) *Peer {
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

func (v *View) removePeer(name string) {
	delete(v.peers, name)
	at, found := slices.BinarySearch(v.names, name)
	if found {
		v.names = slices.Delete(v.names, at, at+1)
	}
}

// Merge merges the members that a heartbeat carried.
func (v *View) Merge(now time.Time, members []Member) {
	for i := range members {
		v.mergeMember(now, &members[i])
	}
	v.updateLive(now)
}

func (v *View) mergeMember(now time.Time, m *Member) {
	if m.Name == "" || m.Name == v.self.Name {
		return
	}
	p := v.addPeer(m.Name)
	if !p.LastHeartbeat.IsZero() && !m.newer(&p.Member) {
		return
	}
	if m.Incarnation != p.Incarnation {
		p.clearFailures()
	}
	p.Member = *m
	p.NoCapacity = p.NoCapacity && p.Member.Load.UsableSlots == 0
	p.Excluded = false
	p.unreportedWork = 0
	if p.mayBeStale() {
		return
	}
	p.LastHeartbeat = now
	p.suspect = false
}

// UpdateLoad updates the load of a peer from a message other than a heartbeat. A peer that
// returned tasks and has no slots counts as without capacity until it reports slots.
func (v *View) UpdateLoad(name string, incarnation uint64, load rrdispatcher.Load, returnedTasks bool) {
	p, ok := v.peers[name]
	if !ok || p.Incarnation != incarnation {
		return
	}
	p.Member.Load = load
	p.NoCapacity = (p.NoCapacity || returnedTasks) && load.UsableSlots == 0
	p.unreportedWork = 0
}

// ConnectionRefused records that the peer refused a connection.
func (v *View) ConnectionRefused(now time.Time, name string) {
	p, ok := v.peers[name]
	if !ok {
		return
	}
	p.markCallFailed()
	p.suspect = true
	v.updateLive(now)
}

// CallFailed records that a call to the peer got no answer. The peer is sent a heartbeat
// at the next Tick, then in the usual rounds, and gets no work until it has answered.
func (v *View) CallFailed(name string) {
	p, ok := v.peers[name]
	if !ok {
		return
	}
	p.heartbeatDue = !p.CallFailed
	p.markCallFailed()
}

// PeerAnswered records that the peer answered a direct call.
func (v *View) PeerAnswered(now time.Time, name string) {
	p, ok := v.peers[name]
	if !ok {
		return
	}
	p.clearFailures()
	v.updateLive(now)
}

// State returns the state of the peer.
func (v *View) State(now time.Time, p *Peer) MemberState {
	if p.LastHeartbeat.IsZero() {
		return Unknown
	}
	sinceHeartbeat := now.Sub(p.LastHeartbeat)
	if sinceHeartbeat > v.deadTimeout(p) || (p.suspect && sinceHeartbeat > SuspectTimeout) {
		return Dead
	}
	if p.suspect {
		return Suspect
	}
	return Alive
}

// deadTimeout returns the time without a heartbeat after which the peer counts as dead. In
// a large fleet, heartbeats from other zones are relayed by several members.
func (v *View) deadTimeout(p *Peer) time.Duration {
	if len(v.names) < flatGossipLimit || p.Zone == v.self.Zone {
		return DeadTimeout
	}
	return CrossZoneDeadTimeout
}

// Live reports whether the peer is alive or suspect and not draining, so that it may own
// minions.
func (v *View) Live(now time.Time, p *Peer) bool {
	state := v.State(now, p)
	return (state == Alive || state == Suspect) && !p.Draining
}

// updateLive records which members became live or stopped being live, and removes members
// that have been dead for DeadMemberRetention.
func (v *View) updateLive(now time.Time) {
	for name, p := range v.peers {
		live := v.Live(now, p)
		if live != v.wasLive[name] {
			v.wasLive[name] = live
			v.changed = true
		}
		if !p.Listed && !p.LastHeartbeat.IsZero() && now.Sub(p.LastHeartbeat) > DeadMemberRetention {
			v.removePeer(name)
			delete(v.wasLive, name)
		}
	}
}

// TakeChanged reports whether the owners of minions must be computed again, and resets the
// flag.
func (v *View) TakeChanged() bool {
	changed := v.changed
	v.changed = false
	return changed
}

// Drain marks this entry as draining.
func (v *View) Drain() {
	v.self.Draining = true
	v.self.HeartbeatSeq++
	v.changed = true
}

// listReadDelay is the time after a pause within which an arriving instance list may have
// been read before the pause.
const listReadDelay = 200 * time.Millisecond

// InstanceListRead handles the arrival of an instance list. A list that arrives within
// listReadDelay after a pause does not count as read since the pause.
func (v *View) InstanceListRead(now time.Time) {
	if now.Sub(v.pauseEnd) > listReadDelay {
		v.pauseEnd = time.Time{}
	}
}

// listIsCurrent reports whether the instance list was read since the last pause, or can't
// be read within RelistTimeout. A minion may have started to drain during the pause.
func (v *View) listIsCurrent(now time.Time) bool {
	return v.pauseEnd.IsZero() || now.Sub(v.pauseEnd) > RelistTimeout
}

// Zones returns all known zones, ordered by name, and whether a member of each is alive or
// suspect.
func (v *View) Zones(now time.Time) []Zone {
	reachable := map[string]bool{v.self.Zone: true}
	for _, p := range v.peers {
		state := v.State(now, p)
		reachable[p.Zone] = reachable[p.Zone] || state == Alive || state == Suspect
	}
	for _, m := range v.minions {
		if _, ok := reachable[m.Zone]; !ok {
			reachable[m.Zone] = false
		}
	}
	zones := make([]Zone, 0, len(reachable))
	for name, ok := range reachable {
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
	Reachable bool // a member of the zone is alive or suspect, or it is this entry's own zone
}
