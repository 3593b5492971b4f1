// Package rrstatus defines what an entry reports to operators: its view of the fleet,
// and its decisions for one job.
package rrstatus

import (
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
)

// Status is the state of the fleet as one entry knows it.
type Status struct {
	Entry          string
	Incarnation    uint64
	Zone           string
	ConfigVersion  uint64 // of the active configuration
	Preset         rrconf.Preset
	Evacuated      []string // zones whose minions start no tasks, as the active configuration lists them
	Ready          bool     // accepts new jobs
	Draining       bool     // is stopping
	StoreReachable bool     // the platform's store answers
	Peers          []Peer
	Minions        []Minion
	Zones          []Zone
	Jobs           int // coordinated by this entry and not answered
	Batches        int // scheduled by this entry and not finished
	Counts         []MessageCount
}

// Peer is another entry as last reported.
type Peer struct {
	Name          string
	Zone          string
	Region        string
	State         PeerState
	HeartbeatAge  time.Duration // since the last heartbeat
	ConfigVersion uint64        // of the peer's active configuration
	Slots         int           // usable slots
	Busy          int           // busy slots
	Queued        int           // queued tasks
}

// PeerState is the state of a peer as another entry knows it.
type PeerState int

// States of a peer.
const (
	Alive    PeerState = iota // heartbeats arrive
	Suspect                   // refused a connection since its last heartbeat
	Draining                  // the peer reported that it is stopping
	Dead                      // no heartbeat arrived within the timeout, which is shorter after a refused connection; or none arrived yet
)

var peerStateNames = [...]string{
	Alive:    "live",
	Suspect:  "suspect",
	Draining: "leaving",
	Dead:     "dead",
}

// ParsePeerState returns the state with the given name. An unknown name gives Dead, the
// safe assumption: no task is sent to a dead peer.
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

// Minion is one endpoint and the entry that owns it.
type Minion struct {
	Name    string
	Zone    string
	Service string
	Owner   string // the entry that starts tasks on it; empty if none is reachable
	State   string // healthy, quarantined, probation or leaving
	Slots   int
	Busy    int // busy slots; known for the entry's own minions only
}

// Zone is an availability zone and whether any of its entries is reachable.
type Zone struct {
	Name      string
	Reachable bool
}

// MessageCount is the number of messages of one kind since the entry started.
type MessageCount struct {
	Kind  string
	Total uint64
}

// History is the list of one entry's decisions for one job.
type History struct {
	ID     string // request id
	Tenant string
	Class  string
	Code   rrcode.Code // zero until the job is answered
	Events []Event     // by time
}

// Event is one decision.
type Event struct {
	Elapsed time.Duration // since the job was accepted
	Kind    EventKind
	Peer    string // the other entry involved, or empty
	Tasks   int
	Detail  string // the reason in a few words
}

// EventKind is the kind of a decision.
type EventKind int

// Kinds of decisions.
const (
	Accepted EventKind = iota + 1 // admission control accepted the job
	Refused                       // the job was refused
	Claiming                      // the claim is being written
	Claimed                       // the claim was written
	Joined                        // the job joined an earlier submission
	Placed                        // tasks were queued for the entry's own minions
	Sent                          // a batch was sent to a peer
	Resent                        // a batch was sent to the same peer again
	Recalled                      // tasks were recalled from a peer
	Returned                      // a peer returned tasks that it had not started
	Started                       // the first task of a batch started
	Finished                      // tasks finished
	Retried                       // tasks that had not started were assigned again
	Lost                          // a peer with tasks of the job was lost
	Canceled                      // the job was canceled
	Expired                       // the deadline passed
	Answered                      // the caller was answered
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
