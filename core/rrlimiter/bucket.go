// Package rrlimiter spreads calls in time.
package rrlimiter

import "time"

// burstShare is the part of a rate that may be saved up, as a burst.
const burstShare = 0.1

// TokenBucket is a token bucket. The zero value is without limit.
//
// In any second it grants at most as many calls as its rate, provided that the
// rate is at least 2 a second: the burst is taken off the rate at which the
// bucket fills, so the rates of several buckets add up.
type TokenBucket struct {
	rate  float64 // tokens a second
	burst float64 // most tokens saved up
	have  float64
	last  time.Time
}

// SetRate sets how many calls a second are granted; zero means no limit.
func (b *TokenBucket) SetRate(perSecond float64) {
	b.burst = max(1, perSecond*burstShare)
	b.rate = perSecond - b.burst
	if perSecond < 2 {
		b.rate = perSecond / 2
	}
	b.have = min(b.have, b.burst)
}

// Wait returns the time until a call is granted, zero when one is granted at now.
func (b *TokenBucket) Wait(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.fill(now)
	if b.have >= 1 {
		return 0
	}
	return time.Duration((1-b.have)/b.rate*float64(time.Second)) + 1
}

// TryTake takes a token if there is one, and otherwise returns the time until then.
func (b *TokenBucket) TryTake(now time.Time) time.Duration {
	wait := b.Wait(now)
	if wait == 0 && b.rate > 0 {
		b.have--
	}
	return wait
}

func (b *TokenBucket) fill(now time.Time) {
	if b.last.IsZero() {
		b.have = 1
	} else if now.After(b.last) {
		b.have = min(b.burst, b.have+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
}
