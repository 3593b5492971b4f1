package rrhost

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrconn"
	"rattanring/io/rrwire"
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

// heldUp is a connection whose link holds up what is written on it while hold is set, up to its end.
type heldUp struct {
	net.Conn
	hold *atomic.Bool
}

// Write implements net.Conn.
func (c *heldUp) Write(p []byte) (int, error) {
	if !c.hold.Load() {
		return c.Conn.Write(p)
	}
	text := bytes.Clone(p)
	go func() {
		c.await()
		if bytes.Contains(text, []byte("/Withdraw ")) {
			time.Sleep(100 * time.Millisecond)
		}
		c.Conn.Write(text)
	}()
	return len(p), nil
}

// Close implements net.Conn. The end of the connection arrives some time after what was held up, and so do
// withdrawals.
func (c *heldUp) Close() error {
	if !c.hold.Load() {
		return c.Conn.Close()
	}
	go func() {
		c.await()
		time.Sleep(100 * time.Millisecond)
		c.Conn.Close()
	}()
	return nil
}

func (c *heldUp) await() {
	for c.hold.Load() {
		time.Sleep(time.Millisecond)
	}
}

// A submission is held up on its way to the owner, and its end as well. Meanwhile the caller leaves and submits the
// job elsewhere. The owner can't tell from the connection, but from the stamp.
func TestHeldUpSubmissionIsNotStarted(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 500*time.Millisecond)
	f.minion("a", "m1")
	owner := f.host("a0", "a")
	var hold atomic.Bool
	entry := f.hostWithDialer("b0", "b", func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &heldUp{c, &hold}, nil
	})
	f.awaitOwner("a")
	f.await("the entry knows the owner", func() bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		_, ok := entry.election.Owner("a")
		return ok
	})
	if got, want := entry.submitTo("a", f.job("first")).Kind, rrscheduler.OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	before := f.minions.started()
	hold.Store(true)
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		entry.submitWith(ctx, "a", f.job("held"))
	}()
	time.Sleep(100 * time.Millisecond)
	leave()
	<-done
	time.Sleep(resendDelay)
	hold.Store(false)
	time.Sleep(300 * time.Millisecond)
	if got := f.minions.started() - before; got != 0 {
		t.Errorf("starts: got %d, want 0", got)
	}
	if !strings.Contains(f.logOf(owner.Self.Name).String(), `msg="stale order" id=held`) {
		t.Error("the submission did not arrive late")
	}
}

// The owner is frozen for a while, and callers wait on. Their submissions, which lay in its sockets, are asked for
// again and served.
func TestStaleSubmissionIsSentAgain(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	owner := f.host("a0", "a")
	entry := f.host("b0", "b")
	f.awaitOwner("a")
	f.await("the entry knows the owner", func() bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		_, ok := entry.election.Owner("a")
		return ok
	})
	entry.submitTo("a", f.job("first"))
	owner.frozen.Store(true)
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			if out := entry.submitTo("a", f.job(fmt.Sprint("j", i))); out.Kind != rrscheduler.OutcomeCompleted {
				t.Errorf("job %d: got %v %v, want %v", i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted)
			}
		})
	}
	time.Sleep(950 * time.Millisecond)
	owner.frozen.Store(false)
	wg.Wait()
	if got := strings.Count(f.logOf(owner.Self.Name).String(), `msg="stale order" id=j`); got == 0 {
		t.Error("no submission was stale")
	}
}

// A process counts as lost from its last call on. The owner was frozen while a call of it lay in a socket, which
// is no sign of life at the wake-up.
func TestOldCallIsNoSignOfLife(t *testing.T) {
	h := New(Options{Logger: log.NewNopLogger(), Guarantees: rrscheduler.Options{MaxStopTime: 50 * time.Millisecond, ResendDelay: resendDelay}})
	h.addCallerProcessJob("p", 0).lastCall = time.Now().Add(-2 * time.Second)
	h.answerHeartbeat(&rrwire.Ping{Name: "p", Sent: clockReading() - (1500 * time.Millisecond).Microseconds()})
	if got := time.Since(h.callerProcesses["p"].lastCall); got < 1500*time.Millisecond {
		t.Errorf("last call: got %v ago, want 1.5s or more", got)
	}
	h.dropUnresponsiveCallerProcesses()
	if h.callerProcesses["p"] != nil {
		t.Error("the process does not count as lost")
	}
}

// A process was suspended, which its monotonic clock does not count. What it knows of the former owner's minions and
// of its last sign of life is as old as that: it was taken for fresh.
func TestSuspensionAgesWhatPeersTold(t *testing.T) {
	now := time.Now()
	self := rrelection.Member{Name: "a1", Addr: "addr-1", Zone: "a", Incarnation: 1}
	h := New(Options{Self: self, Zones: []string{"a"}, Logger: log.NewNopLogger(), RegistrationTTL: 4500 * time.Millisecond})
	h.lastStoreFailure = time.Time{}
	h.registrationCopy.confirmedAt, h.registrationsRead = now, 10
	h.election.SetOwner(now.Add(-time.Minute), "a", rrelection.Owner{Name: "a0", Addr: "addr-0", Incarnation: 7, Revision: 4})
	h.election.HeartbeatAnswered(now, now, "addr-0", 7)
	h.noteSuspension(8 * time.Second)
	if !h.mayLackMinions("a") {
		t.Error("the copy of the registrations counts as fresh")
	}
	h.election.SetOwner(now, "a", rrelection.Owner{Name: "a1", Addr: "addr-1", Incarnation: 1, Revision: 5})
	if got := now.Sub(h.election.FormerOwnerAliveAt("a", time.Second)); got < 8*time.Second {
		t.Errorf("last sign of life of the former owner: got %v ago, want 8s", got)
	}
}
