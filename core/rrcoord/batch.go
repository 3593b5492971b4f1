package rrcoord

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// Intervals of a batch at another entry.
const (
	minCallBackoff = 50 * time.Millisecond // wait before a failed Run call is first repeated
	maxCallBackoff = time.Second           // longest wait before it is repeated
	recallInterval = 2 * time.Second       // between two recalls of one job
)

// batch is the part of a job that one owner runs, as the job's coordinator sees it.
type batch struct {
	seq              uint64
	job              *job
	owner            string
	ownerIncarnation uint64 // incarnation of the owner that the batch was sent to
	ownerAddr        string
	local            bool
	tasks            []int     // indexes in the job
	unresolved       int       // tasks that are neither finished nor returned
	sentAt           time.Time // when the batch was first sent to its owner
	estimatedEnd     time.Time // estimated completion
	deliveryUnknown  bool      // a call failed after bytes of the batch were written
	acknowledged     bool      // the owner has answered a call for the batch
	callInFlight     bool
	failedCalls      int // consecutive calls without an answer
	callBackoff      time.Duration
	retryAt          time.Time
}

// mayBeAtOwner reports whether the owner may have received the batch.
func (b *batch) mayBeAtOwner() bool {
	return b.deliveryUnknown || b.acknowledged || b.callInFlight
}

// hasTask reports whether task i is placed in the batch.
func (b *batch) hasTask(i int) bool {
	if i < 0 || i >= len(b.job.records) {
		return false
	}
	record := &b.job.records[i]
	return record.phase == placed && record.batchSeq == b.seq
}

// scheduleRetry sets the time of the next call and doubles callBackoff.
func (b *batch) scheduleRetry(now time.Time) {
	if b.callBackoff == 0 {
		b.callBackoff = minCallBackoff
	}
	b.retryAt = now.Add(b.callBackoff)
	b.callBackoff = min(2*b.callBackoff, maxCallBackoff)
}

// RunBatchCall is a Peer.Run call. A repeated call with the same key goes only to the same
// incarnation, where the owner recognizes the key.
type RunBatchCall struct {
	To          string
	Addr        string
	RelayAddr   string // address of a peer that forwards the call; empty for a direct call
	Incarnation uint64 // of the owner
	Batch       rrdispatcher.Batch
	Received    []int             // results already received
	Load        rrdispatcher.Load // of the sender's own dispatcher
}

// RunBatchResult is the result of a RunBatchCall.
type RunBatchResult struct {
	Seq         uint64
	Delivery    Delivery
	Code        rrcode.Code // why the owner refused the batch; zero if it accepted it
	Results     []rrtask.Result
	Returned    []int  // indexes of the tasks that the owner returned so far
	More        bool   // the batch still has unresolved tasks
	Incarnation uint64 // incarnation that answered
	Load        rrdispatcher.Load
}

// Delivery says whether a call reached a peer.
type Delivery int

// Deliveries of a call.
const (
	DeliveryAnswered Delivery = iota // the peer answered
	DeliveryNotSent                  // no byte was written
	DeliveryUnknown                  // bytes were written, but no answer arrived
)

// RecallCall asks an owner to return unstarted tasks of a batch.
type RecallCall struct {
	To          string
	Addr        string
	Incarnation uint64
	Key         rrdispatcher.BatchKey
	MaxTasks    int
}

// CancelBatchesCall asks an owner to cancel batches. The answer to the Run call says which
// tasks never started.
type CancelBatchesCall struct {
	To          string
	Addr        string
	Incarnation uint64
	Keys        []rrdispatcher.BatchKey
}

// JobAnswer is the answer to all callers of one job.
type JobAnswer struct {
	Callers    []CallerID
	Answer     rrtask.Answer
	CloseClaim bool // the claim must be closed
	Tenant     string
	Class      string
	Elapsed    time.Duration // from submission to answer
}
