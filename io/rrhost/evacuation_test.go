package rrhost

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrmetric"
	"rattanring/io/rrstore"
	"rattanring/io/rrwire"
)

// newEvacuationFleet returns a fleet whose operators evacuate zones, with two minions in each zone.
func newEvacuationFleet(t *testing.T) *testFleet {
	f := newTestFleet(t, 50*time.Millisecond)
	f.evacuateWithin = 5 * time.Second
	for _, zone := range f.zones {
		f.minion(zone, zone+"-m1")
		f.minion(zone, zone+"-m2")
	}
	return f
}

func (f *testFleet) evacuate(zone string) { f.write("op/evacuate/"+zone, "{}") }

func (f *testFleet) restore(zone string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.remove("op/evacuate/" + zone)
}

// awaitEvacuated waits until a host knows whether a zone is evacuated.
func (f *testFleet) awaitEvacuated(h *testHost, zone string, want bool) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s knows that %s is evacuated: %v", h.Self.Name, zone, want), func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.evacuations.told() && h.zoneEvacuated(zone) == want
	})
}

// startsIn returns the number of runs that have ended or run on the minions of a zone.
func (f *testFleet) startsIn(zone string) int {
	f.minions.mu.Lock()
	defer f.minions.mu.Unlock()
	n := 0
	for id, ended := range f.minions.lastEndSeq {
		if strings.HasPrefix(id, zone) {
			n += int(ended)
		}
	}
	for id, running := range f.minions.running {
		if strings.HasPrefix(id, zone) {
			n += len(running)
		}
	}
	return n
}

// submitAll submits jobs at a host one after the other and fails unless all end like this.
func (f *testFleet) submitAll(h *testHost, name string, n int, kind rrscheduler.OutcomeKind, reason rrscheduler.Reason) {
	f.t.Helper()
	for i := range n {
		out := h.Submit(context.Background(), f.job(fmt.Sprint(name, i)))
		if out.Kind != kind || out.Reason != reason || out.Kind == rrscheduler.OutcomeRefused && out.RetryAfter == 0 {
			f.t.Errorf("%s%d: got %v %v, retry after %v, want %v %v", name, i, out.Kind, out.Reason, out.RetryAfter, kind, reason)
		}
	}
}

// A zone is evacuated and put back in use, then both are evacuated. Callers of the evacuated zone are
// served by the other one; with all zones evacuated everything is refused, and hosts stay ready.
func TestEvacuateAndRestore(t *testing.T) {
	f := newEvacuationFleet(t)
	a, b := f.host("a0", "a"), f.host("b0", "b")
	f.awaitOwner("a")
	f.awaitOwner("b")
	f.write("op/note", "of the operators")
	f.evacuate("a")
	f.awaitEvacuated(a, "a", true)
	f.await("no capacity", func() bool { return f.capacity("a") == 0 })
	before := f.startsIn("a")
	f.submitAll(a, "served", 5, rrscheduler.OutcomeCompleted, "")
	if got := f.startsIn("a"); got != before {
		t.Errorf("starts in the evacuated zone: got %d, want %d", got, before)
	}
	f.evacuate("b")
	f.awaitEvacuated(b, "b", true)
	f.await("no capacity", func() bool { return f.capacity("b") == 0 })
	f.submitAll(b, "refused", 2, rrscheduler.OutcomeRefused, rrscheduler.ReasonEvacuated)
	if !a.Ready() || !b.Ready() {
		t.Error("a host of an evacuated zone is not ready")
	}
	f.restore("a")
	f.awaitEvacuated(a, "a", false)
	f.await("capacity again", func() bool { return f.capacity("a") > 0 })
	f.submitAll(a, "again", 5, rrscheduler.OutcomeCompleted, "")
	if got := f.startsIn("a"); got == before {
		t.Error("starts in the zone that is back in use: got none")
	}
	if got := len(f.logLines(`msg="zone evacuated" zone=a`)); got != 2 {
		t.Errorf("lines about the evacuation of a: got %d, want one of each host", got)
	}
}

// A host of an evacuated zone reaches no other zone. If it stayed ready, the load balancer would go on sending it
// callers that it can only refuse.
func TestIsolatedHostOfEvacuatedZone(t *testing.T) {
	f := newEvacuationFleet(t)
	var cut atomic.Bool
	b := f.host("b0", "b")
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if cut.Load() && addr == b.Self.Addr {
			return nil, errUnreachable
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	a := f.hostWithDialer("a0", "a", dial)
	f.awaitOwner("a")
	f.awaitOwner("b")
	f.evacuate("a")
	f.awaitEvacuated(a, "a", true)
	f.submitAll(a, "served", 1, rrscheduler.OutcomeCompleted, "")
	cut.Store(true)
	f.await("the isolated host is not ready", func() bool {
		a.peers.http.Transport.(*headerFilter).next.(*http.Transport).CloseIdleConnections()
		return !a.Ready()
	})
	if !b.Ready() {
		t.Error("the host of the zone in use is not ready")
	}
	f.submitAll(a, "refused", 1, rrscheduler.OutcomeRefused, rrscheduler.ReasonEvacuated)
	late := f.hostWithDialer("a1", "a", dial) // one host that is ready would keep the callers in the zone
	f.awaitEvacuated(late, "a", true)
	if late.Ready() {
		t.Error("a host that has started in the isolated zone is ready")
	}
	cut.Store(false)
	f.await("the host is ready again", a.Ready)
	f.submitAll(a, "again", 1, rrscheduler.OutcomeCompleted, "")
}

// The store is unreachable when a process starts in an evacuated zone, whose owner then dies. The
// process learns of the evacuation from a peer, and as the new owner starts nothing.
func TestEvacuationLearnedFromPeer(t *testing.T) {
	f := newEvacuationFleet(t)
	a, b := f.host("a0", "a"), f.host("b0", "b")
	f.awaitOwner("a")
	f.awaitOwner("b")
	f.evacuate("a")
	f.awaitEvacuated(a, "a", true)
	f.awaitEvacuated(b, "a", true)
	before := f.startsIn("a")
	f.store.setUnreachable(true)
	f.seeds = []string{a.Self.Addr}
	next := f.host("a1", "a")
	f.awaitEvacuated(next, "a", true)
	f.awaitRegistrationCopy(next)
	a.kill()
	f.await("the next owner", func() bool { return next.executor("a") != nil })
	f.submitAll(next, "j", 3, rrscheduler.OutcomeCompleted, "")
	if got := f.startsIn("a"); got != before {
		t.Errorf("starts in the evacuated zone: got %d, want %d", got, before)
	}
}

// The operators' items can't be read when all processes have just started. An owner waits for a while,
// then takes all zones for in use, since it would serve nobody otherwise, and says so. It keeps to an
// evacuation as soon as it reads of it.
func TestEvacuationsUnknownAtStart(t *testing.T) {
	f := newEvacuationFleet(t)
	f.store.failing = "op/"
	f.evacuate("a")
	a := f.host("a0", "a")
	f.host("b0", "b")
	f.awaitOwner("a")
	f.awaitOwner("b")
	f.submitAll(a, "early", 1, rrscheduler.OutcomeCompleted, "")
	if got := len(f.logLines("evacuated zones not known")); got == 0 {
		t.Error("lines that say that the evacuated zones are not known: got none")
	}
	f.store.mu.Lock()
	f.store.failing = ""
	f.store.mu.Unlock()
	f.awaitEvacuated(a, "a", true)
	f.await("no capacity", func() bool { return f.capacity("a") == 0 })
	before := f.startsIn("a")
	f.submitAll(a, "late", 3, rrscheduler.OutcomeCompleted, "")
	if got := f.startsIn("a"); got != before {
		t.Errorf("starts in the evacuated zone: got %d, want %d", got, before)
	}
}

// Both shards of a zone are evacuated. The owner of the second one forwards to other zones, too, and the
// primary one forwards nothing to the second.
func TestEvacuationOfDividedZone(t *testing.T) {
	f := newEvacuationFleet(t)
	for i := range zoneMinions {
		f.minion("a", fmt.Sprint("a-m", i))
	}
	a, other := f.host("a0", "a"), f.host("a1", "a")
	f.host("b0", "b")
	f.awaitOwner("b")
	f.setLayout("a", 2, 1)
	f.await("both shards have minions", func() bool { return f.capacity("a") > 0 && f.capacity("a/1") > 0 })
	f.evacuate("a")
	f.await("no capacity", func() bool { return f.capacity("a") == 0 && f.capacity("a/1") == 0 })
	before := f.startsIn("a")
	f.submitAll(a, "j", 5, rrscheduler.OutcomeCompleted, "")
	second := &submission{host: other.Host, job: f.job("second"), shard: "a/1", waitingSince: time.Now()}
	if out := second.run(context.Background()); out.Kind != rrscheduler.OutcomeCompleted {
		t.Errorf("at the second shard: got %v %v, want %v", out.Kind, out.Reason, rrscheduler.OutcomeCompleted)
	}
	if got := f.startsIn("a"); got != before {
		t.Errorf("starts in the evacuated zone: got %d, want %d", got, before)
	}
}

// A process that goes on after a pause may have missed an evacuation. An owner that it then becomes must
// not be told that the zone is in use before the store or a peer has said so.
func TestEvacuationsInDoubtAfterPause(t *testing.T) {
	h := newEvacuationHost()
	h.applyOperatorItems("read", true, nil, 10, time.Now())
	if !h.evacuations.told() {
		t.Fatal("not told by a list")
	}
	h.noticePause()
	h.evacuations.lastRound = h.evacuations.lastRound.Add(-maxProcessPause - time.Second)
	asked := time.Now()
	h.noticePause()
	if h.evacuations.told() {
		t.Error("told after a pause")
	}
	h.applyOperatorItems("watch", false, nil, 10, asked)
	if h.evacuations.told() {
		t.Error("told by an answer to a call that was made before the pause")
	}
	h.applyOperatorItems("watch", false, nil, 11, time.Now())
	if !h.evacuations.told() {
		t.Error("not told by a watch after the pause")
	}
}

// A watch that goes on after a pause of the process or of the store shows an evacuation that may be
// older than the time within which starts must end. Started jobs must then get no or less further time.
func TestStartsUntilAfterLateWatch(t *testing.T) {
	for _, tc := range []struct {
		name        string
		silent      time.Duration // since the store's last answer
		paused      bool
		least, most time.Duration // further time for starts; zero for none
	}{
		{"watch in time", 1300 * time.Millisecond, false, 1250 * time.Millisecond, 1250 * time.Millisecond},
		{"store silent for a while", 2500 * time.Millisecond, false, 400 * time.Millisecond, 500 * time.Millisecond},
		{"store silent for long", 4 * time.Second, false, 0, 0},
		{"process was suspended and its clock stood still", 100 * time.Millisecond, true, 0, 0},
	} {
		h := newEvacuationHost()
		now := time.Now()
		h.applyOperatorItems("read", true, nil, 10, now.Add(-tc.silent))
		if tc.paused {
			h.evacuations.lastBoot -= maxProcessPause + time.Second
		}
		h.applyOperatorItems("watch", false, []rrstore.Event{{Item: rrstore.Item{Key: "op/evacuate/a", Mod: 11}}}, 11, now)
		elapsed := time.Since(now) // the time of the decision lies between
		if got := max(h.evacuations.startsUntil["a"].Sub(now), 0); got < tc.least || got > tc.most+elapsed {
			t.Errorf("%s: starts for %v more, want %v to %v", tc.name, got, tc.least, tc.most)
		}
	}
}

func newEvacuationHost() *Host {
	return New(Options{Zones: []string{"a", "b"}, Keys: testKeys, EvacuateWithin: 5 * time.Second, Decoder: testDecoder{}, Logger: log.NewNopLogger(), Metrics: &rrmetric.Metrics{}})
}

// One unusual item must neither end the process nor hide an evacuation: the item's key is the request.
func TestUnusualEvacuationItems(t *testing.T) {
	item := func(key, value string, mod int64) rrstore.Event {
		return rrstore.Event{Item: rrstore.Item{Key: key, Value: []byte(value), Mod: mod}}
	}
	h := newEvacuationHost()
	h.applyOperatorItems("read", true, []rrstore.Event{
		item("op/evacuate/a", strings.Repeat("[", 20_000), 12), item("op/evacuate/unknown", "null", 13), item("op/evacuate/b", "", 0),
		item("op/evacuate/", "{}", 14), item("op/evacuated/c", "{}", 15), item("op/x", "?", 16),
	}, 20, time.Now())
	want := map[string]bool{"a": true, "b": true, "unknown": true}
	if got := h.evacuations.state.EvacuatedZones(); !maps.Equal(got, want) {
		t.Errorf("evacuated: got %v, want %v", got, want)
	}
	if got := h.evacuations.startsUntil; len(got) != 0 {
		t.Errorf("learned from a list: got %v, want no time for further starts", got)
	}
	h.applyOperatorItems("watch", false, []rrstore.Event{{Deleted: true, Item: rrstore.Item{Key: "op/evacuate/a", Mod: 21}}, item("op/evacuate/z", "?", 0)}, 22, time.Now())
	want = map[string]bool{"b": true, "unknown": true, "z": true}
	if got := h.evacuations.state.EvacuatedZones(); !maps.Equal(got, want) {
		t.Errorf("evacuated after the watch: got %v, want %v", got, want)
	}
	if h.evacuations.startsUntil["z"].IsZero() {
		t.Error("learned from a watch: got no time for further starts")
	}
}

// Hosts that hear of changes by watches, lists and peers, late and repeatedly, end with what the store
// says, and none of them returns to something older in between.
func TestEvacuationsNeverOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		hosts := []*Host{newEvacuationHost(), newEvacuationHost()}
		items := make(map[string]rrstore.Item)
		revision := int64(10)
		var late []func()
		list := func(h *Host) func() {
			var events []rrstore.Event
			for _, it := range items {
				events = append(events, rrstore.Event{Item: it})
			}
			at := revision
			return func() { h.applyOperatorItems("read", true, events, at, time.Now()) }
		}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			h := hosts[rnd.IntN(2)]
			late = append(late, list(h))
			key := "op/evacuate/" + rapid.SampledFrom([]string{"a", "b", "z"}).Draw(t, "zone")
			_, deleted := items[key]
			revision++
			event := rrstore.Event{Deleted: deleted, Item: rrstore.Item{Key: key, Mod: revision}}
			items[key] = event.Item
			if deleted {
				delete(items, key)
			}
			at := revision
			late = append(late, func() { h.applyOperatorItems("watch", false, []rrstore.Event{event}, at, time.Now()) })
			page := hosts[1].state()
			late = append(late, func() { hosts[0].applyEvacuationsPageLocked(page) })
			for range rnd.IntN(4) {
				late[rnd.IntN(len(late))]()
			}
		}
		list(hosts[1])()
		hosts[0].applyEvacuationsPageLocked(hosts[1].state())
		for range 5 {
			late[rnd.IntN(len(late))]()
		}
		for i, h := range hosts {
			for _, zone := range []string{"a", "b", "z"} {
				_, want := items["op/evacuate/"+zone]
				if got := h.zoneEvacuated(zone); got != want {
					t.Errorf("host %d, zone %s: got %v, want %v", i, zone, got, want)
				}
			}
		}
	})
}

func (h *Host) applyEvacuationsPageLocked(page *rrwire.Page) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyEvacuationsPage(page, 0, time.Now())
}

// forwardingOwner is an owner of two shards that forwards each job to the other one.
type forwardingOwner struct {
	rrwire.Keeper
	handed int
}

// Hand implements rrwire.Keeper.
func (o *forwardingOwner) Hand(_ context.Context, order *rrwire.Order) (*rrwire.Ending, error) {
	o.handed++
	next := map[string]string{"a": "b", "b": "a"}[order.GetSeat()]
	return &rrwire.Ending{Kind: uint32(rrscheduler.OutcomeForwarded), Reason: string(rrscheduler.ReasonEvacuated), Seat: next}, nil
}

// Owners that know of different evacuations may forward a job to each other. It must not go round for
// long, and be refused truthfully.
func TestForwardsEnd(t *testing.T) {
	keeper := &forwardingOwner{}
	server := httptest.NewServer(rrwire.NewKeeperServer(keeper))
	defer server.Close()
	h := newEvacuationHost()
	h.Self.Zone = "a"
	for _, shard := range h.Zones {
		h.setOwner(time.Now(), shard, rrelection.Owner{Name: "x", Addr: strings.TrimPrefix(server.URL, "http://"), Incarnation: 1, Revision: 5})
	}
	now := time.Now()
	out := h.Submit(context.Background(), rrscheduler.Job{ID: "j", ReceivedAt: now, Deadline: now.Add(time.Minute)})
	if out.Kind != rrscheduler.OutcomeRefused || out.Reason != rrscheduler.ReasonEvacuated || out.RetryAfter == 0 {
		t.Errorf("outcome: got %v %v, retry after %v, want %v %v", out.Kind, out.Reason, out.RetryAfter, rrscheduler.OutcomeRefused, rrscheduler.ReasonEvacuated)
	}
	if got, want := keeper.handed, 1+maxForwards; got != want {
		t.Errorf("owners that got the job: got %d, want %d", got, want)
	}
}
