package rrhost

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
)

// idleMinions are minions that run nothing. A poll only waits for a timer.
type idleMinions struct{ polls atomic.Int64 }

// StartRun implements rrexecutor.MinionClient.
func (i *idleMinions) StartRun(_ context.Context, s *rrscheduler.StartRun) *rrscheduler.StartRunDone {
	return &rrscheduler.StartRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandNotSent}
}

// StopRun implements rrexecutor.MinionClient.
func (i *idleMinions) StopRun(_ context.Context, s *rrscheduler.StopRun) *rrscheduler.StopRunDone {
	return &rrscheduler.StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandNotSent}
}

// PollMinion implements rrexecutor.MinionClient.
func (i *idleMinions) PollMinion(ctx context.Context, p *rrscheduler.PollMinion) *rrscheduler.PollMinionDone {
	i.polls.Add(1)
	sleep(ctx, p.MaxWait)
	return &rrscheduler.PollMinionDone{MinionID: p.MinionID, PollSeq: p.PollSeq, Status: rrscheduler.CommandOK, MinionClockMs: time.Now().UnixMilli()}
}

// BenchmarkControlCost starts several hosts in one process and measures the cost of an idle
// host: CPU time including its part of the fakes, bytes between hosts, polls, and heap. Run
// it with -benchtime 1x.
func BenchmarkControlCost(b *testing.B) {
	for _, tc := range []struct{ hosts, minionCount, zones, shards int }{
		{7, 48, 3, 1}, {41, 350, 4, 1}, {54, 980, 9, 1}, {54, 980, 9, 6},
	} {
		b.Run(fmt.Sprintf("hosts=%d/minions=%d/zones=%d/shards=%d", tc.hosts, tc.minionCount, tc.zones, tc.shards), func(b *testing.B) {
			f := newTestFleet(b, 0)
			minions := &idleMinions{}
			f.minionClient = minions
			f.zones = nil
			for z := range tc.zones {
				f.zones = append(f.zones, fmt.Sprintf("zone-%d", z))
				if tc.shards > 1 {
					f.setLayout(f.zones[z], tc.shards, 1)
				}
			}
			for i := range tc.minionCount {
				f.minion(f.zones[i%tc.zones], fmt.Sprintf("minion-%04d", i))
			}
			before := heapBytes()
			for i := range tc.hosts {
				f.host(fmt.Sprintf("host-%02d", i), f.zones[i%tc.zones])
			}
			for _, z := range f.zones {
				for index := range tc.shards {
					f.awaitOwner(rrelection.ShardName(z, index))
				}
			}
			time.Sleep(3 * time.Second) // until the shards are spread over the members
			b.ReportMetric((heapBytes()-before)/float64(tc.hosts), "heap-B/host")
			const span = 10 * time.Second
			cpuTime, bytes, polls := cpuTimeUsed(), f.bytes.Load(), minions.polls.Load()
			time.Sleep(span)
			hostSeconds := span.Seconds() * float64(tc.hosts)
			b.ReportMetric(100*(cpuTimeUsed()-cpuTime).Seconds()/hostSeconds, "%core/host")
			// The bytes of a call are counted only at the called host, but both hosts process them.
			b.ReportMetric(2*float64(f.bytes.Load()-bytes)/hostSeconds, "peer-B/s/host")
			b.ReportMetric(float64(minions.polls.Load()-polls)/hostSeconds, "holds/s/host")
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// connections counts the bytes of the connections of a listener, and leaves what arrives on them unread while
// the host is frozen.
func (f *testFleet) connections(ln net.Listener, m *testHost) net.Listener {
	return &countedListener{ln, &f.bytes, m}
}

type countedListener struct {
	net.Listener
	n *atomic.Int64
	m *testHost
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c.(*net.TCPConn), l.n, l.m}, nil
}

type countedConn struct {
	*net.TCPConn
	n *atomic.Int64
	m *testHost
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for c.m.frozen.Load() && !c.m.killed.Load() {
		time.Sleep(time.Millisecond)
	}
	c.n.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.n.Add(int64(n))
	return n, err
}
