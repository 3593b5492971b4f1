// Package rrmembership maintains an entry's view of the fleet: which entries are alive,
// which of them owns which minion, and whether this view is fresh enough to act on.
//
// Safety does not depend on equal views. If two entries both believe that they own a
// minion, the cost is a refused dispatch, never a second start.
package rrmembership

import (
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// Member is what an entry reports about itself. Only the entry itself raises its
// HeartbeatSeq, so the copy with the highest Incarnation and HeartbeatSeq is the newest.
type Member struct {
	rrtask.Entry
	Incarnation      uint64                      // a later incarnation replaces an earlier one
	HeartbeatSeq     uint64                      // counts heartbeats within the incarnation
	Draining         bool                        // owns no minions and takes no new work
	ConfigVersion    uint64                      // version of its active configuration
	Load             rrdispatcher.Load           // of its own minions
	UnhealthyMinions []rrdispatcher.HealthReport // of its own minions that are not healthy or have just recovered
	StoreReachable   bool                        // the platform's store answers it
}

// newer reports whether m replaces old.
func (m *Member) newer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.HeartbeatSeq > old.HeartbeatSeq
}

// MemberState is the state of another member as this entry sees it.
type MemberState int

// States of a member.
const (
	Unknown MemberState = iota // listed, but no heartbeat has arrived yet
	Alive                      // its heartbeats are recent
	Suspect                    // it refused a connection since its last heartbeat
	Dead                       // no heartbeat within the timeout
)

// String returns the name of the state.
func (s MemberState) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[s]
}

// Peer is another member with what this entry knows about it.
type Peer struct {
	Member
	LastHeartbeat  time.Time     // when its HeartbeatSeq last advanced in this view; zero if never
	LastContacted  time.Time     // when this entry last sent it a heartbeat
	Listed         bool          // the instance list or the settings name it
	NoCapacity     bool          // it returned tasks because none of its minions takes work
	Excluded       bool          // it refused a batch and has sent no heartbeat since
	CallFailed     bool          // a call to it got no answer, and it has answered no call since
	unreportedWork time.Duration // work sent to it since its last report of its load

	suspect           bool
	heartbeatDue      bool   // a heartbeat is sent to it before the next round
	failedAtHeartbeat uint64 // HeartbeatSeq when CallFailed was set
}

// maxStaleHeartbeats is the number of heartbeats by which this entry's copy of a member may
// lag behind in a fleet without zone representatives: two gossip rounds.
const maxStaleHeartbeats = 2

// markCallFailed records that a call to p failed.
func (p *Peer) markCallFailed() {
	if !p.CallFailed {
		p.CallFailed, p.failedAtHeartbeat = true, p.HeartbeatSeq
	}
}

// mayBeStale reports whether p may have sent its newest known heartbeat before the first
// failed call.
func (p *Peer) mayBeStale() bool {
	return p.CallFailed && p.HeartbeatSeq <= p.failedAtHeartbeat+maxStaleHeartbeats
}

// clearFailures forgets the failed calls and refused connections of p.
func (p *Peer) clearFailures() {
	p.CallFailed, p.heartbeatDue, p.suspect = false, false, false
}

// UnreportedWork returns the work that this entry has sent to p since p last reported its
// load.
func (p *Peer) UnreportedWork() time.Duration {
	return p.unreportedWork
}

// AddUnreportedWork counts work that this entry sends to p, until p reports a load that
// includes it.
func (p *Peer) AddUnreportedWork(work time.Duration) {
	p.unreportedWork += work
}
