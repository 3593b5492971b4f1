package rrmembership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// cutZoneBound is how long after a cut each side must have seen that it does not reach the other, as
// faults TestCutZone waits for on real processes.
const cutZoneBound = 25 * time.Second

// A zone is cut off from the others. News of its last heartbeats still goes round among these, which
// must not keep the zone in reach for longer than the bound.
func TestCutZoneIsSeenInTime(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		views := fleet(6, "a", "b", "c")
		cutAt := epoch.Add(20*time.Second + time.Duration(rnd.IntN(3000))*time.Millisecond)
		gossip(views, rnd, epoch, cutAt, nil, nil)
		apart := func(from, to *View) bool { return (from.self.Zone == "c") != (to.self.Zone == "c") }
		seen := func(now time.Time) bool {
			for _, v := range views {
				for _, z := range v.Zones(now) {
					if z.Reachable && (z.Name == "c") != (v.self.Zone == "c") {
						return false
					}
				}
			}
			return true
		}
		now := cutAt
		for !seen(now) && now.Sub(cutAt) < 2*cutZoneBound {
			gossip(views, rnd, now, now.Add(500*time.Millisecond), nil, apart)
			now = now.Add(500 * time.Millisecond)
		}
		longest = max(longest, now.Sub(cutAt))
		if now.Sub(cutAt) > cutZoneBound {
			t.Errorf("seed %d: seen after %v", seed, now.Sub(cutAt))
		}
	}
	t.Logf("longest: %v", longest)
}
