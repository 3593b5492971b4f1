package rrpeer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrnode"
	"rattanring/io/rrwire"
)

// batchRecorder records the keys of the batches that it receives. It implements no other method
// of Backend than RunBatch.
type batchRecorder struct {
	Backend
	keys []rrdispatcher.BatchKey
}

func (c *batchRecorder) RunBatch(_ context.Context, ev rrnode.RunBatchRequest) (rrnode.RunBatchResponse, error) {
	c.keys = append(c.keys, ev.Batch.Key)
	return rrnode.RunBatchResponse{Incarnation: ev.Incarnation, More: true}, nil
}

func serve(t *testing.T, backend Backend, known func(string) bool) string {
	t.Helper()
	s := httptest.NewServer(&Relay{Next: rrwire.NewPeerServer(&Server{Backend: backend}), Known: known, Logger: log.NewNopLogger()})
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestRelay checks that a batch reaches its owner through a third entry, as when one
// direction between two zones is cut, and that this entry calls only entries that it knows.
func TestRelay(t *testing.T) {
	owner := &batchRecorder{}
	ownerAddr := serve(t, owner, func(string) bool { return false })
	relay := &batchRecorder{}
	relayAddr := serve(t, relay, func(addr string) bool { return addr == ownerAddr })
	run := rrcoord.RunBatchCall{
		To: "owner", Addr: ownerAddr, RelayAddr: relayAddr, Incarnation: 7,
		Batch: rrdispatcher.Batch{Key: rrdispatcher.BatchKey{Coordinator: "me", Incarnation: 3, Seq: 5}, Deadline: time.Now().Add(time.Minute)},
	}
	tests := []struct {
		name      string
		addr      string
		relayAddr string
		want      rrcoord.Delivery
		runs      int
	}{
		{"forwarded", ownerAddr, relayAddr, rrcoord.DeliveryAnswered, 1},
		{"unknown owner", "127.0.0.1:1", relayAddr, rrcoord.DeliveryUnknown, 0},
		{"relay unreachable", ownerAddr, "127.0.0.1:1", rrcoord.DeliveryUnknown, 0},
		{"relay does not know the owner", relayAddr, ownerAddr, rrcoord.DeliveryUnknown, 0},
	}
	for _, tc := range tests {
		owner.keys = nil
		run.Addr, run.RelayAddr = tc.addr, tc.relayAddr
		r := (&Client{}).RunBatch(t.Context(), run)
		if r.Delivery != tc.want || len(owner.keys) != tc.runs || len(relay.keys) != 0 {
			t.Errorf("%s: got %v, %d runs at the owner and %d at the relay, want %v, %d and 0",
				tc.name, r.Delivery, len(owner.keys), len(relay.keys), tc.want, tc.runs)
		}
		if tc.want == rrcoord.DeliveryAnswered && (r.Incarnation != 7 || !r.More || owner.keys[0] != run.Batch.Key) {
			t.Errorf("%s: got %+v for %v, want the owner's answer", tc.name, r, owner.keys)
		}
	}
}

func TestRelayIsBounded(t *testing.T) {
	r := &Relay{Next: http.NotFoundHandler(), Known: func(string) bool { return true }, Logger: log.NewNopLogger()}
	r.once.Do(r.init)
	for range maxRelayedCalls {
		r.slots <- struct{}{}
	}
	req := httptest.NewRequest(http.MethodPost, rrwire.PeerPathPrefix+"Run", nil)
	req.Header.Set(relayHeader, "127.0.0.1:1")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	if w.Code != http.StatusBadGateway {
		t.Errorf("got %d with all slots taken, want %d", w.Code, http.StatusBadGateway)
	}
}
