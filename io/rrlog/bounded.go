package rrlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Limits on lines that wait to be written.
const (
	maxQueuedLines      = 4096
	maxQueuedPlainLines = maxQueuedLines / 2 // above this, plain lines are dropped to leave slots for warnings and errors
	maxBatchBytes       = 64 << 10           // no further line is added to a batch of this size
)

// urgentMarks identify the lines of level warn and error, which are dropped last.
var urgentMarks = [][]byte{
	[]byte("level=warn"), []byte("level=error"), []byte(`"level":"warn"`), []byte(`"level":"error"`),
}

// Bounded is a writer of log lines that never blocks. Lines wait in a queue of fixed size for
// one goroutine, which writes them in batches. When the queue fills up, plain lines are dropped
// before warnings and errors, and a log line reports how many were dropped. Create it with
// NewBounded and stop it with Close.
type Bounded struct {
	w       io.Writer
	lines   chan []byte
	dropped [2]atomic.Uint64 // plain lines, then warnings and errors
	closing sync.Once
	stop    chan struct{} // closed by Close; lines stays open, since goroutines may still log while the process ends
	done    chan struct{}
}

// NewBounded returns a writer that forwards lines to w.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{w: w, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues or drops one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	urgent := isUrgent(line)
	if !urgent && len(b.lines) >= maxQueuedPlainLines {
		b.dropped[0].Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		kind := 0
		if urgent {
			kind = 1
		}
		b.dropped[kind].Add(1)
	}
	return len(line), nil
}

func isUrgent(line []byte) bool {
	for _, mark := range urgentMarks {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// Dropped returns the numbers of plain lines and of warnings and errors that were dropped.
func (b *Bounded) Dropped() (plain, urgent uint64) {
	return b.dropped[0].Load(), b.dropped[1].Load()
}

// Close writes the queued lines and returns when they are written. Later lines are lost.
func (b *Bounded) Close() {
	b.closing.Do(func() { close(b.stop) })
	<-b.done
}

// run writes the queued lines in batches until Close is called.
func (b *Bounded) run() {
	defer close(b.done)
	var batch []byte
	var reported uint64
	for {
		select {
		case line := <-b.lines:
			batch = b.appendQueued(append(batch[:0], line...))
		case <-b.stop:
			if batch = b.appendQueued(batch[:0]); len(batch) == 0 {
				return
			}
		}
		if plain, urgent := b.Dropped(); plain+urgent > reported {
			batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" plain=%d failures=%d\n", plain, urgent)
			reported = plain + urgent
		}
		_, _ = b.w.Write(batch) // an error can't be reported, since this is the log
	}
}

// appendQueued appends queued lines to a batch, up to maxBatchBytes.
func (b *Bounded) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
