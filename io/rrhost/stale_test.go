package rrhost

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
	"rattanring/io/rrconn"
)

// callerConn returns a context with the connection of a caller, and a function that closes the caller's end.
func callerConn(t *testing.T) (ctx context.Context, leave func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return rrconn.Context(context.Background(), c), func() { caller.Close() }
}

// A process that was frozen handles a request whose caller has left meanwhile, and may have sent it elsewhere.
// The job is not handed in.
func TestJobOfLeftCallerIsNotHandedIn(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	h := f.host("a0", "a")
	f.awaitOwner("a")
	ctx, leave := callerConn(t)
	leave()
	time.Sleep(20 * time.Millisecond) // on the loopback interface
	out := h.Submit(ctx, f.job("j"))
	if out.Kind != rrscheduler.OutcomeRefused || out.Reason != rrscheduler.ReasonCanceled {
		t.Errorf("got %v %v, want %v %v", out.Kind, out.Reason, rrscheduler.OutcomeRefused, rrscheduler.ReasonCanceled)
	}
	if got := f.minions.started(); got != 0 {
		t.Errorf("starts: got %d, want 0", got)
	}
}

// The owner of a job dies, and the job's caller has left while the process that took it was frozen. The job is
// not handed in to the next owner.
func TestJobOfLeftCallerIsNotHandedInAgain(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, time.Second)
	f.minion("a", "m1")
	owner, next := f.ownerAndCopyHolder(1)
	ctx, leave := callerConn(t)
	done := make(chan rrscheduler.JobOutcome, 1)
	go func() { done <- next.Submit(ctx, f.job("j")) }()
	f.awaitCondition("both runs", func() bool { return f.minions.started() == 2 })
	leave()
	owner.kill()
	out := <-done
	if out.Kind != rrscheduler.OutcomeAbandoned || out.Reason != rrscheduler.ReasonCanceled {
		t.Errorf("got %v %v, want %v %v", out.Kind, out.Reason, rrscheduler.OutcomeAbandoned, rrscheduler.ReasonCanceled)
	}
}

// The owner of a shard is frozen while jobs arrive. Their callers leave, so the calling host closes its calls
// and withdraws the jobs, all of which lies in the sockets of the owner as it wakes. No task may start: the
// callers may have submitted the jobs elsewhere.
func TestFrozenOwnerStartsNoWithdrawnJobs(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 500*time.Millisecond)
	f.minion("a", "m1")
	owner := f.host("a0", "a")
	entry := f.host("b0", "b")
	f.awaitOwner("a")
	f.awaitCondition("the entry knows the owner", func() bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		_, ok := entry.election.Owner("a")
		return ok
	})
	var wg sync.WaitGroup
	for i := range 40 { // idle connections, on which the calls of the next round go out at once
		wg.Go(func() { entry.submitTo("a", f.job(fmt.Sprint("first", i))) })
	}
	wg.Wait()
	before := f.minions.started()
	owner.frozen.Store(true)
	ctx, leave := context.WithCancel(context.Background())
	for i := range 40 {
		wg.Go(func() { entry.submitWith(ctx, "a", f.job(fmt.Sprint("left", i))) })
	}
	time.Sleep(200 * time.Millisecond)
	leave()
	wg.Wait()
	time.Sleep(resendDelay)
	owner.frozen.Store(false)
	time.Sleep(500 * time.Millisecond)
	if got := f.minions.started() - before; got != 0 {
		t.Errorf("starts after the freeze: got %d, want 0", got)
	}
}
