package rrstamp

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever delays answers have, and however the clocks differ, a stamp is never later than the peer's clock.
func TestStampIsNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := 1 + rapid.Float64Range(-maxDrift, maxDrift).Draw(t, "drift")
		ahead := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "ahead"))
		remoteAt := func(now time.Duration) time.Duration { return ahead + time.Duration(speed*float64(now)) }
		var p Peer
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause"))
			readAt := now
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "delay"))
			p.Observe(now, remoteAt(readAt))
			later := now + time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later"))
			if got, ok := p.Stamp(later); !ok || got > remoteAt(later)+time.Microsecond { // for the rounding of floats
				t.Fatalf("stamp %v, known %v, while the clock of the peer shows %v", got, ok, remoteAt(later))
			}
		}
	})
}

// Nothing is known of a peer that has not answered.
func TestStampOfUnknownPeer(t *testing.T) {
	var p Peer
	if got, ok := p.Stamp(time.Second); ok {
		t.Errorf("got %v, want none", got)
	}
}

func ExamplePeer() {
	var p Peer
	p.Observe(10*time.Second, 500*time.Second) // a quick answer
	p.Observe(11*time.Second, 500*time.Second) // a slow one, which tells less
	stamp, _ := p.Stamp(12 * time.Second)
	fmt.Println(stamp)
	// Output: 8m21.998s
}
