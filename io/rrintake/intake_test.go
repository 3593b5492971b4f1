package rrintake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/io/rrmetric"
)

const maxBody = 64 << 10

// server serves bodies through an Intake. Each response has the number of bytes of the body or the error, and
// waits for release if the path is /wait.
type server struct {
	*httptest.Server
	in         *Intake
	waiting    chan struct{}
	release    chan struct{}
	beforeKeep func() // called before each Keep; may be nil
}

func newServer(t *testing.T, limits Limits) *server {
	s := &server{in: New("callers", limits, log.NewNopLogger(), &rrmetric.Metrics{}), waiting: make(chan struct{}, 10), release: make(chan struct{})}
	s.Server = httptest.NewUnstartedServer(s.in.Handler(http.HandlerFunc(s.serve)))
	var err error
	if s.Listener, err = s.in.Listen(s.Listener); err != nil {
		t.Fatal(err)
	}
	s.Config.ConnContext, s.Config.ConnState = Context, ConnState
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	b, err := s.in.ReadBody(w, r, maxBody)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(statusOf(err))
		return
	}
	defer b.End()
	n := len(b.Bytes)
	if s.beforeKeep != nil {
		s.beforeKeep()
	}
	if !b.Keep(int64(n)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		s.waiting <- struct{}{}
		<-s.release
	}
	fmt.Fprint(w, n)
}

// client is one connection to the server.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{t, c, bufio.NewReader(c)}
}

// send sends the start of a request with a body of n bytes, and sent bytes of the body.
func (c *client) send(path string, n, sent int) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("x", sent)); err != nil {
		c.t.Fatal(err)
	}
}

// response returns the status and the body of the next response, or a status of zero if the connection ends.
func (c *client) response() (int, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

func (c *client) wantStatus(name string, want int) {
	c.t.Helper()
	if got, _ := c.response(); got != want {
		c.t.Errorf("%s: got status %d, want %d", name, got, want)
	}
}

// waitUntil waits until the condition holds under the lock of the Intake.
func (s *server) waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 2000 {
		s.in.mu.Lock()
		ok := f()
		s.in.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("waited in vain for: %s", what)
}

// Bodies of any size and form pass whole, or are refused when they are too long, and hold nothing afterwards.
func TestReadBody(t *testing.T) {
	s := newServer(t, Limits{BodyBytes: 1 << 20, BodyTime: time.Minute, WriteTime: time.Minute, Connections: 10, Readers: 1})
	for _, n := range []int{0, 1, 600, firstReadBytes, firstReadBytes + 1, maxBody - 1, maxBody, maxBody + 1} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = strings.NewReader(strings.Repeat("x", n))
			if chunked {
				body = io.MultiReader(body) // hides the length
			}
			res, err := http.Post(s.URL, "", body)
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(res.Body)
			res.Body.Close()
			want := fmt.Sprint(n)
			if n > maxBody {
				want = ""
			}
			if string(text) != want {
				t.Errorf("%d bytes, chunked %t: got %d %q, want %q", n, chunked, res.StatusCode, text, want)
			}
		}
	}
	s.waitUntil(t, "no memory in use", func() bool { return s.in.budget.Used() == 0 && len(s.in.requests) == 0 })
}

// A request that stops short of its end gives way to another one when the memory is used up.
func TestStalledBodyGivesWay(t *testing.T) {
	s := newServer(t, Limits{BodyBytes: maxBody + 4<<10, Readers: 2})
	stalled := s.dial(t)
	stalled.send("/", maxBody, maxBody-10)
	s.waitUntil(t, "the stalled body", func() bool { return s.in.budget.Used() == maxBody })
	next := s.dial(t)
	next.send("/", 8<<10, 8<<10)
	next.wantStatus("next request", http.StatusOK)
	stalled.wantStatus("stalled request", http.StatusServiceUnavailable)
}

// A body that does not arrive in time is refused, whether none of it or all but its end arrived.
func TestBodyTimeout(t *testing.T) {
	s := newServer(t, Limits{BodyTime: 50 * time.Millisecond})
	for _, sent := range []int{0, maxBody - 1} {
		c := s.dial(t)
		c.send("/", maxBody, sent)
		c.wantStatus(fmt.Sprint(sent, " bytes"), http.StatusRequestTimeout)
	}
}

// A body that arrived in time must not be refused as late because the process was slow to read it.
func TestBodyTimeoutSparesArrivedBodies(t *testing.T) {
	const bodyTime = 200 * time.Millisecond
	s := newServer(t, Limits{BodyTime: bodyTime, Readers: 1})
	s.in.readers.acquire(0, nil) // as a process that does not get processor time
	c := s.dial(t)
	c.send("/", 20_000, 20_000)
	time.Sleep(2 * bodyTime)
	s.in.readers.release(0, 0)
	c.wantStatus("arrived body", http.StatusOK)
}

// The time for the body must not end a request that waits for its response.
func TestBodyTimeoutSparesServedRequests(t *testing.T) {
	s := newServer(t, Limits{BodyTime: 50 * time.Millisecond})
	c := s.dial(t)
	c.send("/wait", 600, 600)
	<-s.waiting
	time.Sleep(150 * time.Millisecond)
	close(s.release)
	c.wantStatus("request", http.StatusOK)
	c.send("/", 600, 600)
	c.wantStatus("next request on the connection", http.StatusOK)
}

// Over the limit, the connection that waits longest is closed, and never one whose request is being served.
func TestConnectionLimit(t *testing.T) {
	s := newServer(t, Limits{Connections: 2})
	served, idle := s.dial(t), s.dial(t)
	served.send("/wait", 10, 10)
	<-s.waiting
	idle.send("/", 10, 10)
	idle.wantStatus("before the limit", http.StatusOK)
	s.waitUntil(t, "an idle connection", func() bool {
		waiting := 0
		for c := range s.in.conns {
			if phase(c.state.Load()) == phaseWaiting {
				waiting++
			}
		}
		return waiting == 1
	})
	next := s.dial(t)
	next.send("/wait", 10, 10)
	<-s.waiting
	idle.wantStatus("idle connection", http.StatusServiceUnavailable)
	refused := s.dial(t)
	refused.wantStatus("connection while all others are served", http.StatusServiceUnavailable)
	close(s.release)
	served.wantStatus("served request", http.StatusOK)
	next.wantStatus("next request", http.StatusOK)
}

// Bodies that wait for data take no reader slot from others.
func TestStalledBodyHoldsNoSlot(t *testing.T) {
	s := newServer(t, Limits{Readers: 1})
	for range 3 {
		s.dial(t).send("/", maxBody, 10_000)
	}
	s.waitUntil(t, "three bodies", func() bool { return len(s.in.requests) == 3 && s.in.readers.inUse() == 0 })
	next := s.dial(t)
	next.send("/", maxBody, maxBody)
	next.wantStatus("next request", http.StatusOK)
}

// A lower limit takes effect on what is held already.
func TestSetLimits(t *testing.T) {
	s := newServer(t, Limits{})
	stalled := s.dial(t)
	stalled.send("/", maxBody, maxBody-10)
	s.waitUntil(t, "the stalled body", func() bool { return s.in.budget.Used() == maxBody })
	s.in.SetLimits(Limits{BodyBytes: maxBody / 2})
	stalled.wantStatus("stalled request", http.StatusServiceUnavailable)
	if got := s.in.Limits().BodyBytes; got != maxBody/2 {
		t.Errorf("Limits: got %d, want %d", got, maxBody/2)
	}
}

// ReadBodies passes whole bodies on and refuses those that are too large to decode.
func TestReadBodies(t *testing.T) {
	in := New("peers", Limits{BodyBytes: 1 << 20}, log.NewNopLogger(), &rrmetric.Metrics{})
	h := in.ReadBodies(4, func(body []byte) bool { return string(body) == "huge" }, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	for _, tt := range []struct {
		body   string
		status int
	}{{"text", http.StatusOK}, {"huge", http.StatusRequestEntityTooLarge}, {"longer", http.StatusRequestEntityTooLarge}} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", "/", strings.NewReader(tt.body)))
		if w.Code != tt.status || tt.status == http.StatusOK && w.Body.String() != tt.body {
			t.Errorf("%s: got %d %q, want %d", tt.body, w.Code, w.Body, tt.status)
		}
	}
	if got := in.budget.Used(); got != 0 {
		t.Errorf("afterwards: got %d bytes in use, want 0", got)
	}
}

// A request that ReadBodies passed on may have run, so later requests must not interrupt it when the memory is
// used up.
func TestReadBodiesSparesServedRequests(t *testing.T) {
	in := New("peers", Limits{BodyBytes: 20 << 10}, log.NewNopLogger(), &rrmetric.Metrics{})
	waiting, ended := make(chan struct{}, 10), make(chan error, 1)
	h := in.ReadBodies(maxBody, func([]byte) bool { return false }, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			waiting <- struct{}{}
			select {
			case <-r.Context().Done():
				ended <- r.Context().Err()
			case <-time.After(300 * time.Millisecond):
				ended <- nil
			}
		}
		fmt.Fprint(w, "done")
	}))
	ts := httptest.NewUnstartedServer(in.Handler(h))
	var err error
	if ts.Listener, err = in.Listen(ts.Listener); err != nil {
		t.Fatal(err)
	}
	ts.Config.ConnContext, ts.Config.ConnState = Context, ConnState
	ts.Start()
	t.Cleanup(ts.Close)
	s := &server{Server: ts, in: in}
	served, next := s.dial(t), s.dial(t)
	served.send("/wait", 8<<10, 8<<10)
	<-waiting
	next.send("/", 16<<10, 16<<10)
	next.wantStatus("next request", http.StatusServiceUnavailable)
	if err := <-ended; err != nil {
		t.Errorf("context of the served request: got %v, want none", err)
	}
	served.wantStatus("served request", http.StatusOK)
}

// A nil Intake reads bodies without limits other than their size.
func TestNilIntake(t *testing.T) {
	var in *Intake
	r := httptest.NewRequest("POST", "/", strings.NewReader("text"))
	if b, err := in.ReadBody(httptest.NewRecorder(), r, 4); err != nil || string(b.Bytes) != "text" {
		t.Errorf("got %v, %v, want the body", b, err)
	}
	r = httptest.NewRequest("POST", "/", strings.NewReader("text"))
	if _, err := in.ReadBody(httptest.NewRecorder(), r, 3); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v, want %v", err, ErrTooLong)
	}
}

// BenchmarkSmallBody compares a small body with and without an Intake, as a whole request on a connection.
func BenchmarkSmallBody(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%t", limited), func(b *testing.B) {
			var in *Intake
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := in.ReadBody(w, r, maxBody)
				if err != nil {
					b.Error(err)
					return
				}
				defer body.End()
				body.Keep(1000)
				fmt.Fprint(w, "ok")
			})
			s := httptest.NewUnstartedServer(h)
			if limited {
				in = New("callers", Limits{BodyBytes: 1 << 20, BodyTime: time.Minute, WriteTime: time.Minute, Connections: 10, Readers: 4}, log.NewNopLogger(), &rrmetric.Metrics{})
				s.Config.Handler = in.Handler(h)
				s.Config.ConnContext, s.Config.ConnState = Context, ConnState
				var err error
				if s.Listener, err = in.Listen(s.Listener); err != nil {
					b.Fatal(err)
				}
			}
			s.Start()
			defer s.Close()
			text := strings.Repeat("x", 600)
			for b.Loop() {
				res, err := http.Post(s.URL, "", strings.NewReader(text))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		})
	}
}
