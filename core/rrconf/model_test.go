package rrconf

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
)

// keptIDs is how many change ids the model's store keeps; few, so that runs meet
// the loss of an old one.
const keptIDs = 6

// model drives several registers through one store. Its calls get lost, late and
// refused.
type model struct {
	t       *rapid.T
	now     time.Time
	regs    [3]Manager
	highest [3]uint64
	rev     int64
	held    Config
	past    []string // change id of each version from 1 on
	flying  []call
	limbo   []call // given up, but may still take effect
	tokens  uint64
	changes map[uint64]change
	retried map[string]bool
	wrong   map[string]rrcode.Code // ids whose only try heard that nothing was applied
	applied map[string]bool
}

type call struct {
	reg int
	w   StoreCall
}

type change struct {
	reg int
	cfg Config
}

func (m *model) apply(w StoreCall) Reply {
	if w.ExpectedRevision == m.rev {
		m.rev++
		if m.rev > 1 && w.Config.Version != m.held.Version+1 {
			m.t.Fatalf("got version %d written over %d, want the next one", w.Config.Version, m.held.Version)
		}
		m.held = w.Config
		m.past = append(m.past, w.Config.ChangeID)
		return Reply{ID: w.ID, Outcome: Committed, Revision: m.rev}
	}
	r := Reply{ID: w.ID, Outcome: CompareFailed, Current: m.held, ModRevision: m.rev}
	if i := int(w.Config.Version); i >= 1 && i <= len(m.past) && i > len(m.past)-keptIDs {
		r.VersionChangeID = m.past[i-1]
	}
	return r
}

func (m *model) pick(calls *[]call) (call, bool) {
	if len(*calls) == 0 {
		return call{}, false
	}
	i := rapid.IntRange(0, len(*calls)-1).Draw(m.t, "call")
	c := (*calls)[i]
	*calls = append((*calls)[:i], (*calls)[i+1:]...)
	return c, true
}

func (m *model) propose() {
	i := rapid.IntRange(0, len(m.regs)-1).Draw(m.t, "register")
	cfg := m.regs[i].Active()
	cfg.Preset = rapid.SampledFrom(Presets).Draw(m.t, "preset")
	m.tokens++
	cfg.ChangeID = fmt.Sprint("change", m.tokens)
	again := m.changes[uint64(rapid.IntRange(1, 20).Draw(m.t, "again"))]
	first := again.cfg.ChangeID == ""
	if !first { // a second try of a change, at another entry perhaps
		cfg = again.cfg
		m.retried[cfg.ChangeID] = true
	}
	m.changes[m.tokens] = change{i, cfg}
	m.regs[i].Propose(m.now, Change{RequestID: m.tokens, Config: cfg, Deadline: m.now.Add(time.Second), FirstAttempt: first})
}

func (m *model) act() {
	switch rapid.IntRange(0, 9).Draw(m.t, "act") {
	case 0, 1:
		m.propose()
	case 2:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond)
	case 3, 4:
		if c, ok := m.pick(&m.flying); ok {
			m.regs[c.reg].HandleReply(m.now, m.apply(c.w))
		}
	case 5:
		if c, ok := m.pick(&m.flying); ok {
			m.apply(c.w)
			m.regs[c.reg].HandleReply(m.now, Reply{ID: c.w.ID})
		}
	case 6:
		if c, ok := m.pick(&m.flying); ok {
			m.limbo = append(m.limbo, c)
			m.regs[c.reg].HandleReply(m.now, Reply{ID: c.w.ID})
		}
	case 7:
		if c, ok := m.pick(&m.flying); ok {
			m.regs[c.reg].HandleReply(m.now, Reply{ID: c.w.ID, Outcome: NotApplied})
		}
	case 8:
		if c, ok := m.pick(&m.limbo); ok {
			m.apply(c.w)
		}
	case 9: // a peer tells, an old state perhaps
		from := rapid.IntRange(0, len(m.regs)-1).Draw(m.t, "from")
		to := rapid.IntRange(0, len(m.regs)-1).Draw(m.t, "to")
		m.regs[to].Merge(m.regs[from].Active())
	}
}

func (m *model) step() {
	for i := range m.regs {
		var out Effects
		m.regs[i].Step(m.now, &out)
		for _, w := range out.Writes {
			m.flying = append(m.flying, call{i, w})
		}
		for _, v := range out.Results {
			m.judge(v)
		}
		version := m.regs[i].Active().Version
		if version < m.highest[i] {
			m.t.Fatalf("register %d: got version %d after %d", i, version, m.highest[i])
		}
		m.highest[i] = version
	}
}

func (m *model) judge(v ChangeResult) {
	c, ok := m.changes[v.RequestID]
	if !ok {
		m.t.Fatalf("change %d: got a second verdict %v", v.RequestID, v.Code)
	}
	delete(m.changes, v.RequestID)
	id := c.cfg.ChangeID
	switch v.Code.Class() {
	case rrcode.ClassComplete:
		m.applied[id] = true
	case rrcode.ClassNotRun:
		m.wrong[id] = v.Code
	}
	if v.Code.Class() != rrcode.ClassNotRun {
		m.changes[v.RequestID] = change{} // not tried again
	}
}

// check compares all verdicts with what the store has accepted.
func (m *model) check() {
	accepted := make(map[string]int)
	for _, id := range m.past {
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
	for id, code := range m.wrong {
		if accepted[id] > 0 && !m.retried[id] {
			m.t.Fatalf("%s: got %v for a change that the store accepted", id, code)
		}
	}
}

// TestRegisterModel drives operators' races through lost, late and refused calls.
func TestRegisterModel(t *testing.T) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { panic(v.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Unix(1000, 0), changes: make(map[uint64]change), retried: make(map[string]bool),
			wrong: make(map[string]rrcode.Code), applied: make(map[string]bool),
		}
		for range 200 {
			m.act()
			m.step()
		}
		for _, c := range m.limbo {
			m.apply(c.w)
		}
		m.check()
	})
}
