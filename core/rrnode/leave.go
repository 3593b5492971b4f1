package rrnode

import (
	"time"

	"rattanring/core/rrmembership"
)

// Times of a graceful stop.
const (
	tellEvery = 500 * time.Millisecond // between two heartbeats to a peer that has not answered
	tellLimit = 3 * time.Second        // after which a peer that has not answered is not waited for
)

// leave starts the graceful stop: no new jobs, no keeperships; unstarted tasks of
// other coordinators go back, and every peer hears of it.
func (n *Node) leave(now time.Time) {
	if !n.leftAt.IsZero() {
		return
	}
	n.leftAt = now
	n.told = make(map[string]bool)
	n.view.Drain()
	n.coord.Drain()
	n.keep.Drain(now)
	n.served.leaving = true
	n.tellLeaving(now)
}

// tellLeaving sends heartbeats to the live peers that may not know yet that this
// entry leaves. A peer that does not know would send it batches to the last.
func (n *Node) tellLeaving(now time.Time) {
	if n.leftAt.IsZero() || now.Before(n.tellAt) {
		return
	}
	n.tellAt = now.Add(tellEvery)
	for _, p := range n.untold(now) {
		n.beat(now, p)
	}
}

// untold returns the live peers that have not answered since the stop began.
func (n *Node) untold(now time.Time) []*rrmembership.Peer {
	var left []*rrmembership.Peer
	for _, p := range n.view.Peers() {
		if !n.told[p.Name] && n.view.Live(now, p) {
			left = append(left, p)
		}
	}
	return left
}

// Drained reports whether a leaving entry has nothing left to do for anybody.
func (n *Node) Drained(now time.Time) bool {
	written := n.book.PendingWrites() == 0 || !n.store
	known := now.Sub(n.leftAt) > tellLimit || len(n.untold(now)) == 0
	return n.coord.OpenJobs() == 0 && n.served.open() == 0 && !n.served.unheard(now) && written && known
}
