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

// inFlight counts what is in flight. The zero value is empty.
type inFlight struct {
	mu       sync.Mutex
	bytes    int64
	requests int
}

// acquire adds n bytes and one job unless that passes a limit.
func (l *inFlight) acquire(n int64, limits Limits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests >= limits.MaxInFlightRequests || l.bytes+n > limits.MaxInFlightBytes {
		return false
	}
	l.requests++
	l.bytes += n
	return true
}

// release takes back what take added.
func (l *inFlight) release(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests--
	l.bytes -= n
}

// overloadRetryAfter is the suggested delay of a retry when too much is in flight.
const overloadRetryAfter = time.Second

// maxOtherBody is the largest body of a request that is not a submission, in bytes:
// a configuration document in either encoding.
const maxOtherBody = 2 * rrconfigdoc.MaxText

const submitPath = rrwire.CallerPathPrefix + "Submit"

// limitRequests refuses requests whose body is too large, of unknown size or too slow,
// and those past the limits of what is in flight, before they are decoded.
// Submissions and the other methods are counted apart, so that an overloaded
// entry still hears its operators.
func (f *Front) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Ready() {
			// A caller that reuses the connection of a stopping entry can not tell
			// whether its request was read.
			w.Header().Set("Connection", "close")
		}
		counter, maxBytes := &f.others, int64(maxOtherBody)
		if r.URL.Path == submitPath {
			counter, maxBytes = &f.submissions, f.Limits.MaxBodyBytes
		}
		// The deadline stays on a connection whose request is refused, since the
		// server reads on to the end of its body.
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(f.Limits.UploadTimeout))
		n := r.ContentLength
		if reason := checkBodySize(n, maxBytes); reason.code != 0 {
			f.refuse(w, r, reason)
			return
		}
		if !counter.acquire(n, f.Limits) {
			f.refuse(w, r, refusal{overloadCode(r), "too many requests in flight"})
			return
		}
		defer counter.release(n)
		body, err := readBody(r)
		if err != nil {
			w.Header().Set("Connection", "close")
			writeError(w, twirp.NewError(twirp.Malformed, "the request body did not arrive: "+err.Error()))
			return
		}
		// Waiting for the answer is not cut off.
		_ = control.SetReadDeadline(time.Time{})
		if r.URL.Path == submitPath && hasTooManyTasks(body, isJSON(r), f.Limits.MaxTasks) {
			f.refuse(w, r, refusal{rrcode.TooLarge, fmt.Sprintf("tasks: too many, want 1 to %d", f.Limits.MaxTasks)})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func checkBodySize(n, maxBytes int64) refusal {
	switch {
	case n < 0:
		return refusal{rrcode.BadRequest, "the request has no Content-Length"}
	case n > maxBytes:
		return refusal{rrcode.TooLarge, fmt.Sprintf("body: %d bytes, want at most %d", n, maxBytes)}
	}
	return refusal{}
}

// readBody returns the body, whose length is known.
func readBody(r *http.Request) ([]byte, error) {
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

// maxInspectedBody is the largest body that is read to word its refusal, in bytes.
const maxInspectedBody = 64 << 10

// overloadCode returns the code of the refusal of a request that there is no room for.
// Whether an earlier submission of a non-idempotent job ran is not known here.
func overloadCode(r *http.Request) rrcode.Code {
	if r.URL.Path != submitPath {
		return rrcode.Overloaded
	}
	if r.ContentLength > maxInspectedBody {
		return rrcode.DuplicateUnchecked
	}
	body, err := readBody(r)
	if err != nil || mayHaveRun(body, isJSON(r)) {
		return rrcode.DuplicateUnchecked
	}
	return rrcode.Overloaded
}

// mayHaveRun reports whether an undecoded job may be a retry of a non-idempotent
// one.
func mayHaveRun(body []byte, isJSON bool) bool {
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

// hasTooManyTasks reports whether an undecoded job has more than most tasks. A decoded
// task takes far more memory than the two bytes of an empty one. In JSON each
// task is one object or two, and no other text of a valid job holds a brace.
func hasTooManyTasks(body []byte, isJSON bool, maxTasks int) bool {
	if isJSON {
		return bytes.Count(body, []byte("{")) > 1+2*maxTasks
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
	return count > maxTasks
}

// refuse answers a submission with why, and any other method, whose messages
// have no room for a code, with a fault.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, reason refusal) {
	rrbody.Discard(w, r)
	if r.URL.Path != submitPath {
		writeError(w, twirpError(reason))
		return
	}
	f.Metrics.Answer(reason.code)
	a := &rrwire.Answer{Code: uint32(reason.code), Detail: reason.detail}
	if reason.code == rrcode.Overloaded || reason.code == rrcode.DuplicateUnchecked {
		a.After = uint32(overloadRetryAfter.Milliseconds())
	}
	if isJSON(r) {
		data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(a)
		writeAnswer(w, "application/json", data, err)
		return
	}
	data, err := proto.Marshal(a)
	writeAnswer(w, "application/protobuf", data, err)
}

func writeAnswer(w http.ResponseWriter, contentType string, data []byte, err error) {
	if err != nil {
		writeError(w, twirp.InternalErrorWith(err))
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Write(data)
}

// writeError sends a protocol error. A write that fails means that the caller is gone.
func writeError(w http.ResponseWriter, err twirp.Error) {
	_ = twirp.WriteError(w, err)
}

// twirpError returns r as a Twirp error that carries the numbered code.
func twirpError(r refusal) twirp.Error {
	kind := twirp.InvalidArgument
	if r.code == rrcode.Overloaded {
		kind = twirp.ResourceExhausted
	}
	return twirp.NewError(kind, r.detail).WithMeta("code", fmt.Sprint(uint32(r.code)))
}
