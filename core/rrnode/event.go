package rrnode

import (
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// Event is something that happened to the entry. Its dynamic type is a pointer to one of
// the event types of this package.
type Event interface {
	event()
}

// CallID identifies a call from a peer or an operator that waits for its reply.
type CallID uint64

// Tick reports that time has passed.
type Tick struct{}

// SubmitJob is a job from a caller.
type SubmitJob struct {
	Caller rrcoord.CallerID
	Job    rrtask.Job
}

// CallerDisconnected reports that a caller no longer waits for its answer.
type CallerDisconnected struct {
	Caller rrcoord.CallerID
	ID     string
}

// CancelJobs asks to cancel the unstarted tasks of jobs.
type CancelJobs struct {
	Call   CallID
	Tenant string
	IDs    []string
}

// MinionsListed reports the minions in the instance list.
type MinionsListed struct {
	List []rrtask.Minion
}

// EntriesListed reports the entries in the instance list or the settings.
type EntriesListed struct {
	List []rrtask.Entry
}

// DispatchDone reports the result of a dispatch to a minion.
type DispatchDone struct {
	Result rrdispatcher.DispatchResult
}

// ProbeDone reports the result of a health check.
type ProbeDone struct {
	Minion string
	OK     bool
}

// RunBatchRequest is a Run call from a peer: a new batch, or a repeated call for one.
type RunBatchRequest struct {
	Call        CallID
	Incarnation uint64 // incarnation of this entry that the peer addresses
	Batch       rrdispatcher.Batch
	Received    []int             // results that the peer has received
	Load        rrdispatcher.Load // of the peer
}

// RunBatchDone reports the result of a Run call to a peer.
type RunBatchDone struct {
	From      string
	RelayAddr string // address of the peer that forwarded the call; empty for a direct call
	Reply     rrcoord.RunBatchResult
}

// RecallRequest is a call from a peer that asks to return unstarted tasks.
type RecallRequest struct {
	Call        CallID
	Incarnation uint64
	Key         rrdispatcher.BatchKey
	MaxTasks    int
}

// RecallDone reports a peer's answer to a recall. Only Seq is set if no answer arrived.
type RecallDone struct {
	Seq         uint64
	From        string
	Incarnation uint64 // incarnation that answered
	Load        rrdispatcher.Load
	Returned    []int // indexes of the returned tasks
}

// CancelBatchesRequest is a call from a peer that cancels batches.
type CancelBatchesRequest struct {
	Call        CallID
	Incarnation uint64
	Keys        []rrdispatcher.BatchKey
}

// HeartbeatRequest is a heartbeat from a peer.
type HeartbeatRequest struct {
	Call    CallID
	Members []rrmembership.Member
}

// HeartbeatDone reports the result of a heartbeat to a peer.
type HeartbeatDone struct {
	To       string
	Delivery rrcoord.Delivery
	Members  []rrmembership.Member
}

// AttachRequest is a call from a peer for the answer to a job that may run here.
type AttachRequest struct {
	Caller rrcoord.CallerID
	ID     string
	Tenant string
}

// StoreStatus reports whether the platform's store is reachable.
type StoreStatus struct {
	Reachable bool
}

// Drain starts the graceful shutdown.
type Drain struct{}

func (*Tick) event()                 {}
func (*SubmitJob) event()            {}
func (*CallerDisconnected) event()   {}
func (*CancelJobs) event()           {}
func (*MinionsListed) event()        {}
func (*EntriesListed) event()        {}
func (*DispatchDone) event()         {}
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
