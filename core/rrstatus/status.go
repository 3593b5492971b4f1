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
	Entry   string
	Life    uint64 // incarnation
	Zone    string
	Version uint64 // of the configuration in force
	Preset  rrconf.Preset
	Ready   bool // takes new jobs
	Leaving bool // is stopping
	Store   bool // the platform's store answers
	Peers   []Peer
	Minions []Minion
	Zones   []Zone
	Jobs    int // coordinated here and not answered
	Batches int // kept here and not finished
	Counts  []Count
}

// Peer is another entry as last heard.
type Peer struct {
	Name    string
	Zone    string
	Region  string
	State   State
	Age     time.Duration // since the last heartbeat
	Version uint64        // of the configuration in force there
	Slots   int
	Busy    int
	Queued  int
}

// State is what an entry believes about a peer.
type State int

// States of a peer.
const (
	Live    State = iota // heartbeats arrive
	Suspect              // heartbeats are late
	Leaving              // the peer said that it stops
	Dead                 // heartbeats stopped past the term
)

var states = [...]string{
	Live:    "live",
	Suspect: "suspect",
	Leaving: "leaving",
	Dead:    "dead",
}

// ParseState returns the state with the given name. Unknown names give Dead, the
// state that nothing may rely on.
func ParseState(name string) State {
	i := slices.Index(states[:], name)
	if i < 0 {
		return Dead
	}
	return State(i)
}

// String returns the name of s, or "unknown".
func (s State) String() string {
	if s >= 0 && int(s) < len(states) {
		return states[s]
	}
	return "unknown"
}

// Minion is one endpoint and the entry that keeps it.
type Minion struct {
	Name    string
	Zone    string
	Service string
	Keeper  string // the entry that starts tasks on it; empty when none is in reach
	State   string // healthy, quarantined, probation or leaving
	Slots   int
	Busy    int // known for the entry's own minions only
}

// Zone is an availability zone and whether any entry of it is in reach.
type Zone struct {
	Name  string
	Reach bool
}

// Count is the number of messages of one kind since the entry started.
type Count struct {
	Kind  string
	Total uint64
}

// History is what one entry decided for one job.
type History struct {
	ID     string // request id
	Tenant string
	Class  string
	Code   rrcode.Code // zero while the job is not answered
	Steps  []Step      // in the order of their times
}

// Step is one decision.
type Step struct {
	At     time.Duration // since the job was accepted
	What   Kind
	Peer   string // the other entry, or empty
	Tasks  int
	Detail string // why, in a few words
}

// Kind is the kind of a decision.
type Kind int

// Kinds of decisions.
const (
	Accepted Kind = iota + 1 // the job passed the checks at the door
	Refused                  // the job was turned away
	Claiming                 // a claim is being written
	Claimed                  // the claim is written
	Joined                   // the job was joined to an earlier submission
	Placed                   // tasks went to the entry's own minions
	Sent                     // a batch went to a peer
	Resent                   // a batch went to the same peer again
	Recalled                 // tasks were asked back
	Returned                 // tasks came back, never started
	Started                  // the first task of a batch started
	Finished                 // tasks finished
	Retried                  // tasks that never started are placed again
	Lost                     // a peer was lost with tasks of the job
	Canceled                 // the job was canceled
	Expired                  // the deadline passed
	Answered                 // the answer went to the caller
)

var kinds = [...]string{
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

// ParseKind returns the kind with the given name, or zero.
func ParseKind(name string) Kind {
	return Kind(max(slices.Index(kinds[:], name), 0))
}

// String returns the name of k, or "unknown".
func (k Kind) String() string {
	if k > 0 && int(k) < len(kinds) {
		return kinds[k]
	}
	return "unknown"
}
