// Package rrlimiter limits the rate of calls.
package rrlimiter

import "time"

// burstFraction is the fraction of a second's calls that may be granted in a burst.
const burstFraction = 0.1

// TokenBucket limits the rate of calls. The zero value has no limit.
//
// If its rate is at least 2 calls a second, it grants at most that many calls in any
// second, because the burst is subtracted from the rate at which the bucket refills.
// The rates of several buckets therefore add up.
type TokenBucket struct {
	rate       float64 // tokens a second that the bucket refills with; zero for no limit
	burst      float64 // greatest number of tokens
	tokens     float64
	refilledAt time.Time
}

// SetRate sets how many calls are granted a second; zero means no limit.
func (b *TokenBucket) SetRate(perSecond float64) {
	b.burst = max(1, perSecond*burstFraction)
	b.rate = perSecond - b.burst
	if perSecond < 2 {
		b.rate = perSecond / 2 // subtracting the minimum burst of 1 would leave less, or nothing
	}
	b.tokens = min(b.tokens, b.burst)
}

// Wait returns the time until a call is granted, and zero if one is granted now.
func (b *TokenBucket) Wait(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + 1
}

// TryTake takes a token and returns zero if there is one. Otherwise it returns the time
// until there is one.
func (b *TokenBucket) TryTake(now time.Time) time.Duration {
	wait := b.Wait(now)
	if wait == 0 && b.rate > 0 {
		b.tokens--
	}
	return wait
}

func (b *TokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = 1
	} else if now.After(b.refilledAt) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}
