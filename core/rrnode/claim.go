package rrnode

import (
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// claimWrites is the share of the store's writes that claims may take, all
// entries together, per second.
const claimWrites = 240

// AttachCall asks a peer for the answer of a job whose claim it holds.
type AttachCall struct {
	ID       string
	Tenant   string
	To       string
	Addr     string
	Deadline time.Time
}

// ClaimCallDone is the end of a call of the claims.
type ClaimCallDone struct {
	Reply rrclaim.Reply
}

// AttachDone is the end of an AttachCall.
type AttachDone struct {
	ID       string
	Delivery rrcoord.Delivery
	Answer   rrtask.Answer // with the code rrcode.NotFound when the peer does not run the job
}

func (*ClaimCallDone) event() {}
func (*AttachDone) event()    {}

// claims moves the claims on: new ones, ended jobs, and what the book decided.
func (n *Node) claims(now time.Time) {
	for _, c := range n.coord.Effects.Claims {
		n.book.Acquire(now, rrclaim.Request{ID: c.Job, Tenant: c.Tenant, Deadline: c.Deadline, FirstAttempt: c.FirstAttempt})
	}
	n.closeClaims(now)
	n.booked.Calls = n.booked.Calls[:0]
	n.booked.Decisions = n.booked.Decisions[:0]
	n.book.Step(now, &n.booked)
	n.eff.ClaimCalls = n.booked.Calls
	for _, d := range n.booked.Decisions {
		n.decided(now, d)
	}
	n.closeClaims(now)
}

// closeClaims writes the outcomes of the claimed jobs that have ended.
func (n *Node) closeClaims(now time.Time) {
	finals := n.coord.Effects.Answers
	for _, f := range finals[n.closed:] {
		if f.CloseClaim {
			n.book.Close(now, f.Answer.RequestID, f.Answer)
		}
	}
	n.closed = len(finals)
}

func (n *Node) decided(now time.Time, d rrclaim.Decision) {
	if d.Kind != rrclaim.HeldElsewhere {
		delete(n.missed, d.ID)
	}
	switch d.Kind {
	case rrclaim.Granted:
		n.coord.ClaimGranted(now, d.ID)
	case rrclaim.HeldElsewhere:
		n.joinHolder(now, d)
	default:
		n.coord.ResolveUnclaimed(now, d.ID, d.Answer)
	}
}

// joinHolder asks the entry that holds a claim for the answer. The job may have
// run when that incarnation is gone. An entry that is listed and has not been heard
// yet is asked.
func (n *Node) joinHolder(now time.Time, d rrclaim.Decision) {
	p := n.view.Peer(d.Owner)
	tenant, deadline, ok := n.coord.PendingClaim(d.ID)
	if !ok {
		return
	}
	if p == nil || n.outlived(now, p, d.Incarnation) {
		n.held(now, d.ID)
		return
	}
	n.eff.Attaches = append(n.eff.Attaches, AttachCall{ID: d.ID, Tenant: tenant, To: p.Name, Addr: p.Addr, Deadline: deadline})
}

// outlived reports whether an incarnation of a peer is known to be gone.
func (n *Node) outlived(now time.Time, p *rrmembership.Peer, life uint64) bool {
	switch n.view.State(now, p) {
	case rrmembership.Unknown:
		return false
	case rrmembership.Dead:
		return true
	}
	return p.Incarnation != life
}

// held answers that an earlier submission may have run.
func (n *Node) held(now time.Time, id string) {
	delete(n.missed, id)
	code := rrcode.ClaimHeld
	n.coord.ResolveUnclaimed(now, id, rrtask.Answer{Code: code, Detail: code.Description()})
}

// joined takes the answer of a claim's holder. A holder that no longer runs the
// job has written its outcome, so the claim is read again, once.
func (n *Node) joined(now time.Time, ev *AttachDone) {
	tenant, deadline, ok := n.coord.PendingClaim(ev.ID)
	switch {
	case !ok:
	case ev.Delivery != rrcoord.DeliveryAnswered:
		n.held(now, ev.ID)
	case ev.Answer.Code != rrcode.NotFound:
		n.coord.ResolveUnclaimed(now, ev.ID, ev.Answer)
	case now.Before(deadline) && !n.missed[ev.ID]:
		n.missed[ev.ID] = true
		n.book.Acquire(now, rrclaim.Request{ID: ev.ID, Tenant: tenant, Deadline: deadline})
	default:
		n.held(now, ev.ID)
	}
}

// joinIn adds a peer's caller to a job that runs here, or answers with the
// outcome that is about to be written.
func (n *Node) joinIn(now time.Time, ev *AttachRequest) {
	if n.coord.AttachCaller(now, ev.Token, ev.ID, ev.Tenant) {
		return
	}
	answer, ok := n.book.PendingOutcome(ev.ID)
	if !ok {
		answer = rrtask.Answer{Code: rrcode.NotFound}
	}
	n.eff.AttachMisses = append(n.eff.AttachMisses, AttachMiss{Token: ev.Token, Answer: answer})
}
