package rrnode

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcoord"
	"rattanring/core/rrtask"
)

// store is the platform's key-value store with the claims.
type store struct {
	items    map[string]rrclaim.KeyState
	revision int64
}

// callStore sends a claim operation to the store. The answer may be lost after the
// operation is applied, and the operation may be applied late or not at all.
func (s *sim) callStore(e *entry, c rrclaim.StoreCall) {
	incarnation := e.incarnation
	reply := func(d time.Duration, r rrclaim.Reply) {
		r.CallID = c.ID
		s.schedule(d, func() { e.run(incarnation, func() { e.step(&ClaimCallDone{Reply: r}) }) })
	}
	delay := s.randomBetween(2*time.Millisecond, 8*time.Millisecond)
	switch {
	case s.platformUnreachable[e.Zone]:
		outcome := []rrclaim.CallOutcome{rrclaim.Indeterminate, rrclaim.NotApplied}[s.rnd.IntN(2)]
		reply(s.randomBetween(0, time.Second), rrclaim.Reply{Outcome: outcome})
	case s.randomFault():
		reply(delay, rrclaim.Reply{Outcome: rrclaim.Indeterminate})
		s.schedule(s.randomBetween(0, 3*time.Second), func() { s.transact(c) })
	case s.randomFault():
		s.schedule(delay, func() { s.transact(c) })
		reply(delay, rrclaim.Reply{Outcome: rrclaim.Indeterminate})
	default:
		s.schedule(delay, func() { reply(delay, s.transact(c)) })
	}
}

// transact applies a claim operation to the store.
func (s *sim) transact(c rrclaim.StoreCall) rrclaim.Reply {
	current := make([]rrclaim.KeyState, len(c.Writes))
	revisionsMatch := true
	for i, w := range c.Writes {
		current[i] = s.store.items[w.Key]
		revisionsMatch = revisionsMatch && current[i].ModRevision == w.ExpectedRevision
	}
	if !revisionsMatch && s.mutation != storeIgnoresCompare {
		return rrclaim.Reply{Outcome: rrclaim.CompareFailed, Current: current}
	}
	s.store.revision++
	for _, w := range c.Writes {
		s.store.items[w.Key] = rrclaim.KeyState{ModRevision: s.store.revision, Record: w.Record}
	}
	for key := range s.store.items {
		if key < c.DeleteBefore {
			delete(s.store.items, key)
		}
	}
	return rrclaim.Reply{Outcome: rrclaim.Committed, Revision: s.store.revision}
}

// attachCallerBase is added to the caller IDs of attached peers, which puts them above
// those of callers.
const attachCallerBase = 1 << 40

func (e *entry) sendAttach(req AttachCall) {
	handle := func(to *entry, id CallID) {
		to.step(&AttachRequest{Caller: attachCallerBase + rrcoord.CallerID(id), ID: req.ID, Tenant: req.Tenant})
	}
	timeout := max(time.Millisecond, req.Deadline.Sub(e.s.now))
	e.s.request(e, req.Addr, timeout, handle, func(delivery rrcoord.Delivery, v any) {
		a, _ := v.(rrtask.Answer)
		e.step(&AttachDone{ID: req.ID, Delivery: delivery, Answer: a})
	})
}

// newID returns a version 7 UUID with the virtual time.
func (s *sim) newID() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(s.now.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], s.rnd.Uint64()>>2|1<<63)
	return id.String()
}

// Limits of the retries of non-idempotent jobs.
const (
	retryDelay     = 50 * time.Millisecond // wait before the caller tries the next entry
	maxSubmissions = 6                     // per job
)

// retryNonIdempotent submits a failed non-idempotent job to another entry.
func (s *sim) retryNonIdempotent(sub *submission, tries int) {
	s.schedule(retryDelay, func() {
		next := s.entries[(tries+int(s.rnd.Uint32()))%len(s.entries)]
		if tries >= maxSubmissions || !next.alive {
			return
		}
		retry := s.submitNonIdempotent(next, sub.id, sub.tasks, sub.run, 4*time.Second)
		retry.tries = tries + 1
	})
}
