package rrnode

import (
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrtask"
	"rattanring/core/rrview"
)

// claimWrites is the share of the store's writes that claims may take, all
// entries together, per second.
const claimWrites = 240

// Join asks a peer for the answer of a job whose claim it holds.
type Join struct {
	ID       string
	Tenant   string
	To       string
	Addr     string
	Deadline time.Time
}

// Claimed is the end of a call of the claims.
type Claimed struct {
	Reply rrclaim.Reply
}

// Joined is the end of a Join.
type Joined struct {
	ID     string
	Sent   rrcoord.Sent
	Answer rrtask.Answer // with the code rrcode.NotFound when the peer does not run the job
}

func (*Claimed) event() {}
func (*Joined) event()  {}

// claims moves the claims on: new ones, ended jobs, and what the book decided.
func (n *Node) claims(now time.Time) {
	for _, c := range n.coord.Out.Claims {
		n.book.Claim(now, rrclaim.Ask{ID: c.Job, Tenant: c.Tenant, Deadline: c.Deadline, First: c.First})
	}
	n.closeClaims(now)
	n.booked.Calls = n.booked.Calls[:0]
	n.booked.Decisions = n.booked.Decisions[:0]
	n.book.Step(now, &n.booked)
	n.eff.Calls = n.booked.Calls
	for _, d := range n.booked.Decisions {
		n.decided(now, d)
	}
	n.closeClaims(now)
}

// closeClaims writes the outcomes of the claimed jobs that have ended.
func (n *Node) closeClaims(now time.Time) {
	finals := n.coord.Out.Finals
	for _, f := range finals[n.closed:] {
		if f.Once {
			n.book.Close(now, f.Answer.Job, f.Answer)
		}
	}
	n.closed = len(finals)
}

func (n *Node) decided(now time.Time, d rrclaim.Decision) {
	if d.Kind != rrclaim.Join {
		delete(n.missed, d.ID)
	}
	switch d.Kind {
	case rrclaim.Granted:
		n.coord.Granted(now, d.ID)
	case rrclaim.Join:
		n.joinHolder(now, d)
	default:
		n.coord.Settled(now, d.ID, d.Answer)
	}
}

// joinHolder asks the entry that holds a claim for the answer. The job may have
// run when that incarnation is gone. An entry that is listed and has not been heard
// yet is asked.
func (n *Node) joinHolder(now time.Time, d rrclaim.Decision) {
	p := n.view.Peer(d.Entry)
	tenant, deadline, ok := n.coord.Claiming(d.ID)
	if !ok {
		return
	}
	if p == nil || n.outlived(now, p, d.Life) {
		n.held(now, d.ID)
		return
	}
	n.eff.Joins = append(n.eff.Joins, Join{ID: d.ID, Tenant: tenant, To: p.Name, Addr: p.Addr, Deadline: deadline})
}

// outlived reports whether an incarnation of a peer is known to be gone.
func (n *Node) outlived(now time.Time, p *rrview.Peer, life uint64) bool {
	switch n.view.Condition(now, p) {
	case rrview.Unheard:
		return false
	case rrview.Dead:
		return true
	}
	return p.Life != life
}

// held answers that an earlier submission may have run.
func (n *Node) held(now time.Time, id string) {
	delete(n.missed, id)
	code := rrcode.ClaimHeld
	n.coord.Settled(now, id, rrtask.Answer{Code: code, Detail: code.Text()})
}

// joined takes the answer of a claim's holder. A holder that no longer runs the
// job has written its outcome, so the claim is read again, once.
func (n *Node) joined(now time.Time, ev *Joined) {
	tenant, deadline, ok := n.coord.Claiming(ev.ID)
	switch {
	case !ok:
	case ev.Sent != rrcoord.Answered:
		n.held(now, ev.ID)
	case ev.Answer.Code != rrcode.NotFound:
		n.coord.Settled(now, ev.ID, ev.Answer)
	case now.Before(deadline) && !n.missed[ev.ID]:
		n.missed[ev.ID] = true
		n.book.Claim(now, rrclaim.Ask{ID: ev.ID, Tenant: tenant, Deadline: deadline})
	default:
		n.held(now, ev.ID)
	}
}

// joinIn adds a peer's caller to a job that runs here, or answers with the
// outcome that is about to be written.
func (n *Node) joinIn(now time.Time, ev *JoinIn) {
	if n.coord.Join(now, ev.Token, ev.ID, ev.Tenant) {
		return
	}
	answer, ok := n.book.Ended(ev.ID)
	if !ok {
		answer = rrtask.Answer{Code: rrcode.NotFound}
	}
	n.eff.Misses = append(n.eff.Misses, Miss{Token: ev.Token, Answer: answer})
}
