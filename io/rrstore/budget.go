package rrstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanring/core/rrlimiter"
)

// Kind says which rate a call counts against.
type Kind int

// Kinds of calls.
const (
	Read Kind = iota
	Write
)

// Bounds of the pause after failures. The pause doubles with each failure in a
// row, and its length is drawn evenly from half of it to the whole.
const (
	minPause = 100 * time.Millisecond
	maxPause = 5 * time.Second
)

// Budget spreads the calls of one process in time, so that a fleet stays within
// the rates of the service. After a failure all calls pause, and then one call
// tries while the others go on waiting. The zero value and nil are without limit.
type Budget struct {
	Now  func() time.Time // clock; nil means time.Now
	Rand func() float64   // evenly from 0 up to 1; nil means math/rand

	mu       sync.Mutex
	buckets  [2]rrlimiter.TokenBucket
	watches  int // open watches, each of which costs one read a second
	reads    float64
	failures int       // in a row
	retry    time.Time // no call before this after a failure
	probing  bool      // one call tries whether the service is back
}

// SetRates sets how many calls a second this process may make; zero means no limit.
func (b *Budget) SetRates(writes, reads float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads = reads
	b.buckets[Write].SetRate(writes)
	b.setReads()
}

// setReads leaves out what the open watches cost.
func (b *Budget) setReads() {
	if b.reads == 0 {
		b.buckets[Read].SetRate(0)
		return
	}
	b.buckets[Read].SetRate(max(b.reads-float64(b.watches), 1))
}

// watch notes that a watch was opened or has ended.
func (b *Budget) watch(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches += n
	b.setReads()
}

// Take asks for a call at now. It returns zero when the call may be made at
// once, and otherwise the time after which to ask again.
func (b *Budget) Take(now time.Time, k Kind) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.retry.Sub(now); wait > 0 {
		return wait
	}
	if b.probing {
		return minPause
	}
	if wait := b.buckets[k].TryTake(now); wait > 0 {
		return wait
	}
	b.probing = b.failures > 0
	return 0
}

// Note reports how a call ended. failed means that the service did not answer
// as it should.
func (b *Budget) Note(now time.Time, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if !failed {
		b.failures = 0
		b.retry = time.Time{}
		return
	}
	if b.retry.After(now) {
		return // calls that were under way together fail as one
	}
	pause := min(minPause<<min(b.failures, 10), maxPause)
	b.failures++
	jittered := pause/2 + time.Duration(b.random()*float64(pause/2))
	b.retry = now.Add(jittered)
}

// Failures returns the number of failures in a row.
func (b *Budget) Failures() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures
}

func (b *Budget) random() float64 {
	if b.Rand != nil {
		return b.Rand()
	}
	return rand.Float64()
}

func (b *Budget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// wait blocks until the budget grants a call or ctx ends.
func (b *Budget) wait(ctx context.Context, k Kind) error {
	if b == nil {
		return nil
	}
	for {
		d := b.Take(b.now(), k)
		if d == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(ctx.Err())
		case <-time.After(d):
		}
	}
}

// note reports the end of a call whose caller had ctx.
func (b *Budget) note(ctx context.Context, err error) {
	if b == nil {
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		b.abandon()
		return
	}
	b.Note(b.now(), away(err))
}

// abandon ends a call that says nothing about the service.
func (b *Budget) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
