// Package rrslot decides in which order clients get processor time while only so many of them may be processed
// at a time.
package rrslot

import (
	"cmp"
	"math"
	"time"

	"rattanring/core/rrheap"
)

// ID identifies a client.
type ID uint64

const (
	usedHalfLife = 5 * time.Second       // after which half of a client's past use still counts
	maxUse       = 10 * time.Millisecond // that counts for one slot; a process that was frozen meanwhile reports more
)

// Slots are the slots that clients share. A client that finds none waits. The order among those that wait is that of
// their arrival, set back by the time that all of them would take if each used what the client has used in the last
// seconds. So a client that asks for little passes those that ask for much, and each gets a slot in the end. Create
// them with New. They must not be used concurrently.
type Slots struct {
	limit   int
	held    map[ID]struct{}
	used    map[ID]use
	waiting rrheap.Heap[*waiter]
	byID    map[ID]*waiter
	arrived uint64
}

// use is the time for which a client has used slots, and when that was computed.
type use struct {
	time time.Duration
	at   time.Time
}

// after returns what counts of u later.
func (u use) after(now time.Time) time.Duration {
	return time.Duration(float64(u.time) * math.Exp2(-float64(now.Sub(u.at))/float64(usedHalfLife)))
}

// waiter is a client that waits for a slot.
type waiter struct {
	id    ID
	rank  time.Time
	order uint64 // of arrival
	index int
}

// New returns limit slots. A limit of zero means no limit.
func New(limit int) *Slots {
	s := &Slots{limit: limit, held: make(map[ID]struct{}), used: make(map[ID]use), byID: make(map[ID]*waiter)}
	s.waiting.Less = func(a, b *waiter) bool {
		return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.order, b.order)) < 0
	}
	s.waiting.SetIndex = func(w *waiter, i int) { w.index = i }
	return s
}

// InUse returns the number of slots in use.
func (s *Slots) InUse() int { return len(s.held) }

// Waiting returns the number of clients that wait.
func (s *Slots) Waiting() int { return s.waiting.Len() }

// Acquire asks for a slot and reports whether the client has one now. Otherwise it waits until a later call returns
// its ID. A client that has a slot or waits must not ask again.
func (s *Slots) Acquire(now time.Time, id ID) bool {
	if s.waiting.Len() == 0 && s.free() {
		s.held[id] = struct{}{}
		return true
	}
	s.arrived++
	w := &waiter{id: id, rank: now.Add(s.used[id].after(now) * time.Duration(s.waiting.Len())), order: s.arrived}
	s.byID[id] = w
	s.waiting.Push(w)
	return false
}

// Release gives up the slot of a client, which has used it for a time, and returns the clients that get one. It does
// nothing for a client without a slot.
func (s *Slots) Release(now time.Time, id ID, used time.Duration) []ID {
	if _, ok := s.held[id]; !ok {
		return nil
	}
	delete(s.held, id)
	s.used[id] = use{s.used[id].after(now) + min(used, maxUse), now}
	return s.grant()
}

// Forget ends what is known of a client, which gives up its slot or waits no more, and returns the clients that get
// one.
func (s *Slots) Forget(id ID) []ID {
	delete(s.used, id)
	delete(s.held, id)
	if w := s.byID[id]; w != nil {
		delete(s.byID, id)
		s.waiting.Remove(w.index)
	}
	return s.grant()
}

// SetLimit changes the limit and returns the clients that get a slot. It takes no slot away.
func (s *Slots) SetLimit(limit int) []ID {
	s.limit = limit
	return s.grant()
}

func (s *Slots) free() bool {
	return s.limit <= 0 || len(s.held) < s.limit
}

func (s *Slots) grant() []ID {
	var granted []ID
	for s.waiting.Len() > 0 && s.free() {
		w := s.waiting.At(0)
		s.waiting.Remove(w.index)
		delete(s.byID, w.id)
		s.held[w.id] = struct{}{}
		granted = append(granted, w.id)
	}
	return granted
}
