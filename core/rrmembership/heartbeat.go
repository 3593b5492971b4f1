package rrmembership

import (
	"slices"
	"time"
)

// Tick records the passing of time and returns the peers to send a heartbeat to now. After
// a gap of more than MaxPause since the last Tick, such as after a frozen process, the
// view is stale until a peer has answered or RefreshDelay has passed.
func (v *View) Tick(now time.Time) []*Peer {
	if now.Sub(v.lastTick) > MaxPause {
		v.staleSince = now
		v.pauseEnd = now
		v.lastRound = time.Time{}
	}
	v.lastTick = now
	v.updateLive(now)
	if now.Sub(v.lastRound) < HeartbeatInterval {
		return v.extraTargets(now)
	}
	v.lastRound = now
	v.self.HeartbeatSeq++
	chosen := v.roundTargets(now)
	if p := v.unresponsiveTarget(now); p != nil && !slices.Contains(chosen, p) {
		chosen = append(chosen, p)
	}
	return chosen
}

// maxExtraHeartbeats limits the heartbeats at a Tick between two rounds. When a zone is cut
// off, calls to many members fail at once.
const maxExtraHeartbeats = 2

// extraTargets returns members whose calls have just failed.
func (v *View) extraTargets(now time.Time) []*Peer {
	var chosen []*Peer
	for _, name := range v.names {
		if p := v.peers[name]; p.heartbeatDue && len(chosen) < maxExtraHeartbeats {
			p.heartbeatDue = false
			p.LastContacted = now
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// unresponsiveTarget returns the least recently contacted of the live members that have
// not answered their last call or have sent no heartbeat for SuspectTimeout, or nil. Dead
// members get heartbeats from the rounds, at a lower rate.
func (v *View) unresponsiveTarget(now time.Time) *Peer {
	flat := len(v.names) < flatGossipLimit
	var best *Peer
	for _, name := range v.names {
		p := v.peers[name]
		unresponsive := (flat || p.Zone == v.self.Zone) && now.Sub(p.LastHeartbeat) > SuspectTimeout
		if (p.CallFailed || unresponsive) && v.Live(now, p) && (best == nil || p.LastContacted.Before(best.LastContacted)) {
			best = p
		}
	}
	if best != nil {
		best.heartbeatDue = false
		best.LastContacted = now
	}
	return best
}

// Fresh reports whether the entry may act on its ownership of minions. A view that has been
// stale for RefreshDelay becomes fresh again.
func (v *View) Fresh(now time.Time) bool {
	if now.Sub(v.lastTick) > MaxPause || !v.listIsCurrent(now) {
		return false
	}
	if v.staleSince.IsZero() {
		return true
	}
	if now.Sub(v.staleSince) < RefreshDelay {
		return false
	}
	v.staleSince = time.Time{}
	v.changed = true
	return true
}

// HeartbeatAnswered records that a peer answered a heartbeat, which makes the view fresh.
// An answer that arrived while this process was paused does not count. Otherwise the answer
// counts as a Tick for the detection of pauses.
func (v *View) HeartbeatAnswered(now time.Time) {
	if now.Sub(v.lastTick) > MaxPause {
		return
	}
	if !v.staleSince.IsZero() {
		v.staleSince = time.Time{}
		v.changed = true
	}
	v.lastTick = now
}

// roundTargets returns the peers of one heartbeat round. In a stale view these are all
// peers of a small fleet, or all peers of the zone in a larger one. An unreachable
// peer then does not delay the refresh of the view.
func (v *View) roundTargets(now time.Time) []*Peer {
	flat := len(v.names) < flatGossipLimit
	if !v.staleSince.IsZero() {
		return v.filterPeers(func(p *Peer) bool { return flat || p.Zone == v.self.Zone || p.Zone == "" })
	}
	if flat {
		return v.leastRecentlyContacted(now, func(*Peer) bool { return true })
	}
	chosen := v.leastRecentlyContacted(now, func(p *Peer) bool { return p.Zone == v.self.Zone })
	if v.isZoneRepresentative(now) {
		representatives := v.zoneRepresentatives(now)
		chosen = append(chosen, v.leastRecentlyContacted(now, func(p *Peer) bool {
			return p.Zone != v.self.Zone && representatives[p.Zone] == p.Name
		})...)
	}
	return chosen
}

// zoneRepresentatives returns the first live member by name of each zone, or the first
// member if none is live.
func (v *View) zoneRepresentatives(now time.Time) map[string]string {
	representatives := make(map[string]string)
	for _, name := range v.names {
		p := v.peers[name]
		current, ok := representatives[p.Zone]
		if !ok || !v.Live(now, v.peers[current]) && v.Live(now, p) {
			representatives[p.Zone] = name
		}
	}
	return representatives
}

// isZoneRepresentative reports whether this entry exchanges heartbeats with other zones:
// it is the first by name of the live members of its zone.
func (v *View) isZoneRepresentative(now time.Time) bool {
	for _, name := range v.names {
		p := v.peers[name]
		if p.Zone == v.self.Zone && v.Live(now, p) {
			return v.self.Name < name
		}
	}
	return true
}

// configWatchersPerZone is the number of entries per zone that watch the configuration in
// the store. The others receive changes with heartbeats.
const configWatchersPerZone = 2

// WatchesConfig reports whether this entry watches the configuration in the platform's
// store: it is among the first by name of the live members of its zone.
func (v *View) WatchesConfig(now time.Time) bool {
	before := 0
	for _, name := range v.names {
		p := v.peers[name]
		if p.Zone == v.self.Zone && name < v.self.Name && v.Live(now, p) {
			before++
		}
	}
	return before < configWatchersPerZone
}

// OutdatedPeers returns the live members of the zone with an older configuration version.
// It returns none unless this entry is the zone representative, which notifies them.
func (v *View) OutdatedPeers(now time.Time, version uint64) []*Peer {
	if !v.isZoneRepresentative(now) {
		return nil
	}
	return v.filterPeers(func(p *Peer) bool {
		return p.Zone == v.self.Zone && p.ConfigVersion < version && v.Live(now, p)
	})
}

func (v *View) filterPeers(include func(*Peer) bool) []*Peer {
	var chosen []*Peer
	for _, name := range v.names {
		if p := v.peers[name]; include(p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// deadTargetPeriod sets the share of heartbeats that go to dead members: one in
// deadTargetPeriod on average. These detect the end of a partition at a low cost.
const deadTargetPeriod = 4

// leastRecentlyContacted returns the included peer whose last heartbeat or contact,
// whichever is later, is the oldest, as a slice of at most one. On average one call in
// deadTargetPeriod prefers dead members, the others prefer live ones.
func (v *View) leastRecentlyContacted(now time.Time, include func(*Peer) bool) []*Peer {
	all := v.filterPeers(include)
	if len(all) == 0 {
		return nil
	}
	wantDead := v.rnd.IntN(deadTargetPeriod) == 0
	offset := v.rnd.IntN(len(all))
	priority := func(i int) (bool, time.Time) {
		p := all[(i+offset)%len(all)]
		state := v.State(now, p)
		dead := state == Dead || state == Unknown && !p.LastContacted.IsZero()
		at := p.LastHeartbeat
		if p.LastContacted.After(at) {
			at = p.LastContacted
		}
		return dead == wantDead, at
	}
	best := 0
	for i := 1; i < len(all); i++ {
		bestPreferred, bestTime := priority(best)
		preferred, at := priority(i)
		if preferred != bestPreferred && preferred || preferred == bestPreferred && at.Before(bestTime) {
			best = i
		}
	}
	p := all[(best+offset)%len(all)]
	p.LastContacted = now
	return []*Peer{p}
}

// Digest returns the members to send with a heartbeat: this entry and all members that are
// alive or suspect.
func (v *View) Digest(now time.Time) []Member {
	members := make([]Member, 0, len(v.names)+1)
	members = append(members, v.self)
	for _, name := range v.names {
		p := v.peers[name]
		if state := v.State(now, p); state == Alive || state == Suspect {
			members = append(members, p.Member)
		}
	}
	return members
}

// Delta returns the members of the digest that are missing from theirs, the members that a
// peer sent, or newer than there.
func (v *View) Delta(now time.Time, theirs []Member) []Member {
	known := make(map[string]*Member, len(theirs))
	for i := range theirs {
		known[theirs[i].Name] = &theirs[i]
	}
	return slices.DeleteFunc(v.Digest(now), func(m Member) bool {
		old, ok := known[m.Name]
		return ok && !m.newer(old)
	})
}
