package rrhost

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
)

// idle is minions that run nothing. A hold costs them a timer.
type idle struct{ holds atomic.Int64 }

// StartRun implements rrexecutor.MinionClient.
func (i *idle) StartRun(_ context.Context, s *rrscheduler.StartRun) *rrscheduler.StartRunDone {
	return &rrscheduler.StartRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandNotSent}
}

// StopRun implements rrexecutor.MinionClient.
func (i *idle) StopRun(_ context.Context, s *rrscheduler.StopRun) *rrscheduler.StopRunDone {
	return &rrscheduler.StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandNotSent}
}

// PollMinion implements rrexecutor.MinionClient.
func (i *idle) PollMinion(ctx context.Context, h *rrscheduler.PollMinion) *rrscheduler.PollMinionDone {
	i.holds.Add(1)
	sleep(ctx, h.MaxWait)
	return &rrscheduler.PollMinionDone{MinionID: h.MinionID, PollSeq: h.PollSeq, Status: rrscheduler.CommandOK, MinionClockMs: time.Now().UnixMilli()}
}

// BenchmarkControl starts so many hosts in one process and measures what control costs an
// idle one: processor time with its part of the stand-ins, bytes between hosts, holds, heap.
// Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, s := range []struct{ hosts, minions, zones, seats int }{
		{7, 48, 3, 1}, {41, 350, 4, 1}, {54, 980, 9, 1}, {54, 980, 9, 6},
	} {
		b.Run(fmt.Sprintf("hosts=%d/minions=%d/zones=%d/seats=%d", s.hosts, s.minions, s.zones, s.seats), func(b *testing.B) {
			w := newWorld(b, 0)
			still := &idle{}
			w.orders = still
			w.zones = nil
			for z := range s.zones {
				w.zones = append(w.zones, fmt.Sprintf("zone-%d", z))
				if s.seats > 1 {
					w.layout(w.zones[z], s.seats, 1)
				}
			}
			for i := range s.minions {
				w.minion(w.zones[i%s.zones], fmt.Sprintf("minion-%04d", i))
			}
			before := heap()
			for i := range s.hosts {
				w.host(fmt.Sprintf("host-%02d", i), w.zones[i%s.zones])
			}
			for _, z := range w.zones {
				for part := range s.seats {
					w.holder(rrelection.ShardName(z, part))
				}
			}
			time.Sleep(3 * time.Second) // until the members have settled
			b.ReportMetric((heap()-before)/float64(s.hosts), "heap-B/host")
			const span = 10 * time.Second
			used, bytes, holds := processTime(), w.bytes.Load(), still.holds.Load()
			time.Sleep(span)
			per := span.Seconds() * float64(s.hosts)
			b.ReportMetric(100*(processTime()-used).Seconds()/per, "%core/host")
			// Each call is counted at the host that is called, and costs both.
			b.ReportMetric(2*float64(w.bytes.Load()-bytes)/per, "peer-B/s/host")
			b.ReportMetric(float64(still.holds.Load()-holds)/per, "holds/s/host")
		})
	}
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
