package rrslot

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Clients with the same use get slots in the order of their arrival, and one that releases its slot and asks again
// comes after those that wait.
func TestOrderOfArrival(t *testing.T) {
	s := New(1)
	if !s.Acquire(at(4), 1) {
		t.Fatal("Acquire of a free slot: got false, want true")
	}
	for id := ID(2); id <= 4; id++ {
		if s.Acquire(at(4), id) {
			t.Fatalf("Acquire of %d: got true, want false", id)
		}
	}
	var got []ID
	for id, now := ID(1), 5; len(got) < 6; now++ {
		granted := s.Release(at(now), id, time.Millisecond)
		if s.Acquire(at(now), id) {
			t.Fatalf("client %d got its slot back before those that wait", id)
		}
		id = granted[0]
		got = append(got, id)
	}
	if want := []ID{2, 3, 4, 1, 2, 3}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A thousand clients that always have something to process wait for two slots. A new client that needs one slot for
// a short time waits for no more than the slots in use, and none of the others is passed for ever.
func TestNewClientPassesBusyOnes(t *testing.T) {
	const busy, hold = 1000, time.Millisecond
	s := New(2)
	now := start
	served := make(map[ID]int)
	var inUse []ID
	for id := ID(1); id <= busy; id++ {
		if s.Acquire(now, id) {
			inUse = append(inUse, id)
		}
	}
	step := func() {
		now = now.Add(hold)
		id := inUse[0]
		granted := s.Release(now, id, hold)
		served[id]++
		inUse = append(inUse[1:], granted...)
		if id <= busy && s.Acquire(now, id) {
			inUse = append(inUse, id)
		}
	}
	for range 3 * busy {
		step()
	}
	const newcomer = busy + 1
	if s.Acquire(now, newcomer) {
		t.Fatal("got a slot at once, want all in use")
	}
	steps := 0
	for ; !slices.Contains(inUse, newcomer); steps++ {
		if steps > busy {
			t.Fatalf("the new client waits behind all others")
		}
		step()
	}
	if most := 20; steps > most {
		t.Errorf("the new client waited for %d releases, want at most %d", steps, most)
	}
	for id := ID(1); id <= busy; id++ {
		if served[id] < 2 {
			t.Errorf("client %d was processed %d times, want at least 2", id, served[id])
		}
	}
}

// New clients without end don't keep out one that has used much.
func TestBusyClientIsNotStarved(t *testing.T) {
	s := New(1)
	s.Acquire(at(0), 1)
	s.Release(at(10), 1, 10*time.Millisecond)
	s.Acquire(at(10), 2)
	s.Acquire(at(10), 1)
	last := ID(2)
	for i := range 1000 {
		now := at(11 + i)
		next := last + 1
		s.Acquire(now, next)
		granted := s.Release(now, last, time.Millisecond)
		s.Forget(last)
		if granted[0] == 1 {
			return
		}
		last = granted[0]
	}
	t.Error("the client got no slot in 1,000 turns")
}

// No more slots are in use than the limit, none is free while a client waits, and nothing is left of clients that
// were forgotten.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		s, now := New(limit), start
		held, waiting := make(map[ID]bool), make(map[ID]bool)
		grant := func(ids []ID) {
			for _, id := range ids {
				if !waiting[id] {
					t.Fatalf("%d got a slot without waiting", id)
				}
				delete(waiting, id)
				held[id] = true
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			id := ID(rapid.IntRange(1, 12).Draw(t, "id"))
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op == 0:
				limit = rapid.IntRange(1, 4).Draw(t, "new limit")
				grant(s.SetLimit(limit))
			case op == 1:
				delete(held, id)
				delete(waiting, id)
				grant(s.Forget(id))
			case held[id]:
				delete(held, id)
				grant(s.Release(now, id, time.Millisecond))
			case !waiting[id]:
				if s.Acquire(now, id) {
					held[id] = true
				} else {
					waiting[id] = true
				}
			}
			if s.InUse() != len(held) || s.Waiting() != len(waiting) {
				t.Fatalf("got %d in use and %d waiting, want %d and %d", s.InUse(), s.Waiting(), len(held), len(waiting))
			}
			if len(waiting) > 0 && len(held) < limit {
				t.Fatalf("%d clients wait while %d of %d slots are in use", len(waiting), len(held), limit)
			}
		}
		for id := ID(1); id <= 12; id++ {
			delete(waiting, id)
			grant(s.Forget(id))
			held = map[ID]bool{}
		}
		if n := len(s.held) + len(s.used) + len(s.byID) + s.Waiting(); n != 0 {
			t.Fatalf("got %d entries afterwards, want none", n)
		}
	})
}
