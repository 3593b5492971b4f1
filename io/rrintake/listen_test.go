package rrintake

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/io/rrmetric"
)

// Clients that send without end to a process that accepts and reads nothing must not make the kernel hold more than the
// limits allow.
func TestUnreadDataIsBounded(t *testing.T) {
	const backlog, clients = 8, 40
	in := New("callers", Limits{Backlog: backlog}, log.NewNopLogger(), &rrmetric.Metrics{})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	ln, err := in.Listen(raw)
	if err != nil {
		t.Fatal(err)
	}
	data := make([]byte, 1<<20)
	for range clients {
		go func() {
			c, err := net.DialTimeout("tcp", raw.Addr().String(), 200*time.Millisecond)
			if err != nil {
				return // the backlog is full
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.Write(data) // blocks until the deadline
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if got, want := ln.(*listener).backlog(), 2*backlog; got > want { // the kernel lets a few more in that come at the same moment
		t.Errorf("got %d connections that wait to be accepted, want at most %d", got, want)
	}
	for _, tt := range []struct {
		name   string
		accept func() (net.Conn, error)
		want   int
	}{{"waits to be accepted", raw.Accept, QueuedSocketBytes}, {"accepted", ln.Accept, SocketBytes}} {
		c, err := tt.accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(50 * time.Millisecond)
		if got := len(drain(t, c)); got == 0 || got > tt.want {
			t.Errorf("%s: got %d unread bytes on a connection, want 1 to %d", tt.name, got, tt.want)
		}
	}
}

// drain returns what a connection has received up to now.
func drain(t *testing.T, c net.Conn) []byte {
	t.Helper()
	b := make([]byte, 4*SocketBytes)
	n, err := c.Read(b) // one read takes all that is there
	if err != nil {
		t.Fatal(err)
	}
	return b[:n]
}

// The limit on connections that wait to be accepted changes while the process runs.
func TestSetBacklog(t *testing.T) {
	s := newServer(t, Limits{Backlog: 2})
	s.in.SetLimits(Limits{Backlog: 50})
	if got := s.in.Limits().Backlog; got != 50 {
		t.Errorf("Limits: got %d, want 50", got)
	}
	s.dial(t).send("/", 10, 10) // the listener still works
}
