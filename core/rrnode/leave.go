package rrnode

import (
	"time"

	"rattanring/core/rrmembership"
)

// Times of a graceful stop.
const (
	drainNotifyInterval = 500 * time.Millisecond // between two heartbeats to a peer that has not answered
	drainNotifyTimeout  = 3 * time.Second        // after which a peer that has not answered is not waited for
)

// drain starts the graceful stop: no new jobs, no keeperships; unstarted tasks of
// other coordinators go back, and every peer hears of it.
func (n *Node) drain(now time.Time) {
	if !n.drainStart.IsZero() {
		return
	}
	n.drainStart = now
	n.notified = make(map[string]bool)
	n.view.Drain()
	n.coordinator.Drain()
	n.dispatcher.Drain(now)
	n.served.draining = true
	n.notifyDraining(now)
}

// notifyDraining sends heartbeats to the live peers that may not know yet that this
// entry leaves. A peer that does not know would send it batches to the last.
func (n *Node) notifyDraining(now time.Time) {
	if n.drainStart.IsZero() || now.Before(n.nextNotify) {
		return
	}
	n.nextNotify = now.Add(drainNotifyInterval)
	for _, p := range n.unnotifiedPeers(now) {
		n.sendHeartbeat(now, p)
	}
}

// unnotifiedPeers returns the live peers that have not answered since the stop began.
func (n *Node) unnotifiedPeers(now time.Time) []*rrmembership.Peer {
	var unnotified []*rrmembership.Peer
	for _, p := range n.view.Peers() {
		if !n.notified[p.Name] && n.view.Live(now, p) {
			unnotified = append(unnotified, p)
		}
	}
	return unnotified
}

// Drained reports whether a leaving entry has nothing left to do for anybody.
func (n *Node) Drained(now time.Time) bool {
	claimsWritten := n.claimManager.PendingWrites() == 0 || !n.storeReachable
	peersNotified := now.Sub(n.drainStart) > drainNotifyTimeout || len(n.unnotifiedPeers(now)) == 0
	return n.coordinator.OpenJobs() == 0 && n.served.openBatches() == 0 && !n.served.awaitsLastCall(now) && claimsWritten && peersNotified
}
