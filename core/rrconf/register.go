package rrconf

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
)

// onePerVersion holds as long as two configurations never share a version.
var onePerVersion = rrinvariant.New("each version names one configuration")

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
	cfg     Config
	mod     int64 // revision of the store's key as last seen; zero when it is absent
	seq     uint64
	open    []*proposal
	decided []ChangeResult
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
	id      uint64
	next    Config // with the version that the change makes
	expect  int64
	doubt   bool // a write that compares expect may still take effect
	tried   bool // some write may have taken effect
	flying  bool // a call is under way
	over    bool // the verdict is out
	pause   time.Duration
	retryAt time.Time
}

// noRevision is a revision that no key has, so that a call only reads.
const noRevision = -1

// MaxPendingChanges is the number of changes that a register carries out at a time.
const MaxPendingChanges = 100

// Bounds of the pause after a call that failed.
const (
	minPause = 100 * time.Millisecond
	maxPause = 2 * time.Second
)

// Active returns the configuration in force.
func (r *Manager) Active() Config {
	if r.cfg.Version == 0 && r.cfg.Preset == "" {
		return Default()
	}
	return r.cfg
}

// Merge takes a valid configuration from a peer and reports whether it is newer
// than the one in force, which it replaces.
func (r *Manager) Merge(cfg Config) bool {
	if cfg.Version == r.cfg.Version {
		onePerVersion.Assert(cfg.Version == 0 || cfg.ChangeID == r.cfg.ChangeID)
		return false
	}
	if cfg.Version < r.cfg.Version {
		return false
	}
	r.cfg = cfg
	return true
}

// MergeStored takes a valid configuration that the store holds at revision mod, like Merge.
func (r *Manager) MergeStored(cfg Config, mod int64) bool {
	r.mod = max(r.mod, mod)
	return r.Merge(cfg)
}

// Propose begins a change. Exactly one verdict follows.
func (r *Manager) Propose(now time.Time, c Change) {
	if err := c.Config.Validate(); err != nil {
		r.decided = append(r.decided, ChangeResult{RequestID: c.RequestID, Code: rrcode.BadConfig, Detail: err.Error(), Active: r.Active()})
		return
	}
	if c.Config.ChangeID == "" {
		r.decided = append(r.decided, ChangeResult{RequestID: c.RequestID, Code: rrcode.BadConfig, Detail: "the change has no id", Active: r.Active()})
		return
	}
	if len(r.open) >= MaxPendingChanges {
		r.decided = append(r.decided, ChangeResult{RequestID: c.RequestID, Code: rrcode.Overloaded, Detail: "too many changes wait for the store", Active: r.Active()})
		return
	}
	r.seq++
	p := &proposal{Change: c, id: r.seq, next: c.Config, expect: r.mod, tried: !c.FirstAttempt, pause: minPause, retryAt: now}
	p.next.Version++
	if c.Config.Version != r.cfg.Version {
		p.expect = noRevision // the change does not follow what r.mod stands for
	}
	if r.cfg.ChangeID == p.next.ChangeID {
		r.decide(p, rrcode.Applied)
		return
	}
	r.open = append(r.open, p)
}

// decide ends a change.
func (r *Manager) decide(p *proposal, code rrcode.Code) {
	p.over = true
	r.decided = append(r.decided, ChangeResult{RequestID: p.RequestID, Code: code, Detail: code.Description(), Active: r.Active()})
}

// Effects collects what the register wants done.
type Effects struct {
	Writes  []StoreCall
	Results []ChangeResult
}

// Step appends to out what is due at now.
func (r *Manager) Step(now time.Time, out *Effects) {
	kept := r.open[:0]
	for _, p := range r.open {
		if !p.over && !p.Deadline.After(now) {
			r.decide(p, p.away())
		}
		if p.over && !p.flying {
			continue
		}
		kept = append(kept, p)
		if !p.over && !p.flying && !p.retryAt.After(now) {
			p.flying = true
			out.Writes = append(out.Writes, StoreCall{ID: p.id, ExpectedRevision: p.expect, Config: p.next})
		}
	}
	clear(r.open[len(kept):])
	r.open = kept
	out.Results = append(out.Results, r.decided...)
	r.decided = nil
}

// away returns the code of a change whose deadline came without an answer.
func (p *proposal) away() rrcode.Code {
	if p.tried || p.flying {
		return rrcode.ApplyUnconfirmed
	}
	return rrcode.StoreUnavailable
}

// NextWakeup returns the time at which Step has to be called next if nothing else
// happens, and the zero time when nothing is due.
func (r *Manager) NextWakeup(now time.Time) time.Time {
	if len(r.decided) > 0 {
		return now
	}
	var wake time.Time
	for _, p := range r.open {
		at := p.Deadline
		if !p.flying && p.retryAt.Before(at) {
			at = p.retryAt
		}
		if !p.over && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

// HandleReply handles the end of a call. A call that the register does not know is
// ignored.
func (r *Manager) HandleReply(now time.Time, rep Reply) {
	p := r.find(rep.ID)
	if p == nil {
		return
	}
	p.flying = false
	switch rep.Outcome {
	case Committed:
		r.MergeStored(p.next, rep.Revision)
		if !p.over {
			r.decide(p, rrcode.Applied)
		}
	case CompareFailed:
		r.compared(now, p, rep)
	default:
		p.doubt = p.doubt || rep.Outcome == Indeterminate
		p.tried = p.tried || p.doubt
		p.retryAt = now.Add(p.pause)
		p.pause = min(2*p.pause, maxPause)
	}
}

func (r *Manager) find(id uint64) *proposal {
	for _, p := range r.open {
		if p.id == id && p.flying {
			return p
		}
	}
	return nil
}

// compared decides on a change by what the store holds.
func (r *Manager) compared(now time.Time, p *proposal, rep Reply) {
	if rep.Current.Preset.Valid() {
		r.MergeStored(rep.Current, rep.ModRevision)
	}
	if rep.ModRevision != p.expect {
		p.doubt = false // writes that compare the old revision are dead
	}
	p.expect = rep.ModRevision
	p.retryAt = now
	switch {
	case p.over:
	case rep.Current.ChangeID == p.next.ChangeID || rep.VersionChangeID == p.next.ChangeID:
		r.decide(p, rrcode.Applied)
	case max(r.cfg.Version, rep.Current.Version) == p.Config.Version:
		// the key has another revision than the one last seen: write again
	case p.tried && rep.VersionChangeID == "" && rep.Current.Version > p.next.Version:
		r.decide(p, rrcode.ApplyUnconfirmed) // the id of that version is not kept any more
	default:
		r.decide(p, rrcode.Conflict)
	}
}
