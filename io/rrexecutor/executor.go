// Package rrexecutor runs one rrscheduler.Scheduler: its decisions on one goroutine, and one
// goroutine for each order to a minion that is in flight.
package rrexecutor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rattanring/core/rrscheduler"
)

// MinionClient carries orders to minions. Each call returns the event that tells its
// outcome, at the latest after the order's patience.
type MinionClient interface {
	StartRun(ctx context.Context, s *rrscheduler.StartRun) *rrscheduler.StartRunDone
	StopRun(ctx context.Context, s *rrscheduler.StopRun) *rrscheduler.StopRunDone
	PollMinion(ctx context.Context, h *rrscheduler.PollMinion) *rrscheduler.PollMinionDone
}

// OwnershipCheck reports whether the keeper still has its seat. It blocks until that is known
// or ctx ends, and then reports true, since minions refuse an old token themselves.
type OwnershipCheck func(ctx context.Context) bool

const (
	ringSize    = 4096
	batchMost   = 64                     // events that are handled before tasks are placed
	pauseLimit  = 350 * time.Millisecond // a longer gap between two ticks may have cost the seat
	verifyLimit = time.Second            // how long a keeper asks whether it still has its seat
)

// Executor runs a pool. Create it with New and run it with Run.
type Executor struct {
	Shard            string
	FencingToken     int64
	Client           MinionClient
	CheckOwnership   OwnershipCheck
	LogDecision      func(seat string, n *rrscheduler.LogDecision)
	CountCommand     func(kind string)               // counts orders to minions; nil counts nothing
	RecordTiming     func(*rrscheduler.RecordTiming) // nil measures nothing
	OnMinionReleased func(minion string)             // nil hears nothing

	pool    *rrscheduler.Scheduler
	ring    chan rrscheduler.Event
	done    chan struct{}
	cancel  context.CancelFunc
	ctx     context.Context
	tokens  atomic.Uint64
	load    atomic.Pointer[rrscheduler.Load]
	waiting atomic.Int64
	idle    atomic.Bool
	stats   atomic.Pointer[rrscheduler.Stats]

	mu    sync.Mutex
	lines map[uint64]chan rrscheduler.JobOutcome
	asked map[uint64]chan rrscheduler.JobStatus
	ended bool
}

// New returns a keeper of a seat under a token.
func New(seat string, token int64, terms rrscheduler.MinionGuarantees) *Executor {
	k := &Executor{
		Shard:        seat,
		FencingToken: token,
		pool:         rrscheduler.New(token, terms),
		ring:         make(chan rrscheduler.Event, ringSize),
		done:         make(chan struct{}),
		lines:        make(map[uint64]chan rrscheduler.JobOutcome),
		asked:        make(map[uint64]chan rrscheduler.JobStatus),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.load.Store(&rrscheduler.Load{})
	k.stats.Store(&rrscheduler.Stats{})
	return k
}

// Run runs the pool until another keeper has replaced this one or Stop is called.
func (k *Executor) Run() {
	defer k.end()
	tick := time.NewTicker(rrscheduler.TickInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		var ev rrscheduler.Event
		select {
		case ev = <-k.ring:
		case <-tick.C:
			ev = &rrscheduler.Tick{}
		case <-k.ctx.Done():
			return
		}
		now := time.Now()
		if paused(last, now) && !k.verify(now.Sub(last)) {
			ev = &rrscheduler.OwnershipLost{}
		}
		now = time.Now()
		last = now
		k.step(now, ev)
		for n := 0; n < batchMost && len(k.ring) > 0; n++ {
			k.step(now, <-k.ring)
		}
		k.performAll(k.pool.Schedule(now))
		if k.pool.Fenced() {
			return
		}
	}
}

// paused reports whether the process may have stood still. Both clocks are asked,
// since the steady one can stand still as well.
func paused(last, now time.Time) bool {
	wall := now.Round(0).Sub(last.Round(0))
	return now.Sub(last) > pauseLimit || wall > pauseLimit
}

func (k *Executor) verify(gap time.Duration) bool {
	k.note(&rrscheduler.LogDecision{Message: "paused", Age: gap})
	if k.CheckOwnership == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(k.ctx, verifyLimit)
	defer cancel()
	return k.CheckOwnership(ctx)
}

func (k *Executor) step(now time.Time, ev rrscheduler.Event) {
	k.performAll(k.pool.Step(now, ev))
	if _, ok := ev.(*rrscheduler.Tick); ok {
		l, s := k.pool.Load(), k.pool.Stats
		k.load.Store(&l)
		k.stats.Store(&s)
		k.waiting.Store(int64(k.pool.WaitingJobs()))
		k.idle.Store(k.pool.Idle())
	}
}

func (k *Executor) performAll(effects []rrscheduler.Effect) {
	for _, e := range effects {
		k.perform(e)
	}
}

func (k *Executor) perform(e rrscheduler.Effect) {
	switch e := e.(type) {
	case *rrscheduler.StartRun:
		k.count("start")
		go func() { k.Post(k.Client.StartRun(k.ctx, e)) }()
	case *rrscheduler.StopRun:
		k.count("stop")
		go func() { k.Post(k.Client.StopRun(k.ctx, e)) }()
	case *rrscheduler.PollMinion:
		k.count("hold")
		go func() { k.Post(k.Client.PollMinion(k.ctx, e)) }()
	case *rrscheduler.ReplyOutcome:
		k.reply(e)
	case *rrscheduler.ReplyJobStatus:
		k.report(e)
	case *rrscheduler.StepDown:
		k.note(&rrscheduler.LogDecision{Message: "replaced", MinionID: e.MinionID})
	case *rrscheduler.RecordTiming:
		if k.RecordTiming != nil {
			k.RecordTiming(e)
		}
	case *rrscheduler.LogDecision:
		k.note(e)
	case *rrscheduler.ReleaseMinion:
		if k.OnMinionReleased != nil {
			go k.OnMinionReleased(e.MinionID) // it may wait for a caller of Post
		}
	}
}

func (k *Executor) count(kind string) {
	if k.CountCommand != nil {
		k.CountCommand(kind)
	}
}

func (k *Executor) note(n *rrscheduler.LogDecision) {
	if k.LogDecision != nil {
		k.LogDecision(k.Shard, n)
	}
}

func (k *Executor) reply(r *rrscheduler.ReplyOutcome) {
	k.mu.Lock()
	ch := k.lines[r.CallID]
	delete(k.lines, r.CallID)
	k.mu.Unlock()
	if ch != nil {
		ch <- r.Outcome
	}
}

// Post hands an event to the pool.
func (k *Executor) Post(ev rrscheduler.Event) {
	select {
	case k.ring <- ev:
	case <-k.done:
	}
}

// Submit hands a job in and waits for its outcome. When ctx ends first, the job runs
// on for a while for the caller's next try.
func (k *Executor) Submit(ctx context.Context, job rrscheduler.Job) rrscheduler.JobOutcome {
	token, ch := k.open()
	if ch == nil {
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
	}
	select {
	case k.ring <- &rrscheduler.JobSubmitted{CallID: token, Job: job}:
	default:
		k.drop(token)
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeRefused, Reason: rrscheduler.ReasonQueueFull, RetryAfter: time.Second}
	}
	select {
	case out := <-ch:
		return out
	case <-ctx.Done():
		k.drop(token)
		k.Post(&rrscheduler.CallerDisconnected{CallID: token, JobID: job.ID})
	}
	return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
}

func (k *Executor) open() (uint64, chan rrscheduler.JobOutcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return 0, nil
	}
	token := k.tokens.Add(1)
	ch := make(chan rrscheduler.JobOutcome, 1)
	k.lines[token] = ch
	return token, ch
}

func (k *Executor) drop(token uint64) {
	k.mu.Lock()
	delete(k.lines, token)
	k.mu.Unlock()
}

// Stop ends the keeper. Its callers are told that it moved.
func (k *Executor) Stop() {
	k.Post(&rrscheduler.OwnershipLost{})
}

// Kill ends the keeper without a word, as the end of its process does.
func (k *Executor) Kill() {
	k.cancel()
}

// end answers all lines that are left.
func (k *Executor) end() {
	k.cancel()
	close(k.done)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for _, ch := range k.lines {
		ch <- rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
	}
	clear(k.lines)
}

// Done is closed when the keeper has ended.
func (k *Executor) Done() <-chan struct{} {
	return k.done
}

// Load returns how busy the pool was at the last tick.
func (k *Executor) Load() rrscheduler.Load {
	return *k.load.Load()
}

// Stats returns what the pool had done at the last tick.
func (k *Executor) Stats() rrscheduler.Stats {
	return *k.stats.Load()
}

// WaitingJobs returns the number of jobs of which no task had started at the last tick.
func (k *Executor) WaitingJobs() int {
	return int(k.waiting.Load())
}

// Idle reports whether no caller waited at the last tick.
func (k *Executor) Idle() bool {
	return k.idle.Load()
}
