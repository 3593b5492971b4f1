package rrmembership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// exchange carries one heartbeat between two live views.
func exchange(now time.Time, from, to *View) {
	table := from.Digest(now)
	to.Merge(now, table)
	from.Merge(now, to.Delta(now, table))
	from.PeerAnswered(now, to.self.Name)
	from.HeartbeatAnswered(now)
}

// gossip runs heartbeats of a fleet from one time to another. Connections to the
// dead are refused, and those along cut break after they were made.
func gossip(views []*View, rnd *rand.Rand, from, to time.Time, dead *View, cut func(from, to *View) bool) {
	phase := make([]time.Duration, len(views))
	for i := range phase {
		phase[i] = time.Duration(rnd.IntN(100)) * time.Millisecond
	}
	byName := make(map[string]*View)
	for _, v := range views {
		byName[v.self.Name] = v
	}
	for now := from; now.Before(to); now = now.Add(100 * time.Millisecond) {
		for i, v := range views {
			at := now.Add(phase[i])
			if v == dead {
				continue
			}
			for _, p := range v.Tick(at) {
				o := byName[p.Name]
				switch {
				case o == dead:
					v.ConnectionRefused(at, p.Name)
				case cut != nil && cut(v, o):
					v.CallFailed(p.Name)
				default:
					exchange(at, v, o)
				}
			}
		}
	}
}

// TestKilledEntryIsDeadInTime: heartbeats alone tell all others of a killed entry
// within the time after which a silent one counts as dead, although news of its
// last heartbeats still goes round. Pattern: the death of a process whose
// connections are refused, in the middle of gossip.
func TestKilledEntryIsDeadInTime(t *testing.T) {
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
					seed, got, v.self.Name, DeadTimeout, p.LastHeard.Sub(killed))
			}
		}
	}
}

// TestBrokenPeersAreAskedSeldom: members behind a cut are asked at once and then once a
// round each at the most, however often that fails.
func TestBrokenPeersAreAskedSeldom(t *testing.T) {
	v := fleet(6, "a", "b", "c")[0]
	v.HeartbeatAnswered(epoch)
	asked := 0
	end := epoch.Add(8 * time.Second)
	for now := epoch; now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, p := range v.Tick(now) {
			asked++
			v.CallFailed(p.Name)
		}
	}
	// The first question finds each peer broken, and each of three rounds asks two.
	if most := 5 + 2*3; asked > most {
		t.Errorf("got %d heartbeats in 8 s to peers that do not answer, want at most %d", asked, most)
	}
}

// TestBrokenPeerGetsNoWork: a peer whose calls break while others still hear of it
// is left out until it answers. Pattern: one direction between two zones is cut.
func TestBrokenPeerGetsNoWork(t *testing.T) {
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
