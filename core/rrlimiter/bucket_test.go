package rrlimiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBucket checks at random times and rates that no second exceeds the rate.
func TestBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(2, 500).Draw(t, "rate")
		steps := rapid.SliceOfN(rapid.IntRange(0, 200), 1, 500).Draw(t, "steps")
		var b TokenBucket
		b.SetRate(rate)
		now := time.Unix(1000, 0)
		var granted []time.Time
		for _, ms := range steps {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			for b.TryTake(now) == 0 {
				granted = append(granted, now)
			}
			later := b // a copy, since Wait at a later time refills the bucket
			if wait := b.Wait(now); later.Wait(now.Add(wait)) != 0 {
				t.Fatalf("at rate %v a wait of %v is too short", rate, wait)
			}
		}
		first := 0
		for i, at := range granted {
			for at.Sub(granted[first]) >= time.Second {
				first++
			}
			if got := float64(i - first + 1); got > rate {
				t.Fatalf("got %v calls within a second, want at most %v", got, rate)
			}
		}
	})
}

func TestNoLimit(t *testing.T) {
	var b TokenBucket
	for range 1000 {
		if got := b.TryTake(time.Unix(0, 0)); got != 0 {
			t.Fatalf("got a wait of %v, want none", got)
		}
	}
}
