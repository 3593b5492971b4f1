package rrnode

import (
	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// Effects is what the entry has to do after an event. The slices are valid until
// the next Step.
type Effects struct {
	TaskSends     []rrdispatcher.Dispatch     // sends to minions
	Probes        []rrdispatcher.Probe        // health checks
	TaskCommands  []rrdispatcher.TaskCommand  // stop or throttle running tasks
	RunBatches    []rrcoord.RunBatchCall      // batches to peers
	Recalls       []rrcoord.RecallCall        // take-backs from peers
	CancelBatches []rrcoord.CancelBatchesCall // cancellations to peers
	Answers       []rrcoord.JobAnswer         // answers to callers
	Heartbeats    []HeartbeatCall             // heartbeats to peers
	ConfigFetches []FetchConfigCall           // configurations to ask peers for
	Attaches      []AttachCall                // answers to ask claims' holders for

	ClaimCalls    []rrclaim.StoreCall   // claims at the store
	ConfigWrites  []rrconf.StoreCall    // the configuration at the store
	ConfigResults []rrconf.ChangeResult // answers to operators

	RunBatchResponses      []RunBatchResponse
	RecallResponses        []RecallResponse
	HeartbeatResponses     []HeartbeatResponse
	CancelJobsResponses    []CancelJobsResponse
	CancelBatchesResponses []CancelBatchesResponse
	AttachMisses           []AttachMiss
}

// reset empties e and keeps its memory.
func (e *Effects) reset() {
	*e = Effects{
		TaskSends:              e.TaskSends[:0],
		Probes:                 e.Probes[:0],
		TaskCommands:           e.TaskCommands[:0],
		Heartbeats:             e.Heartbeats[:0],
		ConfigFetches:          e.ConfigFetches[:0],
		Attaches:               e.Attaches[:0],
		RunBatchResponses:      e.RunBatchResponses[:0],
		RecallResponses:        e.RecallResponses[:0],
		HeartbeatResponses:     e.HeartbeatResponses[:0],
		CancelJobsResponses:    e.CancelJobsResponses[:0],
		CancelBatchesResponses: e.CancelBatchesResponses[:0],
		AttachMisses:           e.AttachMisses[:0],
	}
}

// HeartbeatCall is one heartbeat to a peer.
type HeartbeatCall struct {
	To      string
	Addr    string
	Members []rrmembership.Member
}

// FetchConfigCall asks a peer for the configuration that it has.
type FetchConfigCall struct {
	From string
	Addr string
}

// RunBatchResponse answers RunBatchRequest.
type RunBatchResponse struct {
	Call        CallID
	Code        rrcode.Code
	Results     []rrtask.Result
	Returned    []int
	More        bool
	Incarnation uint64
	Load        rrdispatcher.Load
}

// RecallResponse answers RecallRequest.
type RecallResponse struct {
	Call        CallID
	Code        rrcode.Code
	Returned    []int
	Incarnation uint64
	Load        rrdispatcher.Load
}

// HeartbeatResponse answers HeartbeatRequest.
type HeartbeatResponse struct {
	Call    CallID
	Members []rrmembership.Member
}

// CancelJobsResponse answers CancelJobs.
type CancelJobsResponse struct {
	Call  CallID
	Jobs  int
	Tasks int
}

// CancelBatchesResponse answers CancelBatchesRequest.
type CancelBatchesResponse struct {
	Call  CallID
	Tasks int
}

// AttachMiss answers AttachRequest when no such job runs here, with its outcome if that is
// known and else with the code rrcode.NotFound.
type AttachMiss struct {
	Caller rrcoord.CallerID
	Answer rrtask.Answer
}
