package rrcoord

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// Times of a batch at another keeper.
const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	recallInterval = 2 * time.Second // between two take-backs of one job
)

// batch is a part of a job as its coordinator sees it.
type batch struct {
	seq              uint64
	job              *job
	owner            string
	ownerIncarnation uint64 // incarnation of the keeper it was sent to
	ownerAddr        string
	local            bool
	tasks            []int     // indexes in the job
	unresolved       int       // tasks neither ended nor given back
	sentAt           time.Time // first send
	estimatedEnd     time.Time // estimated completion
	deliveryUnknown  bool      // a send whose fate is unknown has been made
	acknowledged     bool      // the keeper has answered for it
	callInFlight     bool      // a call is in flight
	failedCalls      int       // calls in a row that brought no answer
	backoff          time.Duration
	retryAt          time.Time
}

// mayBeAtOwner reports whether the keeper may have the batch.
func (b *batch) mayBeAtOwner() bool {
	return b.deliveryUnknown || b.acknowledged || b.callInFlight
}

// hasTask reports whether task i is in the hands of the batch.
func (b *batch) hasTask(i int) bool {
	if i < 0 || i >= len(b.job.records) {
		return false
	}
	s := &b.job.records[i]
	return s.phase == placed && s.batchSeq == b.seq
}

// scheduleRetry doubles the time until the next send.
func (b *batch) scheduleRetry(now time.Time) {
	if b.backoff == 0 {
		b.backoff = minBackoff
	}
	b.retryAt = now.Add(b.backoff)
	b.backoff = min(2*b.backoff, maxBackoff)
}

// RunBatchCall asks for one Peer.Run call. A second Run with the same key goes to the
// same incarnation only, and the keeper recognises it.
type RunBatchCall struct {
	To          string
	Addr        string
	RelayAddr   string // address of a peer that passes the call on; empty for a direct call
	Incarnation uint64 // incarnation of the keeper
	Batch       rrdispatcher.Batch
	Received    []int             // results already received
	Load        rrdispatcher.Load // of the sender's own keeper
}

// RunBatchResult is the outcome of one Run call.
type RunBatchResult struct {
	Seq         uint64
	Delivery    Delivery
	Code        rrcode.Code // why the keeper refused; zero when it took the batch
	Results     []rrtask.Result
	Returned    []int
	More        bool
	Incarnation uint64 // incarnation that answered
	Load        rrdispatcher.Load
}

// Delivery says what is known about a call to a peer.
type Delivery int

// Fates of a call.
const (
	DeliveryAnswered Delivery = iota // the peer answered
	DeliveryNotSent                  // no byte was written
	DeliveryUnknown                  // bytes were written, no answer came
)

// RecallCall asks a keeper to give back tasks of a batch that have not started.
type RecallCall struct {
	To          string
	Addr        string
	Incarnation uint64
	Key         rrdispatcher.BatchKey
	MaxTasks    int
}

// CancelBatchesCall asks a keeper to cancel batches. The answer to the Run call tells which
// tasks never started.
type CancelBatchesCall struct {
	To          string
	Addr        string
	Incarnation uint64
	Keys        []rrdispatcher.BatchKey
}

// JobAnswer is an answer for the callers of one job.
type JobAnswer struct {
	Callers    []CallerID
	Answer     rrtask.Answer
	CloseClaim bool // the claim has to be closed
	Tenant     string
	Class      string
	Elapsed    time.Duration // from acceptance to the answer
}
