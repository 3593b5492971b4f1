package rrhost

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrstore"
)

// hostStore is the store as one host reaches it.
type hostStore struct {
	*memStore
	mu   sync.Mutex
	cut  bool          // the host's calls fail
	late chan struct{} // changes of minions arrive only once it is closed; nil: at once
}

func (s *hostStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	s.memStore.mu.Lock()
	defer s.memStore.mu.Unlock()
	s.notify()
}

func (s *hostStore) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut
}

// Get implements Store.
func (s *hostStore) Get(ctx context.Context, key string) (rrstore.Item, error) {
	if !s.reachable() {
		return rrstore.Item{}, errUnreachable
	}
	return s.memStore.Get(ctx, key)
}

// List implements Store.
func (s *hostStore) List(ctx context.Context, prefix string) ([]rrstore.Item, int64, error) {
	if !s.reachable() {
		return nil, 0, errUnreachable
	}
	return s.memStore.List(ctx, prefix)
}

// WaitForChanges implements Store.
func (s *hostStore) WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]rrstore.Event, int64, error) {
	if !s.reachable() {
		return nil, after, errUnreachable
	}
	events, rev, err := s.memStore.WaitForChanges(ctx, prefix, after, wait)
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late != nil && prefix == "minions/" {
		select {
		case <-late:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
	if !s.reachable() {
		return nil, after, errUnreachable
	}
	return events, rev, err
}

// CompareAndSwap implements Store.
func (s *hostStore) CompareAndSwap(ctx context.Context, put rrstore.Put, expect int64) (int64, error) {
	if !s.reachable() {
		return 0, errUnreachable
	}
	return s.memStore.CompareAndSwap(ctx, put, expect)
}

// cutFromStore makes all later calls of a host to the store fail.
func (f *testFleet) cutFromStore(h *testHost) {
	h.Store.(*hostStore).setCut(true)
}

// unregister removes the registration of a minion, which runs on.
func (f *testFleet) unregister(id string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.remove("minions/" + id)
}

// A minion whose registration is gone runs on, and its owner goes on using it. The owner goes away, and the
// next one, whose list lacks the minion, may not start the tasks that run there a second time.
func TestRunsOnUnlistedMinionAreNotRepeated(t *testing.T) {
	kill := func(_ *testFleet, owner *testHost) { owner.kill() }
	for _, tc := range []struct {
		name    string
		runTime time.Duration
		unlist  func(f *testFleet, owner *testHost) // makes the store list m1 no longer
		leave   func(f *testFleet, owner *testHost) // ends the ownership
	}{
		{"gone", 4 * time.Second, func(f *testFleet, _ *testHost) { f.unregister("m1") }, kill},
		{"gone for longer than the grace", 7 * time.Second, func(f *testFleet, _ *testHost) {
			f.unregister("m1")
			time.Sleep(3 * time.Second)
		}, kill},
		{"unreadable", 4 * time.Second, func(f *testFleet, _ *testHost) { f.write("minions/m1", "?") }, kill},
		{"in another zone", 4 * time.Second, func(f *testFleet, _ *testHost) { f.write("minions/m1", "c m1") }, kill},
		{"owner cut off from the store", 5 * time.Second, func(f *testFleet, owner *testHost) {
			f.cutFromStore(owner)
			f.unregister("m1")
		}, kill},
		{"owner drains", 5 * time.Second, func(f *testFleet, _ *testHost) { f.unregister("m1") }, func(f *testFleet, owner *testHost) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			owner.Drain(ctx)
		}},
		{"owner cut off from its peers", 5 * time.Second, func(f *testFleet, _ *testHost) { f.unregister("m1") }, func(f *testFleet, owner *testHost) {
			f.cutFromStore(owner)
			owner.silent.Store(true) // and goes on calling minions
		}},
		{"two owners in a row", 5 * time.Second, func(f *testFleet, _ *testHost) { f.unregister("m1") }, func(f *testFleet, owner *testHost) {
			owner.kill()
			time.Sleep(time.Second)
			f.awaitOwner("a").kill()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, tc.runTime)
			f.minion("a", "m1")
			f.host("a2", "a")
			owner, next := f.ownerAndCopyHolder(1)
			f.minion("b", "mb") // the loads of zone b
			job := f.job("j")
			job.Deadline = time.Now().Add(20 * time.Second)
			entry := f.hosts["b0"]
			done := make(chan rrscheduler.JobOutcome, 1)
			go func() { done <- entry.submitTo("a", job) }()
			f.awaitCondition("both runs", func() bool { return f.minions.started() == 2 })
			f.minion("a", "m2")
			f.awaitCondition("a copy with the second minion", func() bool { return next.copies("m2") })
			tc.unlist(f, owner)
			time.Sleep(1500 * time.Millisecond) // until the copies have followed
			tc.leave(f, owner)
			out := <-done
			if got, want := out.Kind, rrscheduler.OutcomeCompleted; got != want {
				t.Errorf("outcome: got %v %v, want %v", got, out.Reason, want)
			}
			if got, want := f.minions.started(), 2; got != want {
				t.Errorf("starts: got %d, want %d", got, want)
			}
		})
	}
}

// copies reports whether the host's copy of the registrations has a minion.
func (h *testHost) copies(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.registrationCopy.minions {
		if m.ID == id {
			return true
		}
	}
	return false
}

// submitTo submits a job to the owner of a shard, as if it had been forwarded there.
func (h *testHost) submitTo(shard string, job rrscheduler.Job) rrscheduler.JobOutcome {
	return h.submitWith(context.Background(), shard, job)
}

// submitWith is submitTo for a caller with a context.
func (h *testHost) submitWith(ctx context.Context, shard string, job rrscheduler.Job) rrscheduler.JobOutcome {
	job.CallerProcess, job.Submission, job.NoForward = h.Self.Name, h.lastSubmission.Add(1), true
	s := &submission{host: h.Host, job: job, shard: shard, waitingSince: time.Now()}
	return s.run(ctx)
}

// The copy of the registrations has not followed its source for some time. Meanwhile the owner has found a
// minion, and its registration has gone again: the next owner can't know it, and may not take its list for
// complete.
func TestOldCopyIsNoCompleteList(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 6*time.Second)
	f.minion("a", "m1")
	owner, next := f.ownerAndCopyHolder(1)
	owner.noReports.Store(true)
	f.minion("a", "m2", "x")
	f.await("the owner uses both minions", func() bool { return f.capacity("a") == 2*64_000 })
	job := f.job("j")
	job.Phases[0].RequiredLabel = "x"
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- f.hosts["b0"].submitTo("a", job) }()
	f.awaitCondition("both runs on the only minion with the label", func() bool { return f.minions.started() == 2 })
	f.minion("a", "m3", "x")
	f.unregister("m2")
	time.Sleep(2 * time.Second)
	if next.copies("m2") {
		t.Fatal("the copy has followed its source")
	}
	owner.kill()
	if got, want := (<-done).Kind, rrscheduler.OutcomeAbandoned; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// divideLongAgo divides a zone into two shards, as if that had been long ago.
func (f *testFleet) divideLongAgo(zone string) {
	f.store.mu.Lock()
	l := rrelection.ShardLayout{Shards: 2, PreviousShards: 1, Revision: f.store.rev + 1}
	for _, h := range f.hosts {
		h.mu.Lock()
		h.election.SetLayout(time.Now().Add(-2*layoutChangeWindow), zone, l)
		h.assignMinions()
		h.postProfiles()
		h.mu.Unlock()
	}
	f.store.put(rrstore.Put{Key: layoutPrefix + zone, Value: []byte(`{"parts":2,"was":1}`)})
	f.store.mu.Unlock()
	f.await("two shards", func() bool {
		return f.capacity(zone) > 0 && f.capacity(zone+"/1") > 0 && f.hostsWithMinions() == 2
	})
	for _, h := range f.hosts {
		h.mu.Lock()
		h.lastStoreFailure = time.Time{} // as if the hosts had started long ago
		h.mu.Unlock()
	}
}

// onlySuccessor makes a host the only one that may take the shards of another one.
func (f *testFleet) onlySuccessor(next, owner *testHost) {
	for _, h := range f.hosts {
		if h != next && h != owner {
			h.mu.Lock()
			h.election.StopClaiming()
			h.mu.Unlock()
		}
	}
}

// minionsOfSecondShard returns IDs of minions that belong to the second of two shards.
func minionsOfSecondShard(n int) []string {
	l := rrelection.ShardLayout{Shards: 2, PreviousShards: 1}
	var out []string
	for i := 0; len(out) < n; i++ {
		if id := fmt.Sprint("n", i); l.ShardIndex(id) == 1 {
			out = append(out, id)
		}
	}
	return out
}

// The owner of a second shard is killed while a task of it runs on a minion that the store no longer lists.
// The owner of the primary shard, which takes over, may not start the task again.
func TestRunsOfSecondShardOnUnlistedMinion(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		t.Run(fmt.Sprint("killed after ", wait), func(t *testing.T) {
			t.Parallel()
			f := newLargeZone(t)
			f.minions.runTime = 5 * time.Second
			ids := minionsOfSecondShard(2)
			f.minion("a", ids[0], "x")
			f.divideLongAgo("a")
			owner := f.awaitOwner("a/1")
			f.onlySuccessor(f.awaitOwner("a"), owner)
			job := f.job("j")
			job.Phases[0].RequiredLabel = "x"
			done := make(chan rrscheduler.JobOutcome, 1)
			go func() { done <- f.otherHost(owner).submitTo("a/1", job) }()
			f.awaitCondition("both runs", func() bool { return f.minions.started() == 2 })
			f.minion("a", ids[1], "x")
			time.Sleep(1200 * time.Millisecond) // until the heartbeats have told of it
			f.unregister(ids[0])
			time.Sleep(wait)
			owner.kill()
			if got, want := (<-done).Kind, rrscheduler.OutcomeCompleted; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			if got, want := f.minions.started(), 2; got != want {
				t.Errorf("starts: got %d, want %d", got, want)
			}
		})
	}
}

// A process that watches the registrations already takes over a shard, and its watch is late: it has not read
// of a minion on which the previous owner has just started a task.
func TestRunsOnLateMinionAreNotRepeated(t *testing.T) {
	t.Parallel()
	f := newLargeZone(t)
	f.minions.runTime = 3 * time.Second
	ids := minionsOfSecondShard(2)
	f.minion("a", ids[0], "x")
	f.divideLongAgo("a")
	owner := f.awaitOwner("a/1")
	next := f.awaitOwner("a")
	f.onlySuccessor(next, owner)
	full := f.job("full")
	full.Phases[0].RequiredLabel, full.Phases[0].TaskCount, full.Phases[0].Resources.MilliCores = "x", 1, 64_000
	go next.submitTo("a/1", full)
	f.awaitCondition("a run that fills the first minion", func() bool { return f.minions.started() == 1 })
	time.Sleep(2 * time.Second)
	late := make(chan struct{})
	store := next.Store.(*hostStore)
	store.mu.Lock()
	store.late = late
	store.mu.Unlock()
	time.Sleep(time.Second / 2)
	job := f.job("j")
	job.Phases[0].RequiredLabel = "x"
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- f.otherHost(owner).submitTo("a/1", job) }()
	f.minion("a", ids[1], "x")
	f.awaitCondition("both runs on the second minion", func() bool { return f.minions.started() == 3 })
	owner.kill()
	time.Sleep(1500 * time.Millisecond) // the first minion has room by then
	close(late)
	if got, want := (<-done).Kind, rrscheduler.OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// A zone is divided while the registration of a minion is gone and tasks run there. As it is back, the owner of
// the new shard may not take it before the former owner has released it: that would fence off that owner.
func TestUnlistedMinionChangesShardWhenIdle(t *testing.T) {
	t.Parallel()
	f := newLargeZone(t)
	f.minions.runTime = 3 * time.Second
	id := minionsOfSecondShard(1)[0]
	f.minion("a", id, "x")
	owner := f.awaitOwner("a")
	f.await("the minion at its owner", func() bool { // before that the job would fit no minion
		owner.mu.Lock()
		defer owner.mu.Unlock()
		return owner.assignments["a"][id] != nil
	})
	job := f.job("j")
	job.Phases[0].RequiredLabel = "x"
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- f.otherHost(owner).submitTo("a", job) }()
	f.awaitCondition("both runs", func() bool { return f.minions.started() == 2 })
	f.unregister(id)
	time.Sleep(time.Second)
	f.setLayout("a", 2, 1)
	f.await("two shards", func() bool { return f.capacity("a/1") > 0 })
	f.minion("a", id, "x")
	if got, want := (<-done).Kind, rrscheduler.OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	for _, line := range f.logLines("msg=replaced") {
		if strings.Contains(line, "minion=") {
			t.Errorf("a minion fenced off an owner: %s", line)
		}
	}
	f.await("the minion in use by its new shard", func() bool {
		f.minions.mu.Lock()
		defer f.minions.mu.Unlock()
		h := f.awaitOwner("a/1")
		h.mu.Lock()
		defer h.mu.Unlock()
		return f.minions.tokens[id] == h.executors["a/1"].FencingToken
	})
}
