package rrintake

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"
	"golang.org/x/sys/unix"
)

// Limits on the kernel's buffers of a connection. The kernel allocates twice as much. Received bytes that are not read
// yet count as the memory of the process.
const (
	queuedBufferBytes  = 4 << 10  // until the connection is accepted
	receiveBufferBytes = 8 << 10  // holds the request of an ordinary caller
	sendBufferBytes    = 16 << 10 // a response to a caller is shorter
)

// Memory that the kernel holds at most for the received bytes of one connection. It lies outside the heap.
const (
	SocketBytes       = 2 * receiveBufferBytes
	QueuedSocketBytes = 2 * queuedBufferBytes // until it is accepted
)

// acceptTime is the time for which a listener accepts connections before it lets other goroutines run. New
// connections must not keep those that are open from being served.
const acceptTime = time.Millisecond

// fullWait is the time after which Accept looks again for a connection to close in favor of the next one.
const fullWait = 2 * time.Millisecond

// listener accepts connections within the limits.
type listener struct {
	net.Listener
	in      *Intake
	raw     syscall.RawConn // nil unless it is a TCP listener
	yielded time.Time       // when other goroutines last ran before Accept; used by Accept only
}

// Listen returns a listener that accepts the connections of a TCP listener within the limits. It also limits the
// connections that the kernel accepts before the process does, and the buffers of all.
func (in *Intake) Listen(ln net.Listener) (net.Listener, error) {
	l := &listener{Listener: ln, in: in}
	if sc, ok := ln.(syscall.Conn); ok {
		raw, err := sc.SyscallConn()
		if err != nil {
			return nil, merry.Prepend(err, "limit connections")
		}
		if err := limitBuffers(raw); err != nil {
			return nil, err
		}
		l.raw = raw
		l.setBacklog(in.Limits().Backlog)
	}
	in.mu.Lock()
	in.listeners = append(in.listeners, l)
	in.mu.Unlock()
	return l, nil
}

func limitBuffers(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, queuedBufferBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes))
	})
	return merry.Prepend(errors.Join(err, optErr), "limit socket buffers")
}

// setBacklog limits the connections that wait to be accepted, which have received data too. Zero leaves the limit as
// it is.
func (l *listener) setBacklog(n int) {
	if n <= 0 || l.raw == nil {
		return
	}
	var listenErr error
	err := l.raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	if err := errors.Join(err, listenErr); err != nil {
		level.Warn(l.in.report.logger).Log("msg", "limit on connections that wait to be accepted not set", "port", l.in.report.port, "limit", n, "err", err)
	}
}

// backlog returns the number of connections that wait to be accepted.
func (l *listener) backlog() int {
	n := 0
	if l.raw != nil {
		_ = l.raw.Control(func(fd uintptr) { // fails if the listener is closed
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				n = int(info.Unacked)
			}
		})
	}
	return n
}

// Accept implements net.Listener. Over the limit, it closes another connection, or the new one if all others are
// being served. It must not be called concurrently.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if time.Since(l.yielded) > acceptTime {
			runtime.Gosched()
			l.yielded = time.Now()
		}
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		c, err := newConn(l.in, tcp)
		if err == nil {
			err = tcp.SetReadBuffer(receiveBufferBytes)
		}
		if err != nil {
			_ = nc.Close() // its client has closed it
			continue
		}
		if l.in.admit(c) {
			return c, nil
		}
		c.refuse()
	}
}
