package rrfront

import (
	"bytes"
	"encoding/json"
	"errors"
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

// inFlight counts the requests in flight and their bytes. The zero value is empty.
type inFlight struct {
	mu       sync.Mutex
	bytes    int64
	requests int
}

// acquire adds one request of n bytes and returns true, unless that exceeds a limit.
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

// grow adds n bytes to a request that acquire added, and returns true, unless that exceeds a limit.
func (l *inFlight) grow(n int64, limits Limits) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes+n > limits.MaxInFlightBytes {
		return false
	}
	l.bytes += n
	return true
}

// release removes a request of n bytes that acquire added.
func (l *inFlight) release(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests--
	l.bytes -= n
}

// overloadRetryAfter is the retry delay suggested to a caller while too much is in flight.
const overloadRetryAfter = time.Second

// maxOtherBody is the largest body of a request that is not a submission, in bytes. A
// configuration document fits in it in both encodings.
const maxOtherBody = 2 * rrconfigdoc.MaxDocumentBytes

const submitPath = rrwire.CallerPathPrefix + "Submit"

// limitRequests refuses requests before they are decoded: those whose body is too large,
// has no declared size or arrives too slowly, and those that exceed the in-flight limits.
// Submissions are counted separately, so an overloaded entry still answers its operators.
func (f *Frontend) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Ready() {
			// A caller that reuses a connection while the entry stops can't tell whether
			// the entry read its request.
			w.Header().Set("Connection", "close")
		}
		counter, maxBytes := &f.others, int64(maxOtherBody)
		if r.URL.Path == submitPath {
			counter, maxBytes = &f.submissions, f.Limits.MaxBodyBytes
		}
		// If the request is refused, the deadline remains set, since the server still
		// reads the rest of the body.
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(f.Limits.UploadTimeout))
		n := r.ContentLength
		if reason := checkBodySize(n, maxBytes); reason.code != 0 {
			f.refuse(w, r, reason)
			return
		}
		held := min(n, firstBodyBytes)
		if !counter.acquire(held, f.Limits) {
			f.refuse(w, r, refusal{overloadCode(r), "too many requests in flight"})
			return
		}
		defer func() { counter.release(held) }()
		body, err := readBody(r, func(more int64) bool {
			if !counter.grow(more, f.Limits) {
				return false
			}
			held += more
			return true
		})
		if errors.Is(err, errTooManyBytes) {
			f.refuse(w, r, refusal{overloadCode(r), "too many requests in flight"})
			return
		}
		if err != nil {
			w.Header().Set("Connection", "close")
			writeError(w, twirp.NewError(twirp.Malformed, "the request body did not arrive: "+err.Error()))
			return
		}
		// The upload deadline must not cut off the wait for the answer.
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

// firstBodyBytes is the size of the first buffer for a body. Later ones are twice as large each time, so that a
// request counts by what has arrived and not by the size that it declares.
const firstBodyBytes = 64 << 10

// errTooManyBytes is the error of a body that exceeds the limit on the bytes in flight.
var errTooManyBytes = errors.New("too many bytes in flight")

// readBody returns the body of a request that has a Content-Length. It calls grow before it takes more than
// firstBodyBytes of memory, and returns errTooManyBytes if grow returns false.
func readBody(r *http.Request, grow func(more int64) bool) ([]byte, error) {
	body := make([]byte, min(r.ContentLength, firstBodyBytes))
	for read := 0; ; {
		if _, err := io.ReadFull(r.Body, body[read:]); err != nil {
			return nil, err
		}
		read = len(body)
		if int64(read) == r.ContentLength {
			break
		}
		size := min(2*int64(read), r.ContentLength)
		if !grow(size - int64(read)) {
			return nil, errTooManyBytes
		}
		larger := make([]byte, size)
		copy(larger, body)
		body = larger
	}
	// The server notices a caller's disconnect only after a read past the end of the body.
	if _, err := r.Body.Read(make([]byte, 1)); err != io.EOF {
		return nil, err
	}
	return body, nil
}

// maxInspectedBody is the largest body that is read only to choose the code of its
// refusal, in bytes.
const maxInspectedBody = 64 << 10

// overloadCode returns the code to refuse a request with if too much is in flight. Whether
// an earlier submission of a non-idempotent job ran is unknown here, so a possible retry of
// one must not be answered with a code that says that it did not run.
func overloadCode(r *http.Request) rrcode.Code {
	if r.URL.Path != submitPath {
		return rrcode.Overloaded
	}
	if r.ContentLength > maxInspectedBody {
		return rrcode.DuplicateUnchecked
	}
	body, err := readBody(r, func(int64) bool { return false }) // at most maxInspectedBody
	if err != nil || mayHaveRun(body, isJSON(r)) {
		return rrcode.DuplicateUnchecked
	}
	return rrcode.Overloaded
}

// mayHaveRun reports whether the encoded job in body may be a retry of a non-idempotent
// job. It returns true for a body that it can't read.
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

// hasTooManyTasks reports whether the encoded job in body has more than maxTasks tasks. It
// runs before the decoder because a decoded task takes far more memory than the two bytes
// of an encoded empty one. In JSON each task is one or two objects, and a valid job has no
// other opening braces.
func hasTooManyTasks(body []byte, isJSON bool, maxTasks int) bool {
	if isJSON {
		return bytes.Count(body, []byte("{")) > 1+2*maxTasks
	}
	const tasks = 7 // field number in rrwire.Job
	count := 0
	for len(body) > 0 {
		field, _, n := protowire.ConsumeField(body)
		if n < 0 {
			return false // the decoder reports the error
		}
		if field == tasks {
			count++
		}
		body = body[n:]
	}
	return count > maxTasks
}

// refuse answers a submission with an Answer that holds the reason. Other methods have no
// code in their messages, so it answers them with a Twirp error.
func (f *Frontend) refuse(w http.ResponseWriter, r *http.Request, reason refusal) {
	rrbody.Discard(w, r)
	if r.URL.Path != submitPath {
		writeError(w, twirpError(reason))
		return
	}
	f.Metrics.CountAnswer(reason.code)
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

// writeError sends a Twirp error. A failed write is ignored: the caller has disconnected.
func writeError(w http.ResponseWriter, err twirp.Error) {
	_ = twirp.WriteError(w, err)
}

// twirpError returns r as a Twirp error with the numeric code in its metadata.
func twirpError(r refusal) twirp.Error {
	kind := twirp.InvalidArgument
	if r.code == rrcode.Overloaded {
		kind = twirp.ResourceExhausted
	}
	return twirp.NewError(kind, r.detail).WithMeta("code", fmt.Sprint(uint32(r.code)))
}
