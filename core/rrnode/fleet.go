package rrnode

import (
	"time"

	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrplacement"
	"rattanring/core/rrtask"
)

// Assumed round-trip times between entries, for the decision to split a job.
const (
	rttInZone      = 500 * time.Microsecond
	rttAcrossZones = 1500 * time.Microsecond
)

// Owners implements rrcoord.Fleet. The result is valid until the next call.
func (n *Node) Owners(now time.Time, service string) []rrplacement.Candidate {
	n.candidates = n.candidates[:0]
	for _, owned := range n.ownersByService[service] {
		if owned.owner == n.self.Name {
			n.candidates = append(n.candidates, rrplacement.Candidate{Name: owned.owner, Local: true, Load: n.dispatcher.Load(now)})
			continue
		}
		p := n.view.Peer(owned.owner)
		if p == nil || p.Draining || p.NoCapacity || p.Excluded || p.CallFailed || n.view.State(now, p) != rrmembership.Alive {
			continue
		}
		n.candidates = append(n.candidates, n.remoteCandidate(p, owned))
	}
	return n.candidates
}

func (n *Node) remoteCandidate(p *rrmembership.Peer, owned ownedSlots) rrplacement.Candidate {
	candidate := rrplacement.Candidate{Name: owned.owner, Load: p.Load, UnreportedWork: p.UnreportedWork(), RTT: rttAcrossZones}
	if p.Zone == n.self.Zone {
		candidate.RTT = rttInZone
	}
	if candidate.Load.UsableSlots == 0 || candidate.Load.UsableSlots > owned.slots {
		// The peer has reported no load, or its load includes minions that others have taken over.
		candidate.Load.UsableSlots = owned.slots
	}
	return candidate
}

// Peer implements rrcoord.Fleet.
func (n *Node) Peer(now time.Time, name string) (addr string, incarnation uint64, ok bool) {
	p := n.view.Peer(name)
	if p == nil {
		return "", 0, false
	}
	state := n.view.State(now, p)
	return p.Addr, p.Incarnation, state == rrmembership.Alive || state == rrmembership.Suspect
}

// AddUnreportedWork implements rrcoord.Fleet.
func (n *Node) AddUnreportedWork(name string, work time.Duration) {
	if p := n.view.Peer(name); p != nil {
		p.AddUnreportedWork(work)
	}
}

// ConnectionRefused implements rrcoord.Fleet.
func (n *Node) ConnectionRefused(now time.Time, name string) {
	n.view.ConnectionRefused(now, name)
}

// Relay implements rrcoord.Fleet. A peer that has answered since its last failed call is
// called directly.
func (n *Node) Relay(now time.Time, name string, attempt int) string {
	to := n.view.Peer(name)
	if to == nil || !to.CallFailed {
		return ""
	}
	var near, far []string
	for _, p := range n.view.Peers() {
		switch {
		case p == to || p.CallFailed || n.view.State(now, p) != rrmembership.Alive:
		case p.Zone == to.Zone:
			near = append(near, p.Addr)
		default:
			far = append(far, p.Addr)
		}
	}
	all := append(near, far...)
	if len(all) == 0 {
		return ""
	}
	return all[(attempt-1)%len(all)]
}

// Exclude implements rrcoord.Fleet.
func (n *Node) Exclude(name string) {
	if p := n.view.Peer(name); p != nil {
		p.Excluded = true
	}
}

func (n *Node) handleRunBatchDone(now time.Time, ev *RunBatchDone) {
	switch ev.Reply.Delivery {
	case rrcoord.DeliveryUnknown:
		n.view.CallFailed(ev.From)
	case rrcoord.DeliveryAnswered:
		if ev.RelayAddr == "" {
			n.view.PeerAnswered(now, ev.From)
		}
		n.view.UpdateLoad(ev.From, ev.Reply.Incarnation, ev.Reply.Load, len(ev.Reply.Returned) > 0)
	}
	n.coordinator.RunBatchDone(now, ev.Reply)
}

// sendHeartbeat sends a heartbeat to p if its address is known.
func (n *Node) sendHeartbeat(now time.Time, p *rrmembership.Peer) {
	if p.Addr == "" {
		return
	}
	n.effects.Heartbeats = append(n.effects.Heartbeats, HeartbeatCall{To: p.Name, Addr: p.Addr, Members: n.digest(now)})
}

func (n *Node) digest(now time.Time) []rrmembership.Member {
	n.updateSelf(now)
	return n.view.Digest(now)
}

// updateSelf sets this entry's load and unhealthy minions in the view.
func (n *Node) updateSelf(now time.Time) {
	self := n.view.Self()
	self.Load = n.dispatcher.Load(now)
	self.UnhealthyMinions = n.dispatcher.HealthReports()
}

func (n *Node) handleHeartbeat(now time.Time, ev *HeartbeatRequest) {
	n.mergeMembers(now, ev.Members)
	n.updateSelf(now)
	n.effects.HeartbeatResponses = append(n.effects.HeartbeatResponses, HeartbeatResponse{Call: ev.Call, Members: n.view.Delta(now, ev.Members)})
}

func (n *Node) handleHeartbeatDone(now time.Time, ev *HeartbeatDone) {
	switch ev.Delivery {
	case rrcoord.DeliveryNotSent:
		n.view.ConnectionRefused(now, ev.To)
	case rrcoord.DeliveryUnknown:
		n.view.CallFailed(ev.To)
	case rrcoord.DeliveryAnswered:
		n.mergeMembers(now, ev.Members)
		n.view.PeerAnswered(now, ev.To)
		n.view.HeartbeatAnswered(now)
		if !n.drainStart.IsZero() {
			n.notified[ev.To] = true
		}
	}
}

// mergeMembers merges the members of a heartbeat into the view, requests a newer
// configuration, and merges the health reports of other entries.
func (n *Node) mergeMembers(now time.Time, members []rrmembership.Member) {
	n.view.Merge(now, members)
	newest := -1
	for i := range members {
		m := &members[i]
		n.dispatcher.MergeHealthReports(now, m.UnhealthyMinions)
		if m.ConfigVersion > n.cfg.Version && (newest < 0 || m.ConfigVersion > members[newest].ConfigVersion) {
			newest = i
		}
	}
	if newest >= 0 {
		n.effects.ConfigFetches = append(n.effects.ConfigFetches, FetchConfigCall{From: members[newest].Name, Addr: members[newest].Addr})
	}
}

// EvacuatedOnly implements rrcoord.Fleet.
func (n *Node) EvacuatedOnly(service string, resources rrtask.Resources) bool {
	found := false
	for capacity, inUse := range n.capacities[service] {
		if !resources.IsZero() && !resources.Fits(capacity) {
			continue
		}
		if inUse {
			return false
		}
		found = true
	}
	return found
}

// Fits implements rrcoord.Fleet.
func (n *Node) Fits(service string, resources rrtask.Resources) bool {
	for _, m := range n.view.Minions() {
		if m.Service == service && !m.Draining && resources.Fits(m.Capacity) {
			return true
		}
	}
	return false
}
