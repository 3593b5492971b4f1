package rrminion

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed is what a write returns after the outcome of its send is decided.
var errSealed = errors.New("the send is over")

// errMoved is what a write returns when the transport replays a send.
var errMoved = errors.New("the send already had a connection")

// send is the write permission of one request. Only the first connection that
// the transport picks for it may write, and only until the send is sealed.
type send struct {
	guard func() error // nil allows the send

	mu      sync.Mutex
	conn    *conn // the one connection that may write
	asked   bool  // the guard was asked
	writing int   // writes in progress
	written bool  // a byte may have left
	sealed  error // why no further write is allowed; nil while writes are
}

// gotConn is the hook that binds the send to its connection.
func (s *send) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	if s.conn == nil {
		s.conn = c
	}
	s.mu.Unlock()
	c.bind(s)
}

// begin allows or refuses one write on c.
func (s *send) begin(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed != nil {
		return s.sealed
	}
	if s.conn != c {
		return errMoved
	}
	if err := s.ask(); err != nil {
		s.sealed = err
		return err
	}
	s.writing++
	return nil
}

// ask runs the guard before the first byte.
func (s *send) ask() error {
	if s.asked || s.guard == nil {
		return nil
	}
	s.asked = true
	return s.guard()
}

// end records what a write did.
func (s *send) end(n int) {
	s.mu.Lock()
	s.writing--
	s.written = s.written || n > 0
	s.mu.Unlock()
}

// seal forbids further writes and reports whether a byte may have left.
func (s *send) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed == nil {
		s.sealed = errSealed
	}
	return s.written || s.writing > 0
}

// conn is a connection to a minion that writes with the permission of a send.
type conn struct {
	net.Conn

	mu   sync.Mutex
	send *send // the request that has the connection; nil for health checks and orders
}

func (c *conn) bind(s *send) {
	c.mu.Lock()
	c.send = s
	c.mu.Unlock()
}

// Write writes p if the send that holds the connection may still write.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	s := c.send
	c.mu.Unlock()
	if s == nil {
		return c.Conn.Write(p)
	}
	if err := s.begin(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	s.end(n)
	return n, err
}

// withoutSend returns a context whose request writes without a send.
func withoutSend(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.bind(nil)
			}
		},
	})
}
