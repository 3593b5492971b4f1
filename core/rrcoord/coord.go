// Package rrcoord coordinates the jobs of one entry, from their admission to their
// answers.
//
// Only the coordinator of a job decides where its tasks start. It places a task a second
// time only when it knows that the first placement did not start it: the owner returned
// the task, or no byte of the batch was written. If it can't know that, because the owner
// was lost or a task failed after its dispatch, it ends the job with a code that says that
// tasks may have run, or that they ran and failed.
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

// Timeouts, intervals and limits of a coordinator.
const (
	outcomeGrace      = 2 * time.Second        // wait for outcomes from other owners before a failed job is answered
	reconnectGrace    = time.Second            // wait for a disconnected caller to reconnect
	scanInterval      = 40 * time.Millisecond  // between two scans of all jobs
	placementInterval = 100 * time.Millisecond // between two placements of returned tasks
	maxPlacements     = 10                     // per task
	maxHistories      = 2000                   // answered jobs that Explain can return
)

// Fleet is what the coordinator knows about the fleet.
type Fleet interface {
	// Owners returns the live entries that own minions of the service, including this
	// entry.
	Owners(now time.Time, service string) []rrplacement.Candidate
	// Peer returns the address and incarnation of a peer. It reports whether the peer is
	// alive.
	Peer(now time.Time, name string) (addr string, incarnation uint64, ok bool)
	// AddUnreportedWork counts work sent to a peer until the peer reports its load again.
	AddUnreportedWork(name string, work time.Duration)
	// ConnectionRefused records that the peer refused a connection.
	ConnectionRefused(now time.Time, name string)
	// Relay returns the address of a peer that forwards calls to the named peer when this
	// entry can't reach it, or the empty string. Successive attempts get different relays.
	Relay(now time.Time, name string, attempt int) string
	// Exclude removes a peer that refused a batch from Owners until its next heartbeat.
	// The peer is alive and still runs the batches that it has.
	Exclude(name string)
	// Fits reports whether some minion of the service has enough capacity for the
	// resources, whether its zone is evacuated or not.
	Fits(service string, resources rrtask.Resources) bool
	// EvacuatedOnly reports whether some minion of the service has enough capacity for the
	// resources, and the zones of all such minions are evacuated.
	EvacuatedOnly(service string, resources rrtask.Resources) bool
}

// LocalDispatcher is the entry's own dispatcher.
type LocalDispatcher interface {
	Add(now time.Time, b rrdispatcher.Batch) bool
	CancelQueued(now time.Time, key rrdispatcher.BatchKey) int
	Progress(key rrdispatcher.BatchKey) (queued, running int)
	SetRemainingWork(now time.Time, key rrdispatcher.BatchKey, remainingWork time.Duration)
	Load(now time.Time) rrdispatcher.Load
}

// Coordinator coordinates the jobs of one entry. Create it with New.
type Coordinator struct {
	SplitParams rrplacement.Request // thresholds for splitting jobs; RunTimes and RemainingWork are set per job
	Effects     Effects

	entry         string
	incarnation   uint64
	estimator     *rrestimator.Estimator
	fleet         Fleet
	local         LocalDispatcher
	admission     *rradmission.Controller
	jobs          map[string]*job
	batches       map[uint64]*batch
	remoteBatches map[uint64]*batch // the batches at other entries
	lastScan      time.Time         // when Tick last scanned all jobs
	lastSeq       uint64
	draining      bool
	answeredJobs  answeredJobs
	outstanding   OutstandingWork
}

// Effects collects the effects since the last Reset.
type Effects struct {
	RunBatches []RunBatchCall
	Recalls    []RecallCall
	Cancels    []CancelBatchesCall
	Answers    []JobAnswer
	Claims     []ClaimRequest
}

// Reset empties e and reuses its memory.
func (e *Effects) Reset() {
	clear(e.RunBatches)
	clear(e.Recalls)
	clear(e.Cancels)
	clear(e.Answers)
	clear(e.Claims)
	e.RunBatches = e.RunBatches[:0]
	e.Recalls = e.Recalls[:0]
	e.Cancels = e.Cancels[:0]
	e.Answers = e.Answers[:0]
	e.Claims = e.Claims[:0]
}

// ClaimRequest asks for the claim of a non-idempotent job.
type ClaimRequest struct {
	JobID        string
	Tenant       string
	Deadline     time.Time
	FirstAttempt bool // the caller says that it has not submitted the job before
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
		answeredJobs:  newAnsweredJobs(maxHistories),
	}
}

// OpenJobs returns the number of unanswered jobs.
func (c *Coordinator) OpenJobs() int {
	return len(c.jobs)
}

// RemoteBatches returns the number of batches at other entries.
func (c *Coordinator) RemoteBatches() int {
	return len(c.remoteBatches)
}

func (c *Coordinator) removeBatch(b *batch) {
	delete(c.batches, b.seq)
	delete(c.remoteBatches, b.seq)
	delete(b.job.batches, b.seq)
}

// Drain makes the coordinator refuse new jobs. Jobs admitted earlier run to their answers.
func (c *Coordinator) Drain() {
	c.draining = true
}

// Submit accepts a job from a caller. If a job with the same ID and tenant is running
// here, the caller is attached to that job.
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
		c.Effects.Claims = append(c.Effects.Claims, ClaimRequest{JobID: j.ID, Tenant: j.Tenant, Deadline: j.Deadline, FirstAttempt: !j.IsRetry})
		return
	}
	c.admit(now, j)
}

// attach adds a caller to a running job, and refuses it if the tenant differs.
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

// AttachCaller attaches a caller whose retry reached another entry to a job that is
// running here. It reports whether such a job runs here.
func (c *Coordinator) AttachCaller(now time.Time, caller CallerID, id, tenant string) bool {
	j, ok := c.jobs[id]
	if !ok || !j.claimGranted {
		return false
	}
	c.attach(now, caller, j, tenant)
	return true
}

// ClaimGranted admits a job whose claim was granted.
func (c *Coordinator) ClaimGranted(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.claimGranted {
		return
	}
	j.addEvent(now, rrstatus.Event{Kind: rrstatus.Claimed})
	c.admit(now, j)
}

// ResolveUnclaimed answers a job whose claim was not granted. None of its tasks started
// here.
func (c *Coordinator) ResolveUnclaimed(now time.Time, id string, a rrtask.Answer) {
	j, ok := c.jobs[id]
	if !ok || j.claimGranted {
		return
	}
	a.RequestID = id
	c.answer(now, j, a, false)
}

// PendingClaim returns the tenant and deadline of a job whose claim is undecided.
func (c *Coordinator) PendingClaim(id string) (tenant string, deadline time.Time, ok bool) {
	j, ok := c.jobs[id]
	if !ok || j.claimGranted {
		return "", time.Time{}, false
	}
	return j.Tenant, j.Deadline, true
}
