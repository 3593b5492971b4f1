package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"
)

// Invariants of the book.
var (
	grantWaits    = rrinvariant.New("only an attempt that waits is granted its claim")
	revisionRises = rrinvariant.New("each write raises the revision of its key")
)

// HandleReply handles the end of a call. A call that the book does not know is ignored,
// so a reply that comes twice does no harm.
func (b *Manager) HandleReply(now time.Time, r Reply) {
	f, ok := b.calls[r.Call]
	if !ok {
		return
	}
	delete(b.calls, r.Call)
	for i, c := range f.claims {
		c.flying = false
		switch {
		case r.Outcome == Committed:
			b.written(now, c, f.writes[i], r.Revision)
		case r.Outcome == CompareFailed && len(r.Current) == len(f.claims):
			b.found(now, c, r.Current[i])
		case r.Outcome == NotApplied:
			b.unsent(now, c)
		default:
			c.doubt = true
			b.again(now, c)
		}
	}
}

// written notes that w is in the store at revision rev.
func (b *Manager) written(now time.Time, c *claim, w Write, rev int64) {
	revisionRises.Assert(rev > c.known)
	c.known = rev
	c.doubt = false
	c.open = w.Record.State == Open
	switch {
	case w.Record.Nonce != c.nonce:
		b.again(now, c) // the write of an attempt before this one
	case c.goal == toOpen:
		b.grant(c)
	case c.goal == toRefuse:
		b.settle(c, refused(c))
	case w.Record.State == Closed && w.Record.Code == c.last.Code:
		b.forget(c)
	default:
		b.again(now, c) // the attempt was given up since
	}
}

// unsent handles a claim whose write is known to have had no effect.
func (b *Manager) unsent(now time.Time, c *claim) {
	if c.goal == toClose && !c.binding() {
		b.forget(c)
		return
	}
	b.again(now, c)
}

// again puts c back in line. A claim so old that retries no longer read it is
// dropped.
func (b *Manager) again(now time.Time, c *claim) {
	at, _ := idTime(c.id)
	if c.goal == toClose && now.Sub(at) > MaxRequestAge {
		b.forget(c)
		return
	}
	b.queue(c)
}

func (b *Manager) grant(c *claim) {
	grantWaits.Assert(c.goal == toOpen && !c.ran)
	b.unwait(c)
	c.goal = held
	c.ran = true
	b.decided = append(b.decided, Decision{ID: c.id, Kind: Granted})
}

// found handles what is in the store when a comparison of the group has failed.
func (b *Manager) found(now time.Time, c *claim, f KeyState) {
	moved := f.ModRevision != c.known
	if moved {
		c.doubt = false // writes that compare the old revision are dead
	}
	c.known = f.ModRevision
	c.open = f.ModRevision != 0 && f.Record.State == Open && b.mine(f.Record)
	if c.goal == toClose {
		b.foundClosing(now, c, f, moved)
		return
	}
	if c.goal == toRefuse && !moved {
		b.again(now, c)
		return
	}
	c.goal = toOpen
	b.foundOpening(now, c, f)
}

func (b *Manager) mine(r Record) bool {
	return r.Entry == b.entry && r.Incarnation == b.life
}

// foundOpening decides on an attempt by what the key holds.
func (b *Manager) foundOpening(now time.Time, c *claim, f KeyState) {
	r := f.Record
	switch {
	case f.ModRevision == 0:
		b.again(now, c)
	case r.State == Malformed:
		b.settle(c, Decision{Kind: Refused, Answer: rrtask.Answer{Code: rrcode.ClaimHeld, Detail: "the claim does not parse"}})
	case r.Tenant != c.ask.Tenant:
		b.settle(c, Decision{Kind: Refused, Answer: rrtask.Answer{Code: rrcode.BadRequest, Detail: otherTenant}})
	case r.State == Closed && b.mine(r) && r.Nonce == c.nonce:
		b.settle(c, refused(c))
	case r.State == Open && !b.mine(r):
		b.settle(c, Decision{Kind: HeldElsewhere, Owner: r.Entry, Incarnation: r.Incarnation})
	case r.State == Open && r.Nonce == c.nonce:
		b.grant(c)
	case r.State == Open:
		b.again(now, c) // an attempt of this book that was given up
	case r.Code.Class() != rrcode.ClassNotRun:
		b.settle(c, Decision{Kind: AlreadyCompleted, Answer: answerOf(c.id, r)})
	case b.mine(r) || c.arrived.Sub(r.ClosedAt) > MaxClockSkew:
		b.again(now, c)
	default:
		b.refuseAgain(now, c, r)
	}
}

// refuseAgain closes a claim once more that was closed with r. The submission may
// have come before r, so it must not start; and before its caller hears "not run",
// the claim has to be closed to those that came between r and this submission.
func (b *Manager) refuseAgain(now time.Time, c *claim, r Record) {
	c.goal = toRefuse
	c.last = b.record(c, Closed)
	c.last.ClosedAt = now
	c.last.Code = r.Code
	c.last.Detail = r.Detail
	b.queue(c)
}

// refused returns the decision on an attempt whose goal was toRefuse.
func refused(c *claim) Decision {
	a := answerOf(c.id, c.last)
	a.RetryAfter = 2 * MaxClockSkew
	return Decision{Kind: AlreadyCompleted, Answer: a}
}

// settle ends an attempt whose writes are all dead.
func (b *Manager) settle(c *claim, d Decision) {
	d.ID = c.id
	if d.Kind != HeldElsewhere {
		d.Answer.RequestID = c.id
	}
	if d.Kind == Refused {
		d.Answer.Coordinator = b.entry
	}
	b.decided = append(b.decided, d)
	b.forget(c)
}

// foundClosing decides whether the outcome still has to be written.
func (b *Manager) foundClosing(now time.Time, c *claim, f KeyState, moved bool) {
	switch {
	case f.ModRevision == 0 && !c.binding():
		b.forget(c)
	case f.ModRevision == 0 || c.open:
		b.again(now, c)
	case !moved && c.binding():
		b.again(now, c) // the comparison of another claim has failed
	default:
		b.forget(c) // written by a lost call, or taken again since
	}
}
