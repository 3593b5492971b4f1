package rrdispatcher

import (
	"fmt"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// BenchmarkTask measures the decisions for one task (Add, Dispatch, HandleResult and
// TakeOutcomes) while the queue stays long.
func BenchmarkTask(b *testing.B) {
	for _, size := range []int{1, 24, 400} {
		for _, minions := range []int{6, 50} {
			b.Run(fmt.Sprintf("batch=%d/minions=%d", size, minions), func(b *testing.B) {
				benchTask(b, size, minions)
			})
		}
	}
}

func benchTask(b *testing.B, size, minions int) {
	d := New(nil)
	d.SetMinions(testStart, testMinions(minions, 8))
	tasks := testBatch(1, "a", size, 0).Tasks
	for i := range tasks {
		tasks[i].DeclaredRunTime = time.Duration(50+i*37%400) * time.Millisecond
	}
	var (
		dispatches = make([]Dispatch, 0, 1024)
		ids        []uint64 // in flight
		outs       []Outcome
		seq        uint64
		queued     int
	)
	now := testStart
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; {
		now = now.Add(time.Millisecond)
		for ; queued < 2000; queued += size {
			seq++
			d.Add(now, Batch{
				Key: BatchKey{"e1", 1, seq}, Tenant: "a", Class: "proof", Service: "torri", AcceptedAt: now,
				Deadline: now.Add(time.Hour), RemainingWork: time.Duration(seq%50) * time.Second, Tasks: tasks,
			})
		}
		for range 8 {
			if n := len(ids); n > 0 {
				d.HandleResult(now, DispatchResult{ID: ids[done%n], Result: rrtask.Result{Code: rrcode.Complete, RunTime: 200 * time.Millisecond}})
				ids[done%n] = ids[n-1]
				ids = ids[:n-1]
				done++
			}
			dispatches = d.Dispatch(now, dispatches[:0])
			queued -= len(dispatches)
			for _, dispatch := range dispatches {
				ids = append(ids, dispatch.ID)
			}
		}
		outs = d.TakeOutcomes(outs[:0])
	}
}

// BenchmarkCancelQueued measures the cancellation of 1,000 queued jobs.
func BenchmarkCancelQueued(b *testing.B) {
	for range b.N {
		b.StopTimer()
		d := New(nil)
		d.SetMinions(testStart, testMinions(6, 8))
		for seq := range uint64(1000) {
			d.Add(testStart, testBatch(seq+1, fmt.Sprint(seq%21), 50, time.Second))
		}
		d.Dispatch(testStart, nil)
		b.StartTimer()
		for seq := range uint64(1000) {
			d.CancelQueued(testStart, BatchKey{"e1", 1, seq + 1})
		}
		if got := d.Load(testStart).QueuedTasks; got != 0 {
			b.Fatalf("got %d queued tasks after the cancellations, want 0", got)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/job")
}
