package rrnode

import (
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// claimWritesPerSecond is the part of the store's write budget that all entries together
// may use for claims.
const claimWritesPerSecond = 240

// AttachCall asks a peer for the answer to a job whose claim it owns.
type AttachCall struct {
	ID       string
	Tenant   string
	To       string
	Addr     string
	Deadline time.Time
}

// ClaimCallDone reports the result of a claim operation on the store.
type ClaimCallDone struct {
	Reply rrclaim.Reply
}

// AttachDone reports the result of an AttachCall.
type AttachDone struct {
	ID       string
	Delivery rrcoord.Delivery
	Answer   rrtask.Answer // has the code rrcode.NotFound if the peer does not run the job
}

func (*ClaimCallDone) event() {}
func (*AttachDone) event()    {}

// advanceClaims passes new claims and finished jobs to the claim manager, and applies its
// decisions.
func (n *Node) advanceClaims(now time.Time) {
	for _, c := range n.coordinator.Effects.Claims {
		n.claimManager.Acquire(now, rrclaim.Request{ID: c.JobID, Tenant: c.Tenant, Deadline: c.Deadline, FirstAttempt: c.FirstAttempt})
	}
	n.closeClaims(now)
	n.claimEffects.Calls = n.claimEffects.Calls[:0]
	n.claimEffects.Decisions = n.claimEffects.Decisions[:0]
	n.claimManager.Step(now, &n.claimEffects)
	n.effects.ClaimCalls = n.claimEffects.Calls
	for _, d := range n.claimEffects.Decisions {
		n.applyClaimDecision(now, d)
	}
	n.closeClaims(now)
}

// closeClaims closes the claims of the jobs that have been answered.
func (n *Node) closeClaims(now time.Time) {
	answers := n.coordinator.Effects.Answers
	for _, a := range answers[n.processedAnswers:] {
		if a.CloseClaim {
			n.claimManager.Close(now, a.Answer.RequestID, a.Answer)
		}
	}
	n.processedAnswers = len(answers)
}

func (n *Node) applyClaimDecision(now time.Time, d rrclaim.Decision) {
	if d.Kind != rrclaim.OwnedElsewhere {
		delete(n.attachMissed, d.ID)
	}
	switch d.Kind {
	case rrclaim.Granted:
		n.coordinator.ClaimGranted(now, d.ID)
	case rrclaim.OwnedElsewhere:
		n.attachToClaimOwner(now, d)
	default:
		n.coordinator.ResolveUnclaimed(now, d.ID, d.Answer)
	}
}

// attachToClaimOwner asks the entry that owns a claim for the answer. If the incarnation
// that acquired the claim is dead, the job may have run. An entry that is listed but has
// sent no heartbeat yet is asked as well.
func (n *Node) attachToClaimOwner(now time.Time, d rrclaim.Decision) {
	p := n.view.Peer(d.Owner)
	tenant, deadline, ok := n.coordinator.PendingClaim(d.ID)
	if !ok {
		return
	}
	if p == nil || n.incarnationDead(now, p, d.Incarnation) {
		n.answerClaimHeld(now, d.ID)
		return
	}
	n.effects.Attaches = append(n.effects.Attaches, AttachCall{ID: d.ID, Tenant: tenant, To: p.Name, Addr: p.Addr, Deadline: deadline})
}

// incarnationDead reports whether an incarnation of a peer is known to be dead.
func (n *Node) incarnationDead(now time.Time, p *rrmembership.Peer, incarnation uint64) bool {
	switch n.view.State(now, p) {
	case rrmembership.Unknown:
		return false
	case rrmembership.Dead:
		return true
	}
	return p.Incarnation != incarnation
}

// answerClaimHeld answers that an earlier submission may have run.
func (n *Node) answerClaimHeld(now time.Time, id string) {
	delete(n.attachMissed, id)
	code := rrcode.ClaimHeld
	n.coordinator.ResolveUnclaimed(now, id, rrtask.Answer{Code: code, Detail: code.Description()})
}

// handleAttachDone handles the answer of a claim's owner. An owner that no longer runs the
// job has written its outcome, so the claim is read again, once.
func (n *Node) handleAttachDone(now time.Time, ev *AttachDone) {
	tenant, deadline, ok := n.coordinator.PendingClaim(ev.ID)
	switch {
	case !ok:
	case ev.Delivery != rrcoord.DeliveryAnswered:
		n.answerClaimHeld(now, ev.ID)
	case ev.Answer.Code != rrcode.NotFound:
		n.coordinator.ResolveUnclaimed(now, ev.ID, ev.Answer)
	case now.Before(deadline) && !n.attachMissed[ev.ID]:
		n.attachMissed[ev.ID] = true
		n.claimManager.Acquire(now, rrclaim.Request{ID: ev.ID, Tenant: tenant, Deadline: deadline})
	default:
		n.answerClaimHeld(now, ev.ID)
	}
}

// handleAttach attaches a peer's caller to a job that runs here, or answers with the
// outcome that is about to be written to the store.
func (n *Node) handleAttach(now time.Time, ev *AttachRequest) {
	if n.coordinator.AttachCaller(now, ev.Caller, ev.ID, ev.Tenant) {
		return
	}
	answer, ok := n.claimManager.PendingOutcome(ev.ID)
	if !ok {
		answer = rrtask.Answer{Code: rrcode.NotFound}
	}
	n.effects.AttachMisses = append(n.effects.AttachMisses, AttachMiss{Caller: ev.Caller, Answer: answer})
}
