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

// CallKind is the rate limit that a call counts against.
type CallKind int

// Values of CallKind.
const (
	Read CallKind = iota
	Write
)

// Bounds of the backoff after failures. The backoff doubles with each consecutive
// failure. The actual pause is random, between half the backoff and all of it.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Budget limits the rates of the calls of one process, which keeps the whole fleet
// within the store's limits. After a failure no call is allowed during the backoff.
// Then a single call probes the store while the others keep waiting. The zero value
// and nil set no rate limit.
type Budget struct {
	Now  func() time.Time // clock; nil means time.Now
	Rand func() float64   // uniform in [0, 1); nil means math/rand

	mu       sync.Mutex
	buckets  [2]rrlimiter.TokenBucket
	watches  int // open watches, each counted as one read per second
	readRate float64
	failures int       // consecutive
	retryAt  time.Time // end of the backoff
	probing  bool      // one call is probing the store after a failure
}

// SetRates sets how many calls per second this process may make; zero means no
// limit.
func (b *Budget) SetRates(writesPerSecond, readsPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readRate = readsPerSecond
	b.buckets[Write].SetRate(writesPerSecond)
	b.updateReadRate()
}

// updateReadRate sets the rate of reads to readRate minus one for each open watch, but
// at least 1 a second. A readRate of zero means no limit.
func (b *Budget) updateReadRate() {
	if b.readRate == 0 {
		b.buckets[Read].SetRate(0)
		return
	}
	b.buckets[Read].SetRate(max(b.readRate-float64(b.watches), 1))
}

// addWatches changes the number of open watches by n.
func (b *Budget) addWatches(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches += n
	b.updateReadRate()
}

// TryTake returns zero if a call may start at now, and counts it. Otherwise it returns how
// long to wait before the next attempt.
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

// RecordResult records the end of a call. failed means that the store did not
// respond or responded with a failure of its own.
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
		return // concurrent calls that fail together count as one failure
	}
	backoff := min(minBackoff<<min(b.failures, 10), maxBackoff) // 10 keeps the shift from overflowing; maxBackoff is reached earlier
	b.failures++
	jittered := backoff/2 + time.Duration(b.random()*float64(backoff/2))
	b.retryAt = now.Add(jittered)
}

// Failures returns the number of consecutive failures.
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

// wait blocks until the budget allows a call or ctx ends.
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

// recordCall records the end of a call that was made with ctx.
func (b *Budget) recordCall(ctx context.Context, err error) {
	if b == nil {
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		b.recordCanceled()
		return
	}
	b.RecordResult(b.now(), isStoreFailure(err))
}

// recordCanceled records the end of a call that its caller canceled, which says
// nothing about the store.
func (b *Budget) recordCanceled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
