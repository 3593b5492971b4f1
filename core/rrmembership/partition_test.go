package rrmembership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestCutZoneIsDetected: members on both sides of a cut must regard each other as dead
// within 2*DeadTimeout, which leaves time for the rounds in which gossip still spreads old
// heartbeats.
func TestCutZoneIsDetected(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		views := fleet(6, "a", "b", "c")
		cutAt := epoch.Add(20 * time.Second)
		gossip(views, rnd, epoch, cutAt, nil, nil)
		across := func(from, to *View) bool { return (from.self.Zone == "c") != (to.self.Zone == "c") }
		for now := cutAt; ; now = now.Add(500 * time.Millisecond) {
			gossip(views, rnd, now, now.Add(500*time.Millisecond), nil, across)
			if cutDetected(views, now.Add(500*time.Millisecond), across) {
				if d := now.Sub(cutAt); d > worst {
					worst = d
					t.Logf("seed %d: cut detected after %v", seed, d)
				}
				break
			}
			if now.Sub(cutAt) > 60*time.Second {
				t.Fatalf("seed %d: cut not detected after %v", seed, now.Sub(cutAt))
			}
		}
	}
	if worst > 2*DeadTimeout {
		t.Errorf("got %v until all members detect the cut, want at most %v", worst, 2*DeadTimeout)
	}
}

func cutDetected(views []*View, now time.Time, across func(from, to *View) bool) bool {
	for _, v := range views {
		for _, other := range views {
			if v != other && across(v, other) && v.State(now, v.Peer(other.self.Name)) != Dead {
				return false
			}
		}
	}
	return true
}
