package rrfront

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

// Requests that declare large bodies and send nothing must not keep out others: a body counts as it arrives.
func TestDeclaredBodiesDoNotCount(t *testing.T) {
	backend := &fakeBackend{answer: func(_ context.Context, job rrtask.Job) rrtask.Answer { return complete(job) }}
	front := &Frontend{Backend: backend, Limits: Limits{MaxInFlightBytes: 5 * firstBodyBytes, MaxBodyBytes: 4 * firstBodyBytes}}
	url := serve(t, front)
	for range 3 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", submitPath, 4*firstBodyBytes)
	}
	for requests := 0; requests < 3; {
		front.submissions.mu.Lock()
		requests = front.submissions.requests
		front.submissions.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	c := rrwire.NewCallerProtobufClient(url, http.DefaultClient)
	large := func(m *rrwire.Job) { m.Tasks[0].Body = make([]byte, 5*firstBodyBytes/2) }
	for _, tt := range []struct {
		change func(*rrwire.Job)
		want   rrcode.Code
	}{{nil, rrcode.Complete}, {large, rrcode.DuplicateUnchecked}} {
		a, err := c.Submit(t.Context(), job(tt.change))
		if got := rrcode.Code(a.GetCode()); err != nil || got != tt.want {
			t.Errorf("got %v, %v, want %v", got, err, tt.want)
		}
	}
}
