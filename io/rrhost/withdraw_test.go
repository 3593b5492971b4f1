package rrhost

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
)

// The call that withdraws a job gets no answer, as on a connection that has gone silent. The owner kept the
// job's runs, since it saw the process alive.
func TestWithdrawIsRepeated(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	h := f.host("a0", "a")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int32
	answered := make(chan struct{})
	peer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		close(answered)
	})}
	go peer.Serve(ln)
	defer peer.Close()
	h.withdraw(ln.Addr().String(), &rrscheduler.Job{ID: "job"})
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Error("the job was not withdrawn again")
	}
}

// A process that is silent must be lost before its callers submit their jobs again.
func TestCallerProcessTimeout(t *testing.T) {
	for _, tc := range []struct{ resend, want time.Duration }{
		{0, maxCallerProcessTimeout},
		{1300 * time.Millisecond, maxCallerProcessTimeout},
		{1000 * time.Millisecond, 790 * time.Millisecond},
		{300 * time.Millisecond, minCallerProcessTimeout},
	} {
		h := &Host{Options: Options{Guarantees: rrscheduler.Options{MaxStopTime: 50 * time.Millisecond, ResendDelay: tc.resend}}}
		if got := h.callerProcessTimeout(); got != tc.want {
			t.Errorf("resend delay %v: got %v, want %v", tc.resend, got, tc.want)
		}
	}
}
