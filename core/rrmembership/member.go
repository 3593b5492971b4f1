// Package rrmembership keeps an entry's view of the fleet: which entries are alive,
// which of them keeps which minion, and whether this entry's own view is fresh
// enough to act on.
//
// Nothing that must be safe depends on views agreeing. Two entries that both
// believe they keep a minion cost a refused send, never a second start.
package rrmembership

import (
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// Member is what an entry says of itself. Only its owner raises HeartbeatSeq, so the
// copy with the highest Incarnation and HeartbeatSeq is the newest.
type Member struct {
	rrtask.Entry
	Incarnation      uint64                      // incarnation; a later one replaces an earlier one
	HeartbeatSeq     uint64                      // heartbeat counter within the incarnation
	Draining         bool                        // gives up its keeperships and takes no new work
	ConfigVersion    uint64                      // configuration version in force there
	Load             rrdispatcher.Load           // of its own minions
	UnhealthyMinions []rrdispatcher.HealthReport // minions that are not healthy
	StoreReachable   bool                        // the platform's store answers it
}

// newer reports whether m replaces old.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.HeartbeatSeq > old.HeartbeatSeq
}

// MemberState is how this entry regards another one.
type MemberState int

// Conditions of a member.
const (
	Unknown MemberState = iota // listed, but no heartbeat has come yet
	Alive                      // heartbeats are recent
	Suspect                    // a connection to it was refused since its last heartbeat
	Dead                       // no heartbeat within the silence limit
)

// String returns the name of the condition.
func (s MemberState) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[s]
}

// Peer is another member with what this entry knows about it.
type Peer struct {
	Member
	LastHeartbeat  time.Time     // when its heartbeat last advanced here; zero if never
	LastContacted  time.Time     // when this entry last sent it a heartbeat
	Listed         bool          // the instance list or the settings name it
	NoCapacity     bool          // it handed tasks back because no minion of its takes work
	Excluded       bool          // it refused a batch and was not heard since
	CallFailed     bool          // a call to it ended without an answer, and it has answered none since
	unreportedWork time.Duration // work sent to it since LastHeard

	suspect           bool
	heartbeatDue      bool   // a heartbeat is due to it before the next round
	failedAtHeartbeat uint64 // HeartbeatSeq when it became CallFailed
}

// maxStaleHeartbeats is the number of heartbeats by which the news of a member may be behind
// in a fleet without zones of speakers: two rounds of gossip.
const maxStaleHeartbeats = 2

// markCallFailed notes that a call to p failed.
func (p *Peer) markCallFailed() {
	if !p.CallFailed {
		p.CallFailed, p.failedAtHeartbeat = true, p.HeartbeatSeq
	}
}

// mayBeStale reports whether the newest heartbeat may be older than the call that failed first.
func (p *Peer) mayBeStale() bool {
	return p.CallFailed && p.HeartbeatSeq <= p.failedAtHeartbeat+maxStaleHeartbeats
}

// clearFailures forgets that calls to p failed.
func (p *Peer) clearFailures() {
	p.CallFailed, p.heartbeatDue, p.suspect = false, false, false
}

// UnreportedWork returns the work that this entry has sent to p since its load was heard.
func (p *Peer) UnreportedWork() time.Duration {
	return p.unreportedWork
}

// AddUnreportedWork counts work that this entry sends to p, until the next heartbeat
// brings a load that includes it.
func (p *Peer) AddUnreportedWork(work time.Duration) {
	p.unreportedWork += work
}
