package rrintake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/io/rrmetric"
)

// A connection is closed in favor of another one in the order of what its client loses by that, and then by age. Those
// that are being served are never closed.
func TestEvictionOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	in := &Intake{conns: make(map[*conn]struct{})}
	names := make(map[*conn]string)
	add := func(name string, p phase, age time.Duration, change func(c *conn)) {
		c := &conn{in: in}
		c.state.Store(int32(p))
		c.since.Store(now.Add(-age).UnixNano())
		if change != nil {
			change(c)
		}
		names[c], in.conns[c] = name, struct{}{}
	}
	large := func(c *conn) { c.inBody.Store(true) }
	kept := func(c *conn) { c.served.Store(true) }
	blocked := func(c *conn) { c.blockedSince.Store(now.Add(-2 * slowTime).UnixNano()) }
	add("served", phaseServing, time.Hour, nil)
	add("closed", phaseClosed, time.Hour, nil)
	add("new request", phaseBody, 10*time.Millisecond, nil)
	add("new connection", phaseWaiting, 20*time.Millisecond, nil)
	add("idle", phaseWaiting, time.Second, kept)
	add("longer idle", phaseWaiting, 10*time.Second, kept)
	add("large body", phaseBody, 30*time.Millisecond, large)
	add("several requests at once", phaseTurn, 20*time.Millisecond, kept)
	add("slow body", phaseBody, 1500*time.Millisecond, large)
	add("slow header", phaseWaiting, 3*time.Second, nil)
	add("reads no response", phaseServing, time.Millisecond, blocked)
	add("ended", phaseEnding, time.Millisecond, nil)
	in.findVictims(now.UnixNano())
	var got []string
	for _, v := range in.victims {
		got = append(got, names[v.conn])
	}
	want := []string{
		"ended", "slow header", "reads no response", "slow body", "large body", "several requests at once",
		"longer idle", "idle", "new connection", "new request",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A connection that was chosen to be closed and has done something since is not closed.
func TestEvictionChecksState(t *testing.T) {
	s := newServer(t, Limits{})
	clients := []*client{s.dial(t), s.dial(t)}
	for _, c := range clients {
		c.send("/", 10, 10)
		c.wantStatus("first request", http.StatusOK)
	}
	s.waitUntil(t, "two idle connections", func() bool { return s.idle() == 2 })
	s.in.mu.Lock()
	s.in.findVictims(time.Now().UnixNano())
	s.in.mu.Unlock()
	clients[0].send("/wait", 10, 10)
	<-s.waiting
	s.in.SetLimits(Limits{Connections: 2})
	s.dial(t).send("/", 10, 10)
	clients[1].wantStatus("idle connection", http.StatusServiceUnavailable)
	close(s.release)
	clients[0].wantStatus("connection in use", http.StatusOK)
}

// idle returns the number of connections between two requests. The caller holds the lock of the Intake.
func (s *server) idle() int {
	n := 0
	for c := range s.in.conns {
		if c.served.Load() && phase(c.state.Load()) == phaseWaiting {
			n++
		}
	}
	return n
}

// A kept connection is closed as its next request arrives. The client must hear that the request is not run.
func TestRequestOnClosedConnectionIsRefused(t *testing.T) {
	s := newServer(t, Limits{Connections: 1})
	kept := s.dial(t)
	kept.send("/", 10, 10)
	kept.wantStatus("first request", http.StatusOK)
	s.waitUntil(t, "an idle connection", func() bool { return s.idle() == 1 })
	s.in.mu.Lock()
	v, ok := s.in.evict() // the choice
	s.in.mu.Unlock()
	if !ok {
		t.Fatal("no connection to close")
	}
	kept.send("/wait", 24<<10, 8<<10) // the request
	v.close()
	time.Sleep(20 * time.Millisecond)
	for range 2 { // the rest of the request, which would fail if the connection were closed with unread data
		if _, err := io.WriteString(kept, strings.Repeat("x", 8<<10)); err != nil {
			t.Fatalf("sending the request: got %v, want no error", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	res, err := http.ReadResponse(kept.r, nil)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	if got, want := fmt.Sprintf("%d %s %t", res.StatusCode, res.Header.Get("Retry-After"), res.Close), "503 1 true"; got != want {
		t.Errorf("got status, Retry-After and close %s, want %s", got, want)
	}
	select {
	case <-s.waiting:
		t.Error("the handler got the request")
	case <-time.After(20 * time.Millisecond):
	}
}

// A connection on which a request has arrived that is not read yet is not closed for a new one, which waits.
func TestArrivedRequestsAreReadFirst(t *testing.T) {
	in := New("callers", Limits{Connections: 1}, log.NewNopLogger(), &rrmetric.Metrics{})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	ln, err := in.Listen(raw)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	c := accepted.(*conn)
	c.served.Store(true) // an idle connection
	if _, err := io.WriteString(client, "GET"); err != nil {
		t.Fatal(err)
	}
	for !c.hasUnreadData() {
		time.Sleep(time.Millisecond)
	}
	if v, ok := in.evict(); ok || in.unread != 1 {
		t.Errorf("got %v closed and %d spared, want none closed and 1 spared", v, in.unread)
	}
	if _, err := c.Read(make([]byte, 3)); err != nil {
		t.Fatal(err)
	}
	if _, ok := in.evict(); !ok {
		t.Error("got no connection closed when the data was read, want 1")
	}
}
