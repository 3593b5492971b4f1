package rrnode

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcoord"
	"rattanring/core/rrtask"
)

// store is the platform's key-value service as claims see it.
type store struct {
	items    map[string]rrclaim.KeyState
	revision int64
}

// callStore carries a call of the claims to the store. The answer may be lost
// after the effect, the effect may come late or not at all.
func (s *sim) callStore(e *entry, c rrclaim.StoreCall) {
	incarnation := e.incarnation
	reply := func(d time.Duration, r rrclaim.Reply) {
		r.Call = c.ID
		s.schedule(d, func() { e.run(incarnation, func() { e.step(&ClaimCallDone{Reply: r}) }) })
	}
	delay := s.between(2*time.Millisecond, 8*time.Millisecond)
	switch {
	case s.unreachableStore[e.Zone]:
		ending := []rrclaim.CallOutcome{rrclaim.Indeterminate, rrclaim.NotApplied}[s.rnd.IntN(2)]
		reply(s.between(0, time.Second), rrclaim.Reply{Outcome: ending})
	case s.randomFault():
		reply(delay, rrclaim.Reply{Outcome: rrclaim.Indeterminate})
		s.schedule(s.between(0, 3*time.Second), func() { s.transact(c) })
	case s.randomFault():
		s.schedule(delay, func() { s.transact(c) })
		reply(delay, rrclaim.Reply{Outcome: rrclaim.Indeterminate})
	default:
		s.schedule(delay, func() { reply(delay, s.transact(c)) })
	}
}

// transact applies a call.
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

// attachCallerBase marks the tokens of peers that wait for a job, above those of callers.
const attachCallerBase = 1 << 40

func (e *entry) sendAttach(j AttachCall) {
	handle := func(to *entry, id CallID) {
		to.step(&AttachRequest{Caller: attachCallerBase + rrcoord.CallerID(id), ID: j.ID, Tenant: j.Tenant})
	}
	limit := max(time.Millisecond, j.Deadline.Sub(e.s.now))
	e.s.request(e, j.Addr, limit, handle, func(sent rrcoord.Delivery, v any) {
		a, _ := v.(rrtask.Answer)
		e.step(&AttachDone{ID: j.ID, Delivery: sent, Answer: a})
	})
}

// newID returns a version 7 UUID of the virtual time.
func (s *sim) newID() string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(s.now.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], s.rnd.Uint64()>>2|1<<63)
	return id.String()
}

// retryDelay is how long a caller of a non-idempotent job waits before it tries
// the next entry.
const (
	retryDelay     = 50 * time.Millisecond
	maxSubmissions = 6
)

// retryNonIdempotent submits a non-idempotent job that has failed at the next entry.
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
