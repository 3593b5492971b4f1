package rrminion

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

func newDispatch(addr string) rrdispatcher.Dispatch {
	return rrdispatcher.Dispatch{ID: 7, Minion: "m", Addr: addr, Job: "job", Tenant: "ports", Class: "cut",
		Task: &rrtask.Task{Index: 3, Body: []byte("board")}}
}

// startListener accepts connections, calls serve for each with its number, and returns
// the address.
func startListener(t *testing.T, serve func(n int, nc net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(n, nc)
		}
	}()
	return ln.Addr().String()
}

func TestRunAnswers(t *testing.T) {
	tests := []struct {
		name     string
		serve    http.HandlerFunc
		want     rrcode.Code
		detail   string
		draining bool
		usage    rrtask.Resources
	}{
		{"ran", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "cut") }, rrcode.Complete, "", false, rrtask.Resources{}},
		{"failed", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(422); io.WriteString(w, "knot") }, rrcode.TaskFailed, "knot", false, rrtask.Resources{}},
		{"refused", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Rattanring-Started", "no")
			w.WriteHeader(429)
		}, rrcode.MinionRefused, "", false, rrtask.Resources{}},
		{"refused with 500", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Rattanring-Started", "no")
			w.Header().Set("Rattanring-Leaving", "yes")
			w.WriteHeader(500)
		}, rrcode.MinionRefused, "", true, rrtask.Resources{}},
		{"429 without the header", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(429) }, rrcode.ConnectionLost, "status 429: ", false, rrtask.Resources{}},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/run", http.StatusTemporaryRedirect)
		}, rrcode.ConnectionLost, "status 307: ", false, rrtask.Resources{}},
		{"too long", func(w http.ResponseWriter, r *http.Request) { w.Write(make([]byte, 101)) }, rrcode.TaskFailed, "the answer exceeds 100 bytes", false, rrtask.Resources{}},
		{"too long in chunks", func(w http.ResponseWriter, r *http.Request) {
			w.Write(make([]byte, 60))
			http.NewResponseController(w).Flush()
			w.Write(make([]byte, 60))
		}, rrcode.TaskFailed, "the answer exceeds 100 bytes", false, rrtask.Resources{}},
		{"usage", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Rattanring-Usage", "1500,2048,1") }, rrcode.Complete, "", false, rrtask.Resources{MilliCores: 1500, MemoryBytes: 2048, Accelerators: 1}},
		{"bad usage", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Rattanring-Usage", "1500,x,1") }, rrcode.Complete, "", false, rrtask.Resources{}},
		{"cut short", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "50")
			w.Write([]byte("half"))
		}, rrcode.ConnectionLost, "unexpected EOF", false, rrtask.Resources{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.serve(w, r)
			}))
			defer srv.Close()
			c := &Client{MaxAnswerBytes: 100}
			defer c.Close()
			out := c.Run(context.Background(), newDispatch(srv.Listener.Addr().String()))
			if got := out.Result.Code; got != test.want {
				t.Errorf("got code %v, want %v", got, test.want)
			}
			if got := out.Result.Detail; got != test.detail {
				t.Errorf("got detail %q, want %q", got, test.detail)
			}
			if out.ID != 7 || out.Result.Index != 3 || out.Result.Minion != "m" {
				t.Errorf("got %+v, want ID 7, index 3, minion m", out)
			}
			if out.Draining != test.draining || out.WorkerUsage != test.usage {
				t.Errorf("got draining %v usage %v, want %v %v", out.Draining, out.WorkerUsage, test.draining, test.usage)
			}
			if got := calls.Load(); got != 1 {
				t.Errorf("got %d requests, want 1", got)
			}
		})
	}
}

func TestRunHeaders(t *testing.T) {
	var got http.Header
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) != 0 {
			t.Errorf("got body %q, %v, want an empty one", body, err)
		}
	}))
	defer srv.Close()
	dispatch := newDispatch(srv.Listener.Addr().String())
	dispatch.Task.Resources = rrtask.Resources{MilliCores: 500, MemoryBytes: 1 << 20, Accelerators: 1}
	dispatch.Task.Body = nil
	dispatch.Deadline = time.Now().Add(time.Hour)
	new(Client).Run(context.Background(), dispatch)
	for name, want := range map[string]string{
		"Rattanring-Task": "job/3", "Rattanring-Tenant": "ports", "Rattanring-Class": "cut",
		"Rattanring-Size": "500,1048576,1",
	} {
		if got.Get(name) != want {
			t.Errorf("%s: got %q, want %q", name, got.Get(name), want)
		}
	}
	if p := got.Get("Rattanring-Patience"); !strings.HasPrefix(p, "3599") && p != "3600000" {
		t.Errorf("Rattanring-Patience: got %q, want about 3600000", p)
	}
}

// TestMinionClosesWithoutAnswer has minions that read a request on a new or a reused
// connection and close the connection without an answer. The client must not repeat
// the request, and the task may have run.
func TestMinionClosesWithoutAnswer(t *testing.T) {
	tests := []struct {
		name string
		warm int // answered requests before the one whose connection is closed
		body string
	}{
		{"fresh connection", 0, "board"},
		{"reused connection", 1, "board"},
		{"reused connection, empty body", 1, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var reads atomic.Int32
			addr := startListener(t, func(_ int, nc net.Conn) {
				defer nc.Close()
				for br := bufio.NewReader(nc); ; {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					if reads.Add(1) > int32(test.warm) {
						return
					}
					io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			c := &Client{}
			defer c.Close()
			dispatch := newDispatch(addr)
			dispatch.Task.Body = []byte(test.body)
			for range test.warm {
				if got := c.Run(context.Background(), dispatch).Result.Code; got != rrcode.Complete {
					t.Fatalf("got %v, want complete", got)
				}
			}
			if got := c.Run(context.Background(), dispatch).Result.Code; got != rrcode.ConnectionLost {
				t.Errorf("got %v, want connection-lost", got)
			}
			if got := reads.Load(); got != int32(test.warm)+1 {
				t.Errorf("got %d requests, want %d", got, test.warm+1)
			}
		})
	}
}

// TestIdleClose has a minion that closes idle connections while the client writes
// requests. The minion must read each task at most once, and the client must not
// report a task as not run that the minion has read.
func TestIdleClose(t *testing.T) {
	const tasks = 2000
	var read [tasks]atomic.Int32
	addr := startListener(t, func(_ int, nc net.Conn) {
		defer nc.Close()
		br := bufio.NewReader(nc)
		for range 2 {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			read[int(body[0])<<8|int(body[1])].Add(1)
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := &Client{}
	defer c.Close()
	var codes [tasks]rrcode.Code
	for i := range tasks {
		dispatch := newDispatch(addr)
		dispatch.Task.Body = []byte{byte(i >> 8), byte(i)}
		codes[i] = c.Run(context.Background(), dispatch).Result.Code
	}
	seen := map[rrcode.Code]int{}
	for i, code := range codes {
		seen[code]++
		n := read[i].Load()
		if n > 1 {
			t.Errorf("task %d: got %d starts, want at most 1", i, n)
		}
		if n == 1 && code.Class() == rrcode.ClassNotRun {
			t.Errorf("task %d: got %v, but it was read", i, code)
		}
	}
	t.Logf("outcomes: %v", seen)
}

func TestNothingWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	out := new(Client).Run(context.Background(), newDispatch(addr))
	if got, want := out.Result.Code, rrcode.Unreachable; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	dispatch := newDispatch(addr)
	dispatch.Deadline = time.Now().Add(-time.Second)
	out = new(Client).Run(context.Background(), dispatch)
	if got, want := out.Result.Code, rrcode.DeadlinePassed; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestGuardForbidsDispatch has a guard that forbids the second dispatch, on a reused
// connection. The dispatch must end without a byte written, and the transport must not
// replay the request, whose body is empty.
func TestGuardForbidsDispatch(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer srv.Close()
	var forbid atomic.Bool
	c := &Client{Guard: func(rrdispatcher.Dispatch) error {
		if forbid.Load() {
			return errors.New("the lease expired")
		}
		return nil
	}}
	defer c.Close()
	for i, want := range []rrcode.Code{rrcode.Complete, rrcode.Unreachable, rrcode.Complete} {
		forbid.Store(want == rrcode.Unreachable)
		dispatch := newDispatch(srv.Listener.Addr().String())
		dispatch.Task.Body = nil
		out := c.Run(context.Background(), dispatch)
		if got := out.Result.Code; got != want {
			t.Errorf("dispatch %d: got %v (%s), want %v", i, got, out.Result.Detail, want)
		}
	}
	if got := calls.Load(); got != 2 {
		t.Errorf("got %d requests, want 2", got)
	}
}

func TestCanceled(t *testing.T) {
	arrived := make(chan bool)
	release := make(chan bool)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-release
	}))
	defer srv.Close()
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	out := new(Client).Run(ctx, newDispatch(srv.Listener.Addr().String()))
	if got, want := out.Result.Code, rrcode.ConnectionLost; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	out = new(Client).Run(ctx, newDispatch(srv.Listener.Addr().String()))
	if got, want := out.Result.Code, rrcode.Unreachable; got != want {
		t.Errorf("canceled before: got %v, want %v", got, want)
	}
}

// brokenConn is a connection whose writes fail after n bytes.
type brokenConn struct {
	net.Conn
	n int
}

func (c brokenConn) Write([]byte) (int, error) { return c.n, io.ErrClosedPipe }

func TestWritePermit(t *testing.T) {
	tests := []struct {
		name string
		n    int  // bytes that the connection writes before it breaks
		own  bool // the connection belongs to the permit
		late bool // the permit is revoked before the write
		want bool // a byte may have been sent
		err  error
	}{
		{"no byte", 0, true, false, false, io.ErrClosedPipe},
		{"some bytes", 3, true, false, true, io.ErrClosedPipe},
		{"late write", 3, true, true, false, errRevoked},
		{"other connection", 3, false, false, false, errSecondConn},
	}
	for _, test := range tests {
		permit := &writePermit{conn: &conn{}}
		c := &conn{Conn: brokenConn{n: test.n}}
		if test.own {
			permit.conn = c
		}
		c.bind(permit)
		if test.late {
			permit.revoke()
		}
		if _, err := c.Write([]byte("board")); !errors.Is(err, test.err) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.err)
		}
		if got := permit.revoke(); got != test.want {
			t.Errorf("%s: a byte may have been sent: got %v, want %v", test.name, got, test.want)
		}
	}
}

func TestHealthAndCommand(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path + " " + r.Header.Get("Rattanring-Task") {
		case "/health ", "/stop job/3":
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer srv.Close()
	ctx, addr := context.Background(), srv.Listener.Addr().String()
	c := &Client{ControlTimeout: 5 * time.Second}
	if !c.Health(ctx, rrdispatcher.Probe{Addr: addr}) {
		t.Error("got unhealthy, want healthy")
	}
	if err := c.SendCommand(ctx, rrdispatcher.TaskCommand{Addr: addr, Job: "job", TaskIndex: 3, Stop: true}); err != nil {
		t.Errorf("got %v, want nil", err)
	}
	if err := c.SendCommand(ctx, rrdispatcher.TaskCommand{Addr: addr, Job: "job", TaskIndex: 4}); err == nil {
		t.Error("got nil, want an error for a task that does not run")
	}
}
