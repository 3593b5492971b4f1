package rrhost

import (
	"context"
	"testing"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
)

// A large host drains and leaves the membership, hands its shard to a small one, and starts again while the
// store is unreachable. Without the store its heartbeats alone tell that it is back; if the small owner did
// not take them for a sign of a member, it would keep a load that it can't carry until the store returns.
func TestLargeHostBackWithoutStore(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.cpuCores = map[string]float64{"small": 0.2, "large": 0.8}
	f.minion("a", "m1")
	large := f.host("large", "a")
	f.awaitOwner("a")
	small := f.host("small", "a")
	f.awaitRegistrationCopy(small)
	ctx, cancel := context.WithTimeout(context.Background(), handoverReserve) // no wait for a larger successor
	defer cancel()
	large.Drain(ctx)
	large.kill()
	if got, want := f.awaitOwner("a").Self.Name, "small"; got != want {
		t.Fatalf("owner after the drain: got %s, want %s", got, want)
	}
	f.await("the removal of the large member", func() bool {
		small.mu.Lock()
		defer small.mu.Unlock()
		_, listed := small.election.Members()["large"]
		return !listed
	})
	f.store.setUnreachable(true)
	f.seeds = []string{small.Self.Addr} // so the large host calls first
	f.host("large", "a")
	f.await("the large host as owner", func() bool { return f.awaitOwner("a").Self.Name == "large" })
}

// An owner hands its shard over without the store while the successor begins to drain. A successor that took it
// would keep it until it exits, and the zone would have no owner then.
func TestDrainingHostRefusesShardWithoutStore(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	f.host("a0", "a")
	f.host("a1", "a")
	owner := f.awaitOwner("a")
	next := f.otherHost(owner)
	f.awaitRegistrationCopy(next)
	f.store.setUnreachable(true)
	next.draining.Store(true)
	owner.handOverWithoutStore("a", []rrelection.Member{next.Self})
	if got, want := f.awaitOwner("a"), owner; got != want {
		t.Errorf("owner after the successor has refused: got %s, want %s", got.Self.Name, want.Self.Name)
	}
	out := owner.Submit(context.Background(), f.job("j"))
	if got, want := out.Kind, rrscheduler.OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v %v, want %v", got, out.Reason, want)
	}
}

// An owner dies while the store is unreachable. A process that has just started knows none of the zone's minions;
// if it claimed the shard first, callers would wait until it has found them.
func TestClaimWithoutStoreNeedsMinions(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.cpuCores = map[string]float64{"large": 0.5} // claims before the others, but is not large enough to be preferred to them
	f.minion("a", "m1")
	f.host("a0", "a")
	owner := f.awaitOwner("a")
	next := f.host("a1", "a")
	f.host("large", "a")
	f.awaitRegistrationCopy(next)
	f.store.setUnreachable(true)
	f.hosts["large"].kill()
	f.seeds = []string{owner.Self.Addr}
	started := f.host("large", "a")
	f.await("the owner at the new process", func() bool { return started.primaryOwner() != nil })
	started.claimWithoutStore("a") // the owner is alive, so this must not count as the claim that is left to others
	time.Sleep(yieldTime)
	owner.kill()
	if got, want := f.awaitOwner("a").Self.Name, "a1"; got != want {
		t.Errorf("owner: got %s, want %s, which knows the minions", got, want)
	}
}

// Two processes drain at the same time and are former members to each other. Neither becomes a member again, so if
// each heartbeat of a former member were answered with another one, they would send heartbeats without end.
func TestDrainingFormerMembersSendFewHeartbeats(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	f.host("a0", "a")
	f.host("a1", "a")
	owner := f.awaitOwner("a")
	other := f.otherHost(owner)
	f.awaitRegistrationCopy(other)
	f.store.setUnreachable(true)
	for h, peer := range map[*testHost]*testHost{owner: other, other: owner} {
		h.draining.Store(true)
		h.mu.Lock()
		h.election.RemoveMember(time.Now(), peer.Self.Name)
		h.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	before := f.bytes.Load() // the regular heartbeats take about 5 kB a second
	time.Sleep(time.Second)
	if got, limit := f.bytes.Load()-before, int64(50_000); got > limit {
		t.Errorf("bytes between the hosts in a second: got %d, want at most %d", got, limit)
	}
}
