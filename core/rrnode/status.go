package rrnode

import (
	"time"

	"rattanring/core/rrmembership"
	"rattanring/core/rrstatus"
)

// messageCounters counts the messages to other entries, including replies, by kind.
type messageCounters struct {
	batches, recalls, heartbeats, cancels uint64
}

func (m *messageCounters) add(e *Effects) {
	m.batches += uint64(len(e.RunBatches) + len(e.RunBatchResponses))
	m.recalls += uint64(len(e.Recalls) + len(e.RecallResponses))
	m.cancels += uint64(len(e.CancelBatches) + len(e.CancelBatchesResponses))
	m.heartbeats += uint64(len(e.Heartbeats) + len(e.HeartbeatResponses) + len(e.ConfigFetches))
}

// Explain returns the history of a job.
func (n *Node) Explain(id string) (rrstatus.History, bool) {
	return n.coordinator.Explain(id)
}

// Status returns the fleet as this entry sees it.
func (n *Node) Status(now time.Time) rrstatus.Status {
	s := rrstatus.Status{
		Entry:          n.self.Name,
		Incarnation:    n.incarnation,
		Zone:           n.self.Zone,
		ConfigVersion:  n.cfg.Version,
		Preset:         n.cfg.Preset,
		Evacuated:      n.cfg.Evacuated,
		Ready:          n.Ready(),
		Draining:       n.view.Self().Draining,
		StoreReachable: n.storeReachable,
		Jobs:           n.coordinator.OpenJobs(),
		Batches:        n.served.openBatches(),
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
	if !p.LastHeartbeat.IsZero() {
		st.HeartbeatAge = now.Sub(p.LastHeartbeat)
	}
	switch state := n.view.State(now, p); {
	case state == rrmembership.Dead || state == rrmembership.Unknown:
		st.State = rrstatus.Dead
	case p.Draining:
		st.State = rrstatus.Draining
	case state == rrmembership.Suspect:
		st.State = rrstatus.Suspect
	}
	return st
}

func (n *Node) minionStatus(now time.Time) []rrstatus.Minion {
	positions := make(map[string]int)
	owned := n.dispatcher.MinionStatuses(now)
	for i, m := range owned {
		positions[m.Name] = i
	}
	list := make([]rrstatus.Minion, 0, len(n.owners))
	for i, m := range n.view.Minions() {
		st := rrstatus.Minion{Name: m.Name, Zone: m.Zone, Service: m.Service, Slots: m.Slots}
		if i < len(n.owners) {
			st.Owner = n.owners[i]
		}
		if m.Draining {
			st.State = "leaving"
		}
		if at, ok := positions[m.Name]; ok {
			st.State = owned[at].State.String()
			st.Busy = owned[at].InFlight
		}
		list = append(list, st)
	}
	return list
}

// messageKinds names the totals of MessageTotals in their order.
var messageKinds = [...]string{"batch", "take", "beat", "drop", "probe", "refused", "resend", "start"}

// MessageTotals returns the totals of messages sent by this entry, including replies, in
// the order batch, take, beat, drop, probe, refused, resend, start. A start is a dispatch
// that was not refused. A probe counts twice, for its request and its reply.
func (n *Node) MessageTotals() [len(messageKinds)]uint64 {
	stats := n.dispatcher.Stats()
	sent := &n.messages
	return [...]uint64{sent.batches, sent.recalls, sent.heartbeats, sent.cancels, 2 * stats.Probes, stats.Refused, stats.Redispatches, stats.Dispatches - stats.Refused}
}

func (n *Node) messageCounts() []rrstatus.MessageCount {
	var list []rrstatus.MessageCount
	for i, total := range n.MessageTotals() {
		list = append(list, rrstatus.MessageCount{Kind: messageKinds[i], Total: total})
	}
	return list
}
