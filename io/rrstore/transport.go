package rrstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxConns    = 16 // to the store, including those of open watches
)

// newTransport returns a transport whose connections count their writes. The
// transport never sends a request without GetBody a second time.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
	}
}

var errSealed = errors.New("the request was given up")

// trackedConn is a connection that counts the writes begun on it.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write writes nothing and returns an error if the connection is sealed.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all later writes fail and returns the number of writes begun so far.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeTracker finds out whether a request was written to its connection.
type writeTracker struct {
	mu           sync.Mutex
	aborted      bool // the request has failed and must not be written to a connection
	conn         *trackedConn
	writesBefore int // writes begun on conn before this request got it
}

// withTrace returns ctx with a trace hook that records the connection of the request.
func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.conn = c
	t.writesBefore = c.writeCount()
	if t.aborted {
		c.seal()
	}
}

// abort reports, after the request failed, whether a byte of it may have been
// written. It also prevents any later write.
func (t *writeTracker) abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborted = true
	return t.conn != nil && t.conn.seal() > t.writesBefore
}
