// Package rrdial opens and accepts TCP connections that detect an unresponsive peer: the kernel
// closes them when the peer acknowledges nothing for some seconds.
package rrdial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Timeouts and limits of connections. An unresponsive peer is detected after dialTimeout,
// keepAliveIdle + keepAliveInterval or userTimeoutMs; each is shorter than the time after which
// a client retries a lost request.
const (
	dialTimeout          = 400 * time.Millisecond
	keepAliveIdle        = time.Second // minimum that the kernel accepts
	keepAliveInterval    = time.Second
	keepAliveProbes      = 1
	userTimeoutMs        = 1200 // for unacknowledged data
	tcpUserTimeoutOption = 0x12 // number of the socket option TCP_USER_TIMEOUT, which package syscall does not define
	idleTimeout          = 30 * time.Second
	maxHeaderBytes       = 64 << 10
	bufferBytes          = 4 << 10 // per connection and direction
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// NewDialer returns a dialer for connections within the platform.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, userTimeoutMs)
	})
	return errors.Join(e, err)
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return lc.Listen(ctx, "tcp4", addr)
}

// NewTransport returns a transport with at most perHost connections to one address;
// zero means no limit. It uses no proxy and follows no redirect.
func NewTransport(perHost int) *http.Transport {
	return &http.Transport{
		DialContext:            NewDialer().DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        perHost,
		MaxIdleConnsPerHost:    max(perHost, 64),
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// NotSent reports whether err says that no connection could be opened, which means that no
// byte was sent.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsConnRefused reports whether err says that nothing listens at the address.
func IsConnRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
