package rrintake

import (
	"runtime"
	"sync"
	"time"

	"rattanring/core/rrslot"
)

// readers are the slots in which connections are processed that have more to process than one small request. It is
// ready for use after init.
type readers struct {
	mu      sync.Mutex
	slots   *rrslot.Slots
	waiting map[rrslot.ID]chan<- bool
}

func (s *readers) init(limit int) {
	s.slots = rrslot.New(limit)
	s.waiting = make(map[rrslot.ID]chan<- bool)
}

func (s *readers) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.slots.SetLimit(limit))
}

// acquire waits for a slot and reports whether it got one before cancel was called. Then it lets all other goroutines
// run that can: a goroutine that got a slot would else run in the rest of the time slice of the one that gave it up,
// and so would the next one. granted has room for one value and is empty.
func (s *readers) acquire(id rrslot.ID, granted chan bool) bool {
	s.mu.Lock()
	ok := s.slots.Acquire(time.Now(), id)
	if !ok {
		s.waiting[id] = granted
	}
	s.mu.Unlock()
	if !ok && !<-granted {
		return false
	}
	runtime.Gosched()
	return true
}

// cancel ends the wait of a connection that waits for a slot.
func (s *readers) cancel(id rrslot.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.waiting[id]
	if granted == nil {
		return
	}
	delete(s.waiting, id)
	s.wake(s.slots.Forget(id))
	granted <- false
}

// release gives up a slot that was used for a time.
func (s *readers) release(id rrslot.ID, used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.slots.Release(time.Now(), id, used))
}

// forget ends what is known of a connection that neither has a slot nor waits for one.
func (s *readers) forget(id rrslot.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.slots.Forget(id))
}

// wake wakes the connections that got a slot. The caller holds s.mu.
func (s *readers) wake(granted []rrslot.ID) {
	for _, id := range granted {
		s.waiting[id] <- true
		delete(s.waiting, id)
	}
}

func (s *readers) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.InUse()
}

func (s *readers) waitingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.Waiting()
}
