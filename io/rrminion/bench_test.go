package rrminion_test

import (
	"context"
	"sync/atomic"
	"testing"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
	"rattanring/io/rrminion"
	"rattanring/io/rrstand"
)

// BenchmarkRun dispatches tasks without run time to 50 minions in the same process.
func BenchmarkRun(b *testing.B) {
	fleet, err := rrstand.StartFleet("bench", 50, 1000)
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	c := &rrminion.Client{}
	defer c.Close()
	task := &rrtask.Task{Body: rrstand.Work{}.Marshal()}
	var next atomic.Int64
	b.SetParallelism(20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			i := int(next.Add(1))
			s := fleet.Servers[i%len(fleet.Servers)]
			out := c.Run(context.Background(), rrdispatcher.Dispatch{Addr: s.Addr, Job: "job", Task: task})
			if out.Result.Code != rrcode.Complete {
				b.Error(out.Result.Code, out.Result.Detail)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
}
