package rrhost

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
)

// drainBound is how long the platform permits starts on a minion after it has reported that it leaves,
// on the deployments with the shortest such time.
const drainBound = 2 * time.Second

// ownerAndCopyHolder starts two hosts of zone a and one of zone b. It returns the owner of zone a's shard
// and the other host, once that has a copy of so many registrations and the store has not failed lately.
func (f *testFleet) ownerAndCopyHolder(minions int) (owner, next *testHost) {
	f.t.Helper()
	f.host("a0", "a")
	f.host("a1", "a")
	f.host("b0", "b")
	owner = f.awaitOwner("a")
	if next = f.hosts["a0"]; next == owner {
		next = f.hosts["a1"]
	}
	f.awaitCondition("a copy of the registrations", func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return len(next.registrationCopy.minions) == minions && time.Since(next.lastStoreFailure) > registrationsGrace
	})
	return owner, next
}

// The owner of a shard dies as a minion reports that it leaves. Its successor has a copy of the
// registrations from before, and the store lists them slowly: the successor may not rely on the copy for
// longer than the platform permits.
func TestOldCopyOfRegistrations(t *testing.T) {
	f := newTestFleet(t, 5*time.Millisecond)
	f.minion("a", "m1")
	owner, next := f.ownerAndCopyHolder(1)
	gate := make(chan struct{})
	f.store.mu.Lock()
	f.store.listGate = gate
	f.store.mu.Unlock()
	owner.kill()
	f.minion("a", "m1", "leaves")
	reportedAt := time.Now()
	f.awaitOwner("a")
	starts := 0
	for i := 0; time.Since(reportedAt) < drainBound+time.Second; i++ {
		before := f.minions.started()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		next.Submit(ctx, f.job(fmt.Sprint("j", i)))
		cancel()
		if time.Since(reportedAt) > drainBound {
			starts += f.minions.started() - before
		}
	}
	if f.minions.started() == 0 {
		t.Error("the successor never used the copy")
	}
	if starts > 0 {
		t.Errorf("%d starts later than %v after the report", starts, drainBound)
	}
	close(gate)
}

// A minion leaves as the owner of its shard dies. The successor, which still has a copy of its
// registration, may not use it again: the store no longer lists it.
func TestLeftMinionOfCopy(t *testing.T) {
	f := newTestFleet(t, 5*time.Millisecond)
	f.minion("a", "m1")
	f.minion("a", "m2")
	owner, next := f.ownerAndCopyHolder(2)
	gate := make(chan struct{}) // the successor lists the store only after the minion has left
	f.store.mu.Lock()
	f.store.listGate = gate
	f.store.mu.Unlock()
	owner.kill()
	f.store.mu.Lock()
	f.store.remove("minions/m1")
	f.store.mu.Unlock()
	close(gate)
	f.awaitCondition("the list of the store", func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.minionsListed
	})
	job := f.job("j")
	job.Phases[0].MaxPerMinion = 1
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	next.Submit(ctx, job)
	f.minions.mu.Lock()
	defer f.minions.mu.Unlock()
	if f.minions.lastEndSeq["m1"] > 0 || len(f.minions.running["m1"]) > 0 {
		t.Error("a task started on a minion that has left")
	}
}

// A large host restarts while a small one owns its shard, and the store lists registrations slowly. The
// shard goes back once the large host has a copy of the registrations, so that no job waits for the list.
func TestHandoverWithCopy(t *testing.T) {
	f := newTestFleet(t, 20*time.Millisecond)
	f.cpuCores = map[string]float64{"small": 0.2, "large": 0.8}
	f.minion("a", "m1")
	f.minion("b", "m2")
	large := f.host("large", "a")
	f.awaitOwner("a")
	f.host("b0", "b")
	f.awaitOwner("b")
	small := f.host("small", "a")
	time.Sleep(time.Second) // until small knows the owner of its zone's primary shard
	large.kill()
	f.awaitOwner("a")
	time.Sleep(time.Second) // until small has owned the shard long enough to hand it over
	gate := make(chan struct{})
	defer close(gate)
	f.store.mu.Lock()
	f.store.listGate = gate
	f.store.mu.Unlock()
	large = f.host("large", "a")
	jobs := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && large.executor("a") == nil; jobs++ {
		if out := small.Submit(context.Background(), f.job(fmt.Sprint("j", jobs))); out.Kind != rrscheduler.OutcomeCompleted {
			t.Errorf("job %d: got %v %v", jobs, out.Kind, out.Reason)
		}
	}
	if large.executor("a") == nil {
		t.Fatal("the large host never got the shard")
	}
	large.mu.Lock()
	defer large.mu.Unlock()
	if got := len(large.registrations); got != 2 && got != 1 {
		t.Errorf("registrations of the large host as it gets the shard: got %d, want those of its zone", got)
	}
}
