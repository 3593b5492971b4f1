package rrnode

import (
	"time"

	"rattanring/core/rrstatus"
	"rattanring/core/rrview"
)

// messages counts the messages to other entries, replies included, by kind.
type messages struct {
	batches, takes, beats, drops uint64
}

func (m *messages) add(e *Effects) {
	m.batches += uint64(len(e.Runs) + len(e.RunReplies))
	m.takes += uint64(len(e.Takes) + len(e.TakeReplies))
	m.drops += uint64(len(e.Drops) + len(e.DropReplies))
	m.beats += uint64(len(e.Beats) + len(e.BeatReplies) + len(e.Fetches))
}

// Explain returns what was decided for a job.
func (n *Node) Explain(id string) (rrstatus.History, bool) {
	return n.coord.Explain(id)
}

// Status returns the fleet as this entry sees it.
func (n *Node) Status(now time.Time) rrstatus.Status {
	s := rrstatus.Status{
		Entry:   n.self.Name,
		Life:    n.life,
		Zone:    n.self.Zone,
		Version: n.cfg.Version,
		Preset:  n.cfg.Preset,
		Ready:   n.Ready(),
		Leaving: n.view.Self().Leaving,
		Store:   n.store,
		Jobs:    n.coord.Jobs(),
		Batches: n.served.open(),
	}
	for _, p := range n.view.Peers() {
		s.Peers = append(s.Peers, n.peerStatus(now, p))
	}
	for _, z := range n.view.Zones(now) {
		s.Zones = append(s.Zones, rrstatus.Zone{Name: z.Name, Reach: z.Reach})
	}
	s.Minions = n.minionStatus(now)
	s.Counts = n.messageCounts()
	return s
}

func (n *Node) peerStatus(now time.Time, p *rrview.Peer) rrstatus.Peer {
	st := rrstatus.Peer{
		Name:    p.Name,
		Zone:    p.Zone,
		Region:  p.Region,
		Version: p.Version,
		Slots:   p.Load.Slots,
		Busy:    p.Load.Busy,
		Queued:  p.Load.Queued,
	}
	if !p.Heard.IsZero() {
		st.Age = now.Sub(p.Heard)
	}
	switch c := n.view.Condition(now, p); {
	case c == rrview.Dead || c == rrview.Unheard:
		st.State = rrstatus.Dead
	case p.Leaving:
		st.State = rrstatus.Leaving
	case c == rrview.Suspect:
		st.State = rrstatus.Suspect
	}
	return st
}

func (n *Node) minionStatus(now time.Time) []rrstatus.Minion {
	own := make(map[string]int)
	kept := n.keep.Minions(now)
	for i, m := range kept {
		own[m.Name] = i
	}
	list := make([]rrstatus.Minion, 0, len(n.keepers))
	for i, m := range n.view.Minions() {
		st := rrstatus.Minion{Name: m.Name, Zone: m.Zone, Service: m.Service, Slots: m.Slots}
		if i < len(n.keepers) {
			st.Keeper = n.keepers[i]
		}
		if m.Leaving {
			st.State = "leaving"
		}
		if at, ok := own[m.Name]; ok {
			st.State = kept[at].State.String()
			st.Busy = kept[at].Busy
		}
		list = append(list, st)
	}
	return list
}

// kinds names the totals of Messages in their order.
var kinds = [...]string{"batch", "take", "beat", "drop", "probe", "refused", "resend", "start"}

// Messages returns the totals of messages sent by this entry, replies included,
// in the order batch, take, beat, drop, probe, refused, resend, start. A start
// counts here when it was neither refused nor a resend.
func (n *Node) Messages() [len(kinds)]uint64 {
	k := n.keep.Counts()
	m := &n.counts
	return [...]uint64{m.batches, m.takes, m.beats, m.drops, 2 * k.Probes, k.Refused, k.Resends, k.Starts - k.Refused}
}

func (n *Node) messageCounts() []rrstatus.Count {
	var list []rrstatus.Count
	for i, total := range n.Messages() {
		list = append(list, rrstatus.Count{Kind: kinds[i], Total: total})
	}
	return list
}
