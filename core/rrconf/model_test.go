package rrconf

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
)

// maxStoredIDs is the number of change ids that the simulated store keeps, few enough
// that runs reach the loss of an old one.
const maxStoredIDs = 6

// model simulates several entries with one store whose calls are lost, late or refused.
type model struct {
	t              *rapid.T
	now            time.Time
	managers       [3]Manager
	highestVersion [3]uint64
	revision       int64
	stored         Config
	acceptedIDs    []string // change id of each version from 1 on
	inFlight       []storeCall
	late           []storeCall // nobody waits for these, but they may still take effect
	lastRequestID  uint64
	changes        map[uint64]change // proposals without a result, by request id; the zero change if the change was or may have been applied
	retried        map[string]bool
	notApplied     map[string]rrcode.Code // change ids with a result that says that nothing was applied
	applied        map[string]bool
}

type storeCall struct {
	manager int
	call    StoreCall
}

type change struct {
	manager int
	cfg     Config
}

func (m *model) apply(c StoreCall) Reply {
	if c.ExpectedRevision == m.revision {
		m.revision++
		if m.revision > 1 && c.Config.Version != m.stored.Version+1 {
			m.t.Fatalf("got version %d written over %d, want the next one", c.Config.Version, m.stored.Version)
		}
		m.stored = c.Config
		m.acceptedIDs = append(m.acceptedIDs, c.Config.ChangeID)
		return Reply{CallID: c.ID, Outcome: Committed, Revision: m.revision}
	}
	r := Reply{CallID: c.ID, Outcome: CompareFailed, Current: m.stored, ModRevision: m.revision}
	if i := int(c.Config.Version); i >= 1 && i <= len(m.acceptedIDs) && i > len(m.acceptedIDs)-maxStoredIDs {
		r.VersionChangeID = m.acceptedIDs[i-1]
	}
	return r
}

func (m *model) takeCall(calls *[]storeCall) (storeCall, bool) {
	if len(*calls) == 0 {
		return storeCall{}, false
	}
	i := rapid.IntRange(0, len(*calls)-1).Draw(m.t, "call")
	c := (*calls)[i]
	*calls = append((*calls)[:i], (*calls)[i+1:]...)
	return c, true
}

func (m *model) propose() {
	i := rapid.IntRange(0, len(m.managers)-1).Draw(m.t, "manager")
	cfg := m.managers[i].Active()
	cfg.Preset = rapid.SampledFrom(Presets).Draw(m.t, "preset")
	m.lastRequestID++
	cfg.ChangeID = fmt.Sprint("change", m.lastRequestID)
	earlier := m.changes[uint64(rapid.IntRange(1, 20).Draw(m.t, "again"))]
	first := earlier.cfg.ChangeID == ""
	if !first { // another attempt at an earlier change, possibly at another entry
		cfg = earlier.cfg
		m.retried[cfg.ChangeID] = true
	}
	m.changes[m.lastRequestID] = change{i, cfg}
	m.managers[i].Propose(m.now, Change{RequestID: m.lastRequestID, Config: cfg, Deadline: m.now.Add(time.Second), FirstAttempt: first})
}

func (m *model) randomEvent() {
	switch rapid.IntRange(0, 9).Draw(m.t, "act") {
	case 0, 1:
		m.propose()
	case 2:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond)
	case 3, 4:
		if c, ok := m.takeCall(&m.inFlight); ok {
			m.managers[c.manager].HandleReply(m.now, m.apply(c.call))
		}
	case 5:
		if c, ok := m.takeCall(&m.inFlight); ok { // the reply is lost
			m.apply(c.call)
			m.managers[c.manager].HandleReply(m.now, Reply{CallID: c.call.ID})
		}
	case 6:
		if c, ok := m.takeCall(&m.inFlight); ok { // the request is delayed
			m.late = append(m.late, c)
			m.managers[c.manager].HandleReply(m.now, Reply{CallID: c.call.ID})
		}
	case 7:
		if c, ok := m.takeCall(&m.inFlight); ok { // the store refuses the call
			m.managers[c.manager].HandleReply(m.now, Reply{CallID: c.call.ID, Outcome: NotApplied})
		}
	case 8:
		if c, ok := m.takeCall(&m.late); ok { // a delayed request takes effect
			m.apply(c.call)
		}
	case 9: // a peer reports its configuration, which may be older
		from := rapid.IntRange(0, len(m.managers)-1).Draw(m.t, "from")
		to := rapid.IntRange(0, len(m.managers)-1).Draw(m.t, "to")
		m.managers[to].Merge(m.managers[from].Active())
	}
}

func (m *model) step() {
	for i := range m.managers {
		var out Effects
		m.managers[i].Step(m.now, &out)
		for _, c := range out.Calls {
			m.inFlight = append(m.inFlight, storeCall{i, c})
		}
		for _, result := range out.Results {
			m.handleResult(result)
		}
		version := m.managers[i].Active().Version
		if version < m.highestVersion[i] {
			m.t.Fatalf("manager %d: got version %d after %d", i, version, m.highestVersion[i])
		}
		m.highestVersion[i] = version
	}
}

func (m *model) handleResult(result ChangeResult) {
	c, ok := m.changes[result.RequestID]
	if !ok {
		m.t.Fatalf("change %d: got a second result %v", result.RequestID, result.Code)
	}
	delete(m.changes, result.RequestID)
	id := c.cfg.ChangeID
	switch result.Code.Class() {
	case rrcode.ClassComplete:
		m.applied[id] = true
	case rrcode.ClassNotRun:
		m.notApplied[id] = result.Code
	}
	if result.Code.Class() != rrcode.ClassNotRun {
		m.changes[result.RequestID] = change{} // propose treats it like a missing one
	}
}

// checkHistory compares all results with the changes that the store accepted.
func (m *model) checkHistory() {
	accepted := make(map[string]int)
	for _, id := range m.acceptedIDs {
		accepted[id]++
		if accepted[id] > 1 {
			m.t.Fatalf("%s: got accepted twice", id)
		}
	}
	for id := range m.applied {
		if accepted[id] == 0 {
			m.t.Fatalf("%s: got applied, want it accepted by the store", id)
		}
	}
	for id, code := range m.notApplied {
		if accepted[id] > 0 && !m.retried[id] {
			m.t.Fatalf("%s: got %v for a change that the store accepted", id, code)
		}
	}
}

// TestManagerModel simulates concurrent changes by operators with lost, late and refused
// store calls. It checks that each change is accepted at most once and that its results
// are correct.
func TestManagerModel(t *testing.T) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { panic(v.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Unix(1000, 0), changes: make(map[uint64]change), retried: make(map[string]bool),
			notApplied: make(map[string]rrcode.Code), applied: make(map[string]bool),
		}
		for range 200 {
			m.randomEvent()
			m.step()
		}
		for _, c := range m.late {
			m.apply(c.call)
		}
		m.checkHistory()
	})
}
