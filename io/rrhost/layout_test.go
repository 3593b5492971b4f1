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

// layout writes the layout of a zone into the store as the holder of its first seat does.
func (w *world) layout(zone string, parts, was int) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put(rrstore.Put{Key: layoutPrefix + zone, Value: fmt.Appendf(nil, `{"parts":%d,"was":%d}`, parts, was)})
}

// capacity returns the cores of the minions that the keeper of a seat uses, zero without a
// keeper.
func (w *world) capacity(seat string) uint32 {
	for _, m := range w.hosts {
		if k := m.keeper(seat); k != nil && !m.dead {
			return k.Load().CapacityMillicores
		}
	}
	return 0
}

// lines returns the log lines of all hosts that contain a text.
func (w *world) lines(part string) []string {
	var out []string
	for _, b := range w.books {
		text, err := io.ReadAll(b.reader())
		if err != nil {
			w.t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, part) {
				out = append(out, line)
			}
		}
	}
	return out
}

// busyHosts returns how many hosts keep minions.
func (w *world) busyHosts() int {
	n := 0
	for _, m := range w.hosts {
		m.mu.Lock()
		for _, held := range m.held {
			if len(held) > 0 {
				n++
				break
			}
		}
		m.mu.Unlock()
	}
	return n
}

// await waits until ok holds.
func (w *world) await(what string, ok func() bool) {
	w.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("not seen in time: %s\n%s", what, strings.Join(w.lines(""), ""))
}

// callers hand jobs in at all live hosts until stop is called, which returns how many.
func (w *world) callers(n int) (stop func() int64) {
	var count atomic.Int64
	var wg sync.WaitGroup
	end := make(chan struct{})
	var live []*member
	for _, m := range w.hosts {
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
				if m.leaving.Load() {
					continue
				}
				out := m.Submit(context.Background(), w.job(fmt.Sprintf("%08x%08x", c, i)))
				if out.Kind != rrscheduler.OutcomeCompleted {
					w.t.Errorf("caller %d, job %d: got %v %v, want %v", c, i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted)
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
	fleetSize = 32
	allCores  = fleetSize * 64_000
)

func newDivided(t *testing.T) *world {
	w := newWorld(t, 50*time.Millisecond)
	for i := range fleetSize {
		w.minion("a", fmt.Sprint("m", i))
	}
	for i := range 3 {
		w.host(fmt.Sprint("a", i), "a")
	}
	w.await("all minions at the first seat", func() bool { return w.capacity("a") == allCores })
	return w
}

// A zone's minions are divided among two keepers and put together again while callers
// hand jobs in: no job is lost, no task runs twice, and every minion is used afterwards.
func TestDividedUnderLoad(t *testing.T) {
	w := newDivided(t)
	stop := w.callers(6)
	for round, parts := range []int{2, 3, 1, 2} {
		was := []int{1, 2, 3, 1}[round]
		w.layout("a", parts, was)
		w.await(fmt.Sprintf("%d seats that use all minions", parts), func() bool {
			var sum uint32
			for part := range parts {
				c := w.capacity(rrelection.ShardName("a", part))
				if c == 0 {
					return false
				}
				sum += c
			}
			return sum == allCores
		})
		if n := w.busyHosts(); n != parts {
			t.Errorf("got %d hosts that keep minions, want %d", n, parts)
		}
	}
	if n := stop(); n < 50 {
		t.Errorf("got %d jobs, want 50 or more", n)
	}
	for _, line := range w.lines("msg=replaced") {
		if strings.Contains(line, "minion=") {
			t.Errorf("a keeper was shut out by a minion: %s", line)
		}
	}
}

// The keeper of a part dies: another process takes the part, and its jobs end well.
func TestKeeperOfAPartKilled(t *testing.T) {
	w := newDivided(t)
	w.layout("a", 2, 1)
	w.await("two seats", func() bool { return w.capacity("a") > 0 && w.capacity("a")+w.capacity("a/1") == allCores })
	lost := w.holder("a/1")
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			out := w.other(lost).Submit(context.Background(), w.job(fmt.Sprintf("%016x", i)))
			if out.Kind != rrscheduler.OutcomeCompleted {
				t.Errorf("job %d: got %v %v, want %v", i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	lost.kill()
	wg.Wait()
	w.await("two seats again", func() bool { return w.capacity("a/1") > 0 && w.capacity("a")+w.capacity("a/1") == allCores })
}

// A keeper that uses up its processor time gets help.
func TestBusyKeeperIsRelieved(t *testing.T) {
	w := newWorld(t, 50*time.Millisecond)
	start := time.Now()
	w.used = func(name string) time.Duration {
		if name == "a0" {
			return time.Since(start) * 35 / 100 // of a share of 0.4
		}
		return 0
	}
	for i := range fleetSize {
		w.minion("a", fmt.Sprint("m", i))
	}
	w.host("a0", "a")
	w.holder("a")
	w.host("a1", "a")
	w.await("a second seat", func() bool { return w.capacity("a/1") > 0 })
	if got, want := w.holder("a/1"), w.hosts["a1"]; got != want {
		t.Errorf("holder of the second seat: got %s, want %s", got.Self.Name, want.Self.Name)
	}
}

// A keeper takes a minion that another seat had only under a token that is newer than the
// layout, and once the other one has said that it let the minion go or can't be reached.
func TestReleased(t *testing.T) {
	self := rrelection.Member{Name: "a1", Addr: "addr-1", Zone: "a", Incarnation: 1}
	other := rrelection.Owner{Name: "a0", Addr: "addr-0", Incarnation: 7, Revision: 4}
	const layout = 10
	newer := rrelection.Owner{Revision: layout + 1}.FencingToken()
	for _, tc := range []struct {
		name  string
		token int64
		said  seatLoad
		dead  bool
		want  bool
	}{
		{"not heard of", newer, seatLoad{}, false, false},
		{"of another life", newer, seatLoad{life: 6, kept: true, layout: layout}, false, false},
		{"before the layout", newer, seatLoad{life: 7, kept: true, layout: layout - 1}, false, false},
		{"still held", newer, seatLoad{life: 7, kept: true, layout: layout, outside: map[string]bool{"m": true}}, false, false},
		{"let go", newer, seatLoad{life: 7, kept: true, layout: layout}, false, true},
		{"let go, older token", rrelection.Owner{Revision: layout - 1}.FencingToken(), seatLoad{life: 7, kept: true, layout: layout}, false, false},
		{"given up", newer, seatLoad{life: 7}, false, true},
		{"holder dead", newer, seatLoad{}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := New(Options{Self: self, Zones: []string{"a"}})
			now := time.Now()
			h.council.SetOwner(now, "a", other)
			h.council.SetLayout(now, "a", rrelection.ShardLayout{Shards: 2, PreviousShards: 1, Revision: layout})
			h.loads["a"] = tc.said
			if tc.dead {
				h.council.MarkDead(now, other.Addr)
			}
			if got := h.released("a/1", tc.token, rrscheduler.Minion{ID: "m", Zone: "a"}); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// The keeper that gives minions away dies while tasks of its jobs still run there: the next
// one does not know of them, and must not start them again.
func TestGiverKilled(t *testing.T) {
	w := newDivided(t)
	w.minions.work = 600 * time.Millisecond
	for _, m := range w.hosts {
		m.mu.Lock()
		m.trouble = time.Time{} // as if the hosts had run for long
		m.mu.Unlock()
	}
	giver := w.holder("a")
	entry := w.other(giver)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			job := w.job(fmt.Sprintf("%016x", i))
			job.Phases[0].Resources.MilliCores = 27_000 // so that runs are spread over the minions
			out := entry.Submit(context.Background(), job)
			if out.Kind != rrscheduler.OutcomeCompleted && out.Kind != rrscheduler.OutcomeAbandoned {
				t.Errorf("job %d: got %v %v, want %v or %v", i, out.Kind, out.Reason, rrscheduler.OutcomeCompleted, rrscheduler.OutcomeAbandoned)
			}
		})
		time.Sleep(25 * time.Millisecond)
		if i == 0 {
			w.layout("a", 2, 1)
		}
		if len(w.lines("minion yields")) > 0 && !giver.dead {
			giver.kill()
		}
	}
	wg.Wait()
	if !giver.dead {
		t.Error("no minion was given away")
	}
	w.await("all minions in use", func() bool { return w.capacity("a/1") > 0 && w.capacity("a")+w.capacity("a/1") == allCores })
}

// A process that can't tell how busy it is does not ask for help.
func TestBusyUnknown(t *testing.T) {
	for _, tc := range []struct {
		share       float64
		while, used time.Duration
		want        float64
	}{
		{0.5, time.Second, 400 * time.Millisecond, 0.8},
		{0, time.Second, 400 * time.Millisecond, 0},
		{0.5, 0, 400 * time.Millisecond, 0},
	} {
		h := New(Options{Self: rrelection.Member{CPUCores: tc.share}})
		h.setBusy(tc.while, tc.used)
		if h.busy != tc.want {
			t.Errorf("share %v, %v used in %v: got %v, want %v", tc.share, tc.used, tc.while, h.busy, tc.want)
		}
	}
}

// A host that is alone holds all seats of its zone. Others that come later get theirs, and
// the zone is put together again.
func TestSeatsSpread(t *testing.T) {
	w := newWorld(t, 50*time.Millisecond)
	for i := range fleetSize {
		w.minion("a", fmt.Sprint("m", i))
	}
	w.host("a0", "a")
	w.await("all minions at the first seat", func() bool { return w.capacity("a") == allCores })
	w.layout("a", 2, 1)
	whole := func() bool {
		return w.capacity("a") > 0 && w.capacity("a/1") > 0 && w.capacity("a")+w.capacity("a/1") == allCores
	}
	w.await("two seats of one host", whole)
	w.host("a1", "a")
	w.await("one seat each", func() bool { return w.busyHosts() == 2 && whole() })
	w.layout("a", 1, 2)
	w.await("all minions at one seat again", func() bool { return w.capacity("a") == allCores && w.busyHosts() == 1 })
}
