package rrclaim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

var modelEvents = flag.Int("steps", 300, "random events in one run of the model")

// baseTime is the start of the simulated time and the timestamp of most request ids.
var baseTime = time.Unix(1_700_000_000, 0)

// testID returns a version 7 UUID with timestamp at.
func testID(at time.Time, n int) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(n)
	return u.String()
}

// fakeStore simulates the part of the key-value store that claims use.
type fakeStore struct {
	revision int64
	items    map[string]KeyState
}

func (s *fakeStore) apply(c StoreCall) Reply {
	r := Reply{CallID: c.ID, Outcome: Committed}
	for _, w := range c.Writes {
		if s.items[w.Key].ModRevision != w.ExpectedRevision {
			r.Outcome = CompareFailed
		}
	}
	if r.Outcome == Committed {
		s.revision++
		r.Revision = s.revision
	}
	for _, w := range c.Writes {
		if r.Outcome == Committed {
			s.items[w.Key] = KeyState{ModRevision: s.revision, Record: w.Record}
		}
		r.Current = append(r.Current, s.items[w.Key])
	}
	return r
}

// storeCall is an in-flight call, or one that its sender no longer waits for.
type storeCall struct {
	node *node
	call StoreCall
}

// node is one entry: its Manager and the jobs that it runs.
type node struct {
	manager     *Manager
	skew        time.Duration
	runningJobs []string
	attempts    map[string]attempt // by request id: the attempt that waits for its claim or runs its job
}

// attempt is one submission of a request id.
type attempt struct {
	number  int
	arrived time.Time
}

// client submits one request id repeatedly and receives the answer to its last attempt only.
type client struct {
	id         string
	attempts   int
	waiting    bool
	starts     int
	ranOutcome rrcode.Code // of the run, after it has ended
	notRunAt   time.Time   // when the client last received an answer of the class not run
}

// model simulates several entries with one store and checks the guarantees of Manager.
type model struct {
	t               *rapid.T
	now             time.Time
	store           fakeStore
	nodes           []*node
	clients         map[string]*client
	ids             []string
	inFlight        []storeCall
	late            []storeCall // nobody waits for these, but they may still take effect
	lastIncarnation uint64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: baseTime, clients: make(map[string]*client)}
	m.store.items = make(map[string]KeyState)
	m.store.revision = 1
	for range 3 {
		m.nodes = append(m.nodes, m.newNode(len(m.nodes)))
	}
	for i := range 4 {
		id := testID(baseTime, i)
		m.ids = append(m.ids, id)
		m.clients[id] = &client{id: id}
	}
	return m
}

func (m *model) newNode(i int) *node {
	m.lastIncarnation++
	n := &node{manager: New(fmt.Sprint("entry", i), m.lastIncarnation), attempts: make(map[string]attempt)}
	n.skew = time.Duration(rapid.IntRange(0, 900).Draw(m.t, "skew")) * time.Millisecond
	n.manager.SetRate(1000)
	return n
}

// takeCall removes a random one of the calls and returns it.
func (m *model) takeCall(calls *[]storeCall) (storeCall, bool) {
	if len(*calls) == 0 {
		return storeCall{}, false
	}
	i := rapid.IntRange(0, len(*calls)-1).Draw(m.t, "call")
	c := (*calls)[i]
	*calls = append((*calls)[:i], (*calls)[i+1:]...)
	return c, true
}

func (m *model) submit() {
	c := m.clients[rapid.SampledFrom(m.ids).Draw(m.t, "id")]
	n := rapid.SampledFrom(m.nodes).Draw(m.t, "node")
	if _, ok := n.attempts[c.id]; ok {
		return // joins the job at this entry
	}
	c.attempts++
	c.waiting = true
	n.attempts[c.id] = attempt{c.attempts, m.now}
	at := m.now.Add(n.skew)
	n.manager.Acquire(at, Request{ID: c.id, Deadline: at.Add(500 * time.Millisecond), FirstAttempt: c.attempts == 1})
}

// randomEvent simulates one event that may happen at any time.
func (m *model) randomEvent() {
	switch rapid.IntRange(0, 13).Draw(m.t, "act") {
	case 0, 1:
		m.submit()
	case 2, 3, 4:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond)
	case 5, 6, 7:
		if s, ok := m.takeCall(&m.inFlight); ok {
			s.node.manager.HandleReply(m.now.Add(s.node.skew), m.store.apply(s.call))
		}
	case 8:
		if s, ok := m.takeCall(&m.inFlight); ok { // the reply is lost
			m.store.apply(s.call)
			s.node.manager.HandleReply(m.now.Add(s.node.skew), Reply{CallID: s.call.ID})
		}
	case 9:
		if s, ok := m.takeCall(&m.inFlight); ok { // the request is delayed
			m.late = append(m.late, s)
			s.node.manager.HandleReply(m.now.Add(s.node.skew), Reply{CallID: s.call.ID})
		}
	case 10:
		if s, ok := m.takeCall(&m.inFlight); ok {
			s.node.manager.HandleReply(m.now.Add(s.node.skew), Reply{CallID: s.call.ID, Outcome: NotApplied})
		}
	case 11:
		if s, ok := m.takeCall(&m.late); ok {
			m.store.apply(s.call)
		}
	case 12:
		m.finishJob(rapid.SampledFrom(m.nodes).Draw(m.t, "node"))
	case 13:
		if rapid.IntRange(0, 9).Draw(m.t, "die") == 0 {
			m.restart(rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, "node"))
		}
	}
}

// restart replaces a node by a new incarnation. The in-flight calls of the old one may
// still take effect.
func (m *model) restart(i int) {
	old := m.nodes[i]
	for id, a := range old.attempts {
		if c := m.clients[id]; c.attempts == a.number {
			c.waiting = false
		}
	}
	remaining := m.inFlight[:0]
	for _, s := range m.inFlight {
		if s.node != old {
			remaining = append(remaining, s)
			continue
		}
		m.late = append(m.late, s)
	}
	m.inFlight = remaining
	m.nodes[i] = m.newNode(i)
}

func (m *model) finishJob(n *node) {
	if len(n.runningJobs) == 0 {
		return
	}
	id := n.runningJobs[0]
	n.runningJobs = n.runningJobs[1:]
	code := rapid.SampledFrom([]rrcode.Code{rrcode.Complete, rrcode.TaskFailed}).Draw(m.t, "code")
	m.clients[id].ranOutcome = code
	m.answer(n, id, code)
	n.manager.Close(m.now.Add(n.skew), id, rrtask.Answer{Code: code})
}

// step calls Step of all Managers and handles their decisions.
func (m *model) step() {
	for _, n := range m.nodes {
		var out Effects
		n.manager.Step(m.now.Add(n.skew), &out)
		for _, c := range out.Calls {
			m.inFlight = append(m.inFlight, storeCall{n, c})
		}
		for _, d := range out.Decisions {
			m.decide(n, d)
		}
	}
}

func (m *model) decide(n *node, d Decision) {
	a, ok := n.attempts[d.ID]
	if !ok {
		m.t.Fatalf("%s: got decision %v without a request", d.ID, d.Kind)
	}
	switch d.Kind {
	case Granted:
		m.startOrRefuse(n, d.ID, a)
	case OwnedElsewhere:
		m.answer(n, d.ID, rrcode.ClaimHeld)
	default:
		m.checkRecorded(d)
		m.answer(n, d.ID, d.Answer.Code)
	}
}

// startOrRefuse starts the job, or refuses it for a reason other than the claim.
func (m *model) startOrRefuse(n *node, id string, a attempt) {
	if rapid.IntRange(0, 2).Draw(m.t, "refuse") == 0 {
		m.answer(n, id, rrcode.Overloaded)
		n.manager.Close(m.now.Add(n.skew), id, rrtask.Answer{Code: rrcode.Overloaded})
		return
	}
	c := m.clients[id]
	c.starts++
	if c.starts > 1 {
		m.t.Fatalf("%s: got %d starts, want at most 1", id, c.starts)
	}
	if !c.notRunAt.IsZero() && a.arrived.Before(c.notRunAt) {
		m.t.Fatalf("%s: attempt %d started after the caller had received an answer of the class not run", id, a.number)
	}
	n.runningJobs = append(n.runningJobs, id)
}

// checkRecorded checks that a recorded outcome is that of the job that ran.
func (m *model) checkRecorded(d Decision) {
	c := m.clients[d.ID]
	code := d.Answer.Code
	if code == rrcode.OutcomeLost {
		code = rrcode.Complete
	}
	ran := code == rrcode.Complete || code == rrcode.TaskFailed
	if ran && code != c.ranOutcome {
		m.t.Fatalf("%s: got the recorded outcome %v, want %v", d.ID, code, c.ranOutcome)
	}
}

// answer ends an attempt. The client receives the answer unless it has submitted again.
func (m *model) answer(n *node, id string, code rrcode.Code) {
	a := n.attempts[id]
	delete(n.attempts, id)
	c := m.clients[id]
	if a.number != c.attempts || !c.waiting {
		return
	}
	c.waiting = false
	if code.Class() != rrcode.ClassNotRun {
		return
	}
	if c.starts > 0 {
		m.t.Fatalf("%s: got %v for a job that ran", id, code)
	}
	c.notRunAt = m.now
}

// quiesce executes all calls until nothing is left to do and checks the final state.
func (m *model) quiesce() {
	for range 100 {
		m.now = m.now.Add(200 * time.Millisecond)
		m.step()
		for _, n := range m.nodes {
			m.finishJob(n)
		}
		for len(m.inFlight) > 0 {
			s := m.inFlight[0]
			m.inFlight = m.inFlight[1:]
			s.node.manager.HandleReply(m.now.Add(s.node.skew), m.store.apply(s.call))
		}
	}
	for _, s := range m.late {
		m.store.apply(s.call) // later than all other calls
	}
	for i, n := range m.nodes {
		m.checkClosed(n)
		if n.manager.Len() != 0 || len(n.attempts) != 0 {
			m.t.Fatalf("node %d: got %d claims and %d attempts after quiescence, want none", i, n.manager.Len(), len(n.attempts))
		}
	}
}

// checkClosed checks that a running entry leaves no claim open, because an open claim
// causes the refusal of all later submissions of the request id.
func (m *model) checkClosed(n *node) {
	for key, state := range m.store.items {
		if state.Record.State == Open && n.manager.isOwn(state.Record) {
			m.t.Fatalf("%s: got an open claim of %s after quiescence, want it closed", key, state.Record.Entry)
		}
	}
}

// TestModel simulates entries with lost, late and refused store calls, restarts and
// skewed clocks. It checks that a job starts at most once per request id, and that the
// answers "not run" and the recorded outcomes are correct.
func TestModel(t *testing.T) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { panic(v.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range *modelEvents {
			m.randomEvent()
			m.step()
		}
		m.quiesce()
	})
}
