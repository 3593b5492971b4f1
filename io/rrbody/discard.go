// Package rrbody discards the bodies of refused requests.
package rrbody

import (
	"io"
	"net/http"
	"time"
)

const (
	serverDiscardBytes = 256 << 10       // net/http itself reads this much before it closes a connection
	maxDiscardBytes    = 64 << 20        // the client may lose the response to a larger body
	discardTimeout     = 3 * time.Second // for reading the rest of the body
)

// Discard reads and discards the rest of the body of a request that the caller is
// about to refuse. If a server closes a connection while the client is still writing,
// the connection is reset and the client loses the response. Discard does nothing for
// a client that sent the header Expect, because such a client waits for permission to
// send its body.
func Discard(w http.ResponseWriter, r *http.Request) {
	small := r.ContentLength >= 0 && r.ContentLength <= serverDiscardBytes
	if small || r.Header.Get("Expect") != "" {
		return
	}
	// The error is ignored: a test's ResponseWriter may support no deadline, and
	// maxDiscardBytes bounds the read anyway.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // if this fails, the server closes the connection after the response
}
