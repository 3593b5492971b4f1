package rrlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Bounds of the lines that wait to be written.
const (
	maxQueuedLines      = 4096
	maxQueuedPlainLines = maxQueuedLines / 2 // lines of no failure are dropped beyond this, so that failures find room
	maxBatchBytes       = 64 << 10           // bytes of one write
)

// failureMarks mark lines that are dropped last.
var failureMarks = [][]byte{
	[]byte("level=warn"), []byte("level=error"), []byte(`"level":"warn"`), []byte(`"level":"error"`),
}

// Bounded is a writer of lines that never blocks. Lines wait in a ring of fixed size
// for one goroutine that writes them, many at a time. When the ring fills, lines
// without a failure are dropped first, and a line tells how many. Create it with
// NewBounded and end it with Close.
type Bounded struct {
	w       io.Writer
	lines   chan []byte
	dropped [2]atomic.Uint64 // plain lines, and failures
	closing sync.Once
	done    chan struct{}
}

// NewBounded returns a writer in front of w.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{w: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	failure := isFailure(line)
	if !failure && len(b.lines) >= maxQueuedPlainLines {
		b.dropped[0].Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		kind := 0
		if failure {
			kind = 1
		}
		b.dropped[kind].Add(1)
	}
	return len(line), nil
}

func isFailure(line []byte) bool {
	for _, mark := range failureMarks {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// Dropped returns how many lines were dropped: those without a failure, and the others.
func (b *Bounded) Dropped() (plain, failed uint64) {
	return b.dropped[0].Load(), b.dropped[1].Load()
}

// Close writes what waits. Write must not be called any more.
func (b *Bounded) Close() {
	b.closing.Do(func() { close(b.lines) })
	<-b.done
}

// run writes the lines.
func (b *Bounded) run() {
	defer close(b.done)
	var batch []byte
	var reported uint64
	for line := range b.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case line, ok := <-b.lines:
				batch = append(batch, line...)
				more = ok
			default:
				more = false
			}
		}
		if plain, failed := b.Dropped(); plain+failed > reported {
			batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" plain=%d failures=%d\n", plain, failed)
			reported = plain + failed
		}
		_, _ = b.w.Write(batch) // nowhere to report that the log can't be written
	}
}
