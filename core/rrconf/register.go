package rrconf

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
)

// versionsUnique holds as long as two configurations never share a version.
var versionsUnique = rrinvariant.New("each version names one configuration")

// Manager holds the configuration in force at one entry and carries out
// operators' changes. The zero value holds the built-in configuration. It is not
// safe for concurrent use.
//
// The highest version that was ever seen is in force, from whomever it came, so
// a lagging store or peer can't take a change back. A change names the version
// that its author saw and takes the next one. It is written if the store's key
// still has the revision that was last seen; otherwise the same call reads what
// is there. Beside the document each change leaves its id under its version. A
// write whose answer is lost is sent again as it was, and the id tells whether
// it was accepted, also when another change has followed.
type Manager struct {
	active     Config
	revision   int64 // revision of the store's key as last seen; zero when it is absent
	lastCallID uint64
	pending    []*proposal
	results    []ChangeResult
}

// Change is an operator's change. The version of its configuration is the one
// that the author saw, and its change id is new.
type Change struct {
	RequestID    uint64 // names the change in its ChangeResult
	Config       Config
	Deadline     time.Time
	FirstAttempt bool // the change id was not proposed before, at this or another entry
}

// StoreCall asks for one call of the store: write Config if the document's key has
// revision ExpectedRevision, and otherwise read it and the change id of that version.
type StoreCall struct {
	ID               uint64
	ExpectedRevision int64 // zero when the key must not exist, negative to read only
	Config           Config
}

// CallOutcome says how a call ended.
type CallOutcome int

// Endings of calls.
const (
	Indeterminate CallOutcome = iota // no answer: the call may have had its effect, or may have it later
	NotApplied                       // the call is known to have had no effect
	Committed                        // the comparison held
	CompareFailed                    // the comparison failed and the keys were read
)

// Reply is the end of a StoreCall.
type Reply struct {
	ID              uint64
	Outcome         CallOutcome
	Revision        int64  // of the write, when Outcome is Committed
	Current         Config // what the key holds, when Outcome is CompareFailed; zero when it is absent or does not parse
	ModRevision     int64  // revision of the key, when Outcome is CompareFailed; zero when it is absent
	VersionChangeID string // id of the change that made the version in question, when Outcome is CompareFailed; empty when there is none
}

// ChangeResult ends a Change.
type ChangeResult struct {
	RequestID uint64
	Code      rrcode.Code // Applied, Conflict, BadConfig, Overloaded, StoreUnavailable or ApplyUnconfirmed
	Detail    string
	Active    Config // the configuration in force after the change
}

// proposal is a change under way.
type proposal struct {
	Change
	id               uint64
	next             Config // with the version that the change makes
	expectedRevision int64
	indeterminate    bool // a write that compares expect may still take effect
	mayBeApplied     bool // some write may have taken effect
	inFlight         bool // a call is under way
	decided          bool // the verdict is out
	backoff          time.Duration
	retryAt          time.Time
}

// neverRevision is a revision that no key has, so that a call only reads.
const neverRevision = -1

// MaxPendingChanges is the number of changes that a register carries out at a time.
const MaxPendingChanges = 100

// Bounds of the pause after a call that failed.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Active returns the configuration in force.
func (m *Manager) Active() Config {
	if m.active.Version == 0 && m.active.Preset == "" {
		return Default()
	}
	return m.active
}

// Merge takes a valid configuration from a peer and reports whether it is newer
// than the one in force, which it replaces.
func (m *Manager) Merge(cfg Config) bool {
	if cfg.Version == m.active.Version {
		versionsUnique.Assert(cfg.Version == 0 || cfg.ChangeID == m.active.ChangeID)
		return false
	}
	if cfg.Version < m.active.Version {
		return false
	}
	m.active = cfg
	return true
}

// MergeStored takes a valid configuration that the store holds at revision mod, like Merge.
func (m *Manager) MergeStored(cfg Config, revision int64) bool {
	m.revision = max(m.revision, revision)
	return m.Merge(cfg)
}

// Propose begins a change. Exactly one verdict follows.
func (m *Manager) Propose(now time.Time, c Change) {
	if err := c.Config.Validate(); err != nil {
		m.results = append(m.results, ChangeResult{RequestID: c.RequestID, Code: rrcode.BadConfig, Detail: err.Error(), Active: m.Active()})
		return
	}
	if c.Config.ChangeID == "" {
		m.results = append(m.results, ChangeResult{RequestID: c.RequestID, Code: rrcode.BadConfig, Detail: "the change has no id", Active: m.Active()})
		return
	}
	if len(m.pending) >= MaxPendingChanges {
		m.results = append(m.results, ChangeResult{RequestID: c.RequestID, Code: rrcode.Overloaded, Detail: "too many changes wait for the store", Active: m.Active()})
		return
	}
	m.lastCallID++
	p := &proposal{Change: c, id: m.lastCallID, next: c.Config, expectedRevision: m.revision, mayBeApplied: !c.FirstAttempt, backoff: minBackoff, retryAt: now}
	p.next.Version++
	if c.Config.Version != m.active.Version {
		p.expectedRevision = neverRevision // the change does not follow what r.mod stands for
	}
	if m.active.ChangeID == p.next.ChangeID {
		m.decide(p, rrcode.Applied)
		return
	}
	m.pending = append(m.pending, p)
}

// decide ends a change.
func (m *Manager) decide(p *proposal, code rrcode.Code) {
	p.decided = true
	m.results = append(m.results, ChangeResult{RequestID: p.RequestID, Code: code, Detail: code.Description(), Active: m.Active()})
}

// Effects collects what the register wants done.
type Effects struct {
	Writes  []StoreCall
	Results []ChangeResult
}

// Step appends to out what is due at now.
func (m *Manager) Step(now time.Time, out *Effects) {
	remaining := m.pending[:0]
	for _, p := range m.pending {
		if !p.decided && !p.Deadline.After(now) {
			m.decide(p, p.timeoutCode())
		}
		if p.decided && !p.inFlight {
			continue
		}
		remaining = append(remaining, p)
		if !p.decided && !p.inFlight && !p.retryAt.After(now) {
			p.inFlight = true
			out.Writes = append(out.Writes, StoreCall{ID: p.id, ExpectedRevision: p.expectedRevision, Config: p.next})
		}
	}
	clear(m.pending[len(remaining):])
	m.pending = remaining
	out.Results = append(out.Results, m.results...)
	m.results = nil
}

// timeoutCode returns the code of a change whose deadline came without an answer.
func (p *proposal) timeoutCode() rrcode.Code {
	if p.mayBeApplied || p.inFlight {
		return rrcode.ApplyUnconfirmed
	}
	return rrcode.StoreUnavailable
}

// NextWakeup returns the time at which Step has to be called next if nothing else
// happens, and the zero time when nothing is due.
func (m *Manager) NextWakeup(now time.Time) time.Time {
	if len(m.results) > 0 {
		return now
	}
	var wake time.Time
	for _, p := range m.pending {
		at := p.Deadline
		if !p.inFlight && p.retryAt.Before(at) {
			at = p.retryAt
		}
		if !p.decided && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

// HandleReply handles the end of a call. A call that the register does not know is
// ignored.
func (m *Manager) HandleReply(now time.Time, rep Reply) {
	p := m.findInFlight(rep.ID)
	if p == nil {
		return
	}
	p.inFlight = false
	switch rep.Outcome {
	case Committed:
		m.MergeStored(p.next, rep.Revision)
		if !p.decided {
			m.decide(p, rrcode.Applied)
		}
	case CompareFailed:
		m.handleCompareFailed(now, p, rep)
	default:
		p.indeterminate = p.indeterminate || rep.Outcome == Indeterminate
		p.mayBeApplied = p.mayBeApplied || p.indeterminate
		p.retryAt = now.Add(p.backoff)
		p.backoff = min(2*p.backoff, maxBackoff)
	}
}

func (m *Manager) findInFlight(id uint64) *proposal {
	for _, p := range m.pending {
		if p.id == id && p.inFlight {
			return p
		}
	}
	return nil
}

// handleCompareFailed decides on a change by what the store holds.
func (m *Manager) handleCompareFailed(now time.Time, p *proposal, rep Reply) {
	if rep.Current.Preset.Valid() {
		m.MergeStored(rep.Current, rep.ModRevision)
	}
	if rep.ModRevision != p.expectedRevision {
		p.indeterminate = false // writes that compare the old revision are dead
	}
	p.expectedRevision = rep.ModRevision
	p.retryAt = now
	switch {
	case p.decided:
	case rep.Current.ChangeID == p.next.ChangeID || rep.VersionChangeID == p.next.ChangeID:
		m.decide(p, rrcode.Applied)
	case max(m.active.Version, rep.Current.Version) == p.Config.Version:
		// the key has another revision than the one last seen: write again
	case p.mayBeApplied && rep.VersionChangeID == "" && rep.Current.Version > p.next.Version:
		m.decide(p, rrcode.ApplyUnconfirmed) // the id of that version is not kept any more
	default:
		m.decide(p, rrcode.Conflict)
	}
}
