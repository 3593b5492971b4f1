// Package rrstatus holds what an entry tells operators: the fleet as it sees it,
// and what it decided for one job.
package rrstatus

import (
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
)

// Status is the fleet as one entry sees it.
type Status struct {
	Entry          string
	Incarnation    uint64 // incarnation
	Zone           string
	ConfigVersion  uint64 // of the configuration in force
	Preset         rrconf.Preset
	Ready          bool // takes new jobs
	Draining       bool // is stopping
	StoreReachable bool // the platform's store answers
	Peers          []Peer
	Minions        []Minion
	Zones          []Zone
	Jobs           int // coordinated here and not answered
	Batches        int // kept here and not finished
	Counts         []MessageCount
}

// Peer is another entry as last heard.
type Peer struct {
	Name          string
	Zone          string
	Region        string
	State         PeerState
	HeartbeatAge  time.Duration // since the last heartbeat
	ConfigVersion uint64        // of the configuration in force there
	Slots         int
	Busy          int
	Queued        int
}

// PeerState is what an entry believes about a peer.
type PeerState int

// States of a peer.
const (
	Alive    PeerState = iota // heartbeats arrive
	Suspect                   // heartbeats are late
	Draining                  // the peer said that it stops
	Dead                      // heartbeats stopped past the term
)

var peerStateNames = [...]string{
	Alive:    "live",
	Suspect:  "suspect",
	Draining: "leaving",
	Dead:     "dead",
}

// ParsePeerState returns the state with the given name. Unknown names give Dead, the
// state that nothing may rely on.
func ParsePeerState(name string) PeerState {
	i := slices.Index(peerStateNames[:], name)
	if i < 0 {
		return Dead
	}
	return PeerState(i)
}

// String returns the name of s, or "unknown".
func (s PeerState) String() string {
	if s >= 0 && int(s) < len(peerStateNames) {
		return peerStateNames[s]
	}
	return "unknown"
}

// Minion is one endpoint and the entry that keeps it.
type Minion struct {
	Name    string
	Zone    string
	Service string
	Owner   string // the entry that starts tasks on it; empty when none is in reach
	State   string // healthy, quarantined, probation or leaving
	Slots   int
	Busy    int // known for the entry's own minions only
}

// Zone is an availability zone and whether any entry of it is in reach.
type Zone struct {
	Name      string
	Reachable bool
}

// MessageCount is the number of messages of one kind since the entry started.
type MessageCount struct {
	Kind  string
	Total uint64
}

// History is what one entry decided for one job.
type History struct {
	ID     string // request id
	Tenant string
	Class  string
	Code   rrcode.Code // zero while the job is not answered
	Events []Event     // in the order of their times
}

// Event is one decision.
type Event struct {
	Elapsed time.Duration // since the job was accepted
	Kind    EventKind
	Peer    string // the other entry, or empty
	Tasks   int
	Detail  string // why, in a few words
}

// EventKind is the kind of a decision.
type EventKind int

// Kinds of decisions.
const (
	Accepted EventKind = iota + 1 // the job passed the checks at the door
	Refused                       // the job was turned away
	Claiming                      // a claim is being written
	Claimed                       // the claim is written
	Joined                        // the job was joined to an earlier submission
	Placed                        // tasks went to the entry's own minions
	Sent                          // a batch went to a peer
	Resent                        // a batch went to the same peer again
	Recalled                      // tasks were asked back
	Returned                      // tasks came back, never started
	Started                       // the first task of a batch started
	Finished                      // tasks finished
	Retried                       // tasks that never started are placed again
	Lost                          // a peer was lost with tasks of the job
	Canceled                      // the job was canceled
	Expired                       // the deadline passed
	Answered                      // the answer went to the caller
)

var eventKindNames = [...]string{
	Accepted: "accepted",
	Refused:  "refused",
	Claiming: "claiming",
	Claimed:  "claimed",
	Joined:   "joined",
	Placed:   "placed",
	Sent:     "sent",
	Resent:   "resent",
	Recalled: "recalled",
	Returned: "returned",
	Started:  "started",
	Finished: "finished",
	Retried:  "retried",
	Lost:     "lost",
	Canceled: "canceled",
	Expired:  "expired",
	Answered: "answered",
}

// ParseEventKind returns the kind with the given name, or zero.
func ParseEventKind(name string) EventKind {
	return EventKind(max(slices.Index(eventKindNames[:], name), 0))
}

// String returns the name of k, or "unknown".
func (k EventKind) String() string {
	if k > 0 && int(k) < len(eventKindNames) {
		return eventKindNames[k]
	}
	return "unknown"
}
