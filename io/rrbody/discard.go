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

// NeedsDiscard reports whether Discard reads anything. The server itself discards a small body, and a client that sent
// the header Expect waits for permission to send its body.
func NeedsDiscard(r *http.Request) bool {
	small := r.ContentLength >= 0 && r.ContentLength <= serverDiscardBytes
	return !small && r.Header.Get("Expect") == ""
}

// Discard reads and discards the rest of the body of a request that the caller is
// about to refuse. If a server closes a connection while the client is still writing,
// the connection is reset and the client loses the response. Discard does nothing if
// NeedsDiscard reports false.
func Discard(w http.ResponseWriter, r *http.Request) {
	if !NeedsDiscard(r) {
		return
	}
	// The error is ignored: a test's ResponseWriter may support no deadline, and
	// maxDiscardBytes bounds the read anyway.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // if this fails, the server closes the connection after the response
}
