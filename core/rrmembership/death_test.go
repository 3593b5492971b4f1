package rrmembership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// exchange performs one heartbeat exchange between two live views.
func exchange(now time.Time, from, to *View) {
	digest := from.Digest(now)
	to.Merge(now, digest)
	from.Merge(now, to.Delta(now, digest))
	from.PeerAnswered(now, to.self.Name)
	from.HeartbeatAnswered(now)
}

// gossip simulates the heartbeats of a fleet from start to end. Connections to the dead
// view are refused, and calls for which cut reports true fail after the connection was
// made.
func gossip(views []*View, rnd *rand.Rand, start, end time.Time, dead *View, cut func(from, to *View) bool) {
	offset := make([]time.Duration, len(views))
	for i := range offset {
		offset[i] = time.Duration(rnd.IntN(100)) * time.Millisecond
	}
	byName := make(map[string]*View)
	for _, v := range views {
		byName[v.self.Name] = v
	}
	for now := start; now.Before(end); now = now.Add(100 * time.Millisecond) {
		for i, v := range views {
			at := now.Add(offset[i])
			if v == dead {
				continue
			}
			for _, p := range v.Tick(at) {
				to := byName[p.Name]
				switch {
				case to == dead:
					v.ConnectionRefused(at, p.Name)
				case cut != nil && cut(v, to):
					v.CallFailed(p.Name)
				default:
					exchange(at, v, to)
				}
			}
		}
	}
}

// TestKilledEntryIsDeadWithinTimeout: heartbeats alone must make all others regard a
// killed entry as dead within DeadTimeout. Gossip still spreads the last heartbeats of the
// entry after its connections are refused, which must not extend the time.
func TestKilledEntryIsDeadWithinTimeout(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		views := fleet(6, "a", "b", "c")
		killed := epoch.Add(20*time.Second + time.Duration(rnd.IntN(3000))*time.Millisecond)
		gossip(views, rnd, epoch, killed, nil, nil)
		end := killed.Add(DeadTimeout)
		gossip(views, rnd, killed, end, views[0], nil)
		for _, v := range views[1:] {
			p := v.Peer("e00")
			if got := v.State(end, p); got != Dead {
				t.Fatalf("seed %d: got %v at %s %v after the kill (last heartbeat %v after it), want dead",
					seed, got, v.self.Name, DeadTimeout, p.LastHeartbeat.Sub(killed))
			}
		}
	}
}

// TestFailedPeersGetFewHeartbeats: unreachable members get a heartbeat at once and then at
// most one per round each, however often the calls fail.
func TestFailedPeersGetFewHeartbeats(t *testing.T) {
	v := fleet(6, "a", "b", "c")[0]
	v.HeartbeatAnswered(epoch)
	heartbeats := 0
	end := epoch.Add(8 * time.Second)
	for now := epoch; now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, p := range v.Tick(now) {
			heartbeats++
			v.CallFailed(p.Name)
		}
	}
	// The first heartbeat to each peer fails, and each of three rounds sends two more.
	if limit := 5 + 2*3; heartbeats > limit {
		t.Errorf("got %d heartbeats in 8 s to peers that do not answer, want at most %d", heartbeats, limit)
	}
}

// TestFailedCallLastsUntilAnswer: a peer whose calls fail, while others still receive
// its heartbeats, must count as failed until it answers. This happens when one direction
// between two zones is cut.
func TestFailedCallLastsUntilAnswer(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		views := fleet(3, "a", "b", "c")
		cutAt := epoch.Add(20 * time.Second)
		gossip(views, rnd, epoch, cutAt, nil, nil)
		healed := cutAt.Add(15 * time.Second)
		oneWay := func(from, to *View) bool { return from == views[0] && to == views[1] }
		views[0].CallFailed("e01") // a call with work was in flight
		for now := cutAt; now.Before(healed); now = now.Add(500 * time.Millisecond) {
			gossip(views, rnd, now, now.Add(500*time.Millisecond), nil, oneWay)
			p := views[0].Peer("e01")
			if !p.CallFailed || views[0].State(now, p) == Dead {
				t.Fatalf("seed %d: got call failed %v and state %v %v after the cut, want a live peer with a failed call",
					seed, p.CallFailed, views[0].State(now, p), now.Sub(cutAt))
			}
		}
		gossip(views, rnd, healed, healed.Add(2*HeartbeatInterval), nil, nil)
		if views[0].Peer("e01").CallFailed {
			t.Errorf("seed %d: call still marked as failed %v after the link was healed", seed, 2*HeartbeatInterval)
		}
	}
}
