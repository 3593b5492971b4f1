package rrmembership

import (
	"slices"
	"time"
)

// Tick notes the passing of time and returns the peers to send a heartbeat to
// now. A gap of more than MaxPause since the last Tick, as after a frozen process,
// ends the freshness of the view until a peer has answered.
func (v *View) Tick(now time.Time) []*Peer {
	if now.Sub(v.ticked) > MaxPause {
		v.lapsed = now
		v.paused = now
		v.beaten = time.Time{}
	}
	v.ticked = now
	v.refresh(now)
	if now.Sub(v.beaten) < HeartbeatInterval {
		return v.asked(now)
	}
	v.beaten = now
	v.self.HeartbeatSeq++
	chosen := v.targets(now)
	if p := v.doubtful(now); p != nil && !slices.Contains(chosen, p) {
		chosen = append(chosen, p)
	}
	return chosen
}

// mostAsked bounds the heartbeats between two rounds, for the moment at which a zone is
// cut off and calls to many members break at once.
const mostAsked = 2

// asked returns members whose calls have just broken.
func (v *View) asked(now time.Time) []*Peer {
	var chosen []*Peer
	for _, name := range v.names {
		if p := v.peers[name]; p.ask && len(chosen) < mostAsked {
			p.ask = false
			p.LastContacted = now
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// doubtful returns the live member that was tried longest ago among those without an
// answer and those that were quiet for SuspectTimeout, or nil. Those that count as dead
// are asked with the others, now and then.
func (v *View) doubtful(now time.Time) *Peer {
	flat := len(v.names) < flatLimit
	var best *Peer
	for _, name := range v.names {
		p := v.peers[name]
		quiet := (flat || p.Zone == v.self.Zone) && now.Sub(p.LastHeard) > SuspectTimeout
		if (p.CallFailed || quiet) && v.Live(now, p) && (best == nil || p.LastContacted.Before(best.LastContacted)) {
			best = p
		}
	}
	if best != nil {
		best.ask = false
		best.LastContacted = now
	}
	return best
}

// Fresh reports whether the entry may act on its keeperships.
func (v *View) Fresh(now time.Time) bool {
	if now.Sub(v.ticked) > MaxPause || !v.relisted(now) {
		return false
	}
	if v.lapsed.IsZero() {
		return true
	}
	if now.Sub(v.lapsed) < RefreshDelay {
		return false
	}
	v.lapsed = time.Time{}
	v.changed = true
	return true
}

// HeartbeatAnswered notes that a peer answered a heartbeat, which makes the view fresh. An
// answer that waited for a paused process does not count.
func (v *View) HeartbeatAnswered(now time.Time) {
	if now.Sub(v.ticked) > MaxPause {
		return
	}
	if !v.lapsed.IsZero() {
		v.lapsed = time.Time{}
		v.changed = true
	}
	v.ticked = now
}

// targets chooses the peers of one heartbeat round. After a pause all peers of
// the zone are asked, so that one that is cut off does not delay the others.
func (v *View) targets(now time.Time) []*Peer {
	flat := len(v.names) < flatLimit
	if !v.lapsed.IsZero() {
		return v.among(func(p *Peer) bool { return flat || p.Zone == v.self.Zone || p.Zone == "" })
	}
	if flat {
		return v.stalest(now, func(*Peer) bool { return true })
	}
	chosen := v.stalest(now, func(p *Peer) bool { return p.Zone == v.self.Zone })
	if v.speaks(now) {
		first := v.speakers(now)
		chosen = append(chosen, v.stalest(now, func(p *Peer) bool {
			return p.Zone != v.self.Zone && first[p.Zone] == p.Name
		})...)
	}
	return chosen
}

// speakers returns the first live member by name of each zone, or the first one
// when none is known to live.
func (v *View) speakers(now time.Time) map[string]string {
	first := make(map[string]string)
	for _, name := range v.names {
		p := v.peers[name]
		old, ok := first[p.Zone]
		if !ok || !v.Live(now, v.peers[old]) && v.Live(now, p) {
			first[p.Zone] = name
		}
	}
	return first
}

// speaks reports whether this entry exchanges heartbeats across zones: it is the
// first by name of the live members of its zone.
func (v *View) speaks(now time.Time) bool {
	for _, name := range v.names {
		p := v.peers[name]
		if p.Zone == v.self.Zone && v.Live(now, p) {
			return v.self.Name < name
		}
	}
	return true
}

// watchers is the number of entries per zone that watch the configuration. The
// others hear of changes from heartbeats.
const watchers = 2

// WatchesConfig reports whether this entry watches the configuration at the platform's
// store: it is among the first by name of the live members of its zone.
func (v *View) WatchesConfig(now time.Time) bool {
	before := 0
	for _, name := range v.names {
		p := v.peers[name]
		if p.Zone == v.self.Zone && name < v.self.Name && v.Live(now, p) {
			before++
		}
	}
	return before < watchers
}

// OutdatedPeers returns the live members of the zone that do not have the configuration
// version yet, for the one member of the zone that tells them at once.
func (v *View) OutdatedPeers(now time.Time, version uint64) []*Peer {
	if !v.speaks(now) {
		return nil
	}
	return v.among(func(p *Peer) bool {
		return p.Zone == v.self.Zone && p.ConfigVersion < version && v.Live(now, p)
	})
}

func (v *View) among(ok func(*Peer) bool) []*Peer {
	var chosen []*Peer
	for _, name := range v.names {
		if p := v.peers[name]; ok(p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// deadEvery is the share of heartbeats that go to members thought dead, so that
// a healed partition is noticed without wasting every message on it.
const deadEvery = 4

// stalest returns the eligible peer that was heard and tried longest ago, as a
// slice of at most one.
func (v *View) stalest(now time.Time, ok func(*Peer) bool) []*Peer {
	all := v.among(ok)
	if len(all) == 0 {
		return nil
	}
	wantDead := v.rnd.IntN(deadEvery) == 0
	offset := v.rnd.IntN(len(all))
	rank := func(i int) (bool, time.Time) {
		p := all[(i+offset)%len(all)]
		c := v.State(now, p)
		down := c == Dead || c == Unknown && !p.LastContacted.IsZero()
		at := p.LastHeard
		if p.LastContacted.After(at) {
			at = p.LastContacted
		}
		return down == wantDead, at
	}
	best := 0
	for i := 1; i < len(all); i++ {
		bm, bt := rank(best)
		im, it := rank(i)
		if im != bm && im || im == bm && it.Before(bt) {
			best = i
		}
	}
	p := all[(best+offset)%len(all)]
	p.LastContacted = now
	return []*Peer{p}
}

// Digest returns the members for one heartbeat to a peer: all of them in a small
// fleet and within a zone. Members thought dead are left out.
func (v *View) Digest(now time.Time) []Member {
	table := make([]Member, 0, len(v.names)+1)
	table = append(table, v.self)
	for _, name := range v.names {
		p := v.peers[name]
		if c := v.State(now, p); c == Alive || c == Suspect {
			table = append(table, p.Member)
		}
	}
	return table
}

// Delta returns the members that a peer, who sent the table theirs, does not have
// in their newest state.
func (v *View) Delta(now time.Time, theirs []Member) []Member {
	has := make(map[string]*Member, len(theirs))
	for i := range theirs {
		has[theirs[i].Name] = &theirs[i]
	}
	return slices.DeleteFunc(v.Digest(now), func(m Member) bool {
		old, ok := has[m.Name]
		return ok && !m.newer(old)
	})
}
