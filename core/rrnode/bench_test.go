package rrnode

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

var testEpoch = time.Unix(1_800_000_000, 0)

func testEntry(i, zones int) rrtask.Entry {
	return rrtask.Entry{Name: fmt.Sprintf("entry-%03d", i), Addr: fmt.Sprintf("10.0.0.%d:7400", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
}

func testMinions(n, zones int) []rrtask.Minion {
	ms := make([]rrtask.Minion, n)
	for i := range ms {
		ms[i] = rrtask.Minion{
			Name: fmt.Sprintf("minion-%04d", i), Addr: fmt.Sprintf("10.1.0.%d:8000", i),
			Zone: fmt.Sprintf("zone-%d", i%zones), Service: "torri", Slots: 8, MaxConns: 60,
		}
	}
	return ms
}

// testNode returns an entry of a fleet with the given numbers of entries, minions, zones
// and tenants.
func testNode(entries, minions, zones, tenants int) *Node {
	n := New(testEpoch, Options{Self: testEntry(0, zones), Incarnation: 1, Seed: 1})
	n.Step(testEpoch, &HeartbeatRequest{Members: testMembers(entries, zones, 1)})
	n.Step(testEpoch, &MinionsListed{List: testMinions(minions, zones)})
	cfg := rrconf.Config{Version: 1, Preset: rrconf.Ordinary, AllowUnlisted: true}
	for i := range tenants {
		cfg.Tenants = append(cfg.Tenants, rrconf.Tenant{Name: fmt.Sprintf("team-%d", i), Weight: 1, Quota: 400})
	}
	n.Step(testEpoch, &PeerConfig{Config: cfg})
	return n
}

// testMembers returns the other members of a fleet, as a heartbeat carries them.
func testMembers(entries, zones int, heartbeatSeq uint64) []rrmembership.Member {
	members := make([]rrmembership.Member, 0, entries)
	for i := 1; i < entries; i++ {
		m := rrmembership.Member{Entry: testEntry(i, zones), Incarnation: 1, HeartbeatSeq: heartbeatSeq, ConfigVersion: 1, StoreReachable: true}
		m.Load = rrdispatcher.Load{UsableSlots: 64, BusySlots: 50, QueuedTasks: 10, RunningWork: time.Second}
		for o := range m.Load.Backlog {
			m.Load.Backlog[o] = time.Second
		}
		members = append(members, m)
	}
	return members
}

// BenchmarkTask measures all decisions for one task of a job at an entry that owns six
// minions: the submission, the dispatch, its result and the answer.
func BenchmarkTask(b *testing.B) {
	for _, size := range []int{1, 100, 1700} {
		b.Run(fmt.Sprintf("job=%d", size), func(b *testing.B) {
			n := testNode(1, 6, 1, 2)
			now := testEpoch.Add(time.Second)
			n.Step(now, &Tick{})
			tasks := make([]rrtask.Task, size)
			for i := range tasks {
				tasks[i] = rrtask.Task{Index: i, DeclaredRunTime: 100 * time.Millisecond}
			}
			var inFlight []rrdispatcher.Dispatch
			b.ReportAllocs()
			done := 0
			for job := 0; done < b.N; job++ {
				now = now.Add(time.Millisecond)
				eff := n.Step(now, &SubmitJob{Caller: 1, Job: rrtask.Job{
					ID: fmt.Sprint(job), Tenant: "team-0", Class: "proof", Service: "torri",
					Deadline: now.Add(time.Hour), Tasks: tasks,
				}})
				inFlight = append(inFlight[:0], eff.Dispatches...)
				for len(inFlight) > 0 {
					s := inFlight[0]
					inFlight = inFlight[1:]
					r := rrtask.Result{Index: s.Task.Index, Code: rrcode.Complete, RunTime: 100 * time.Millisecond}
					eff = n.Step(now, &DispatchDone{Result: rrdispatcher.DispatchResult{ID: s.ID, Result: r}})
					inFlight = append(inFlight, eff.Dispatches...)
				}
				done += size
			}
		})
	}
}

// BenchmarkIdleSecond measures one second of an entry without work: its ticks, and the
// heartbeats at their usual rate. The metric heap-B is the memory of the core.
func BenchmarkIdleSecond(b *testing.B) {
	sizes := []struct{ entries, minions, zones, tenants int }{
		{8, 50, 3, 2}, {27, 245, 9, 21}, {54, 490, 9, 21}, {108, 980, 9, 21}, {108, 980, 9, 200},
	}
	for _, s := range sizes {
		b.Run(fmt.Sprintf("entries=%d/minions=%d/tenants=%d", s.entries, s.minions, s.tenants), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := testNode(s.entries, s.minions, s.zones, s.tenants)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := testEpoch
			for i := 0; b.Loop(); i++ {
				benchSecond(n, &now, s.entries, s.zones, i)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(n)
		})
	}
}

// benchSecond simulates one second: 50 ticks and, every third second, a heartbeat in each
// direction, which is the cost of one exchange per member.
func benchSecond(n *Node, now *time.Time, entries, zones, second int) {
	for range 50 {
		*now = now.Add(20 * time.Millisecond)
		n.Step(*now, &Tick{})
	}
	if second%3 > 0 {
		return
	}
	members := testMembers(entries, zones, uint64(second+2))
	n.Step(*now, &HeartbeatDone{To: "entry-001", Delivery: rrcoord.DeliveryAnswered, Members: members})
	n.Step(*now, &HeartbeatRequest{Call: 1, Members: members})
}
