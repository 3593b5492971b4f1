// Package rrcoord decides what the coordinator of a job does, from its
// acceptance to its answer.
//
// The coordinator alone decides where a task of its jobs starts. A task is
// placed a second time only when the first placement is known not to have
// started it: the keeper handed it back, or no byte of the batch was written.
// Everything else that goes wrong after a send ends the job with an outcome
// that says that it may have run.
package rrcoord

import (
	"time"

	"rattanring/core/rradmission"
	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrestimator"
	"rattanring/core/rrplacement"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

// Times and limits of a coordinator.
const (
	outcomeGrace      = 2 * time.Second        // wait for keepers' answers before an ending job is answered
	reconnectGrace    = time.Second            // wait for a caller to reconnect
	scanInterval      = 40 * time.Millisecond  // between two looks at all jobs
	placementInterval = 100 * time.Millisecond // between two placements of tasks that were handed back
	maxPlacements     = 10                     // placements of one task
	maxHistories      = 2000                   // answered jobs that Explain remembers
)

// Fleet is what the coordinator knows about other entries.
type Fleet interface {
	// Owners returns the live keepers with minions of the service, the
	// coordinator's own included.
	Owners(now time.Time, service string) []rrplacement.Candidate
	// Peer returns address and incarnation of a live peer.
	Peer(now time.Time, name string) (addr string, life uint64, ok bool)
	// AddUnreportedWork counts work sent to a peer until its load is heard again.
	AddUnreportedWork(name string, work time.Duration)
	// ConnectionRefused notes that the peer refused a connection.
	ConnectionRefused(now time.Time, name string)
	// Relay returns the address of a peer that may reach the named one when this
	// entry does not, another one on each attempt, or the empty string.
	Relay(now time.Time, name string, attempt int) string
	// Exclude leaves a peer that refused a batch out of Owners until it is heard
	// again. It is alive, and what it holds goes on.
	Exclude(name string)
	// Fits reports whether some minion of the service is large enough.
	Fits(service string, size rrtask.Resources) bool
}

// LocalDispatcher is the entry's own keeper.
type LocalDispatcher interface {
	Add(now time.Time, b rrdispatcher.Batch) bool
	CancelQueued(now time.Time, key rrdispatcher.BatchKey) int
	Progress(key rrdispatcher.BatchKey) (queued, running int)
	SetRemainingWork(now time.Time, key rrdispatcher.BatchKey, rest time.Duration)
	Load(now time.Time) rrdispatcher.Load
}

// Coordinator coordinates the jobs of one entry. Create it with New.
type Coordinator struct {
	SplitParams rrplacement.Request // thresholds of the division; RunTimes and RemainingWork are set for each job
	Effects     Effects

	entry         string
	incarnation   uint64
	estimator     *rrestimator.Estimator
	fleet         Fleet
	local         LocalDispatcher
	admission     *rradmission.Controller
	jobs          map[string]*job
	batches       map[uint64]*batch
	remoteBatches map[uint64]*batch // those of batches that other keepers have
	lastScan      time.Time         // last look at all jobs
	lastSeq       uint64
	draining      bool
	closed        closedJobs
	outstanding   OutstandingWork
}

// Effects holds the effects since they were last taken.
type Effects struct {
	RunBatches []RunBatchCall
	Recalls    []RecallCall
	Cancels    []CancelBatchesCall
	Answers    []JobAnswer
	Claims     []ClaimRequest
}

// Reset empties o and keeps its memory.
func (o *Effects) Reset() {
	clear(o.RunBatches)
	clear(o.Recalls)
	clear(o.Cancels)
	clear(o.Answers)
	clear(o.Claims)
	o.RunBatches = o.RunBatches[:0]
	o.Recalls = o.Recalls[:0]
	o.Cancels = o.Cancels[:0]
	o.Answers = o.Answers[:0]
	o.Claims = o.Claims[:0]
}

// ClaimRequest asks for the claim of a non-idempotent job.
type ClaimRequest struct {
	Job          string
	Tenant       string
	Deadline     time.Time
	FirstAttempt bool // the caller says that it never submitted the job before
}

// New returns the coordinator of one incarnation of an entry.
func New(entry string, incarnation uint64, estimator *rrestimator.Estimator, fleet Fleet, local LocalDispatcher, admission *rradmission.Controller) *Coordinator {
	return &Coordinator{
		entry:         entry,
		incarnation:   incarnation,
		estimator:     estimator,
		fleet:         fleet,
		local:         local,
		admission:     admission,
		jobs:          make(map[string]*job),
		batches:       make(map[uint64]*batch),
		remoteBatches: make(map[uint64]*batch),
		closed:        newClosedJobs(maxHistories),
	}
}

// OpenJobs returns the number of jobs that are not answered.
func (c *Coordinator) OpenJobs() int {
	return len(c.jobs)
}

// RemoteBatches returns the number of batches at other keepers.
func (c *Coordinator) RemoteBatches() int {
	return len(c.remoteBatches)
}

// removeBatch removes a batch.
func (c *Coordinator) removeBatch(b *batch) {
	delete(c.batches, b.seq)
	delete(c.remoteBatches, b.seq)
	delete(b.job.batches, b.seq)
}

// Drain refuses jobs from now on. Jobs taken before go on to their answers.
func (c *Coordinator) Drain() {
	c.draining = true
}

// Submit takes a job for the caller tok. A job with the id and tenant of one
// that is running here joins it.
func (c *Coordinator) Submit(now time.Time, caller CallerID, in rrtask.Job) {
	if j, ok := c.jobs[in.ID]; ok {
		c.attach(now, caller, j, in.Tenant)
		return
	}
	j := newJob(now, in)
	j.callers = append(j.callers, caller)
	c.estimate(j)
	if j.NonIdempotent {
		c.jobs[j.ID] = j
		j.addEvent(now, rrstatus.Event{Kind: rrstatus.Claiming})
		c.Effects.Claims = append(c.Effects.Claims, ClaimRequest{Job: j.ID, Tenant: j.Tenant, Deadline: j.Deadline, FirstAttempt: !j.IsRetry})
		return
	}
	c.admit(now, j)
}

func (c *Coordinator) attach(now time.Time, caller CallerID, j *job, tenant string) {
	if j.Tenant != tenant {
		answer := rrtask.Answer{RequestID: j.ID, Code: rrcode.BadRequest, Detail: "the request id belongs to another tenant", Coordinator: c.entry}
		c.Effects.Answers = append(c.Effects.Answers, JobAnswer{Callers: []CallerID{caller}, Answer: answer, Tenant: tenant})
		return
	}
	j.callers = append(j.callers, caller)
	j.noCallerSince = time.Time{}
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Joined})
}

// AttachCaller adds a caller to a job that is running here, for a retry that came to
// another entry. It reports false when no such job runs.
func (c *Coordinator) AttachCaller(now time.Time, caller CallerID, id, tenant string) bool {
	j, ok := c.jobs[id]
	if !ok || !j.claimGranted {
		return false
	}
	c.attach(now, caller, j, tenant)
	return true
}

// ClaimGranted notes that the claim of the job is held.
func (c *Coordinator) ClaimGranted(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.claimGranted {
		return
	}
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Claimed})
	c.admit(now, j)
}

// ResolveUnclaimed answers a job whose claim was not granted. Nothing of it started here.
func (c *Coordinator) ResolveUnclaimed(now time.Time, id string, a rrtask.Answer) {
	j, ok := c.jobs[id]
	if !ok || j.claimGranted {
		return
	}
	a.RequestID = id
	c.answer(now, j, a, false)
}

// PendingClaim returns tenant and deadline of a job whose claim is not decided.
func (c *Coordinator) PendingClaim(id string) (tenant string, deadline time.Time, ok bool) {
	j, ok := c.jobs[id]
	if !ok || j.claimGranted {
		return "", time.Time{}, false
	}
	return j.Tenant, j.Deadline, true
}
