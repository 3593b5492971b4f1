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

// Effects is what the entry must do after an event. The slices are valid until the next
// Step.
type Effects struct {
	Dispatches    []rrdispatcher.Dispatch     // dispatches to minions
	Probes        []rrdispatcher.Probe        // health checks
	TaskCommands  []rrdispatcher.TaskCommand  // commands to stop or throttle running tasks
	RunBatches    []rrcoord.RunBatchCall      // batches to peers
	Recalls       []rrcoord.RecallCall        // recalls from peers
	CancelBatches []rrcoord.CancelBatchesCall // cancellations to peers
	Answers       []rrcoord.JobAnswer         // answers to callers
	Heartbeats    []HeartbeatCall             // heartbeats to peers
	ConfigFetches []FetchConfigCall           // requests for the configurations of peers
	Attaches      []AttachCall                // requests for answers from the owners of claims

	ClaimCalls    []rrclaim.StoreCall   // claim operations on the store
	ConfigWrites  []rrconf.StoreCall    // configuration writes to the store
	ConfigResults []rrconf.ChangeResult // answers to operators

	RunBatchResponses      []RunBatchResponse
	RecallResponses        []RecallResponse
	HeartbeatResponses     []HeartbeatResponse
	CancelJobsResponses    []CancelJobsResponse
	CancelBatchesResponses []CancelBatchesResponse
	AttachMisses           []AttachMiss
}

// reset empties e and reuses its memory.
func (e *Effects) reset() {
	*e = Effects{
		Dispatches:             e.Dispatches[:0],
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

// HeartbeatCall is a heartbeat to a peer.
type HeartbeatCall struct {
	To      string
	Addr    string
	Members []rrmembership.Member
}

// FetchConfigCall asks a peer for its active configuration.
type FetchConfigCall struct {
	From string
	Addr string
}

// RunBatchResponse answers a RunBatchRequest.
type RunBatchResponse struct {
	Call        CallID
	Code        rrcode.Code
	Results     []rrtask.Result
	Returned    []int // indexes of the tasks that the owner returned so far
	More        bool  // the batch still has unresolved tasks
	Incarnation uint64
	Load        rrdispatcher.Load
}

// RecallResponse answers a RecallRequest.
type RecallResponse struct {
	Call        CallID
	Code        rrcode.Code
	Returned    []int // indexes of the returned tasks
	Incarnation uint64
	Load        rrdispatcher.Load
}

// HeartbeatResponse answers a HeartbeatRequest.
type HeartbeatResponse struct {
	Call    CallID
	Members []rrmembership.Member
}

// CancelJobsResponse answers a CancelJobs event.
type CancelJobsResponse struct {
	Call  CallID
	Jobs  int
	Tasks int
}

// CancelBatchesResponse answers a CancelBatchesRequest.
type CancelBatchesResponse struct {
	Call  CallID
	Tasks int
}

// AttachMiss answers an AttachRequest for a job that does not run here. The answer is the
// job's outcome if it is known, otherwise it has the code rrcode.NotFound.
type AttachMiss struct {
	Caller rrcoord.CallerID
	Answer rrtask.Answer
}
