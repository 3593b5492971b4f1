package rrfront

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"rattanring/core/rrcode"
	"rattanring/io/rrbody"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrwire"
)

// load counts what is in flight. The zero value is empty.
type load struct {
	mu    sync.Mutex
	bytes int64
	jobs  int
}

// take adds n bytes and one job unless that passes a limit.
func (l *load) take(n int64, limits Limits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs >= limits.Jobs || l.bytes+n > limits.Held {
		return false
	}
	l.jobs++
	l.bytes += n
	return true
}

// give takes back what take added.
func (l *load) give(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs--
	l.bytes -= n
}

// fullRetryAfter is the suggested delay of a retry when too much is in flight.
const fullRetryAfter = time.Second

// maxOther is the largest body of a request that is not a submission, in bytes:
// a configuration document in either encoding.
const maxOther = 2 * rrconfigdoc.MaxText

const submitPath = rrwire.CallerPathPrefix + "Submit"

// limit refuses requests whose body is too large, of unknown size or too slow,
// and those past the limits of what is in flight, before they are decoded.
// Submissions and the other methods are counted apart, so that an overloaded
// entry still hears its operators.
func (f *Front) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Ready() {
			// A caller that reuses the connection of a stopping entry can not tell
			// whether its request was read.
			w.Header().Set("Connection", "close")
		}
		load, most := &f.others, int64(maxOther)
		if r.URL.Path == submitPath {
			load, most = &f.jobs, f.Limits.Body
		}
		// The deadline stays on a connection whose request is refused, since the
		// server reads on to the end of its body.
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(f.Limits.Upload))
		n := r.ContentLength
		if why := checkLength(n, most); why.code != 0 {
			f.refuse(w, r, why)
			return
		}
		if !load.take(n, f.Limits) {
			f.refuse(w, r, refusal{full(r), "too many requests in flight"})
			return
		}
		defer load.give(n)
		body, err := read(r)
		if err != nil {
			w.Header().Set("Connection", "close")
			fault(w, twirp.NewError(twirp.Malformed, "the request body did not arrive: "+err.Error()))
			return
		}
		// Waiting for the answer is not cut off.
		_ = control.SetReadDeadline(time.Time{})
		if r.URL.Path == submitPath && tooMany(body, isJSON(r), f.Limits.Tasks) {
			f.refuse(w, r, refusal{rrcode.TooLarge, fmt.Sprintf("tasks: too many, want 1 to %d", f.Limits.Tasks)})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func checkLength(n, most int64) refusal {
	switch {
	case n < 0:
		return refusal{rrcode.BadRequest, "the request has no Content-Length"}
	case n > most:
		return refusal{rrcode.TooLarge, fmt.Sprintf("body: %d bytes, want at most %d", n, most)}
	}
	return refusal{}
}

// read returns the body, whose length is known.
func read(r *http.Request) ([]byte, error) {
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	// The read past the end lets the server watch for a caller that goes away.
	if _, err := r.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, err
	}
	return body, nil
}

// maxPeek is the largest body that is read to word its refusal, in bytes.
const maxPeek = 64 << 10

// full returns the code of the refusal of a request that there is no room for.
// Whether an earlier submission of a non-idempotent job ran is not known here.
func full(r *http.Request) rrcode.Code {
	if r.URL.Path != submitPath {
		return rrcode.Overloaded
	}
	if r.ContentLength > maxPeek {
		return rrcode.DuplicateUnchecked
	}
	body, err := read(r)
	if err != nil || ranBefore(body, isJSON(r)) {
		return rrcode.DuplicateUnchecked
	}
	return rrcode.Overloaded
}

// ranBefore reports whether an undecoded job may be a retry of a non-idempotent
// one.
func ranBefore(body []byte, isJSON bool) bool {
	if isJSON {
		var doc struct{ Once, Retry bool }
		err := json.Unmarshal(body, &doc)
		return err != nil || doc.Once && doc.Retry
	}
	const once, retry = 6, 8 // field numbers in rrwire.Job
	var seen [retry + 1]bool
	for len(body) > 0 {
		field, _, n := protowire.ConsumeField(body)
		if n < 0 {
			return true
		}
		if field <= retry {
			seen[field] = true
		}
		body = body[n:]
	}
	return seen[once] && seen[retry]
}

func isJSON(r *http.Request) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), "application/json")
}

// tooMany reports whether an undecoded job has more than most tasks. A decoded
// task takes far more memory than the two bytes of an empty one. In JSON each
// task is one object or two, and no other text of a valid job holds a brace.
func tooMany(body []byte, isJSON bool, most int) bool {
	if isJSON {
		return bytes.Count(body, []byte("{")) > 1+2*most
	}
	const tasks = 7 // field number in rrwire.Job
	count := 0
	for len(body) > 0 {
		field, _, n := protowire.ConsumeField(body)
		if n < 0 {
			return false // the decoder says what is wrong
		}
		if field == tasks {
			count++
		}
		body = body[n:]
	}
	return count > most
}

// refuse answers a submission with why, and any other method, whose messages
// have no room for a code, with a fault.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, why refusal) {
	rrbody.Discard(w, r)
	if r.URL.Path != submitPath {
		fault(w, protocolError(why))
		return
	}
	f.Metrics.CountAnswer(why.code)
	a := &rrwire.Answer{Code: uint32(why.code), Detail: why.detail}
	if why.code == rrcode.Overloaded || why.code == rrcode.DuplicateUnchecked {
		a.After = uint32(fullRetryAfter.Milliseconds())
	}
	if isJSON(r) {
		data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(a)
		reply(w, "application/json", data, err)
		return
	}
	data, err := proto.Marshal(a)
	reply(w, "application/protobuf", data, err)
}

func reply(w http.ResponseWriter, kind string, data []byte, err error) {
	if err != nil {
		fault(w, twirp.InternalErrorWith(err))
		return
	}
	w.Header().Set("Content-Type", kind)
	w.Write(data)
}

// fault sends a protocol error. A write that fails means that the caller is gone.
func fault(w http.ResponseWriter, err twirp.Error) {
	_ = twirp.WriteError(w, err)
}

// protocolError returns r as a Twirp error that carries the numbered code.
func protocolError(r refusal) twirp.Error {
	kind := twirp.InvalidArgument
	if r.code == rrcode.Overloaded {
		kind = twirp.ResourceExhausted
	}
	return twirp.NewError(kind, r.detail).WithMeta("code", fmt.Sprint(uint32(r.code)))
}
