package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// Invariants of Manager.
var (
	grantNeedsAttempt = rrinvariant.New("only an attempt that waits is granted its claim")
	revisionIncreases = rrinvariant.New("each write raises the revision of its key")
)

// HandleReply handles the reply to a store call. A reply to an unknown call is ignored,
// which makes duplicate replies harmless.
func (m *Manager) HandleReply(now time.Time, r Reply) {
	call, ok := m.inFlight[r.CallID]
	if !ok {
		return
	}
	delete(m.inFlight, r.CallID)
	for i, c := range call.claims {
		c.inFlight = false
		switch {
		case r.Outcome == Committed:
			m.handleWritten(now, c, call.writes[i], r.Revision)
		case r.Outcome == CompareFailed && len(r.Current) == len(call.claims):
			m.handleRead(now, c, r.Current[i])
		case r.Outcome == NotApplied:
			m.handleNotApplied(now, c)
		default:
			c.indeterminate = true
			m.requeue(now, c)
		}
	}
}

// handleWritten handles a committed write w, which gave the key of c this revision.
func (m *Manager) handleWritten(now time.Time, c *claim, w Write, revision int64) {
	revisionIncreases.Assert(revision > c.revision)
	c.revision = revision
	c.indeterminate = false
	c.storedOpen = w.Record.State == Open
	switch {
	case w.Record.Attempt != c.attempt:
		m.requeue(now, c) // an earlier attempt made the write
	case c.stage == stageOpening:
		m.grant(c)
	case c.stage == stageReclosing:
		m.resolve(c, notRunDecision(c))
	case w.Record.State == Closed && w.Record.Code == c.closeRecord.Code:
		m.remove(c)
	default:
		m.requeue(now, c) // the attempt was abandoned meanwhile
	}
}

// handleNotApplied handles a claim whose write is known to have had no effect.
func (m *Manager) handleNotApplied(now time.Time, c *claim) {
	if c.stage == stageClosing && !c.needsClose() {
		m.remove(c)
		return
	}
	m.requeue(now, c)
}

// requeue queues c for another transaction. A closing claim that is older than
// MaxRequestAge is removed, because no retry reads it any longer.
func (m *Manager) requeue(now time.Time, c *claim) {
	at, _ := idTime(c.id)
	if c.stage == stageClosing && now.Sub(at) > MaxRequestAge {
		m.remove(c)
		return
	}
	m.enqueue(c)
}

func (m *Manager) grant(c *claim) {
	grantNeedsAttempt.Assert(c.stage == stageOpening && !c.granted)
	m.removeDeadline(c)
	c.stage = stageGranted
	c.granted = true
	m.decisions = append(m.decisions, Decision{ID: c.id, Kind: Granted})
}

// handleRead handles the current state of the key of c, which was read because a
// comparison of the transaction failed.
func (m *Manager) handleRead(now time.Time, c *claim, current KeyState) {
	changed := current.ModRevision != c.revision
	if changed {
		c.indeterminate = false // writes that compare the old revision can't take effect
	}
	c.revision = current.ModRevision
	c.storedOpen = current.ModRevision != 0 && current.Record.State == Open && m.isOwn(current.Record)
	if c.stage == stageClosing {
		m.handleReadClosing(now, c, current, changed)
		return
	}
	if c.stage == stageReclosing && !changed {
		m.requeue(now, c)
		return
	}
	c.stage = stageOpening
	m.handleReadOpening(now, c, current)
}

func (m *Manager) isOwn(r Record) bool {
	return r.Entry == m.entry && r.Incarnation == m.incarnation
}

// handleReadOpening decides or requeues an attempt by the current state of its key.
func (m *Manager) handleReadOpening(now time.Time, c *claim, current KeyState) {
	r := current.Record
	switch {
	case current.ModRevision == 0:
		m.requeue(now, c)
	case r.State == Malformed:
		m.resolve(c, Decision{Kind: Refused, Answer: rrtask.Answer{Code: rrcode.ClaimHeld, Detail: "the claim does not parse"}})
	case r.Tenant != c.request.Tenant:
		m.resolve(c, Decision{Kind: Refused, Answer: rrtask.Answer{Code: rrcode.BadRequest, Detail: otherTenantDetail}})
	case r.State == Closed && m.isOwn(r) && r.Attempt == c.attempt:
		// the new close of closeAgain took effect, but its reply was lost
		m.resolve(c, notRunDecision(c))
	case r.State == Open && !m.isOwn(r):
		m.resolve(c, Decision{Kind: OwnedElsewhere, Owner: r.Entry, Incarnation: r.Incarnation})
	case r.State == Open && r.Attempt == c.attempt:
		m.grant(c)
	case r.State == Open:
		m.requeue(now, c) // an abandoned attempt of this Manager
	case r.Code.Class() != rrcode.ClassNotRun:
		m.resolve(c, Decision{Kind: AlreadyClosed, Answer: recordedAnswer(c.id, r)})
	case m.isOwn(r) || c.arrived.Sub(r.ClosedAt) > MaxClockSkew:
		// the closed attempt ended before this submission arrived: it is one of this Manager,
		// or was closed longer ago than a difference between clocks explains
		m.requeue(now, c)
	default:
		m.closeAgain(now, c, r)
	}
}

// closeAgain queues another close of a claim that was closed as not run with r. The
// submission may have arrived before that close, so it must not start. Before its
// caller is answered "not run", the new close must exclude the submissions that
// arrived between r and this one.
func (m *Manager) closeAgain(now time.Time, c *claim, r Record) {
	c.stage = stageReclosing
	c.closeRecord = m.newRecord(c, Closed)
	c.closeRecord.ClosedAt = now
	c.closeRecord.Code = r.Code
	c.closeRecord.Detail = r.Detail
	m.enqueue(c)
}

// notRunDecision returns the decision for an attempt whose new close (see closeAgain) is
// stored.
func notRunDecision(c *claim) Decision {
	a := recordedAnswer(c.id, c.closeRecord)
	a.RetryAfter = 2 * MaxClockSkew
	return Decision{Kind: AlreadyClosed, Answer: a}
}

// resolve ends an attempt with decision d. Call it only if no write of the attempt can
// still take effect.
func (m *Manager) resolve(c *claim, d Decision) {
	d.ID = c.id
	if d.Kind != OwnedElsewhere {
		d.Answer.RequestID = c.id
	}
	if d.Kind == Refused {
		d.Answer.Coordinator = m.entry
	}
	m.decisions = append(m.decisions, d)
	m.remove(c)
}

// handleReadClosing decides whether the outcome must still be written.
func (m *Manager) handleReadClosing(now time.Time, c *claim, current KeyState, changed bool) {
	switch {
	case current.ModRevision == 0 && !c.needsClose():
		m.remove(c)
	case current.ModRevision == 0 || c.storedOpen:
		m.requeue(now, c)
	case !changed && c.needsClose():
		m.requeue(now, c) // the comparison of another claim failed
	default:
		m.remove(c) // written by a call whose reply was lost, or claimed again meanwhile
	}
}
