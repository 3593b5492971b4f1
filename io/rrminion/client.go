// Package rrminion dispatches tasks to minions over HTTP and reports for each
// dispatch whether the task can have started. It never repeats a dispatch by itself.
package rrminion

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rattanring/core/rrdispatcher"
)

// Defaults for the fields of Client that are zero.
const (
	DefaultDialTimeout    = time.Second
	DefaultControlTimeout = time.Second
	DefaultRunTimeout     = time.Minute
	DefaultMaxAnswerBytes = 1 << 20 // of an answer's body
	DefaultMaxConns       = 60      // connections to one minion
)

const (
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxDetailBytes = 1 << 10 // bytes kept of a failure's message
	bufferBytes    = 4 << 10 // per connection, for reading and for writing each
)

// Guard is called right before the first byte of a dispatch is written. An error
// forbids the dispatch. A nil Guard allows all.
type Guard func(rrdispatcher.Dispatch) error

// Client sends tasks, health checks and commands to minions. The zero value is
// ready to use. The fields must not change after the first call.
type Client struct {
	DialTimeout    time.Duration // zero means DefaultDialTimeout
	ControlTimeout time.Duration // of one health check or command; zero means DefaultControlTimeout
	RunTimeout     time.Duration // of one dispatch, including the dial and the whole answer; zero means DefaultRunTimeout
	MaxAnswerBytes int64         // of an answer's body; zero means DefaultMaxAnswerBytes
	MaxConns       int           // maximum number of connections to one minion; zero means DefaultMaxConns
	Guard          Guard         // called once for each dispatch

	once      sync.Once
	transport *http.Transport
}

// Close closes the idle connections. In-flight dispatches continue.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

func (c *Client) init() {
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.ControlTimeout, DefaultControlTimeout)
	setDefault(&c.RunTimeout, DefaultRunTimeout)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&c.MaxConns, DefaultMaxConns)
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    c.MaxConns,
		MaxConnsPerHost:        c.MaxConns,
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
