// Package rrminion sends tasks to minions over HTTP and tells for each send
// whether the task can have started. It never sends a task twice by itself.
package rrminion

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rattanring/core/rrdispatcher"
)

// Limits that a Client uses where its fields are zero.
const (
	DefaultDialTimeout   = time.Second
	DefaultHealthTimeout = time.Second
	DefaultRunTimeout    = time.Minute
	DefaultMaxAnswer     = 1 << 20 // bytes
	DefaultConns         = 60      // connections to one minion
)

const (
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxDetail      = 1 << 10 // bytes of a failure that are kept
	bufferBytes    = 4 << 10 // per connection and direction
)

// Guard vetoes a send right before its first byte is written. Nil allows all.
type Guard func(rrdispatcher.Dispatch) error

// Client sends tasks, health checks and orders to minions. The zero value works.
// The fields must not change after the first call.
type Client struct {
	DialTimeout   time.Duration // zero means DefaultDialTimeout
	HealthTimeout time.Duration // zero means DefaultHealthTimeout
	RunTimeout    time.Duration // longest wait for the answer to a task; zero means DefaultRunTimeout
	MaxAnswer     int64         // bytes of an answer's body; zero means DefaultMaxAnswer
	Conns         int           // connections to one minion; zero means DefaultConns
	Guard         Guard         // asked once for each send

	once      sync.Once
	transport *http.Transport
}

// Close closes the idle connections. Sends in flight go on.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

func (c *Client) init() {
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.HealthTimeout, DefaultHealthTimeout)
	setDefault(&c.RunTimeout, DefaultRunTimeout)
	setDefault(&c.MaxAnswer, DefaultMaxAnswer)
	setDefault(&c.Conns, DefaultConns)
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    c.Conns,
		MaxConnsPerHost:        c.Conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.DialTimeout}
	nc, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

func setDefault[T int | int64 | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}
