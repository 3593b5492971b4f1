package rrminion

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errRevoked is the error of a write after the outcome of its dispatch is decided.
var errRevoked = errors.New("the outcome of the dispatch is already decided")

// errSecondConn is the error of a write when the transport replays a request on a
// second connection.
var errSecondConn = errors.New("the send already had a connection")

// writePermit controls the writes of one dispatch's request. Only the first
// connection that the transport picks for it may write, and only until the permit
// is revoked.
type writePermit struct {
	guard func() error // nil allows the dispatch

	mu             sync.Mutex
	conn           *conn // the only connection that may write
	guardCalled    bool  // the guard was called
	activeWrites   int   // writes in progress
	mayHaveWritten bool  // a byte may have been sent
	revoked        error // why no further write is allowed; nil while writes are allowed
}

// gotConn is the httptrace hook that binds the permit to its connection.
func (p *writePermit) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	p.mu.Lock()
	if p.conn == nil {
		p.conn = c
	}
	p.mu.Unlock()
	c.bind(p)
}

// beginWrite allows one write on c or returns why it is forbidden.
func (p *writePermit) beginWrite(c *conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revoked != nil {
		return p.revoked
	}
	if p.conn != c {
		return errSecondConn
	}
	if err := p.callGuard(); err != nil {
		p.revoked = err
		return err
	}
	p.activeWrites++
	return nil
}

// callGuard calls the guard before the first byte, once for each dispatch.
func (p *writePermit) callGuard() error {
	if p.guardCalled || p.guard == nil {
		return nil
	}
	p.guardCalled = true
	return p.guard()
}

// endWrite records that a write of n bytes has ended.
func (p *writePermit) endWrite(n int) {
	p.mu.Lock()
	p.activeWrites--
	p.mayHaveWritten = p.mayHaveWritten || n > 0
	p.mu.Unlock()
}

// revoke forbids further writes and reports whether a byte may have been sent.
func (p *writePermit) revoke() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revoked == nil {
		p.revoked = errRevoked
	}
	return p.mayHaveWritten || p.activeWrites > 0
}

// conn is a connection to a minion. It writes only what the permit of the current
// request allows.
type conn struct {
	net.Conn

	mu     sync.Mutex
	permit *writePermit // of the request that uses the connection; nil for health checks and commands
}

func (c *conn) bind(p *writePermit) {
	c.mu.Lock()
	c.permit = p
	c.mu.Unlock()
}

// Write writes p if the permit of the current request allows it.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	permit := c.permit
	c.mu.Unlock()
	if permit == nil {
		return c.Conn.Write(p)
	}
	if err := permit.beginWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	permit.endWrite(n)
	return n, err
}

// withoutPermit returns a context whose request may write without a permit.
func withoutPermit(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.bind(nil)
			}
		},
	})
}
