package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrheap"
	"rattanring/core/rrlimiter"
	"rattanring/core/rrtask"
)

// stage is the progress of a claim.
type stage int

const (
	stageOpening   stage = iota // the attempt waits for its grant
	stageReclosing              // the claim must be closed again before the caller is answered "not run"
	stageGranted                // the job runs
	stageClosing                // the outcome must be written
)

// claim is the claim of one request id. At most one in-flight call includes it.
type claim struct {
	id, key       string
	stage         stage
	arrived       time.Time // when the attempt began
	closingSince  time.Time // when stageClosing began; read only in that stage
	request       Request
	attempt       uint64
	granted       bool                 // the current attempt was granted; stays true in stageClosing
	closeRecord   Record               // to write in stageReclosing and stageClosing
	revision      int64                // of the key as last received; zero if it is absent
	indeterminate bool                 // a write that compares revision may still take effect
	storedOpen    bool                 // the store holds an open claim of this Manager at revision
	inFlight      bool                 // an in-flight call includes the claim
	queue         *rrheap.Heap[*claim] // openQueue, closeQueue or nil
	queueIndex    int                  // in queue
	deadlineIndex int                  // in Manager.deadlines; -1 if it is not there
}

// needsClose reports whether the store holds, or may later hold, an open claim of
// this Manager, which must be closed.
func (c *claim) needsClose() bool {
	return c.granted || c.storedOpen || c.indeterminate || c.inFlight
}

// Manager decides the claims of one incarnation of an entry. Create it with New. It
// is not safe for concurrent use.
type Manager struct {
	entry       string
	incarnation uint64
	lastAttempt uint64
	lastCallID  uint64
	claims      map[string]*claim
	deadlines   rrheap.Heap[*claim] // attempts without a grant, by deadline
	openQueue   rrheap.Heap[*claim] // in stageOpening or stageReclosing, by attempt (order of arrival)
	closeQueue  rrheap.Heap[*claim] // in stageClosing, by closingSince
	inFlight    map[uint64]pendingCall
	limiter     rrlimiter.TokenBucket

	lastDelete   time.Time
	deleteBefore string // keys below this one must be deleted; empty if no deletion is due
	decisions    []Decision
}

// pendingCall is an in-flight call to the store. A deletion has no claims.
type pendingCall struct {
	claims []*claim
	writes []Write
}

// New returns a Manager without claims for an incarnation of an entry. The incarnation
// number must differ between any two incarnations of the same entry.
func New(entry string, incarnation uint64) *Manager {
	m := &Manager{
		entry:       entry,
		incarnation: incarnation,
		claims:      make(map[string]*claim),
		inFlight:    make(map[uint64]pendingCall),
	}
	m.deadlines.Less = func(x, y *claim) bool { return x.request.Deadline.Before(y.request.Deadline) }
	m.deadlines.SetIndex = func(c *claim, index int) { c.deadlineIndex = index }
	m.openQueue.Less = func(x, y *claim) bool { return x.attempt < y.attempt }
	m.openQueue.SetIndex = func(c *claim, index int) { c.queueIndex = index }
	m.closeQueue.Less = closesEarlier
	m.closeQueue.SetIndex = m.openQueue.SetIndex
	m.limiter.SetRate(DefaultCallRate)
	return m
}

func closesEarlier(x, y *claim) bool {
	if x.closingSince.Equal(y.closingSince) {
		return x.attempt < y.attempt
	}
	return x.closingSince.Before(y.closingSince)
}

// SetRate sets how many store calls per second this entry may make.
func (m *Manager) SetRate(perSecond float64) {
	if perSecond > 0 {
		m.limiter.SetRate(perSecond)
	}
}

// Len returns the number of claims, including those of running jobs.
func (m *Manager) Len() int {
	return len(m.claims)
}

// PendingCloses returns the number of claims whose close the store has not yet confirmed.
func (m *Manager) PendingCloses() int {
	n := 0
	for _, c := range m.claims {
		if c.stage == stageClosing {
			n++
		}
	}
	return n
}

// PendingOutcome returns the outcome of a job that ran and whose claim is not yet
// closed in the store. It answers a retry that arrived at another entry.
func (m *Manager) PendingOutcome(id string) (rrtask.Answer, bool) {
	c, ok := m.claims[id]
	if !ok || c.stage != stageClosing || !c.granted {
		return rrtask.Answer{}, false
	}
	return recordedAnswer(id, c.closeRecord), true
}

// Acquire begins an attempt to claim a request id. Exactly one decision follows,
// unless an attempt for that id already waits or its job runs. Then the coordinator
// of this entry already has the job and the call is ignored.
func (m *Manager) Acquire(now time.Time, req Request) {
	key, code, detail := validateID(now, req.ID)
	if code != 0 {
		m.refuse(req.ID, code, detail)
		return
	}
	c, ok := m.claims[req.ID]
	switch {
	case !ok && len(m.claims) >= MaxClaims:
		m.refuse(req.ID, codeWithoutClaim(req, rrcode.Overloaded), "too many claims wait for the store")
		return
	case !ok:
		c = &claim{id: req.ID, key: key, deadlineIndex: -1}
		m.claims[req.ID] = c
	case c.stage != stageClosing:
		return
	case c.request.Tenant != req.Tenant:
		m.refuse(req.ID, rrcode.BadRequest, otherTenantDetail)
		return
	case c.granted && c.closeRecord.Code.Class() != rrcode.ClassNotRun:
		m.decisions = append(m.decisions, Decision{ID: c.id, Kind: AlreadyClosed, Answer: recordedAnswer(c.id, c.closeRecord)})
		return
	}
	m.beginAttempt(now, c, req)
}

// otherTenantDetail explains the refusal of a request whose id another tenant uses.
const otherTenantDetail = "the request id belongs to another tenant"

func (m *Manager) beginAttempt(now time.Time, c *claim, req Request) {
	m.dequeue(c)
	m.lastAttempt++
	c.attempt = m.lastAttempt
	c.stage = stageOpening
	c.request = req
	c.arrived, c.closingSince = now, now
	c.granted = false
	c.closeRecord = Record{}
	m.deadlines.Push(c)
	m.enqueue(c)
}

// Close ends the job of a granted claim with its answer. The outcome is written
// as soon as the store accepts the write.
func (m *Manager) Close(now time.Time, id string, a rrtask.Answer) {
	c, ok := m.claims[id]
	if !ok || c.stage != stageGranted {
		return
	}
	m.close(now, c, a)
}

func (m *Manager) close(now time.Time, c *claim, a rrtask.Answer) {
	c.stage = stageClosing
	c.closingSince = now
	c.closeRecord = m.newRecord(c, Closed)
	c.closeRecord.ClosedAt = now
	c.closeRecord.Code = a.Code
	c.closeRecord.Detail = truncateDetail(a.Detail)
	if a.Code == rrcode.Complete && sizeOfResults(a.Results) <= MaxResultBytes {
		c.closeRecord.HasResults = true
		c.closeRecord.Results = a.Results
	}
	m.enqueue(c)
}

func (m *Manager) newRecord(c *claim, s State) Record {
	return Record{Tenant: c.request.Tenant, Entry: m.entry, Incarnation: m.incarnation, Attempt: c.attempt, State: s}
}

// maxDetailBytes bounds the detail text that a claim stores, in bytes.
const maxDetailBytes = 256

func truncateDetail(s string) string {
	if len(s) > maxDetailBytes {
		return s[:maxDetailBytes]
	}
	return s
}

// resultOverheadBytes estimates the stored size of a result without its body, detail
// and minion name.
const resultOverheadBytes = 64

func sizeOfResults(results []rrtask.Result) int {
	bytes := 0
	for i := range results {
		r := &results[i]
		bytes += resultOverheadBytes + len(r.Body) + len(r.Detail) + len(r.Minion)
	}
	return bytes
}

// recordedAnswer returns the answer to a request whose closed claim is r.
func recordedAnswer(id string, r Record) rrtask.Answer {
	a := rrtask.Answer{RequestID: id, Code: r.Code, Detail: r.Detail, Coordinator: r.Entry, Results: r.Results}
	if r.Code == rrcode.Complete && !r.HasResults {
		a.Code = rrcode.OutcomeLost
		a.Detail = "the job completed, but its answer was not kept"
	}
	return a
}

// codeWithoutClaim returns the code for an attempt that ends before its claim could be
// read. Only the first submission of an id is known not to have run.
func codeWithoutClaim(req Request, code rrcode.Code) rrcode.Code {
	if req.FirstAttempt {
		return code
	}
	return rrcode.ClaimHeld
}

func (m *Manager) refuse(id string, code rrcode.Code, detail string) {
	answer := rrtask.Answer{RequestID: id, Code: code, Detail: detail, Coordinator: m.entry}
	m.decisions = append(m.decisions, Decision{ID: id, Kind: Refused, Answer: answer})
}

// enqueue adds c to the queue for the next transaction, unless c is in an in-flight
// call, already queued or granted.
func (m *Manager) enqueue(c *claim) {
	if c.inFlight || c.queue != nil || c.stage == stageGranted {
		return
	}
	c.queue = &m.openQueue
	if c.stage == stageClosing {
		c.queue = &m.closeQueue
	}
	c.queue.Push(c)
}

func (m *Manager) dequeue(c *claim) {
	if c.queue == nil {
		return
	}
	c.queue.Remove(c.queueIndex)
	c.queue = nil
}

// removeDeadline removes c from the attempts that expire at their deadline.
func (m *Manager) removeDeadline(c *claim) {
	if c.deadlineIndex >= 0 {
		m.deadlines.Remove(c.deadlineIndex)
	}
}

// remove removes c from all queues and from the claims of m.
func (m *Manager) remove(c *claim) {
	m.removeDeadline(c)
	m.dequeue(c)
	delete(m.claims, c.id)
}
