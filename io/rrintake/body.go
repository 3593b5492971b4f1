package rrintake

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"rattanring/core/rrbudget"
	"rattanring/io/rrbody"
)

// Errors of ReadBody. After ErrBusy and ErrTimeout the connection has to be closed.
var (
	ErrTooLong = errors.New("the body is too long")
	ErrBusy    = errors.New("callers hold too much memory")
	ErrTimeout = errors.New("the body took too long")
)

// firstReadBytes is the size of the first buffer for a body. It is the size of the buffer of net/http, so a
// small body is whole after the first read.
const firstReadBytes = 4 << 10

// Body is the body of a request and the memory that the request holds. End has to be called when the request
// is answered.
type Body struct {
	Bytes []byte

	in       *Intake
	id       rrbudget.ID
	conn     *conn // nil if the connection is not known
	reserved int64 // for decoding

	wake             chan struct{} // receives one value when the request is granted or stopped; nil unless it waits
	granted, stopped bool          // guarded by Intake.mu
}

// ReadBody reads the whole body of a request that came through Handler, of at most limit bytes. Its errors are
// ErrTooLong, ErrBusy, ErrTimeout, and those of the connection. The Body is nil after an error.
func (in *Intake) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if in == nil {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			err = ErrTooLong
		}
		if err != nil {
			return nil, err
		}
		return &Body{Bytes: text}, nil
	}
	if r.ContentLength > limit {
		in.report.add("body-size")
		return nil, ErrTooLong
	}
	b := in.startBody(connOf(r.Context()))
	if err := b.read(r, limit); err != nil {
		err = b.reason(err)
		b.End()
		return nil, err
	}
	return b, nil
}

func (in *Intake) startBody(c *conn) *Body {
	b := &Body{in: in, conn: c}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastID++
	b.id = in.lastID
	in.requests[b.id] = b
	return b
}

// read reads the body. It processes data only in a reader slot, except for a body that is whole in the first read.
// The slot is held until the body is decoded, that is, until Keep or End.
func (b *Body) read(r *http.Request, limit int64) (err error) {
	whole := limit + 1 // one more byte shows that the body is too long
	if r.ContentLength >= 0 {
		whole = r.ContentLength
	}
	size := min(whole, firstReadBytes)
	if size == r.ContentLength {
		b.reserved = b.in.decodedBytes(size)
	}
	if err := b.grow(size + b.reserved); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			b.endReads()
		}
	}()
	text := make([]byte, 0, size)
	large := false
	for {
		if len(text) == cap(text) {
			grown, err := b.growBuffer(text, whole, limit)
			if err != nil {
				return err
			}
			text = grown
		}
		n, err := r.Body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		b.received(n)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		if !large {
			large = true
			if !b.startReads() {
				return os.ErrDeadlineExceeded
			}
		}
	}
	if int64(len(text)) > limit {
		return ErrTooLong
	}
	b.endReads()
	if more := b.in.decodedBytes(int64(len(text))) - b.reserved; more > 0 {
		if err := b.grow(more); err != nil {
			return err
		}
	}
	b.Bytes = text
	if err := b.finish(); err != nil {
		return err
	}
	if large && !b.conn.acquireSlot() {
		return os.ErrClosed
	}
	return nil
}

// growBuffer returns text in a buffer twice as large.
func (b *Body) growBuffer(text []byte, whole, limit int64) ([]byte, error) {
	if int64(len(text)) > limit {
		return nil, ErrTooLong
	}
	size := min(max(2*int64(cap(text)), firstReadBytes), whole)
	if size == int64(cap(text)) {
		size++ // the end of the body was not read with its last byte
	}
	reading := b.conn != nil && b.conn.inBody.Load()
	b.endReads()
	if err := b.grow(size - int64(cap(text))); err != nil {
		return nil, err
	}
	if reading && !b.startReads() {
		return nil, os.ErrDeadlineExceeded
	}
	return append(make([]byte, 0, size), text...), nil
}

// grow asks the budget for n more bytes and waits for them. The request has no reader slot meanwhile.
func (b *Body) grow(n int64) error {
	if n <= 0 {
		return nil
	}
	b.conn.releaseSlot()
	in := b.in
	in.mu.Lock()
	b.granted = false
	in.apply(in.budget.Grow(time.Now(), b.id, n))
	granted, stopped := b.granted, b.stopped
	if !granted && !stopped {
		b.wake = make(chan struct{}, 1)
	}
	wake := b.wake
	in.mu.Unlock()
	if !granted && !stopped {
		granted, stopped = b.await(wake)
	}
	if stopped || !granted {
		return ErrBusy
	}
	return nil
}

// await waits until the request is granted or stopped, for the time that a piece of the body may take at most.
func (b *Body) await(wake chan struct{}) (granted, stopped bool) {
	var expired <-chan time.Time
	if d := cmp.Or(b.in.Limits().BodyIdle, b.in.Limits().BodyTime); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-wake:
	case <-expired:
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	b.wake = nil
	return b.granted, b.stopped
}

// signal wakes the request if it waits. The caller holds Intake.mu.
func (b *Body) signal() {
	if b.wake != nil {
		select {
		case b.wake <- struct{}{}:
		default: // it was woken already
		}
	}
}

func (b *Body) received(n int) {
	b.in.mu.Lock()
	b.in.budget.Received(b.id, int64(n))
	b.in.mu.Unlock()
}

// finish ends the reception. It reports an error if the request was stopped or its connection closed.
func (b *Body) finish() error {
	if !b.conn.enter(phaseServing) {
		return os.ErrClosed
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	if b.stopped {
		return ErrBusy
	}
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return nil
}

// startReads makes later reads of the connection take a reader slot for what they read, and takes one for what was
// read already. It reports false if the request was stopped or the connection closed meanwhile.
func (b *Body) startReads() bool {
	if b.conn != nil {
		b.conn.inBody.Store(true)
	}
	return b.conn.acquireSlot()
}

// endReads undoes startReads.
func (b *Body) endReads() {
	if b.conn != nil {
		b.conn.inBody.Store(false)
		b.conn.releaseSlot()
	}
}

// reason returns the error of ReadBody for a failed read, and counts it.
func (b *Body) reason(err error) error {
	b.in.mu.Lock()
	stopped := b.stopped
	b.in.mu.Unlock()
	switch {
	case errors.Is(err, ErrTooLong):
		b.in.report.add("body-size")
		return ErrTooLong
	case stopped || errors.Is(err, ErrBusy):
		b.in.report.add("body-memory")
		return ErrBusy
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.in.report.add("body-time")
		return ErrTimeout
	}
	b.in.report.add("body-broken")
	return err
}

// Keep gives up the memory of the body for the n bytes of the decoded job, and the reader slot. It reports false if
// the request has to be refused as by ErrBusy.
func (b *Body) Keep(n int64) bool {
	b.Bytes = nil
	b.conn.releaseSlot()
	if b.in == nil {
		return true
	}
	b.in.mu.Lock()
	ok, effects := b.in.budget.Keep(b.id, n)
	b.in.apply(effects)
	b.in.mu.Unlock()
	if !ok {
		b.in.report.add("job-memory")
	}
	return ok
}

// End gives up all memory of the request, and its reader slot.
func (b *Body) End() {
	b.conn.releaseSlot()
	if b.in == nil {
		return
	}
	b.in.mu.Lock()
	defer b.in.mu.Unlock()
	delete(b.in.requests, b.id)
	b.in.apply(b.in.budget.End(b.id))
}

func (in *Intake) decodedBytes(n int64) int64 {
	if in.DecodedBytes == nil {
		return 0
	}
	return in.DecodedBytes(n)
}

// Discard discards the rest of the body of a request that the caller refuses, as rrbody.Discard does, in a
// reader slot.
func (in *Intake) Discard(w http.ResponseWriter, r *http.Request) {
	if !rrbody.NeedsDiscard(r) {
		return
	}
	b := &Body{in: in, conn: connOf(r.Context())}
	if b.conn != nil {
		b.conn.deadlineSet.Store(true)
	}
	defer b.endReads()
	if b.startReads() {
		rrbody.Discard(w, r)
	}
}

// ReadBodies returns a handler that reads each body, of at most limit bytes, before it calls next. It refuses
// requests as ReadBody does, and as too long those for which tooLarge reports true. The memory of a body is held
// until next returns. A request that was passed to next may have taken effect, so it no longer gives way to others.
func (in *Intake) ReadBodies(limit int64, tooLarge func(body []byte) bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := in.ReadBody(w, r, limit)
		if err == nil && tooLarge(b.Bytes) {
			b.End()
			in.report.add("body-size")
			err = ErrTooLong
		}
		var text []byte
		if err == nil {
			text = b.Bytes
			if !b.Keep(int64(cap(text))) {
				b.End()
				err = ErrBusy
			}
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(statusOf(err))
			return
		}
		defer b.End()
		r.Body = io.NopCloser(bytes.NewReader(text))
		next.ServeHTTP(w, r)
	})
}

// ProtectReadBodies returns a handler for use within Handler that does not call ReadBody. From the end of its body on,
// the connection of a request is not closed in favor of another one. If it was closed before, next can't read the end.
func ProtectReadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && r.ContentLength != 0 {
			r.Body = &protectedBody{r.Body, c}
		}
		next.ServeHTTP(w, r)
	})
}

// protectedBody is a body that protects its connection when it has been read.
type protectedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *protectedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.enter(phaseServing) {
		return 0, os.ErrClosed
	}
	return n, err
}

// statusOf returns the HTTP status for an error of ReadBody.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBusy):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTimeout):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
