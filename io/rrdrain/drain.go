// Package rrdrain drains HTTP servers without interrupting requests.
package rrdrain

import (
	"net/http"
	"sync/atomic"
)

// Handler makes clients disconnect while the server drains. After StartDraining, each response
// closes its connection, so the client sends its next request elsewhere. Idle connections stay
// open: a server that closes one may have an unread request in its buffers, most likely when it
// is short of CPU time. The zero value with Next set is ready for use.
type Handler struct {
	Next http.Handler

	draining atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.SetConnectionClose(w)
	h.Next.ServeHTTP(w, r)
}

// SetConnectionClose makes a response close its connection if the server drains. Handlers that
// respond late call it again before they write, since draining may have started meanwhile. A nil
// Handler does nothing.
func (h *Handler) SetConnectionClose(w http.ResponseWriter) {
	if h != nil && h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// StartDraining makes all later responses close their connections.
func (h *Handler) StartDraining() {
	h.draining.Store(true)
}
