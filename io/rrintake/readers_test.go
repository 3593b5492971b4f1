package rrintake

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Requests that a client sends before it has the response to the one before wait for a reader slot. Those of other
// clients don't.
func TestRequestsAtOnceWaitForSlot(t *testing.T) {
	s := newServer(t, Limits{Readers: 1})
	s.in.readers.acquire(0, nil)
	busy := s.dial(t)
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx"
	if _, err := fmt.Fprint(busy, strings.Repeat(request, 3)); err != nil {
		t.Fatal(err)
	}
	busy.wantStatus("first of several requests", http.StatusOK)
	s.waitUntil(t, "the second request waits", func() bool { return s.in.readers.waitingCount() == 1 })
	other := s.dial(t)
	for range 3 {
		other.send("/", 10, 10)
		other.wantStatus("request of another client", http.StatusOK)
	}
	s.in.readers.release(0, 0)
	busy.wantStatus("second of several requests", http.StatusOK)
	busy.wantStatus("third of several requests", http.StatusOK)
}

// A request of several at once gives up its slot while it waits for its outcome.
func TestReleaseDuringWait(t *testing.T) {
	s := newServer(t, Limits{Readers: 1})
	busy := s.dial(t)
	if _, err := fmt.Fprint(busy, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxxPOST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx"); err != nil {
		t.Fatal(err)
	}
	busy.wantStatus("first request", http.StatusOK)
	<-s.waiting
	if got := s.in.readers.inUse(); got != 0 {
		t.Errorf("got %d slots in use, want none", got)
	}
	close(s.release)
	busy.wantStatus("second request", http.StatusOK)
}

// A large body holds its slot until it is decoded, that is, until Keep, and one that is whole in the first read has none.
func TestLargeBodyIsDecodedInSlot(t *testing.T) {
	for _, tt := range []struct{ bytes, want int }{{firstReadBytes / 2, 0}, {maxBody, 1}} {
		s := newServer(t, Limits{Readers: 1})
		s.beforeKeep = func() {
			if got := s.in.readers.inUse(); got != tt.want {
				t.Errorf("%d bytes, before Keep: got %d slots in use, want %d", tt.bytes, got, tt.want)
			}
		}
		c := s.dial(t)
		c.send("/wait", tt.bytes, tt.bytes)
		<-s.waiting
		if got := s.in.readers.inUse(); got != 0 {
			t.Errorf("%d bytes, after Keep: got %d slots in use, want none", tt.bytes, got)
		}
		close(s.release)
		c.wantStatus("body", http.StatusOK)
	}
}

// A large body that waits for a slot is refused at once when it has to give way.
func TestStoppedBodyWaitsForNoSlot(t *testing.T) {
	s := newServer(t, Limits{Readers: 1})
	s.in.readers.acquire(0, nil)
	defer s.in.readers.release(0, 0)
	c := s.dial(t)
	c.send("/", maxBody, maxBody-10)
	s.waitUntil(t, "the body waits", func() bool { return s.in.readers.waitingCount() == 1 })
	s.in.SetLimits(Limits{BodyBytes: 1, Readers: 1})
	c.wantStatus("large body", http.StatusServiceUnavailable)
	if got := s.in.readers.waitingCount(); got != 0 {
		t.Errorf("got %d connections that wait for a slot, want none", got)
	}
}

// A connection that is closed in favor of another one while it waits for a slot is told, and waits no more.
func TestEvictedConnectionWaitsForNoSlot(t *testing.T) {
	s := newServer(t, Limits{Readers: 1, Connections: 1})
	s.in.readers.acquire(0, nil)
	defer s.in.readers.release(0, 0)
	large := s.dial(t)
	large.send("/", maxBody, maxBody-10)
	s.waitUntil(t, "the body waits", func() bool { return s.in.readers.waitingCount() == 1 })
	next := s.dial(t)
	next.send("/", 10, 10)
	next.wantStatus("next connection", http.StatusOK)
	large.wantStatus("large body", http.StatusServiceUnavailable)
	s.waitUntil(t, "nothing in use", func() bool { return s.in.budget.Used() == 0 && len(s.in.requests) == 0 })
}

// A body may take longer than the time between two pieces of it, but no longer than the time for all of it.
func TestSlowBody(t *testing.T) {
	for _, tt := range []struct {
		name   string
		limits Limits
		want   int
	}{
		{"pieces in time", Limits{BodyIdle: 500 * time.Millisecond, BodyTime: time.Minute}, http.StatusOK},
		{"too long in all", Limits{BodyIdle: 500 * time.Millisecond, BodyTime: 300 * time.Millisecond}, http.StatusRequestTimeout},
	} {
		s := newServer(t, tt.limits)
		c := s.dial(t)
		c.send("/", maxBody, maxBody/2)
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			if _, err := fmt.Fprint(c, strings.Repeat("x", maxBody/16)); err != nil {
				break // the request was refused
			}
		}
		c.wantStatus(tt.name, tt.want)
	}
	s := newServer(t, Limits{BodyIdle: 50 * time.Millisecond, BodyTime: time.Minute})
	c := s.dial(t)
	c.send("/", maxBody, maxBody/2)
	c.wantStatus("stalled", http.StatusRequestTimeout)
}
