package rrbudget

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// When the memory is used up, the slowest of the requests that hold a fair share gives way, and the
// request that asked goes on when it has ended.
func TestSlowestGivesWay(t *testing.T) {
	b := New(100)
	for id, received := range []int64{10, 39, 40, 1} {
		b.Grow(at(0), ID(id), []int64{30, 30, 35, 5}[id])
		b.Received(ID(id), received)
	}
	if got, want := b.Grow(at(1), 9, 20), (Effects{Stopped: []ID{0}}); !reflect.DeepEqual(got, want) {
		t.Errorf("Grow: got %+v, want %+v", got, want)
	}
	if got, want := b.End(0), (Effects{Granted: []ID{9}}); !reflect.DeepEqual(got, want) {
		t.Errorf("End: got %+v, want %+v", got, want)
	}
}

// Decoded jobs don't give way. A request that finds the memory full of them is refused at once instead of
// waiting.
func TestRefusedAtOnceWhenKeptFillsMemory(t *testing.T) {
	b := New(40)
	b.Grow(at(0), 1, 40)
	if ok, _ := b.Keep(1, 40); !ok {
		t.Fatal("Keep: got false, want true")
	}
	if got, want := b.Grow(at(1), 2, 1), (Effects{Stopped: []ID{2}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Large decoded jobs leave half of the memory to small ones.
func TestLargeJobsLeaveHalf(t *testing.T) {
	const limit = 8 * smallBytes
	b := New(limit)
	for id, tt := range []struct {
		n    int64
		want bool
	}{{2 * smallBytes, true}, {2 * smallBytes, true}, {smallBytes + 1, false}, {smallBytes, true}} {
		b.Grow(at(0), ID(id), tt.n)
		got, _ := b.Keep(ID(id), tt.n)
		if got != tt.want {
			t.Errorf("request %d of %d bytes: got %t, want %t", id, tt.n, got, tt.want)
		}
		if !got {
			b.End(ID(id))
		}
	}
}

// A thousand large bodies take all memory and wait for more. A small request that comes then goes on as soon as one of
// them has given way, and before the others.
func TestNewRequestGoesFirst(t *testing.T) {
	const large = 1000
	b := New(large * 100)
	for id := range ID(large) {
		b.Grow(at(0), id, 100)
		b.Received(id, 100)
	}
	var stopped []ID
	for id := range ID(large) {
		stopped = append(stopped, b.Grow(at(1), id, 100).Stopped...)
	}
	e := b.Grow(at(1), large, 50)
	stopped = append(stopped, e.Stopped...)
	if len(e.Granted) != 0 || slices.Contains(stopped, large) {
		t.Fatalf("got %+v, want the small request to wait", e)
	}
	if got, want := b.End(stopped[0]).Granted, []ID{large}; !slices.Equal(got, want) {
		t.Errorf("granted when a large body has given way: got %v, want %v", got, want)
	}
}

func TestSetLimit(t *testing.T) {
	b := New(100)
	b.Grow(at(0), 1, 60)
	b.Grow(at(0), 2, 40)
	b.Received(2, 40)
	if got, want := b.SetLimit(at(1), 50), (Effects{Stopped: []ID{1}}); !reflect.DeepEqual(got, want) {
		t.Errorf("lower: got %+v, want %+v", got, want)
	}
	if got := b.Grow(at(1), 3, 5); len(got.Granted)+len(got.Stopped) != 0 {
		t.Errorf("Grow: got %+v, want to wait", got)
	}
	if got, want := b.SetLimit(at(1), 200), (Effects{Granted: []ID{3}}); !reflect.DeepEqual(got, want) {
		t.Errorf("higher: got %+v, want %+v", got, want)
	}
}

// With any requests in any order, the memory stays under the limit, each request that waits is granted or
// stopped once, and none waits while no other holds anything.
func TestAnyRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := New(limit)
		pending, live := make(map[ID]bool), make(map[ID]bool)
		apply := func(e Effects) {
			for _, id := range slices.Concat(e.Granted, e.Stopped) {
				if !pending[id] && slices.Contains(e.Granted, id) {
					t.Fatalf("request %d was granted and did not wait", id)
				}
				delete(pending, id)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := ID(rapid.IntRange(1, 8).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if r := b.requests[id]; r != nil && (r.stopped || r.kept || pending[id]) {
					continue
				}
				live[id], pending[id] = true, true
				apply(b.Grow(at(i), id, int64(rapid.IntRange(1, limit*5/4).Draw(t, "bytes"))))
				b.Received(id, int64(rapid.IntRange(0, 100).Draw(t, "received")))
			case 2:
				if r := b.requests[id]; r != nil && !pending[id] {
					_, e := b.Keep(id, r.held)
					apply(e)
				}
			case 3:
				delete(pending, id)
				delete(live, id)
				apply(b.End(id))
			}
			if b.used > limit || b.used < 0 {
				t.Fatalf("got %d bytes in use, want at most %d", b.used, limit)
			}
			if len(pending) == len(live) && b.used == 0 && len(pending) > 0 {
				t.Fatalf("%d requests wait and none holds anything", len(pending))
			}
		}
		for id := range live {
			apply(b.End(id))
		}
		if b.used != 0 || b.stopping != 0 || b.wanted != 0 || b.keptLarge != 0 || len(b.waiting[classNew])+len(b.waiting[classMore]) != 0 {
			t.Fatalf("after the end: got %+v, want nothing in use", b)
		}
	})
}

// BenchmarkGiveWay measures one request that gives way among as many as the smallest machine has connections.
func BenchmarkGiveWay(b *testing.B) {
	const requests = 1152
	budget := New(requests * 100)
	for id := range ID(requests) {
		budget.Grow(at(0), id, 100)
		budget.Received(id, int64(id))
	}
	for id := ID(requests); b.Loop(); id++ {
		e := budget.Grow(at(1), id, 100)
		budget.Received(id, 50)
		budget.End(e.Stopped[0])
	}
}
