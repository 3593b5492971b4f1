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
			return &conn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
	}
}

var errSealed = errors.New("the request was given up")

// conn counts the writes that have begun.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes int
	sealed bool
}

// Write fails without writing once the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops later writes and returns the number of those that have begun.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// track follows one request to its connection.
type track struct {
	mu     sync.Mutex
	over   bool // no connection may be used any more
	conn   *conn
	before int // writes on the connection before this request
}

// trace returns ctx with the hook that finds the connection.
func (t *track) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.got})
}

func (t *track) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	t.conn = c
	t.before = c.count()
	if t.over {
		c.seal()
	}
}

// started reports, after a failure, whether a byte of the request may have been
// written, and makes sure that none is written later.
func (t *track) started() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	return t.conn != nil && t.conn.seal() > t.before
}
