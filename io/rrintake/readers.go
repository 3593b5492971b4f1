package rrintake

import "sync"

// readers are the slots in which bodies are processed. It is ready for use after init.
type readers struct {
	mu    sync.Mutex
	freed sync.Cond
	limit int // zero for no limit
	used  int
}

func (s *readers) init(limit int) {
	s.freed.L = &s.mu
	s.limit = limit
}

func (s *readers) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.freed.Broadcast()
}

// acquire waits for a slot.
func (s *readers) acquire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.limit > 0 && s.used >= s.limit {
		s.freed.Wait()
	}
	s.used++
}

func (s *readers) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.freed.Signal()
}

func (s *readers) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
