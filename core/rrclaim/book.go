package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrheap"
	"rattanring/core/rrlimiter"
	"rattanring/core/rrtask"
)

// goal is what a claim of the book is to become.
type goal int

const (
	toOpen   goal = iota // the attempt waits for its grant
	toRefuse             // the claim is to be closed as not run once more, before that is answered
	held                 // granted; the job runs
	toClose              // the outcome is to be written
)

// claim is one request id in the book. At most one call has it at a time.
type claim struct {
	id, key string
	goal    goal
	arrived time.Time // when the attempt began
	since   time.Time // when the goal was set
	ask     Request
	nonce   uint64
	ran     bool                 // the attempt was granted
	last    Record               // the record to write when the goal is toRefuse or toClose
	known   int64                // revision of the key as last heard; zero when it is absent
	doubt   bool                 // a write that compares known may still take effect
	open    bool                 // the store holds an open claim of this book at known
	flying  bool                 // a call has it
	line    *rrheap.Heap[*claim] // asks, closes or nil
	place   int                  // in line
	wait    int                  // in waits; -1 when it has no deadline to watch
}

// binding reports whether the store holds, or may come to hold, an open claim of
// this book, which has to be closed.
func (c *claim) binding() bool {
	return c.ran || c.open || c.doubt || c.flying
}

// Manager decides the claims of one incarnation of an entry. Create it with New; it
// is not safe for concurrent use.
type Manager struct {
	entry  string
	life   uint64
	nonce  uint64
	seq    uint64
	claims map[string]*claim
	waits  rrheap.Heap[*claim] // attempts without a grant, by deadline
	asks   rrheap.Heap[*claim] // to be opened, in order of arrival
	closes rrheap.Heap[*claim] // to be closed, in order
	calls  map[uint64]flight
	pace   rrlimiter.TokenBucket

	collected time.Time
	collect   string // keys below this are to be deleted
	decided   []Decision
}

// flight is a transaction under way.
type flight struct {
	claims []*claim
	writes []Write
}

// New returns the empty book of an incarnation of an entry. Two incarnations of
// the same entry never have the same life.
func New(entry string, life uint64) *Manager {
	b := &Manager{
		entry:  entry,
		life:   life,
		claims: make(map[string]*claim),
		calls:  make(map[uint64]flight),
	}
	b.waits.Less = func(x, y *claim) bool { return x.ask.Deadline.Before(y.ask.Deadline) }
	b.waits.SetIndex = func(c *claim, place int) { c.wait = place }
	b.asks.Less = func(x, y *claim) bool { return x.nonce < y.nonce }
	b.asks.SetIndex = func(c *claim, place int) { c.place = place }
	b.closes.Less = closesSooner
	b.closes.SetIndex = b.asks.SetIndex
	b.pace.SetRate(DefaultTxnRate)
	return b
}

func closesSooner(x, y *claim) bool {
	if x.since.Equal(y.since) {
		return x.nonce < y.nonce
	}
	return x.since.Before(y.since)
}

// SetRate sets how many transactions a second this entry may make.
func (b *Manager) SetRate(perSecond float64) {
	if perSecond > 0 {
		b.pace.SetRate(perSecond)
	}
}

// Len returns the number of claims in the book, those of running jobs included.
func (b *Manager) Len() int {
	return len(b.claims)
}

// PendingWrites returns the number of claims whose outcome is not in the store yet.
func (b *Manager) PendingWrites() int {
	n := 0
	for _, c := range b.claims {
		if c.goal == toClose {
			n++
		}
	}
	return n
}

// PendingOutcome returns the outcome of a job whose claim is about to be closed, for a
// retry that came to another entry.
func (b *Manager) PendingOutcome(id string) (rrtask.Answer, bool) {
	c, ok := b.claims[id]
	if !ok || c.goal != toClose || !c.ran {
		return rrtask.Answer{}, false
	}
	return answerOf(id, c.last), true
}

// Acquire begins an attempt to claim a request id. Exactly one decision follows,
// unless the book holds an attempt for that id that waits or runs: the job is the
// coordinator's already, and the call is ignored.
func (b *Manager) Acquire(now time.Time, ask Request) {
	key, code, detail := check(now, ask.ID)
	if code != 0 {
		b.refuse(ask.ID, code, detail)
		return
	}
	c, ok := b.claims[ask.ID]
	switch {
	case !ok && len(b.claims) >= MaxClaims:
		b.refuse(ask.ID, unclaimed(ask, rrcode.Overloaded), "too many claims wait for the store")
		return
	case !ok:
		c = &claim{id: ask.ID, key: key, wait: -1}
		b.claims[ask.ID] = c
	case c.goal != toClose:
		return
	case c.ask.Tenant != ask.Tenant:
		b.refuse(ask.ID, rrcode.BadRequest, otherTenant)
		return
	case c.ran && c.last.Code.Class() != rrcode.ClassNotRun:
		b.decided = append(b.decided, Decision{ID: c.id, Kind: AlreadyCompleted, Answer: answerOf(c.id, c.last)})
		return
	}
	b.begin(now, c, ask)
}

// otherTenant is why a request is refused whose id another tenant uses.
const otherTenant = "the request id belongs to another tenant"

// begin starts a new attempt.
func (b *Manager) begin(now time.Time, c *claim, ask Request) {
	b.unqueue(c)
	b.nonce++
	c.nonce = b.nonce
	c.goal = toOpen
	c.ask = ask
	c.arrived, c.since = now, now
	c.ran = false
	c.last = Record{}
	b.waits.Push(c)
	b.queue(c)
}

// Close ends the job of a granted claim with its answer. The outcome is written
// as soon as the store takes it.
func (b *Manager) Close(now time.Time, id string, a rrtask.Answer) {
	c, ok := b.claims[id]
	if !ok || c.goal != held {
		return
	}
	b.close(now, c, a)
}

func (b *Manager) close(now time.Time, c *claim, a rrtask.Answer) {
	c.goal = toClose
	c.since = now
	c.last = b.record(c, Closed)
	c.last.ClosedAt = now
	c.last.Code = a.Code
	c.last.Detail = clip(a.Detail)
	if a.Code == rrcode.Complete && size(a.Results) <= MaxResultBytes {
		c.last.HasResults = true
		c.last.Results = a.Results
	}
	b.queue(c)
}

func (b *Manager) record(c *claim, s State) Record {
	return Record{Tenant: c.ask.Tenant, Entry: b.entry, Incarnation: b.life, Nonce: c.nonce, State: s}
}

// maxDetail is the longest reason that a claim keeps, in bytes.
const maxDetail = 256

func clip(s string) string {
	if len(s) > maxDetail {
		return s[:maxDetail]
	}
	return s
}

// resultBytes is what a result takes besides its body, detail and minion.
const resultBytes = 64

func size(results []rrtask.Result) int {
	n := 0
	for i := range results {
		r := &results[i]
		n += resultBytes + len(r.Body) + len(r.Detail) + len(r.Minion)
	}
	return n
}

// answerOf returns the answer that a closed record stands for.
func answerOf(id string, r Record) rrtask.Answer {
	a := rrtask.Answer{RequestID: id, Code: r.Code, Detail: r.Detail, Coordinator: r.Entry, Results: r.Results}
	if r.Code == rrcode.Complete && !r.HasResults {
		a.Code = rrcode.OutcomeLost
		a.Detail = "the job completed, but its answer was not kept"
	}
	return a
}

// unclaimed returns the code for an attempt that ends without sight of the
// claim. Only the first submission of an id is known not to have run.
func unclaimed(ask Request, code rrcode.Code) rrcode.Code {
	if ask.FirstAttempt {
		return code
	}
	return rrcode.ClaimHeld
}

func (b *Manager) refuse(id string, code rrcode.Code, detail string) {
	answer := rrtask.Answer{RequestID: id, Code: code, Detail: detail, Coordinator: b.entry}
	b.decided = append(b.decided, Decision{ID: id, Kind: Refused, Answer: answer})
}

// queue puts c in line for the next group, unless a call has it.
func (b *Manager) queue(c *claim) {
	if c.flying || c.line != nil || c.goal == held {
		return
	}
	c.line = &b.asks
	if c.goal == toClose {
		c.line = &b.closes
	}
	c.line.Push(c)
}

func (b *Manager) unqueue(c *claim) {
	if c.line == nil {
		return
	}
	c.line.Remove(c.place)
	c.line = nil
}

// unwait takes c off the watch for deadlines.
func (b *Manager) unwait(c *claim) {
	if c.wait >= 0 {
		b.waits.Remove(c.wait)
	}
}

// forget drops c.
func (b *Manager) forget(c *claim) {
	b.unwait(c)
	b.unqueue(c)
	delete(b.claims, c.id)
}
