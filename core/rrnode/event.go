package rrnode

import (
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// Event is something that happened to the entry. Its dynamic type is a pointer
// to one of the event types of this package.
type Event interface {
	event()
}

// CallID identifies a request of a peer or an operator that waits for its reply.
type CallID uint64

// Tick says that time has passed.
type Tick struct{}

// SubmitJob is a job from a caller.
type SubmitJob struct {
	Caller rrcoord.CallerID
	Job    rrtask.Job
}

// CallerDisconnected says that a caller no longer waits.
type CallerDisconnected struct {
	Caller rrcoord.CallerID
	ID     string
}

// CancelJobs asks to drop the unstarted tasks of jobs.
type CancelJobs struct {
	Call   CallID
	Tenant string
	IDs    []string
}

// MinionsListed is the list of minions.
type MinionsListed struct {
	List []rrtask.Minion
}

// EntriesListed is the list of entries.
type EntriesListed struct {
	List []rrtask.Entry
}

// TaskSendDone says how a send to a minion ended.
type TaskSendDone struct {
	Result rrdispatcher.DispatchResult
}

// ProbeDone says how a health check ended.
type ProbeDone struct {
	Minion string
	OK     bool
}

// RunBatchRequest is a batch from a peer.
type RunBatchRequest struct {
	Call        CallID
	Incarnation uint64 // incarnation that the peer means
	Batch       rrdispatcher.Batch
	Received    []int             // results that the peer has
	Load        rrdispatcher.Load // of the peer itself
}

// RunBatchDone is the outcome of a batch that was sent to a peer.
type RunBatchDone struct {
	From      string
	RelayAddr string // address of the peer that passed the call on; empty for a direct call
	Reply     rrcoord.RunBatchResult
}

// RecallRequest is a peer's request to give back unstarted tasks.
type RecallRequest struct {
	Call        CallID
	Incarnation uint64
	Key         rrdispatcher.BatchKey
	MaxTasks    int
}

// RecallDone is a peer's answer to a take-back. It is empty but for Seq when none
// came.
type RecallDone struct {
	Seq         uint64
	From        string
	Incarnation uint64 // incarnation that answered
	Load        rrdispatcher.Load
	Returned    []int
}

// CancelBatchesRequest is a peer's cancellation of batches.
type CancelBatchesRequest struct {
	Call        CallID
	Incarnation uint64
	Keys        []rrdispatcher.BatchKey
}

// HeartbeatRequest is a heartbeat of a peer.
type HeartbeatRequest struct {
	Call    CallID
	Members []rrmembership.Member
}

// HeartbeatDone is the answer to a heartbeat that was sent to a peer.
type HeartbeatDone struct {
	To       string
	Delivery rrcoord.Delivery
	Members  []rrmembership.Member
}

// AttachRequest is a peer's request for the answer of a job that runs here.
type AttachRequest struct {
	Caller rrcoord.CallerID
	ID     string
	Tenant string
}

// StoreStatus says whether the platform's store answers.
type StoreStatus struct {
	Reachable bool
}

// Drain starts the graceful stop.
type Drain struct{}

func (*Tick) event()                 {}
func (*SubmitJob) event()            {}
func (*CallerDisconnected) event()   {}
func (*CancelJobs) event()           {}
func (*MinionsListed) event()        {}
func (*EntriesListed) event()        {}
func (*TaskSendDone) event()         {}
func (*ProbeDone) event()            {}
func (*RunBatchRequest) event()      {}
func (*RunBatchDone) event()         {}
func (*RecallRequest) event()        {}
func (*RecallDone) event()           {}
func (*CancelBatchesRequest) event() {}
func (*HeartbeatRequest) event()     {}
func (*HeartbeatDone) event()        {}
func (*AttachRequest) event()        {}
func (*StoreStatus) event()          {}
func (*Drain) event()                {}
