// Package rrbody reads what is left of request bodies.
package rrbody

import (
	"io"
	"net/http"
	"time"
)

const (
	serverDiscardBytes = 256 << 10       // bytes that net/http reads itself before it closes a connection
	maxDiscardBytes    = 64 << 20        // bytes that are read of a body that is refused; more is cut off
	discardTimeout     = 3 * time.Second // how long that may take
)

// Discard reads what is left of the body of a request that is going to be refused. A
// server that closes a connection on which its client still writes resets it, and the
// client loses the answer. A client that waits to be told to send its body is not made
// to.
func Discard(w http.ResponseWriter, r *http.Request) {
	small := r.ContentLength >= 0 && r.ContentLength <= serverDiscardBytes
	if small || r.Header.Get("Expect") != "" {
		return
	}
	// Servers of tests have no deadlines, and the body is bounded without one too.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // the connection is closed with the answer if this fails
}
