// Package rrexecutor runs one rrscheduler.Scheduler. One goroutine makes the decisions, and each
// command to a minion has its own goroutine while it is in flight.
package rrexecutor

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"rattanring/core/rrscheduler"
	"rattanring/io/rrclock"
)

// MinionClient sends commands to minions. Each call returns the event with the command's result, at
// the latest after the command's Timeout.
type MinionClient interface {
	StartRun(ctx context.Context, s *rrscheduler.StartRun) *rrscheduler.StartRunDone
	StopRun(ctx context.Context, s *rrscheduler.StopRun) *rrscheduler.StopRunDone
	PollMinion(ctx context.Context, p *rrscheduler.PollMinion) *rrscheduler.PollMinionDone
}

// OwnershipCheck reports whether this process still owns its shard. It blocks until that is known. If
// ctx ends first, it reports true, since minions refuse an old fencing token themselves.
type OwnershipCheck func(ctx context.Context) bool

const (
	eventBuffer           = 4096                   // events that wait for the scheduler
	maxEventBatch         = 64                     // further events handled before Schedule is called
	maxBatchTime          = 100 * time.Millisecond // no further event is handled after this time
	maxTickGap            = 350 * time.Millisecond // after a longer gap, another process may own the shard
	ownershipCheckTimeout = time.Second            // for CheckOwnership
)

// Executor runs a Scheduler for the owner of a shard. Create it with New and run it with Run.
type Executor struct {
	Shard            string
	FencingToken     int64 // at creation; the caller updates it when it posts FencingTokenRaised
	Client           MinionClient
	CheckOwnership   OwnershipCheck                                 // may be nil
	LogDecision      func(shard string, d *rrscheduler.LogDecision) // may be nil
	CountCommand     func(kind string)                              // may be nil
	RecordTiming     func(*rrscheduler.RecordTiming)                // may be nil
	OnMinionReleased func(minion string)                            // may be nil

	maxLease    time.Duration
	scheduler   *rrscheduler.Scheduler
	events      chan rrscheduler.Event
	done        chan struct{}
	cancel      context.CancelFunc
	ctx         context.Context
	lastCallID  atomic.Uint64
	load        atomic.Pointer[rrscheduler.Load]
	waitingJobs atomic.Int64
	idle        atomic.Bool
	stats       atomic.Pointer[rrscheduler.Stats]
	coldMinions atomic.Pointer[rrscheduler.ColdMinions]

	mu             sync.Mutex
	pendingCalls   map[uint64]chan rrscheduler.JobOutcome
	pendingQueries map[uint64]chan rrscheduler.JobStatus
	closed         bool
	panicked       bool // jobs may have runs that no outcome names
}

// New returns an Executor for the owner of a shard that has the fencing token.
func New(shard string, fencingToken int64, options rrscheduler.Options) *Executor {
	x := &Executor{
		Shard:          shard,
		FencingToken:   fencingToken,
		maxLease:       options.MaxLease,
		scheduler:      rrscheduler.New(fencingToken, options),
		events:         make(chan rrscheduler.Event, eventBuffer),
		done:           make(chan struct{}),
		pendingCalls:   make(map[uint64]chan rrscheduler.JobOutcome),
		pendingQueries: make(map[uint64]chan rrscheduler.JobStatus),
	}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	x.load.Store(&rrscheduler.Load{})
	x.stats.Store(&rrscheduler.Stats{})
	x.coldMinions.Store(&rrscheduler.ColdMinions{})
	return x
}

// Run runs the Scheduler until another owner replaces this one, or Stop or Kill is called. A panic of
// the Scheduler ends only this Executor: its state can't be trusted any longer, and the shard's next
// owner learns from the minions what runs.
func (x *Executor) Run() {
	defer x.closeCalls()
	defer x.recoverPanic()
	tick := time.NewTicker(rrscheduler.TickInterval)
	defer tick.Stop()
	last := readClocks()
	for {
		var ev rrscheduler.Event
		var due time.Time // of a tick
		select {
		case ev = <-x.events:
		case due = <-tick.C:
			ev = &rrscheduler.Tick{Lag: max(time.Since(due), 0)}
		case <-x.ctx.Done():
			return
		}
		read := readClocks()
		if gap := read.since(last); gap > maxTickGap {
			if !due.IsZero() {
				ev = &rrscheduler.Tick{} // a pause is no lack of processor time
			}
			if !x.mayGoOn(gap) {
				ev = &rrscheduler.OwnershipLost{}
			}
			read = readClocks()
		}
		last = read
		x.step(last.now, ev)
		for n := 0; n < maxEventBatch && len(x.events) > 0 && time.Since(last.now) < maxBatchTime; n++ {
			x.step(last.now, <-x.events)
		}
		if x.scheduler.Fenced() {
			return
		}
		if readClocks().since(last) > maxTickGap {
			continue // the next round asks for the owner before it starts anything
		}
		x.performAll(x.scheduler.Schedule(last.now))
		if x.scheduler.Fenced() {
			return
		}
	}
}

func (x *Executor) recoverPanic() {
	if r := recover(); r != nil {
		x.panicked = true
		x.logDecision(&rrscheduler.LogDecision{Message: "scheduler panicked", Detail: fmt.Sprintf("%v\n%s", r, debug.Stack())})
	}
}

// clocks is a reading of the clocks.
type clocks struct {
	now  time.Time
	boot time.Duration // see rrclock.SinceBoot
}

func readClocks() clocks {
	return clocks{time.Now(), rrclock.SinceBoot()}
}

// since returns the time since an earlier reading. Either clock may be the one that shows a pause.
func (c clocks) since(earlier clocks) time.Duration {
	return max(c.now.Sub(earlier.now), c.boot-earlier.boot)
}

// mayGoOn reports whether this process may start tasks after a gap. After one as long as a lease it may not, even
// if it still owns the shard: the runs have ended, callers may have submitted their jobs elsewhere, and what
// they said meanwhile is yet to be read. The processes that have jobs here then submit those again that still
// have a caller.
func (x *Executor) mayGoOn(gap time.Duration) bool {
	x.logDecision(&rrscheduler.LogDecision{Message: "paused", Age: gap})
	if gap >= x.maxLease {
		return false
	}
	if x.CheckOwnership == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(x.ctx, ownershipCheckTimeout)
	defer cancel()
	return x.CheckOwnership(ctx)
}

func (x *Executor) step(now time.Time, ev rrscheduler.Event) {
	x.performAll(x.scheduler.Step(now, ev))
	if _, ok := ev.(*rrscheduler.Tick); ok {
		l, s, cold := x.scheduler.Load(), x.scheduler.Stats, x.scheduler.ColdMinions()
		x.load.Store(&l)
		x.stats.Store(&s)
		x.coldMinions.Store(&cold)
		x.waitingJobs.Store(int64(x.scheduler.WaitingJobs()))
		x.idle.Store(x.scheduler.Idle())
	}
}

func (x *Executor) performAll(effects []rrscheduler.Effect) {
	for _, e := range effects {
		x.perform(e)
	}
}

func (x *Executor) perform(e rrscheduler.Effect) {
	switch e := e.(type) {
	case *rrscheduler.StartRun:
		x.countCommand("start")
		go func() { x.Post(x.Client.StartRun(x.ctx, e)) }()
	case *rrscheduler.StopRun:
		x.countCommand("stop")
		go func() { x.Post(x.Client.StopRun(x.ctx, e)) }()
	case *rrscheduler.PollMinion:
		x.countCommand("hold")
		go func() { x.Post(x.Client.PollMinion(x.ctx, e)) }()
	case *rrscheduler.ReplyOutcome:
		x.replyOutcome(e)
	case *rrscheduler.ReplyJobStatus:
		x.replyStatus(e)
	case *rrscheduler.StepDown:
		x.logDecision(&rrscheduler.LogDecision{Message: "replaced", MinionID: e.MinionID})
	case *rrscheduler.RecordTiming:
		if x.RecordTiming != nil {
			x.RecordTiming(e)
		}
	case *rrscheduler.LogDecision:
		x.logDecision(e)
	case *rrscheduler.ReleaseMinion:
		if x.OnMinionReleased != nil {
			go x.OnMinionReleased(e.MinionID) // the callback may wait for a goroutine that is blocked in Post
		}
	}
}

func (x *Executor) countCommand(kind string) {
	if x.CountCommand != nil {
		x.CountCommand(kind)
	}
}

func (x *Executor) logDecision(d *rrscheduler.LogDecision) {
	if x.LogDecision != nil {
		x.LogDecision(x.Shard, d)
	}
}

func (x *Executor) replyOutcome(r *rrscheduler.ReplyOutcome) {
	x.mu.Lock()
	ch := x.pendingCalls[r.CallID]
	delete(x.pendingCalls, r.CallID)
	x.mu.Unlock()
	if ch != nil {
		ch <- r.Outcome
	}
}

// Post queues an event for the scheduler. It blocks while the queue is full and the Executor runs.
func (x *Executor) Post(ev rrscheduler.Event) {
	select {
	case x.events <- ev:
	case <-x.done:
	}
}

// Submit submits a job and waits for its outcome. If ctx ends first, a started job may run on for
// a while, for the caller's next attempt.
func (x *Executor) Submit(ctx context.Context, job rrscheduler.Job) rrscheduler.JobOutcome {
	callID, ch := x.openCall()
	if ch == nil {
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
	}
	select {
	case x.events <- &rrscheduler.JobSubmitted{CallID: callID, Job: job}:
	default:
		x.dropCall(callID)
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeRefused, Reason: rrscheduler.ReasonQueueFull, RetryAfter: time.Second}
	}
	select {
	case out := <-ch:
		return out
	case <-ctx.Done():
		x.dropCall(callID)
		x.Post(&rrscheduler.CallerDisconnected{CallID: callID, JobID: job.ID})
	}
	return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
}

func (x *Executor) openCall() (uint64, chan rrscheduler.JobOutcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return 0, nil
	}
	callID := x.lastCallID.Add(1)
	ch := make(chan rrscheduler.JobOutcome, 1)
	x.pendingCalls[callID] = ch
	return callID, ch
}

func (x *Executor) dropCall(callID uint64) {
	x.mu.Lock()
	delete(x.pendingCalls, callID)
	x.mu.Unlock()
}

// Stop ends the Executor. Its callers receive OutcomeOwnerChanged.
func (x *Executor) Stop() {
	x.Post(&rrscheduler.OwnershipLost{})
}

// Kill ends the Executor at once and without stepping down, like the death of its process.
func (x *Executor) Kill() {
	x.cancel()
}

// closeCalls refuses further calls and answers the pending ones.
func (x *Executor) closeCalls() {
	x.cancel()
	close(x.done)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, ch := range x.pendingCalls {
		ch <- rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged, MayHaveRuns: x.panicked}
	}
	clear(x.pendingCalls)
}

// Done returns a channel that is closed when the Executor has ended.
func (x *Executor) Done() <-chan struct{} {
	return x.done
}

// Load returns the shard's load at the last tick.
func (x *Executor) Load() rrscheduler.Load {
	return *x.load.Load()
}

// Stats returns the scheduler's statistics at the last tick.
func (x *Executor) Stats() rrscheduler.Stats {
	return *x.stats.Load()
}

// ColdMinions returns the state of cold minions at the last tick. The caller must not change it.
func (x *Executor) ColdMinions() rrscheduler.ColdMinions {
	return *x.coldMinions.Load()
}

// WaitingJobs returns the number of jobs without a started task at the last tick.
func (x *Executor) WaitingJobs() int {
	return int(x.waitingJobs.Load())
}

// Idle reports whether no caller waited at the last tick.
func (x *Executor) Idle() bool {
	return x.idle.Load()
}
