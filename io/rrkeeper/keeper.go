// Package rrkeeper runs one rrpool.Pool: its decisions on one goroutine, and one
// goroutine for each order to a minion that is in flight.
package rrkeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rattanring/core/rrpool"
)

// Minions carries orders to minions. Each call returns the event that tells its
// outcome, at the latest after the order's patience.
type Minions interface {
	Start(ctx context.Context, s *rrpool.Start) *rrpool.Started
	Stop(ctx context.Context, s *rrpool.Stop) *rrpool.Stopped
	Hold(ctx context.Context, h *rrpool.Hold) *rrpool.Held
}

// Verify reports whether the keeper still has its seat. It blocks until that is known
// or ctx ends, and then reports true, since minions refuse an old token themselves.
type Verify func(ctx context.Context) bool

const (
	ringSize    = 4096
	batchMost   = 64                     // events that are handled before tasks are placed
	pauseLimit  = 350 * time.Millisecond // a longer gap between two ticks may have cost the seat
	verifyLimit = time.Second            // how long a keeper asks whether it still has its seat
)

// Keeper runs a pool. Create it with New and run it with Run.
type Keeper struct {
	Seat    string
	Token   int64
	Minions Minions
	Verify  Verify
	Note    func(seat string, n *rrpool.Note)
	Orders  func(kind string)    // counts orders to minions; nil counts nothing
	Timing  func(*rrpool.Timing) // nil measures nothing
	Yielded func(minion string)  // nil hears nothing

	pool    *rrpool.Pool
	ring    chan rrpool.Event
	done    chan struct{}
	cancel  context.CancelFunc
	ctx     context.Context
	tokens  atomic.Uint64
	load    atomic.Pointer[rrpool.Load]
	waiting atomic.Int64
	idle    atomic.Bool
	stats   atomic.Pointer[rrpool.Stats]

	mu    sync.Mutex
	lines map[uint64]chan rrpool.Outcome
	asked map[uint64]chan rrpool.Standing
	ended bool
}

// New returns a keeper of a seat under a token.
func New(seat string, token int64, terms rrpool.Terms) *Keeper {
	k := &Keeper{
		Seat:  seat,
		Token: token,
		pool:  rrpool.New(token, terms),
		ring:  make(chan rrpool.Event, ringSize),
		done:  make(chan struct{}),
		lines: make(map[uint64]chan rrpool.Outcome),
		asked: make(map[uint64]chan rrpool.Standing),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.load.Store(&rrpool.Load{})
	k.stats.Store(&rrpool.Stats{})
	return k
}

// Run runs the pool until another keeper has replaced this one or Stop is called.
func (k *Keeper) Run() {
	defer k.end()
	tick := time.NewTicker(rrpool.TickEvery)
	defer tick.Stop()
	last := time.Now()
	for {
		var ev rrpool.Event
		select {
		case ev = <-k.ring:
		case <-tick.C:
			ev = &rrpool.Tick{}
		case <-k.ctx.Done():
			return
		}
		now := time.Now()
		if paused(last, now) && !k.verify(now.Sub(last)) {
			ev = &rrpool.Replaced{}
		}
		now = time.Now()
		last = now
		k.step(now, ev)
		for n := 0; n < batchMost && len(k.ring) > 0; n++ {
			k.step(now, <-k.ring)
		}
		k.performAll(k.pool.Place(now))
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

func (k *Keeper) verify(gap time.Duration) bool {
	k.note(&rrpool.Note{What: "paused", Age: gap})
	if k.Verify == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(k.ctx, verifyLimit)
	defer cancel()
	return k.Verify(ctx)
}

func (k *Keeper) step(now time.Time, ev rrpool.Event) {
	k.performAll(k.pool.Step(now, ev))
	if _, ok := ev.(*rrpool.Tick); ok {
		l, s := k.pool.Load(), k.pool.Stats
		k.load.Store(&l)
		k.stats.Store(&s)
		k.waiting.Store(int64(k.pool.Waiting()))
		k.idle.Store(k.pool.Idle())
	}
}

func (k *Keeper) performAll(effects []rrpool.Effect) {
	for _, e := range effects {
		k.perform(e)
	}
}

func (k *Keeper) perform(e rrpool.Effect) {
	switch e := e.(type) {
	case *rrpool.Start:
		k.count("start")
		go func() { k.Tell(k.Minions.Start(k.ctx, e)) }()
	case *rrpool.Stop:
		k.count("stop")
		go func() { k.Tell(k.Minions.Stop(k.ctx, e)) }()
	case *rrpool.Hold:
		k.count("hold")
		go func() { k.Tell(k.Minions.Hold(k.ctx, e)) }()
	case *rrpool.Reply:
		k.reply(e)
	case *rrpool.Report:
		k.report(e)
	case *rrpool.Resign:
		k.note(&rrpool.Note{What: "replaced", Minion: e.Minion})
	case *rrpool.Timing:
		if k.Timing != nil {
			k.Timing(e)
		}
	case *rrpool.Note:
		k.note(e)
	case *rrpool.Yielded:
		if k.Yielded != nil {
			go k.Yielded(e.Minion) // it may wait for a caller of Tell
		}
	}
}

func (k *Keeper) count(kind string) {
	if k.Orders != nil {
		k.Orders(kind)
	}
}

func (k *Keeper) note(n *rrpool.Note) {
	if k.Note != nil {
		k.Note(k.Seat, n)
	}
}

func (k *Keeper) reply(r *rrpool.Reply) {
	k.mu.Lock()
	ch := k.lines[r.Token]
	delete(k.lines, r.Token)
	k.mu.Unlock()
	if ch != nil {
		ch <- r.Outcome
	}
}

// Tell hands an event to the pool.
func (k *Keeper) Tell(ev rrpool.Event) {
	select {
	case k.ring <- ev:
	case <-k.done:
	}
}

// Submit hands a job in and waits for its outcome. When ctx ends first, the job runs
// on for a while for the caller's next try.
func (k *Keeper) Submit(ctx context.Context, job rrpool.Job) rrpool.Outcome {
	token, ch := k.open()
	if ch == nil {
		return rrpool.Outcome{Kind: rrpool.Moved}
	}
	select {
	case k.ring <- &rrpool.Submit{Token: token, Job: job}:
	default:
		k.drop(token)
		return rrpool.Outcome{Kind: rrpool.Refused, Reason: rrpool.Full, After: time.Second}
	}
	select {
	case out := <-ch:
		return out
	case <-ctx.Done():
		k.drop(token)
		k.Tell(&rrpool.Gone{Token: token, Job: job.ID})
	}
	return rrpool.Outcome{Kind: rrpool.Lost, Reason: rrpool.Canceled}
}

func (k *Keeper) open() (uint64, chan rrpool.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return 0, nil
	}
	token := k.tokens.Add(1)
	ch := make(chan rrpool.Outcome, 1)
	k.lines[token] = ch
	return token, ch
}

func (k *Keeper) drop(token uint64) {
	k.mu.Lock()
	delete(k.lines, token)
	k.mu.Unlock()
}

// Stop ends the keeper. Its callers are told that it moved.
func (k *Keeper) Stop() {
	k.Tell(&rrpool.Replaced{})
}

// Kill ends the keeper without a word, as the end of its process does.
func (k *Keeper) Kill() {
	k.cancel()
}

// end answers all lines that are left.
func (k *Keeper) end() {
	k.cancel()
	close(k.done)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for _, ch := range k.lines {
		ch <- rrpool.Outcome{Kind: rrpool.Moved}
	}
	clear(k.lines)
}

// Done is closed when the keeper has ended.
func (k *Keeper) Done() <-chan struct{} {
	return k.done
}

// Load returns how busy the pool was at the last tick.
func (k *Keeper) Load() rrpool.Load {
	return *k.load.Load()
}

// Stats returns what the pool had done at the last tick.
func (k *Keeper) Stats() rrpool.Stats {
	return *k.stats.Load()
}

// Waiting returns the number of jobs of which no task had started at the last tick.
func (k *Keeper) Waiting() int {
	return int(k.waiting.Load())
}

// Idle reports whether no caller waited at the last tick.
func (k *Keeper) Idle() bool {
	return k.idle.Load()
}
