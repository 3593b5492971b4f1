package rrdrain

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// client is a persistent connection, as the platform's clients use them.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, s *httptest.Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(path string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		c.t.Fatal(err)
	}
}

// read reads a response and returns whether it closes the connection.
func (c *client) read() bool {
	c.t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	res.Body.Close()
	return res.Close
}

// After StartDraining, a request that arrives on an idle connection and a request already in
// progress must both be answered, and both responses must close their connections.
func TestDraining(t *testing.T) {
	started, release := make(chan bool), make(chan bool)
	var h Handler
	h.Next = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			started <- true
			<-release
		}
		h.SetConnectionClose(w)
		fmt.Fprint(w, "done")
	})
	s := httptest.NewServer(&h)
	defer s.Close()
	idle, busy := dial(t, s), dial(t, s)
	idle.send("/")
	if idle.read() {
		t.Error("a response closes the connection before StartDraining")
	}
	busy.send("/busy")
	<-started
	h.StartDraining()
	time.Sleep(20 * time.Millisecond) // enough time for a server that closes idle connections to close them
	release <- true
	idle.send("/")
	for name, c := range map[string]*client{"idle": idle, "busy": busy} {
		if !c.read() {
			t.Errorf("%s: the response does not close the connection after StartDraining", name)
		}
	}
}

// A nil Handler must leave the response unchanged.
func TestNilHandler(t *testing.T) {
	var h *Handler
	w := httptest.NewRecorder()
	h.SetConnectionClose(w)
	if len(w.Header()) != 0 {
		t.Errorf("got headers %v, want none", w.Header())
	}
}
