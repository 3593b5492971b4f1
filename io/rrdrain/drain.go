// Package rrdrain ends HTTP servers without cutting a request off.
package rrdrain

import (
	"net/http"
	"sync/atomic"
)

// Handler is a handler that can tell its clients to leave. From StartDraining on, each answer ends its
// connection, and so does not take the next request. Idle connections stay open: a server
// that closes one may have a request in its buffers that it has not read, most of all when it
// is short of processor time. The zero value with a Next is open.
type Handler struct {
	Next http.Handler

	draining atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.SetConnectionClose(w)
	h.Next.ServeHTTP(w, r)
}

// SetConnectionClose lets an answer end its connection if the gate is closed. Handlers that answer long
// after they were called call it again before they write.
func (h *Handler) SetConnectionClose(w http.ResponseWriter) {
	if h != nil && h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// StartDraining tells clients to leave from now on.
func (h *Handler) StartDraining() {
	h.draining.Store(true)
}
