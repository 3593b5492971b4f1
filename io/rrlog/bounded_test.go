package rrlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *blockedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// When the queue is full of plain lines, warnings must still be written, and Write must not block.
func TestBoundedKeepsFailures(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{})}
	b := NewBounded(g)
	for range 2 * maxQueuedLines {
		b.Write([]byte("level=info msg=plain\n"))
	}
	for range 100 {
		b.Write([]byte("level=warn msg=failure\n"))
	}
	plain, failed := b.Dropped()
	if plain < maxQueuedLines || failed != 0 {
		t.Errorf("dropped: got %d plain and %d failures, want at least %d and 0", plain, failed, maxQueuedLines)
	}
	close(g.open)
	b.Close()
	text := g.buf.String()
	if got, want := strings.Count(text, "msg=failure"), 100; got != want {
		t.Errorf("failures: got %d, want %d", got, want)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("no line reports the dropped lines")
	}
}
