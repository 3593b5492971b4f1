package rrhost

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
	"rattanring/io/rrstore"
)

// write puts an item that another writer leaves in the store.
func (f *testFleet) write(key, value string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.put(rrstore.Put{Key: key, Value: []byte(value)})
}

// awaitCondition waits until ok holds.
func (f *testFleet) awaitCondition(what string, ok func() bool) {
	f.t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("waited in vain: %s", what)
}

// The registration of a living minion turns unreadable. Its runs go on and start nowhere else, it gets
// no new tasks, each revision is logged once, and it is used again once the registration is readable.
func TestUnreadableRegistration(t *testing.T) {
	f := newTestFleet(t, 1500*time.Millisecond)
	f.minion("a", "m1")
	h := f.host("a0", "a")
	f.awaitOwner("a")
	end := f.submitJobs(h, "j", 1)
	f.awaitCondition("two runs", func() bool { return f.minions.started() == 2 })
	f.write("minions/m1", "?")
	f.write("minions/m2", strings.Repeat("[", 20_000))
	unusable := func() bool { return h.executor("a").Load().CapacityMillicores == 0 }
	f.awaitCondition("the minion gets no new tasks", unusable)
	late := f.submitJobs(h, "late", 1)
	if got := end()[rrscheduler.OutcomeCompleted]; got != 1 {
		t.Errorf("completed: got %d jobs, want 1", got)
	}
	if got, want := f.minions.started(), 2; got != want {
		t.Errorf("starts while the registration is unreadable: got %d, want %d", got, want)
	}
	f.minion("a", "m1")
	if got := late()[rrscheduler.OutcomeCompleted]; got != 1 {
		t.Errorf("completed once it can be read: got %d jobs, want 1", got)
	}
	for range 3 {
		h.applyRegistrations(true, toEvents(f.storeItems("minions/")), 0, time.Now())
	}
	for _, id := range []string{"m1", "m2"} {
		if got, want := strings.Count(f.logOf("a0").String(), "key=minions/"+id), 1; got != want {
			t.Errorf("log lines on %s: got %d, want %d", id, got, want)
		}
	}
}

func (f *testFleet) storeItems(prefix string) []rrstore.Item {
	items, _, err := f.store.List(context.Background(), prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	return items
}

// A shard's item that names no owner is replaced, by its owner and by a successor.
func TestUnreadableOwner(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	f.host("a0", "a")
	f.host("a1", "a")
	owner := f.awaitOwner("a")
	f.write(shardPrefix+"a", `{"name":7}`)
	f.awaitCondition("the owner writes its item anew", func() bool {
		r, err := decodeMember(f.storeItems(shardPrefix + "a")[0].Value)
		return err == nil && r.Name == owner.Self.Name
	})
	owner.kill()
	f.write(shardPrefix+"a", "")
	next := f.awaitOwner("a")
	out := next.Submit(context.Background(), f.job("j"))
	if got, want := out.Kind, rrscheduler.OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// Odd members, layouts and shards of another writer change nothing.
func TestOddFleetItems(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	h := f.host("a0", "a")
	f.awaitOwner("a")
	for i, odd := range []struct{ key, value string }{
		{"member/x", "{"},
		{"member/y", `{"name":"y","addr":"127.0.0.1:70000","zone":"a","share":64,"life":1}`},
		{"member/z", `{"name":"z","addr":"127.0.0.1:1","zone":"a","share":1e300,"life":1}`},
		{"member/w", `{"name":"a0","addr":"127.0.0.1:1","zone":"a","share":64,"life":1}`},
		{"layout/a", `{"parts":4294967295,"was":1}`},
		{"layout/a", `{"parts":-1}`},
		{"layout/a", `{"parts":1e999}`},
		{"seat/nowhere", `{"name":"a9","addr":"127.0.0.1:1","zone":"nowhere","share":1,"life":1}`},
		{"seat/a/4000000", `{"name":"a9","addr":"127.0.0.1:1","zone":"a","share":1,"life":1}`},
	} {
		f.write(fleetPrefix+odd.key, odd.value)
		f.awaitCondition(fmt.Sprintf("item %d is logged", i), func() bool { return strings.Count(f.logOf("a0").String(), "item of the store not readable") == i+1 })
	}
	out := h.Submit(context.Background(), f.job("j"))
	if got, want := out.Kind, rrscheduler.OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if got, want := len(h.election.Members()), 1; got != want {
		t.Errorf("members: got %d, want %d", got, want)
	}
	if got, want := h.election.Layout("a").ShardCount(), 1; got != want {
		t.Errorf("shards: got %d, want %d", got, want)
	}
}

// Minions report every second or so that they live. Only what changes goes to the other processes of the
// zone: all registrations of a large zone each second would fill the link of their source.
func TestReportsWithoutNewsAreNotCopied(t *testing.T) {
	f := newTestFleet(t, 50*time.Millisecond)
	f.minion("a", "m1")
	f.minion("a", "m2")
	h := f.host("a0", "a")
	f.awaitOwner("a")
	revision := func() int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.registrationsRevision
	}
	before := revision()
	events := toEvents(f.storeItems("minions/"))
	for range 5 {
		h.applyRegistrations(false, events, 0, time.Now())
	}
	if got := revision(); got != before {
		t.Errorf("revision after reports without news: got %d, want %d", got, before)
	}
	events[0].Item.Value = append(events[0].Item.Value, " leaves"...)
	h.applyRegistrations(false, events, 0, time.Now())
	if got, want := revision(), before+1; got != want {
		t.Errorf("revision after a leaving report: got %d, want %d", got, want)
	}
}
