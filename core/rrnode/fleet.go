package rrnode

import (
	"time"

	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrplacement"
	"rattanring/core/rrtask"
)

// Round trips between entries, as the division of jobs counts them.
const (
	delayInZone = 500 * time.Microsecond
	delayAcross = 1500 * time.Microsecond
)

// Owners implements rrcoord.Fleet. The result is valid until the next call.
func (n *Node) Owners(now time.Time, service string) []rrplacement.Candidate {
	n.split = n.split[:0]
	for _, h := range n.byService[service] {
		if h.keeper == n.self.Name {
			n.split = append(n.split, rrplacement.Candidate{Name: h.keeper, Local: true, Load: n.keep.Load(now)})
			continue
		}
		p := n.view.Peer(h.keeper)
		if p == nil || p.Draining || p.NoCapacity || p.Excluded || p.CallFailed || n.view.State(now, p) != rrmembership.Alive {
			continue
		}
		n.split = append(n.split, n.remote(p, h))
	}
	return n.split
}

func (n *Node) remote(p *rrmembership.Peer, h holding) rrplacement.Candidate {
	k := rrplacement.Candidate{Name: h.keeper, Load: p.Load, SentSinceReport: p.UnreportedWork(), RTT: delayAcross}
	if p.Zone == n.self.Zone {
		k.RTT = delayInZone
	}
	if k.Load.UsableSlots == 0 || k.Load.UsableSlots > h.slots {
		// It has not told, or told of minions that others have taken over since.
		k.Load.UsableSlots = h.slots
	}
	return k
}

// Peer implements rrcoord.Fleet.
func (n *Node) Peer(now time.Time, name string) (addr string, life uint64, ok bool) {
	p := n.view.Peer(name)
	if p == nil {
		return "", 0, false
	}
	c := n.view.State(now, p)
	return p.Addr, p.Incarnation, c == rrmembership.Alive || c == rrmembership.Suspect
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

// Relay implements rrcoord.Fleet. A peer that has answered since its last broken call is
// not passed by.
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

func (n *Node) runOut(now time.Time, ev *RunBatchDone) {
	switch ev.Reply.Delivery {
	case rrcoord.DeliveryUnknown:
		n.view.CallFailed(ev.From)
	case rrcoord.DeliveryAnswered:
		if ev.RelayAddr == "" {
			n.view.PeerAnswered(now, ev.From)
		}
		n.view.UpdateLoad(ev.From, ev.Reply.Incarnation, ev.Reply.Load, len(ev.Reply.Returned) > 0)
	}
	n.coord.RunBatchDone(now, ev.Reply)
}

// beat sends a heartbeat to a peer.
func (n *Node) beat(now time.Time, p *rrmembership.Peer) {
	if p.Addr == "" {
		return
	}
	n.eff.Heartbeats = append(n.eff.Heartbeats, HeartbeatCall{To: p.Name, Addr: p.Addr, Members: n.table(now)})
}

func (n *Node) table(now time.Time) []rrmembership.Member {
	n.introduce(now)
	return n.view.Digest(now)
}

// introduce brings what this entry says of itself up to date.
func (n *Node) introduce(now time.Time) {
	self := n.view.Self()
	self.Load = n.keep.Load(now)
	self.UnhealthyMinions = n.keep.HealthReports()
}

func (n *Node) beatIn(now time.Time, ev *HeartbeatRequest) {
	n.merge(now, ev.Members)
	n.introduce(now)
	n.eff.HeartbeatResponses = append(n.eff.HeartbeatResponses, HeartbeatResponse{Call: ev.Call, Members: n.view.Delta(now, ev.Members)})
}

func (n *Node) beatOut(now time.Time, ev *HeartbeatDone) {
	switch ev.Delivery {
	case rrcoord.DeliveryNotSent:
		n.view.ConnectionRefused(now, ev.To)
	case rrcoord.DeliveryUnknown:
		n.view.CallFailed(ev.To)
	case rrcoord.DeliveryAnswered:
		n.merge(now, ev.Members)
		n.view.PeerAnswered(now, ev.To)
		n.view.HeartbeatAnswered(now)
		if !n.leftAt.IsZero() {
			n.told[ev.To] = true
		}
	}
}

// merge takes the members of a heartbeat, asks for a newer configuration and
// learns other keepers' verdicts.
func (n *Node) merge(now time.Time, members []rrmembership.Member) {
	n.view.Merge(now, members)
	newest := -1
	for i := range members {
		m := &members[i]
		n.keep.MergeHealthReports(now, m.UnhealthyMinions)
		if m.ConfigVersion > n.cfg.Version && (newest < 0 || m.ConfigVersion > members[newest].ConfigVersion) {
			newest = i
		}
	}
	if newest >= 0 {
		n.eff.ConfigFetches = append(n.eff.ConfigFetches, FetchConfigCall{From: members[newest].Name, Addr: members[newest].Addr})
	}
}

// Fits implements rrcoord.Fleet.
func (n *Node) Fits(service string, size rrtask.Resources) bool {
	for _, m := range n.view.Minions() {
		if m.Service == service && !m.Draining && size.Fits(m.Capacity) {
			return true
		}
	}
	return false
}
