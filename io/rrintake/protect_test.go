package rrintake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"

	"rattanring/io/rrmetric"
)

// A request whose handler reads the body itself is not interrupted for another connection once the body is read.
func TestProtectReadBodies(t *testing.T) {
	in := New("entry", Limits{Connections: 1}, log.NewNopLogger(), &rrmetric.Metrics{})
	read, release := make(chan struct{}), make(chan struct{})
	ts := httptest.NewUnstartedServer(in.Handler(ProtectReadBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		read <- struct{}{}
		<-release
	}))))
	var err error
	if ts.Listener, err = in.Listen(ts.Listener); err != nil {
		t.Fatal(err)
	}
	ts.Config.ConnContext, ts.Config.ConnState = Context, ConnState
	ts.Start()
	t.Cleanup(ts.Close)
	s := &server{Server: ts, in: in}
	served := s.dial(t)
	served.send("/", 10_000, 10_000)
	<-read
	s.dial(t).wantStatus("connection beyond the limit", http.StatusServiceUnavailable)
	close(release)
	served.wantStatus("served request", http.StatusOK)
}
