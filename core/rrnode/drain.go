package rrnode

import (
	"time"

	"rattanring/core/rrmembership"
)

// Interval and timeout for notifying peers that this entry is draining.
const (
	drainNotifyInterval = 500 * time.Millisecond // between two heartbeats to a peer that has not answered
	drainNotifyTimeout  = 3 * time.Second        // after which unnotified peers no longer delay the shutdown
)

// drain starts the graceful shutdown: the entry accepts no new jobs and owns no minions.
// It returns unstarted tasks to other coordinators and notifies every peer.
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

// notifyDraining sends heartbeats to the live peers that may not know yet that this entry
// is draining. Otherwise they would send it batches until it stops.
func (n *Node) notifyDraining(now time.Time) {
	if n.drainStart.IsZero() || now.Before(n.nextNotify) {
		return
	}
	n.nextNotify = now.Add(drainNotifyInterval)
	for _, p := range n.unnotifiedPeers(now) {
		n.sendHeartbeat(now, p)
	}
}

// unnotifiedPeers returns the live peers that have not answered a heartbeat since draining
// began.
func (n *Node) unnotifiedPeers(now time.Time) []*rrmembership.Peer {
	var unnotified []*rrmembership.Peer
	for _, p := range n.view.Peers() {
		if !n.notified[p.Name] && n.view.Live(now, p) {
			unnotified = append(unnotified, p)
		}
	}
	return unnotified
}

// Drained reports whether a draining entry has finished all its work.
func (n *Node) Drained(now time.Time) bool {
	claimsWritten := n.claimManager.PendingCloses() == 0 || !n.storeReachable
	peersNotified := now.Sub(n.drainStart) > drainNotifyTimeout || len(n.unnotifiedPeers(now)) == 0
	return n.coordinator.OpenJobs() == 0 && n.served.openBatches() == 0 && !n.served.awaitsLastCall(now) && claimsWritten && peersNotified
}
