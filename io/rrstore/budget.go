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

// CallKind says which rate a call counts against.
type CallKind int

// Kinds of calls.
const (
	Read CallKind = iota
	Write
)

// Bounds of the pause after failures. The pause doubles with each failure in a
// row, and its length is drawn evenly from half of it to the whole.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
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
	readRate float64
	failures int       // in a row
	retryAt  time.Time // no call before this after a failure
	probing  bool      // one call tries whether the service is back
}

// SetRates sets how many calls a second this process may make; zero means no limit.
func (b *Budget) SetRates(writesPerSecond, readsPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readRate = readsPerSecond
	b.buckets[Write].SetRate(writesPerSecond)
	b.updateReadRate()
}

// updateReadRate leaves out what the open watches cost.
func (b *Budget) updateReadRate() {
	if b.readRate == 0 {
		b.buckets[Read].SetRate(0)
		return
	}
	b.buckets[Read].SetRate(max(b.readRate-float64(b.watches), 1))
}

// addWatches notes that a watch was opened or has ended.
func (b *Budget) addWatches(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches += n
	b.updateReadRate()
}

// TryTake asks for a call at now. It returns zero when the call may be made at
// once, and otherwise the time after which to ask again.
func (b *Budget) TryTake(now time.Time, k CallKind) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait := b.retryAt.Sub(now); wait > 0 {
		return wait
	}
	if b.probing {
		return minBackoff
	}
	if wait := b.buckets[k].TryTake(now); wait > 0 {
		return wait
	}
	b.probing = b.failures > 0
	return 0
}

// RecordResult reports how a call ended. failed means that the service did not answer
// as it should.
func (b *Budget) RecordResult(now time.Time, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if !failed {
		b.failures = 0
		b.retryAt = time.Time{}
		return
	}
	if b.retryAt.After(now) {
		return // calls that were under way together fail as one
	}
	backoff := min(minBackoff<<min(b.failures, 10), maxBackoff)
	b.failures++
	jittered := backoff/2 + time.Duration(b.random()*float64(backoff/2))
	b.retryAt = now.Add(jittered)
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
func (b *Budget) wait(ctx context.Context, k CallKind) error {
	if b == nil {
		return nil
	}
	for {
		d := b.TryTake(b.now(), k)
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

// recordCall reports the end of a call whose caller had ctx.
func (b *Budget) recordCall(ctx context.Context, err error) {
	if b == nil {
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		b.recordCanceled()
		return
	}
	b.RecordResult(b.now(), isServiceFailure(err))
}

// recordCanceled ends a call that says nothing about the service.
func (b *Budget) recordCanceled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
