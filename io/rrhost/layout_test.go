package rrhost

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrstore"
)

// setLayout writes the layout of a zone into the store, as the owner of its primary shard
// does.
func (f *testFleet) setLayout(zone string, shards, previous int) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.put(rrstore.Put{Key: layoutPrefix + zone, Value: fmt.Appendf(nil, `{"parts":%d,"was":%d}`, shards, previous)})
}

// capacity returns the millicores of the minions that the owner of a shard uses, zero
// without an owner.
func (f *testFleet) capacity(shard string) uint32 {
	for _, m := range f.hosts {
		if ex := m.executor(shard); ex != nil && !m.dead {
			return ex.Load().CapacityMillicores
		}
	}
	return 0
}

// logLines returns the log lines of all hosts that contain a text.
func (f *testFleet) logLines(text string) []string {
	var out []string
	for _, b := range f.logs {
		log, err := io.ReadAll(b.reader())
		if err != nil {
			f.t.Fatal(err)
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) {
				out = append(out, line)
			}
		}
	}
	return out
}

// hostsWithMinions returns the number of hosts that own minions.
func (f *testFleet) hostsWithMinions() int {
	n := 0
	for _, m := range f.hosts {
		m.mu.Lock()
		for _, assigned := range m.assignments {
			if len(assigned) > 0 {
				n++
				break
			}
		}
		m.mu.Unlock()
	}
	return n
}

// await waits until ok holds.
func (f *testFleet) await(what string, ok func() bool) {
	f.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Fatalf("not seen in time: %s\n%s", what, strings.Join(f.logLines(""), ""))
}

// startCallers starts n callers that submit jobs at all live hosts until stop is called,
// which returns the number of jobs.
func (f *testFleet) startCallers(n int) (stop func() int64) {
	var count atomic.Int64
	var wg sync.WaitGroup
	end := make(chan struct{})
	var live []*testHost
	for _, m := range f.hosts {
		live = append(live, m)
	}
	for c := range n {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				m := live[(c+i)%len(live)]
				if m.draining.Load() {
					continue
				}
				out := m.Submit(context.Background(), f.job(fmt.Sprintf("%08x%08x", c, i)))
				if out.Kind != rrscheduler.OutcomeCompleted {
					f.t.Errorf("caller %d, job %d: got %v %v, want %v", c, i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted)
				}
				count.Add(1)
			}
		})
	}
	return func() int64 {
		close(end)
		wg.Wait()
		return count.Load()
	}
}

const (
	zoneMinions   = 32
	allMillicores = zoneMinions * 64_000
)

func newLargeZone(t *testing.T) *testFleet {
	f := newTestFleet(t, 50*time.Millisecond)
	for i := range zoneMinions {
		f.minion("a", fmt.Sprint("m", i))
	}
	for i := range 3 {
		f.host(fmt.Sprint("a", i), "a")
	}
	f.await("all minions at the primary shard", func() bool { return f.capacity("a") == allMillicores })
	return f
}

// The number of shards of a zone changes while callers submit jobs: no job is lost, no task
// runs twice, and all minions are used afterwards.
func TestLayoutChangesUnderLoad(t *testing.T) {
	f := newLargeZone(t)
	stop := f.startCallers(6)
	for round, shards := range []int{2, 3, 1, 2} {
		previous := []int{1, 2, 3, 1}[round]
		f.setLayout("a", shards, previous)
		f.await(fmt.Sprintf("%d shards that use all minions", shards), func() bool {
			var sum uint32
			for index := range shards {
				c := f.capacity(rrelection.ShardName("a", index))
				if c == 0 {
					return false
				}
				sum += c
			}
			return sum == allMillicores
		})
		if n := f.hostsWithMinions(); n != shards {
			t.Errorf("got %d hosts that own minions, want %d", n, shards)
		}
	}
	if n := stop(); n < 50 {
		t.Errorf("got %d jobs, want 50 or more", n)
	}
	for _, line := range f.logLines("msg=replaced") {
		if strings.Contains(line, "minion=") {
			t.Errorf("a minion fenced off an owner: %s", line)
		}
	}
}

// If the owner of a shard other than the primary one is killed, another process takes the
// shard, and its jobs complete.
func TestSecondShardOwnerKilled(t *testing.T) {
	f := newLargeZone(t)
	f.setLayout("a", 2, 1)
	f.await("two shards", func() bool { return f.capacity("a") > 0 && f.capacity("a")+f.capacity("a/1") == allMillicores })
	owner := f.awaitOwner("a/1")
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			out := f.otherHost(owner).Submit(context.Background(), f.job(fmt.Sprintf("%016x", i)))
			if out.Kind != rrscheduler.OutcomeCompleted {
				t.Errorf("job %d: got %v %v, want %v", i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	owner.kill()
	wg.Wait()
	f.await("two shards again", func() bool { return f.capacity("a/1") > 0 && f.capacity("a")+f.capacity("a/1") == allMillicores })
}

// If an owner uses up its CPU cores, its zone gets another shard.
func TestOverloadedOwnerGetsSecondShard(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	start := time.Now()
	f.cpuTime = func(name string) time.Duration {
		if name == "a0" {
			return time.Since(start) * 35 / 100 // of 0.4 cores
		}
		return 0
	}
	for i := range zoneMinions {
		f.minion("a", fmt.Sprint("m", i))
	}
	f.host("a0", "a")
	f.awaitOwner("a")
	f.host("a1", "a")
	f.await("a second shard", func() bool { return f.capacity("a/1") > 0 })
	if got, want := f.awaitOwner("a/1"), f.hosts["a1"]; got != want {
		t.Errorf("owner of the second shard: got %s, want %s", got.Self.Name, want.Self.Name)
	}
}

// An owner takes a minion of another shard only under a fencing token that is newer than
// the layout, and only after the other owner has reported that it released the minion or is
// unreachable.
func TestCanTakeMinion(t *testing.T) {
	self := rrelection.Member{Name: "a1", Addr: "addr-1", Zone: "a", Incarnation: 1}
	other := rrelection.Owner{Name: "a0", Addr: "addr-0", Incarnation: 7, Revision: 4}
	const layout = 10
	newer := rrelection.Owner{Revision: layout + 1}.FencingToken()
	for _, tc := range []struct {
		name     string
		token    int64
		reported shardLoad
		dead     bool
		want     bool
	}{
		{"no report", newer, shardLoad{}, false, false},
		{"report of another incarnation", newer, shardLoad{incarnation: 6, hasExecutor: true, layoutRevision: layout}, false, false},
		{"report before the layout", newer, shardLoad{incarnation: 7, hasExecutor: true, layoutRevision: layout - 1}, false, false},
		{"still owned", newer, shardLoad{incarnation: 7, hasExecutor: true, layoutRevision: layout, foreignMinions: map[string]bool{"m": true}}, false, false},
		{"released", newer, shardLoad{incarnation: 7, hasExecutor: true, layoutRevision: layout}, false, true},
		{"released, older token", rrelection.Owner{Revision: layout - 1}.FencingToken(), shardLoad{incarnation: 7, hasExecutor: true, layoutRevision: layout}, false, false},
		{"shard retired", newer, shardLoad{incarnation: 7}, false, true},
		{"owner dead", newer, shardLoad{}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New(Options{Self: self, Zones: []string{"a"}})
			now := time.Now()
			h.election.SetOwner(now, "a", other)
			h.election.SetLayout(now, "a", rrelection.ShardLayout{Shards: 2, PreviousShards: 1, Revision: layout})
			h.loads["a"] = tc.reported
			if tc.dead {
				h.election.MarkDead(now, other.Addr)
			}
			if got := h.canTakeMinion("a/1", tc.token, rrscheduler.Minion{ID: "m", Zone: "a"}); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// An owner is killed while it hands off minions that still run tasks of its jobs. The next
// owner does not know these runs and must not start the tasks again.
func TestOwnerKilledDuringHandoff(t *testing.T) {
	f := newLargeZone(t)
	f.minions.runTime = 600 * time.Millisecond
	for _, m := range f.hosts {
		m.mu.Lock()
		m.lastStoreFailure = time.Time{} // as if the hosts had started long ago
		m.mu.Unlock()
	}
	owner := f.awaitOwner("a")
	entry := f.otherHost(owner)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			job := f.job(fmt.Sprintf("%016x", i))
			job.Phases[0].Resources.MilliCores = 27_000 // so that runs are spread over the minions
			out := entry.Submit(context.Background(), job)
			if out.Kind != rrscheduler.OutcomeCompleted && out.Kind != rrscheduler.OutcomeAbandoned {
				t.Errorf("job %d: got %v %v, want %v or %v", i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted, rrscheduler.OutcomeAbandoned)
			}
		})
		time.Sleep(25 * time.Millisecond)
		if i == 0 {
			f.setLayout("a", 2, 1)
		}
		if len(f.logLines("minion yields")) > 0 && !owner.dead {
			owner.kill()
		}
	}
	wg.Wait()
	if !owner.dead {
		t.Error("no minion was handed off")
	}
	f.await("all minions in use", func() bool { return f.capacity("a/1") > 0 && f.capacity("a")+f.capacity("a/1") == allMillicores })
}

// A process that can't compute its CPU utilization counts as idle, so that its zone gets no
// further shard.
func TestSetCPUUtilization(t *testing.T) {
	for _, tc := range []struct {
		cpuCores      float64
		elapsed, used time.Duration
		want          float64
	}{
		{0.5, time.Second, 400 * time.Millisecond, 0.8},
		{0, time.Second, 400 * time.Millisecond, 0},
		{0.5, 0, 400 * time.Millisecond, 0},
	} {
		h := New(Options{Self: rrelection.Member{CPUCores: tc.cpuCores}})
		h.setCPUUtilization(tc.elapsed, tc.used)
		if h.cpuUtilization != tc.want {
			t.Errorf("%v cores, %v used in %v: got %v, want %v", tc.cpuCores, tc.used, tc.elapsed, h.cpuUtilization, tc.want)
		}
	}
}

// A host that is alone owns all shards of its zone, and hands shards over to hosts that
// start later. Afterwards the zone returns to one shard.
func TestShardsSpreadOverHosts(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	for i := range zoneMinions {
		f.minion("a", fmt.Sprint("m", i))
	}
	f.host("a0", "a")
	f.await("all minions at the primary shard", func() bool { return f.capacity("a") == allMillicores })
	f.setLayout("a", 2, 1)
	allUsed := func() bool {
		return f.capacity("a") > 0 && f.capacity("a/1") > 0 && f.capacity("a")+f.capacity("a/1") == allMillicores
	}
	f.await("two shards of one host", allUsed)
	f.host("a1", "a")
	f.await("one shard each", func() bool { return f.hostsWithMinions() == 2 && allUsed() })
	f.setLayout("a", 1, 2)
	f.await("all minions at one shard again", func() bool { return f.capacity("a") == allMillicores && f.hostsWithMinions() == 1 })
}
