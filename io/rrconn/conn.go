// Package rrconn tells the handler of an HTTP request about the request's connection. A process may handle a
// request long after it has arrived: it was frozen, or lacked processor time. What the caller has done
// meanwhile is known to the kernel before net/http notices it.
package rrconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// contextKey is the key of the connection in a context.
type contextKey struct{}

// Context returns a context that carries the connection. It is meant for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx // the connection is closed already
	}
	return context.WithValue(ctx, contextKey{}, raw)
}

// Open reports whether a request still has a caller: ctx has not ended, and the other end has not closed the
// connection. Without a connection in ctx it reports only the former.
func Open(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return true
	}
	open := true
	if err := raw.Control(func(fd uintptr) { open = !endReached(int(fd)) }); err != nil {
		return false // this process has closed the connection
	}
	return open
}

// endReached reports whether nothing more can be read from a socket. Unread data hides the end behind it.
func endReached(fd int) bool {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err == nil:
			return n == 0
		}
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.ENOTCONN)
	}
}

// DataAge returns the time since the last data arrived on the connection of a request, zero if it is not
// known.
func DataAge(ctx context.Context) time.Duration {
	raw, ok := ctx.Value(contextKey{}).(syscall.RawConn)
	if !ok {
		return 0
	}
	var age time.Duration
	_ = raw.Control(func(fd uintptr) { // fails if this process has closed the connection
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
