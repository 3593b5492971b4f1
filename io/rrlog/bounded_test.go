package rrlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is a writer whose writes block until open is closed. It closes entered when its
// first write begins.
type blockedWriter struct {
	entered chan struct{}
	once    sync.Once
	open    chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// When the queue is full of plain lines, warnings must still be written, and Write must not block.
func TestBoundedKeepsWarnings(t *testing.T) {
	w := &blockedWriter{entered: make(chan struct{}), open: make(chan struct{})}
	b := NewBounded(w)
	// The first line makes up the first batch. While its write blocks, nothing leaves the queue, so
	// the number of lines that are dropped doesn't depend on scheduling.
	b.Write([]byte("level=info msg=plain\n"))
	<-w.entered
	const more = 2*maxQueuedLines - 1
	for range more {
		b.Write([]byte("level=info msg=plain\n"))
	}
	for range 100 {
		b.Write([]byte("level=warn msg=failure\n"))
	}
	plain, urgent := b.Dropped()
	if want := uint64(more - maxQueuedPlainLines); plain != want || urgent != 0 {
		t.Errorf("dropped: got %d plain and %d urgent lines, want %d and 0", plain, urgent, want)
	}
	close(w.open)
	b.Close()
	text := w.buf.String()
	if got, want := strings.Count(text, "msg=failure"), 100; got != want {
		t.Errorf("warnings: got %d, want %d", got, want)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("no line reports the dropped lines")
	}
}

// A goroutine logs while the process ends, after the log was closed. It must not end the process with a panic.
func TestBoundedWriteAfterClose(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out)
	fmt.Fprintln(b, "before")
	b.Close()
	for i := range maxQueuedLines + 1 {
		if n, err := fmt.Fprintln(b, "after", i); n == 0 || err != nil {
			t.Fatalf("line %d after Close: got %d, %v, want its length and no error", i, n, err)
		}
	}
	b.Close()
	if got, want := out.String(), "before\n"; got != want {
		t.Errorf("written: got %q, want %q", got, want)
	}
}
