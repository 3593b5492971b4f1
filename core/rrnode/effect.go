package rrnode

import (
	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrkeep"
	"rattanring/core/rrtask"
	"rattanring/core/rrview"
)

// Effects is what the entry has to do after an event. The slices are valid until
// the next Step.
type Effects struct {
	Starts  []rrkeep.Start  // sends to minions
	Probes  []rrkeep.Probe  // health checks
	Orders  []rrkeep.Order  // stop or throttle running tasks
	Runs    []rrcoord.Run   // batches to peers
	Takes   []rrcoord.Take  // take-backs from peers
	Drops   []rrcoord.Drop  // cancellations to peers
	Finals  []rrcoord.Final // answers to callers
	Beats   []Beat          // heartbeats to peers
	Fetches []Fetch         // configurations to ask peers for
	Joins   []Join          // answers to ask claims' holders for

	Calls    []rrclaim.Call   // claims at the store
	Writes   []rrconf.Write   // the configuration at the store
	Verdicts []rrconf.Verdict // answers to operators

	RunReplies    []RunReply
	TakeReplies   []TakeReply
	BeatReplies   []BeatReply
	CancelReplies []CancelReply
	DropReplies   []DropReply
	Misses        []Miss
}

// reset empties e and keeps its memory.
func (e *Effects) reset() {
	*e = Effects{
		Starts:        e.Starts[:0],
		Probes:        e.Probes[:0],
		Orders:        e.Orders[:0],
		Beats:         e.Beats[:0],
		Fetches:       e.Fetches[:0],
		Joins:         e.Joins[:0],
		RunReplies:    e.RunReplies[:0],
		TakeReplies:   e.TakeReplies[:0],
		BeatReplies:   e.BeatReplies[:0],
		CancelReplies: e.CancelReplies[:0],
		DropReplies:   e.DropReplies[:0],
		Misses:        e.Misses[:0],
	}
}

// Beat is one heartbeat to a peer.
type Beat struct {
	To      string
	Addr    string
	Members []rrview.Member
}

// Fetch asks a peer for the configuration that it has.
type Fetch struct {
	From string
	Addr string
}

// RunReply answers RunIn.
type RunReply struct {
	Call     Call
	Code     rrcode.Code
	Results  []rrtask.Result
	Returned []int
	More     bool
	Life     uint64
	Load     rrkeep.Load
}

// TakeReply answers TakeIn.
type TakeReply struct {
	Call     Call
	Code     rrcode.Code
	Returned []int
	Life     uint64
	Load     rrkeep.Load
}

// BeatReply answers BeatIn.
type BeatReply struct {
	Call    Call
	Members []rrview.Member
}

// CancelReply answers Cancel.
type CancelReply struct {
	Call  Call
	Jobs  int
	Tasks int
}

// DropReply answers DropIn.
type DropReply struct {
	Call  Call
	Tasks int
}

// Miss answers JoinIn when no such job runs here, with its outcome if that is
// known and else with the code rrcode.NotFound.
type Miss struct {
	Token  rrcoord.Token
	Answer rrtask.Answer
}
