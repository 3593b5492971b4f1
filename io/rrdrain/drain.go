// Package rrdrain ends HTTP servers without cutting a request off.
package rrdrain

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const quietLook = 20 * time.Millisecond // between two looks whether requests still come

// Gate is a handler that can tell its clients to leave. From Close on, each answer ends its
// connection, and so does not take the next request. Idle connections stay open: a server
// that closes one may have a request in its buffers that it has not read, most of all when it
// is short of processor time. The zero value with a Handler is open.
type Gate struct {
	Handler http.Handler

	closed atomic.Bool
	last   atomic.Int64 // Unix nanoseconds of the last request
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.last.Store(time.Now().UnixNano())
	g.Mark(w)
	g.Handler.ServeHTTP(w, r)
}

// Mark lets an answer end its connection if the gate is closed. Handlers that answer long
// after they were called call it again before they write.
func (g *Gate) Mark(w http.ResponseWriter) {
	if g != nil && g.closed.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Close tells clients to leave from now on.
func (g *Gate) Close() {
	g.closed.Store(true)
}

// Quiet waits until no request has come for a while, or until ctx ends, and reports which.
func (g *Gate) Quiet(ctx context.Context, while time.Duration) bool {
	for time.Since(time.Unix(0, g.last.Load())) < while {
		select {
		case <-time.After(quietLook):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
