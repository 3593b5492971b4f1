package rrpeer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

// echo answers a heartbeat with the members that it received.
type echo struct{ Backend }

func (echo) Heartbeat(_ context.Context, members []rrmembership.Member) ([]rrmembership.Member, error) {
	return members, nil
}

// BenchmarkHeartbeat measures one heartbeat exchange over loopback, including the work of
// both ends, and its bytes in both directions.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{3, 8, 12, 27, 54, 108} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			mux := http.NewServeMux()
			mux.Handle(rrwire.PeerPathPrefix, rrwire.NewPeerServer(&Server{Backend: echo{}}))
			server := httptest.NewServer(mux)
			defer server.Close()
			c := &Client{}
			hb := rrnode.HeartbeatCall{Addr: strings.TrimPrefix(server.URL, "http://"), Members: newMembers(n)}
			for b.Loop() {
				if _, delivery := c.Heartbeat(context.Background(), hb); delivery != 0 {
					b.Fatalf("got delivery %d, want an answer", delivery)
				}
			}
			b.ReportMetric(float64(c.ControlBytes())/float64(b.N), "wire-B/op")
		})
	}
}

func newMembers(n int) []rrmembership.Member {
	members := make([]rrmembership.Member, n)
	for i := range members {
		m := &members[i]
		m.Entry = rrtask.Entry{Name: fmt.Sprintf("entry-%03d", i), Addr: "10.0.0.100:7400", Zone: "zone-1", Region: "region-1"}
		m.Incarnation, m.HeartbeatSeq, m.ConfigVersion, m.StoreReachable = uint64(time.Unix(1_800_000_000, 0).UnixNano()), 100_000, 4000, true
		m.Load = rrdispatcher.Load{UsableSlots: 64, BusySlots: 50, QueuedTasks: 100, RunningWork: 10 * time.Second}
		for j := range m.Load.Backlog {
			m.Load.Backlog[j] = 10 * time.Second
		}
	}
	return members
}
