package rrintake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"rattanring/core/rrslot"
	"rattanring/io/rrconn"
)

// renewalsPerIdle is how often the time for the next piece of a body is renewed at most while it lasts.
const renewalsPerIdle = 16

// phase is what a connection does.
type phase int32

const (
	phaseWaiting phase = iota // for a request or for the rest of its header
	phaseTurn                 // for a reader slot; its client sent the request before it had the last response
	phaseBody                 // for the body
	phaseServing              // the request is complete, or refused
	phaseEnding               // the last response is written
	phaseClosed               // closed in favor of another one
)

// conn is a connection of a caller. A nil conn stands for a connection that no Intake accepted.
type conn struct {
	*net.TCPConn
	in           *Intake
	id           rrslot.ID
	raw          syscall.RawConn
	slotGranted  chan bool
	state        atomic.Int32 // a phase
	since        atomic.Int64 // when the phase began, in nanoseconds since 1970
	blockedSince atomic.Int64 // when the current write began, zero for none
	served       atomic.Bool  // a request was served before
	readSince    atomic.Bool  // Read was called since the last response; if not, the next request came before it
	atOnce       atomic.Bool  // the client sends requests before it has the response to the last one
	inBody       atomic.Bool  // Read gives up the reader slot while it blocks
	hasSlot      atomic.Bool
	slotSince    time.Time
	bodyStart    atomic.Int64 // of the time for the current body, in nanoseconds since 1970
	renewedAt    int64        // when the time for the next piece of the body began; used by the handler only
	extended     atomic.Bool  // the time for the body was extended although no data had been read
	deadlineSet  atomic.Bool  // the handler set the time for the body, which is neither extended nor renewed
	interrupted  atomic.Bool  // reads must fail; set under Intake.mu
}

func newConn(in *Intake, tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, in: in, raw: raw, id: rrslot.ID(in.lastConn.Add(1)), slotGranted: make(chan bool, 1)}
	c.since.Store(time.Now().UnixNano())
	return c, nil
}

type contextKey struct{}

// Context returns a context that carries the connection, also for package rrconn. It is meant for
// http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	ctx = rrconn.Context(ctx, c)
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(contextKey{}).(*conn)
	return c
}

// ConnState records what a connection does. It is meant for http.Server.ConnState.
func ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.readSince.Store(false)
		c.served.Store(true)
		c.enter(phaseWaiting)
	case http.StateActive:
		c.enter(phaseWaiting)
	}
}

// sendsAtOnce reports whether the client sent the current request before it had the response to the one before. A request
// that has arrived when the server begins to read counts like the one before, since it may have been sent after it.
func (c *conn) sendsAtOnce() bool {
	if c == nil {
		return false
	}
	if !c.readSince.Load() {
		c.atOnce.Store(true)
	}
	return c.atOnce.Load()
}

// enter begins a phase. It reports false if the connection was closed in favor of another one.
func (c *conn) enter(p phase) bool {
	if c == nil {
		return true
	}
	old := c.state.Load()
	for phase(old) != phaseClosed {
		if c.state.CompareAndSwap(old, int32(p)) {
			c.since.Store(time.Now().UnixNano())
			return true
		}
		old = c.state.Load()
	}
	return false
}

// Read implements net.Conn. While a body is received it blocks without a reader slot. A read of one byte is
// net/http's own, which watches for the end of the connection in another goroutine.
func (c *conn) Read(b []byte) (int, error) {
	if phase(c.state.Load()) == phaseClosed {
		return 0, os.ErrClosed
	}
	if !c.inBody.Load() || len(b) == 1 {
		n, err := c.readInTime(b)
		if n > 0 && phase(c.state.Load()) == phaseWaiting {
			c.since.Store(time.Now().UnixNano()) // a request has begun: no longer the connection that waits longest
		}
		return n, err
	}
	c.releaseSlot()
	n, err := c.readInTime(b)
	if phase(c.state.Load()) == phaseClosed {
		return 0, os.ErrClosed
	}
	if n > 0 {
		c.renewBodyDeadline()
	}
	if !c.acquireSlot() {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// readInTime reads, and reads again if the time for the body ended while received data was unread.
func (c *conn) readInTime(b []byte) (int, error) {
	n, err := c.read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.extendBodyDeadline() {
		return c.read(b)
	}
	return n, err
}

// read reads as net.TCPConn does, and records that it does so and whether it had to wait for data.
func (c *conn) read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.readSince.Store(true)
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		for {
			n, readErr = syscall.Read(int(fd), b)
			if !errors.Is(readErr, syscall.EINTR) {
				break
			}
		}
		if errors.Is(readErr, syscall.EAGAIN) {
			c.atOnce.Store(false)
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// acquireSlot waits for a reader slot unless the connection has one. It reports false if the request was stopped or
// the connection closed meanwhile.
func (c *conn) acquireSlot() bool {
	if c == nil || c.hasSlot.Load() {
		return true
	}
	if c.interrupted.Load() || !c.in.readers.acquire(c.id, c.slotGranted) {
		return false
	}
	c.slotSince = time.Now()
	c.hasSlot.Store(true)
	return true
}

// releaseSlot gives up the reader slot if the connection has one.
func (c *conn) releaseSlot() {
	if c != nil && c.hasSlot.CompareAndSwap(true, false) {
		c.in.readers.release(c.id, time.Since(c.slotSince))
	}
}

// Write implements net.Conn. Each write has the time limit of its own, since a response may follow long
// after its request.
func (c *conn) Write(b []byte) (int, error) {
	if phase(c.state.Load()) == phaseClosed {
		return 0, os.ErrClosed
	}
	now := time.Now()
	if d := c.in.Limits().WriteTime; d > 0 {
		_ = c.SetWriteDeadline(now.Add(d)) // fails only on a closed connection, as Write does
	}
	c.blockedSince.Store(now.UnixNano())
	n, err := c.TCPConn.Write(b)
	c.blockedSince.Store(0)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.in.report.add("write-time")
	}
	return n, err
}

// CloseWrite implements the interface by which net/http ends the connection of a request whose body it did not read
// whole. It then waits for half a second before it closes the connection.
func (c *conn) CloseWrite() error {
	if !c.enter(phaseEnding) {
		return os.ErrClosed
	}
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn. A connection that was closed in favor of another one is left to its refusal.
func (c *conn) Close() error {
	c.in.mu.Lock()
	delete(c.in.conns, c)
	c.in.mu.Unlock()
	c.in.readers.cancel(c.id)
	c.in.readers.forget(c.id)
	if !c.enter(phaseEnding) {
		return nil
	}
	return c.TCPConn.Close()
}

// setBodyDeadline limits the time for reading the body of a request, also for net/http, which reads the rest of
// a body that the handler did not read.
func (c *conn) setBodyDeadline() {
	if c == nil {
		return
	}
	now := time.Now()
	c.bodyStart.Store(now.UnixNano())
	c.extended.Store(false)
	c.deadlineSet.Store(false)
	if d, ok := c.bodyDeadline(now); ok {
		_ = c.SetReadDeadline(d) // fails only on a closed connection, as the next read does
	}
}

// bodyDeadline returns when the next piece of the body must have arrived.
func (c *conn) bodyDeadline(now time.Time) (deadline time.Time, ok bool) {
	l := c.in.Limits()
	start := time.Unix(0, c.bodyStart.Load())
	switch {
	case l.BodyIdle > 0 && (l.BodyTime <= 0 || now.Add(l.BodyIdle).Before(start.Add(l.BodyTime))):
		return now.Add(l.BodyIdle), true
	case l.BodyTime > 0:
		return start.Add(l.BodyTime), true
	}
	return time.Time{}, false
}

// renewBodyDeadline starts the time for the next piece of the body.
func (c *conn) renewBodyDeadline() {
	now := time.Now()
	if c.deadlineSet.Load() || now.UnixNano()-c.renewedAt < int64(c.in.Limits().BodyIdle/renewalsPerIdle) {
		return
	}
	c.renewedAt = now.UnixNano()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if d, ok := c.bodyDeadline(now); ok && phase(c.state.Load()) == phaseBody && !c.interrupted.Load() {
		_ = c.SetReadDeadline(d) // fails only on a closed connection, as the next read does
	}
}

// extendBodyDeadline starts the time for the body again, and reports whether it did. It does so once for a request,
// if data has arrived that is not read: then not the client was late but this process, which was frozen or
// lacked processor time.
func (c *conn) extendBodyDeadline() bool {
	if c.deadlineSet.Load() || !c.hasUnreadData() {
		return false
	}
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if phase(c.state.Load()) != phaseBody || c.interrupted.Load() || c.extended.Swap(true) {
		return false // finish clears the deadline under the lock, after the phase has changed
	}
	now := time.Now()
	c.bodyStart.Store(now.UnixNano())
	d, ok := c.bodyDeadline(now)
	return ok && c.SetReadDeadline(d) == nil
}

// interrupt makes a blocked read and all later ones fail, and ends the wait for a reader slot. The caller holds
// Intake.mu.
func (c *conn) interrupt() {
	if c != nil {
		c.interrupted.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		c.in.readers.cancel(c.id)
	}
}

// hasUnreadData reports whether bytes have arrived that the process has not read.
func (c *conn) hasUnreadData() bool {
	unread := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
