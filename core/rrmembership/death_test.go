package rrmembership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// exchange carries one heartbeat between two live views.
func exchange(now time.Time, from, to *View) {
	digest := from.Digest(now)
	to.Merge(now, digest)
	from.Merge(now, to.Delta(now, digest))
	from.PeerAnswered(now, to.self.Name)
	from.HeartbeatAnswered(now)
}

// gossip runs heartbeats of a fleet from one time to another. Connections to the
// dead are refused, and those along cut break after they were made.
func gossip(views []*View, rnd *rand.Rand, from, to time.Time, dead *View, cut func(from, to *View) bool) {
	offset := make([]time.Duration, len(views))
	for i := range offset {
		offset[i] = time.Duration(rnd.IntN(100)) * time.Millisecond
	}
	byName := make(map[string]*View)
	for _, v := range views {
		byName[v.self.Name] = v
	}
	for now := from; now.Before(to); now = now.Add(100 * time.Millisecond) {
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

// TestKilledEntryIsDeadWithinTimeout: heartbeats alone tell all others of a killed entry
// within the time after which a silent one counts as dead, although news of its
// last heartbeats still goes round. Pattern: the death of a process whose
// connections are refused, in the middle of gossip.
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
				t.Fatalf("seed %d: got %v at %s %v after the kill (heard %v after it), want dead",
					seed, got, v.self.Name, DeadTimeout, p.LastHeartbeat.Sub(killed))
			}
		}
	}
}

// TestFailedPeersGetFewHeartbeats: members behind a cut are asked at once and then once a
// round each at the most, however often that fails.
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
	// The first question finds each peer broken, and each of three rounds asks two.
	if limit := 5 + 2*3; heartbeats > limit {
		t.Errorf("got %d heartbeats in 8 s to peers that do not answer, want at most %d", heartbeats, limit)
	}
}

// TestPeerWithFailedCallsIsExcluded: a peer whose calls break while others still hear of it
// is left out until it answers. Pattern: one direction between two zones is cut.
func TestPeerWithFailedCallsIsExcluded(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		views := fleet(3, "a", "b", "c")
		cutAt := epoch.Add(20 * time.Second)
		gossip(views, rnd, epoch, cutAt, nil, nil)
		healed := cutAt.Add(15 * time.Second)
		oneWay := func(from, to *View) bool { return from == views[0] && to == views[1] }
		views[0].CallFailed("e01") // a call with work was under way
		for now := cutAt; now.Before(healed); now = now.Add(500 * time.Millisecond) {
			gossip(views, rnd, now, now.Add(500*time.Millisecond), nil, oneWay)
			p := views[0].Peer("e01")
			if !p.CallFailed || views[0].State(now, p) == Dead {
				t.Fatalf("seed %d: got broken %v and %v %v after the cut, want a live peer without an answer",
					seed, p.CallFailed, views[0].State(now, p), now.Sub(cutAt))
			}
		}
		gossip(views, rnd, healed, healed.Add(2*HeartbeatInterval), nil, nil)
		if views[0].Peer("e01").CallFailed {
			t.Errorf("seed %d: still left out %v after the link was mended", seed, 2*HeartbeatInterval)
		}
	}
}
