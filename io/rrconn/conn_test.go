package rrconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// accepted returns the two ends of a TCP connection.
func accepted(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(); c.Close() })
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// The end of a connection is seen although nobody has read up to it.
func TestOpen(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(server, client *net.TCPConn)
		want bool
	}{
		{"idle", func(_, _ *net.TCPConn) {}, true},
		{"unread data", func(_, c *net.TCPConn) { io.WriteString(c, "x") }, true},
		{"closed by the caller", func(_, c *net.TCPConn) { c.Close() }, false},
		{"half closed by the caller", func(_, c *net.TCPConn) { c.CloseWrite() }, false},
		{"reset by the caller", func(_, c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		{"closed here", func(s, _ *net.TCPConn) { s.Close() }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := accepted(t)
			ctx := Context(context.Background(), s)
			tc.do(s, c)
			time.Sleep(20 * time.Millisecond) // on the loopback interface
			if got := Open(ctx); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// Without a connection only the context counts.
func TestOpenWithoutConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Open(ctx) {
		t.Error("got false, want true")
	}
	cancel()
	if Open(ctx) {
		t.Error("after the end of the context: got true, want false")
	}
	if got := DataAge(ctx); got != 0 {
		t.Errorf("age: got %v, want 0", got)
	}
}

// The age of a request counts from its arrival, not from the start of its handler.
func TestDataAge(t *testing.T) {
	s, c := accepted(t)
	ctx := Context(context.Background(), s)
	io.WriteString(c, "x")
	time.Sleep(300 * time.Millisecond)
	if got := DataAge(ctx); got < 250*time.Millisecond {
		t.Errorf("got %v, want about 300ms", got)
	}
}

func ExampleOpen() {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Open(r.Context()) {
			return // nobody waits for the answer any longer
		}
		io.WriteString(w, "answer")
	}))
	s.Config.ConnContext = Context
	s.Start()
	defer s.Close()
}
