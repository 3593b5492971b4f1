package rrnode

import (
	"time"

	"rattanring/core/rrmembership"
	"rattanring/core/rrstatus"
)

// messages counts the messages to other entries, replies included, by kind.
type messages struct {
	batches, takes, beats, drops uint64
}

func (m *messages) add(e *Effects) {
	m.batches += uint64(len(e.RunBatches) + len(e.RunBatchResponses))
	m.takes += uint64(len(e.Recalls) + len(e.RecallResponses))
	m.drops += uint64(len(e.CancelBatches) + len(e.CancelBatchesResponses))
	m.beats += uint64(len(e.Heartbeats) + len(e.HeartbeatResponses) + len(e.ConfigFetches))
}

// Explain returns what was decided for a job.
func (n *Node) Explain(id string) (rrstatus.History, bool) {
	return n.coord.Explain(id)
}

// Status returns the fleet as this entry sees it.
func (n *Node) Status(now time.Time) rrstatus.Status {
	s := rrstatus.Status{
		Entry:          n.self.Name,
		Incarnation:    n.life,
		Zone:           n.self.Zone,
		ConfigVersion:  n.cfg.Version,
		Preset:         n.cfg.Preset,
		Ready:          n.Ready(),
		Draining:       n.view.Self().Draining,
		StoreReachable: n.store,
		Jobs:           n.coord.OpenJobs(),
		Batches:        n.served.open(),
	}
	for _, p := range n.view.Peers() {
		s.Peers = append(s.Peers, n.peerStatus(now, p))
	}
	for _, z := range n.view.Zones(now) {
		s.Zones = append(s.Zones, rrstatus.Zone{Name: z.Name, Reachable: z.Reachable})
	}
	s.Minions = n.minionStatus(now)
	s.Counts = n.messageCounts()
	return s
}

func (n *Node) peerStatus(now time.Time, p *rrmembership.Peer) rrstatus.Peer {
	st := rrstatus.Peer{
		Name:          p.Name,
		Zone:          p.Zone,
		Region:        p.Region,
		ConfigVersion: p.ConfigVersion,
		Slots:         p.Load.UsableSlots,
		Busy:          p.Load.BusySlots,
		Queued:        p.Load.QueuedTasks,
	}
	if !p.LastHeard.IsZero() {
		st.HeartbeatAge = now.Sub(p.LastHeard)
	}
	switch c := n.view.State(now, p); {
	case c == rrmembership.Dead || c == rrmembership.Unknown:
		st.State = rrstatus.Dead
	case p.Draining:
		st.State = rrstatus.Draining
	case c == rrmembership.Suspect:
		st.State = rrstatus.Suspect
	}
	return st
}

func (n *Node) minionStatus(now time.Time) []rrstatus.Minion {
	own := make(map[string]int)
	kept := n.keep.MinionStatuses(now)
	for i, m := range kept {
		own[m.Name] = i
	}
	list := make([]rrstatus.Minion, 0, len(n.keepers))
	for i, m := range n.view.Minions() {
		st := rrstatus.Minion{Name: m.Name, Zone: m.Zone, Service: m.Service, Slots: m.Slots}
		if i < len(n.keepers) {
			st.Owner = n.keepers[i]
		}
		if m.Draining {
			st.State = "leaving"
		}
		if at, ok := own[m.Name]; ok {
			st.State = kept[at].State.String()
			st.Busy = kept[at].InFlight
		}
		list = append(list, st)
	}
	return list
}

// kinds names the totals of MessageTotals in their order.
var kinds = [...]string{"batch", "take", "beat", "drop", "probe", "refused", "resend", "start"}

// MessageTotals returns the totals of messages sent by this entry, replies included,
// in the order batch, take, beat, drop, probe, refused, resend, start. A start
// counts here when it was neither refused nor a resend.
func (n *Node) MessageTotals() [len(kinds)]uint64 {
	k := n.keep.Stats()
	m := &n.counts
	return [...]uint64{m.batches, m.takes, m.beats, m.drops, 2 * k.Probes, k.Refused, k.Redispatches, k.Dispatches - k.Refused}
}

func (n *Node) messageCounts() []rrstatus.MessageCount {
	var list []rrstatus.MessageCount
	for i, total := range n.MessageTotals() {
		list = append(list, rrstatus.MessageCount{Kind: kinds[i], Total: total})
	}
	return list
}
