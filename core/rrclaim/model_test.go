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

var modelEvents = flag.Int("steps", 300, "steps of one run of the model")

// base is when models begin; ids are made then.
var base = time.Unix(1_700_000_000, 0)

// testID returns a version 7 UUID from time at.
func testID(at time.Time, n int) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(n)
	return u.String()
}

// fakeStore is the part of the key-value service that claims use.
type fakeStore struct {
	revision int64
	items    map[string]KeyState
}

func (s *fakeStore) apply(c StoreCall) Reply {
	r := Reply{Call: c.ID, Outcome: Committed}
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

// storeCall is a call under way, or one whose sender gave it up.
type storeCall struct {
	node *node
	call StoreCall
}

// node is one entry: its book, and the jobs that it runs.
type node struct {
	manager  *Manager
	skew     time.Duration
	running  []string
	attempts map[string]attempt // by id: the try that waits for its claim
}

// attempt is one submission of an id.
type attempt struct {
	number  int
	arrived time.Time
}

// client submits one id again and again, and hears the answer to its last try only.
type client struct {
	id         string
	attempts   int
	waiting    bool
	starts     int
	ranOutcome rrcode.Code // of the run, once it has ended
	notRunAt   time.Time   // when the client last heard that nothing ran
}

// model drives several books through one store and checks the promises.
type model struct {
	t               *rapid.T
	now             time.Time
	store           fakeStore
	nodes           []*node
	clients         map[string]*client
	ids             []string
	inFlight        []storeCall
	late            []storeCall // given up, but may still take effect
	lastIncarnation uint64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: base, clients: make(map[string]*client)}
	m.store.items = make(map[string]KeyState)
	m.store.revision = 1
	for range 3 {
		m.nodes = append(m.nodes, m.newNode(len(m.nodes)))
	}
	for i := range 4 {
		id := testID(base, i)
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

// takeCall removes and returns one of the calls.
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
		return // joins the job there
	}
	c.attempts++
	c.waiting = true
	n.attempts[c.id] = attempt{c.attempts, m.now}
	at := m.now.Add(n.skew)
	n.manager.Acquire(at, Request{ID: c.id, Deadline: at.Add(500 * time.Millisecond), FirstAttempt: c.attempts == 1})
}

// randomEvent does one thing that may happen at any moment.
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
		if s, ok := m.takeCall(&m.inFlight); ok { // the answer is lost
			m.store.apply(s.call)
			s.node.manager.HandleReply(m.now.Add(s.node.skew), Reply{Call: s.call.ID})
		}
	case 9:
		if s, ok := m.takeCall(&m.inFlight); ok { // the request is late
			m.late = append(m.late, s)
			s.node.manager.HandleReply(m.now.Add(s.node.skew), Reply{Call: s.call.ID})
		}
	case 10:
		if s, ok := m.takeCall(&m.inFlight); ok {
			s.node.manager.HandleReply(m.now.Add(s.node.skew), Reply{Call: s.call.ID, Outcome: NotApplied})
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

// restart replaces a node; its calls under way may still take effect.
func (m *model) restart(i int) {
	old := m.nodes[i]
	for id, t := range old.attempts {
		if c := m.clients[id]; c.attempts == t.number {
			c.waiting = false
		}
	}
	kept := m.inFlight[:0]
	for _, s := range m.inFlight {
		if s.node != old {
			kept = append(kept, s)
			continue
		}
		m.late = append(m.late, s)
	}
	m.inFlight = kept
	m.nodes[i] = m.newNode(i)
}

func (m *model) finishJob(n *node) {
	if len(n.running) == 0 {
		return
	}
	id := n.running[0]
	n.running = n.running[1:]
	code := rapid.SampledFrom([]rrcode.Code{rrcode.Complete, rrcode.TaskFailed}).Draw(m.t, "code")
	m.clients[id].ranOutcome = code
	m.answer(n, id, code)
	n.manager.Close(m.now.Add(n.skew), id, rrtask.Answer{Code: code})
}

// step runs all books and handles their decisions.
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
	t, ok := n.attempts[d.ID]
	if !ok {
		m.t.Fatalf("%s: a decision %v without an ask", d.ID, d.Kind)
	}
	switch d.Kind {
	case Granted:
		m.granted(n, d.ID, t)
	case HeldElsewhere:
		m.answer(n, d.ID, rrcode.ClaimHeld)
	default:
		m.checkRecorded(d)
		m.answer(n, d.ID, d.Answer.Code)
	}
}

// granted starts the job, or refuses it for a reason that is not the claim's.
func (m *model) granted(n *node, id string, t attempt) {
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
	if !c.notRunAt.IsZero() && t.arrived.Before(c.notRunAt) {
		m.t.Fatalf("%s: try %d started after the caller had heard that nothing ran", id, t.number)
	}
	n.running = append(n.running, id)
}

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

// answer ends a try. The client hears it unless it has submitted again since.
func (m *model) answer(n *node, id string, code rrcode.Code) {
	t := n.attempts[id]
	delete(n.attempts, id)
	c := m.clients[id]
	if t.number != c.attempts || !c.waiting {
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

// quiesce lets all calls through and checks that the books come to rest.
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
		m.store.apply(s.call) // as late as can be
	}
	for i, n := range m.nodes {
		m.checkClosed(n)
		if n.manager.Len() != 0 || len(n.attempts) != 0 {
			m.t.Fatalf("node %d: got %d claims and %d tries at rest, want none", i, n.manager.Len(), len(n.attempts))
		}
	}
}

// checkClosed makes sure that a living entry leaves no claim open, which would
// turn all later submissions of the id away.
func (m *model) checkClosed(n *node) {
	for key, f := range m.store.items {
		if f.Record.State == Open && n.manager.isOwn(f.Record) {
			m.t.Fatalf("%s: got an open claim of %s at rest, want it closed", key, f.Record.Entry)
		}
	}
}

// TestModel drives books through lost, late and refused calls, restarts and
// skewed clocks: one start per id, true "not run", true recorded outcomes.
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
