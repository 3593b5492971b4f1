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
	maxConns    = 16 // to the service, waiting watches included
)

// newTransport returns a transport whose connections know what was written.
// A request without GetBody is never sent twice by it.
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

// trackedConn counts the writes that have begun.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write fails without writing once the connection is sealed.
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

// seal stops later writes and returns the number of those that have begun.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeTracker follows one request to its connection.
type writeTracker struct {
	mu           sync.Mutex
	aborted      bool // no connection may be used any more
	conn         *trackedConn
	writesBefore int // writes on the connection before this request
}

// withTrace returns ctx with the hook that finds the connection.
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

// abort reports, after a failure, whether a byte of the request may have been
// written, and makes sure that none is written later.
func (t *writeTracker) abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborted = true
	return t.conn != nil && t.conn.seal() > t.writesBefore
}
