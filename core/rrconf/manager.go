package rrconf

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
)

// versionsUnique is violated when two different configurations have the same version.
var versionsUnique = rrinvariant.New("each version names one configuration")

// Manager holds the active configuration of one entry and carries out operators'
// changes. The zero value holds the built-in configuration. It is not safe for
// concurrent use.
//
// The highest version ever received is active, whatever its source, and therefore a
// lagging store or peer can't revert a change. A change names the version that its
// author read and becomes the next version. It is written if the store's key still
// has the last known revision; otherwise the same call reads the current document.
// Each change also stores its id under its version. A write whose answer is lost is
// sent again unchanged, and the id tells whether it was accepted, even if another
// change followed.
type Manager struct {
	active     Config
	revision   int64 // highest known revision of the store's key; zero if it is absent
	lastCallID uint64
	pending    []*proposal
	results    []ChangeResult
}

// Change is an operator's change. Its configuration has the version that the author
// read and a new change id.
type Change struct {
	RequestID    uint64 // identifies the change in its ChangeResult
	Config       Config
	Deadline     time.Time
	FirstAttempt bool // the change id was not proposed before at any entry
}

// StoreCall is one call to the store: write Config if the document's key has revision
// ExpectedRevision, otherwise read the document and the change id stored for the
// version of Config.
type StoreCall struct {
	ID               uint64
	ExpectedRevision int64 // zero if the key must not exist, negative to read only
	Config           Config
}

// CallOutcome is the outcome of a StoreCall.
type CallOutcome int

// Outcomes of store calls.
const (
	Indeterminate CallOutcome = iota // no answer: the call may have taken effect, or may do so later
	NotApplied                       // the call is known to have had no effect
	Committed                        // the comparison held
	CompareFailed                    // the comparison failed and the keys were read
)

// Reply reports the outcome of a StoreCall.
type Reply struct {
	CallID          uint64 // ID of the StoreCall
	Outcome         CallOutcome
	Revision        int64  // of the write, if Outcome is Committed
	Current         Config // value of the key, if Outcome is CompareFailed; zero if the key is absent or its value does not parse
	ModRevision     int64  // revision of the key, if Outcome is CompareFailed; zero if it is absent
	VersionChangeID string // id of the change that made the version of the call's Config, if Outcome is CompareFailed; empty if none is stored
}

// ChangeResult is the outcome of a Change.
type ChangeResult struct {
	RequestID uint64
	Code      rrcode.Code // Applied, Conflict, BadConfig, Overloaded, StoreUnavailable or ApplyUnconfirmed
	Detail    string
	Active    Config // the active configuration after the change
}

// proposal is a pending change.
type proposal struct {
	Change
	callID           uint64 // of all its store calls, of which at most one is in flight
	next             Config // Change.Config with the new version
	expectedRevision int64
	indeterminate    bool // a write that compares expectedRevision may still take effect
	mayBeApplied     bool // a write may have taken effect
	inFlight         bool // a store call awaits its reply
	decided          bool // the ChangeResult exists
	backoff          time.Duration
	retryAt          time.Time
}

// neverRevision is a revision that no key has. A call that expects it only reads.
const neverRevision = -1

// MaxPendingChanges is the maximum number of pending changes of a Manager.
const MaxPendingChanges = 100

// Bounds of the delay before a failed call is repeated.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Active returns the active configuration.
func (m *Manager) Active() Config {
	if m.active.Version == 0 && m.active.Preset == "" {
		return Default()
	}
	return m.active
}

// Merge accepts a valid configuration from a peer. It replaces the active
// configuration and returns true if it is newer.
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

// MergeStored is like Merge for a valid configuration that the store holds at the
// given revision.
func (m *Manager) MergeStored(cfg Config, revision int64) bool {
	m.revision = max(m.revision, revision)
	return m.Merge(cfg)
}

// Propose begins a change. Exactly one ChangeResult follows.
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
	p := &proposal{Change: c, callID: m.lastCallID, next: c.Config, expectedRevision: m.revision, mayBeApplied: !c.FirstAttempt, backoff: minBackoff, retryAt: now}
	p.next.Version++
	if c.Config.Version != m.active.Version {
		p.expectedRevision = neverRevision // the change is not based on the document at m.revision
	}
	if m.active.ChangeID == p.next.ChangeID {
		m.decide(p, rrcode.Applied)
		return
	}
	m.pending = append(m.pending, p)
}

// decide ends a change with code.
func (m *Manager) decide(p *proposal, code rrcode.Code) {
	p.decided = true
	m.results = append(m.results, ChangeResult{RequestID: p.RequestID, Code: code, Detail: code.Description(), Active: m.Active()})
}

// Effects collects the store calls to execute and the results to deliver.
type Effects struct {
	Calls   []StoreCall
	Results []ChangeResult
}

// Step appends the store calls that are due at now and the new results to out.
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
			out.Calls = append(out.Calls, StoreCall{ID: p.callID, ExpectedRevision: p.expectedRevision, Config: p.next})
		}
	}
	clear(m.pending[len(remaining):])
	m.pending = remaining
	out.Results = append(out.Results, m.results...)
	m.results = nil
}

// timeoutCode returns the code of a change whose deadline passed without an answer
// from the store.
func (p *proposal) timeoutCode() rrcode.Code {
	if p.mayBeApplied || p.inFlight {
		return rrcode.ApplyUnconfirmed
	}
	return rrcode.StoreUnavailable
}

// NextWakeup returns the time at which Step must be called next if nothing else
// happens, or the zero time if no call is needed.
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

// HandleReply handles the reply to a store call. A reply to an unknown call is ignored.
func (m *Manager) HandleReply(now time.Time, reply Reply) {
	p := m.findInFlight(reply.CallID)
	if p == nil {
		return
	}
	p.inFlight = false
	switch reply.Outcome {
	case Committed:
		m.MergeStored(p.next, reply.Revision)
		if !p.decided {
			m.decide(p, rrcode.Applied)
		}
	case CompareFailed:
		m.handleCompareFailed(now, p, reply)
	default:
		p.indeterminate = p.indeterminate || reply.Outcome == Indeterminate
		p.mayBeApplied = p.mayBeApplied || p.indeterminate
		p.retryAt = now.Add(p.backoff)
		p.backoff = min(2*p.backoff, maxBackoff)
	}
}

func (m *Manager) findInFlight(callID uint64) *proposal {
	for _, p := range m.pending {
		if p.callID == callID && p.inFlight {
			return p
		}
	}
	return nil
}

// handleCompareFailed decides a change by the current document in the store.
func (m *Manager) handleCompareFailed(now time.Time, p *proposal, reply Reply) {
	if reply.Current.Preset.Valid() {
		m.MergeStored(reply.Current, reply.ModRevision)
	}
	if reply.ModRevision != p.expectedRevision {
		p.indeterminate = false // writes that compare the old revision can't take effect
	}
	p.expectedRevision = reply.ModRevision
	p.retryAt = now
	switch {
	case p.decided:
	case reply.Current.ChangeID == p.next.ChangeID || reply.VersionChangeID == p.next.ChangeID:
		m.decide(p, rrcode.Applied)
	case max(m.active.Version, reply.Current.Version) == p.Config.Version:
		// the key has a revision other than the expected one, but the same version: write again
	case p.mayBeApplied && reply.VersionChangeID == "" && reply.Current.Version > p.next.Version:
		m.decide(p, rrcode.ApplyUnconfirmed) // the store no longer has the change id of that version
	default:
		m.decide(p, rrcode.Conflict)
	}
}
