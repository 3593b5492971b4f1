package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrdial"
	"rattanring/io/rrexecutor"
)

// Times of a hand-in.
const (
	newJobOwnerWait     = 700 * time.Millisecond // how long a job that nobody has may wait for a keeper
	startedJobOwnerWait = 2 * time.Second        // the same for a job that may have run
	rerouteTimeout      = 100 * time.Millisecond // after so much silence a new job goes to another keeper
	noOwnerRetryAfter   = 500 * time.Millisecond // when to come back after a refusal for want of a keeper
	withdrawTimeout     = 500 * time.Millisecond // for one withdrawal
	ownerChangeTimeout  = 150 * time.Millisecond // a keeper that was replaced hears of it as soon, and tells what may run where
	ownerCheckInterval  = 300 * time.Millisecond // between two looks whether a keeper is silent
)

// submission is one job on its way to an outcome.
type submission struct {
	host         *Host
	job          rrscheduler.Job
	shard        string
	waitingSince time.Time // when the job began to wait for a keeper
	triedToken   int64     // revision of the seat that the job was last handed to
}

// Submit gives a job to its keeper and waits for the outcome. When ctx ends the job is
// withdrawn.
func (h *Host) Submit(ctx context.Context, job rrscheduler.Job) rrscheduler.JobOutcome {
	job.CallerProcess = h.Self.Name
	s := &submission{host: h, job: job, shard: h.Self.Zone, waitingSince: time.Now()}
	return s.run(ctx)
}

// run hands the job to one keeper after the other until one knows the outcome.
func (s *submission) run(ctx context.Context) rrscheduler.JobOutcome {
	for {
		owner, changed := s.nextOwner()
		if owner.Revision == 0 {
			if out, done := s.awaitOwner(ctx, changed); done {
				return out
			}
			continue
		}
		out := s.submitTo(ctx, owner)
		switch out.Kind {
		case rrscheduler.OutcomeForwarded:
			s.shard, s.job.NoForward, s.triedToken = out.Shard, true, 0
		case rrscheduler.OutcomeOwnerChanged:
			s.returnToOwnZone()
		default:
			return out
		}
		if ctx.Err() != nil {
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
		}
	}
}

// nextOwner picks the holder to hand the job to. The zero Owner means to wait for a
// change of the seats.
func (s *submission) nextOwner() (rrelection.Owner, <-chan struct{}) {
	h := s.host
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	owner, alive := h.election.Owner(s.shard)
	unanswered := h.election.UnansweredFor(now, s.shard)
	local := h.executors[s.shard] != nil
	if owner.FencingToken() > s.triedToken && (local || alive && unanswered < unreachableTimeout) {
		if local || s.job.MayHaveRuns || s.job.NoForward || unanswered < rerouteTimeout {
			return owner, h.ownersChanged
		}
	}
	if s.job.MayHaveRuns || s.job.NoForward {
		return rrelection.Owner{}, h.ownersChanged
	}
	if shard := h.leastLoadedShard(now); shard != "" {
		level.Info(h.Logger).Log("msg", "handed elsewhere", "id", s.job.ID, "seat", shard, "silent", unanswered, "alive", alive)
		s.shard, s.job.NoForward, s.triedToken = shard, true, 0
		owner, _ = h.election.Owner(shard)
		return owner, h.ownersChanged
	}
	h.requestHeartbeats() // for the loads of other zones
	return rrelection.Owner{}, h.ownersChanged
}

// leastLoadedShard returns the seat of a live holder with the shortest wait, besides the
// host's own, or an empty string. The caller holds h.mu.
func (h *Host) leastLoadedShard(now time.Time) string {
	best := ""
	for shard, l := range h.loads {
		_, alive := h.election.Owner(shard)
		if shard == h.Self.Zone || !alive || l.load.CapacityMillicores == 0 || now.Sub(l.receivedAt) > loadTTL || h.election.UnansweredFor(now, shard) > rerouteTimeout {
			continue
		}
		if best == "" || l.load.ExpectedWait < h.loads[best].load.ExpectedWait || l.load.ExpectedWait == h.loads[best].load.ExpectedWait && shard < best {
			best = shard
		}
	}
	return best
}

// awaitOwner waits for a change of the seats and reports whether the job is given up.
func (s *submission) awaitOwner(ctx context.Context, changed <-chan struct{}) (rrscheduler.JobOutcome, bool) {
	limit := newJobOwnerWait
	if zone, _ := rrelection.ParseShardName(s.shard); s.job.MayHaveRuns && zone == s.host.Self.Zone {
		limit = startedJobOwnerWait
	}
	left := limit - time.Since(s.waitingSince)
	if left <= 0 || s.host.draining.Load() && !s.job.MayHaveRuns {
		out := rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeRefused, Reason: rrscheduler.ReasonNoOwner, RetryAfter: noOwnerRetryAfter}
		if s.job.MayHaveRuns {
			out.Kind = rrscheduler.OutcomeAbandoned
		}
		return out, true
	}
	t := time.NewTimer(min(left, rrelection.HeartbeatInterval))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}, true
	}
	return rrscheduler.JobOutcome{}, false
}

// submitTo hands the job to one holder. Moved means that the job has to go to the next
// holder of the seat.
func (s *submission) submitTo(ctx context.Context, owner rrelection.Owner) rrscheduler.JobOutcome {
	h := s.host
	s.triedToken = owner.FencingToken()
	if ex := h.executor(s.shard); ex != nil {
		return s.submitLocal(ctx, ex)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	h.addRemoteJobs(owner.Addr, 1)
	defer h.addRemoteJobs(owner.Addr, -1)
	type reply struct {
		out rrscheduler.JobOutcome
		err error
	}
	done := make(chan reply, 1)
	go func() {
		out, err := h.peers.submit(call, s.shard, owner, s.job)
		done <- reply{out, err}
	}()
	tick := time.NewTicker(ownerCheckInterval)
	defer tick.Stop()
	for {
		replaced, changed := s.ownerReplaced(owner)
		s.waitingSince = time.Now()
		if replaced {
			select {
			case r := <-done:
				return s.callOutcome(owner, r.out, r.err)
			case <-time.After(ownerChangeTimeout):
			}
			level.Info(h.Logger).Log("msg", "keeper changed", "id", s.job.ID, "seat", s.shard, "token", owner.FencingToken())
			s.job.MayHaveRuns, s.job.RunMinionsKnown = true, false
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
		}
		select {
		case r := <-done:
			return s.callOutcome(owner, r.out, r.err)
		case <-ctx.Done():
			h.withdraw(owner.Addr, s.job.ID)
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
		case <-changed:
		case <-tick.C:
		}
	}
}

// addRemoteJobs counts the jobs that a holder has of this host.
func (h *Host) addRemoteJobs(addr string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remoteJobs[addr] += n; h.remoteJobs[addr] == 0 {
		delete(h.remoteJobs, addr)
	}
}

// submitLocal hands the job to a keeper of this process.
func (s *submission) submitLocal(ctx context.Context, ex *rrexecutor.Executor) rrscheduler.JobOutcome {
	s.waitingSince = time.Now()
	out := ex.Submit(ctx, s.job)
	s.waitingSince = time.Now()
	if ctx.Err() != nil {
		ex.Post(&rrscheduler.JobCancelRequested{JobID: s.job.ID})
	}
	return s.noteOwnerChange(out)
}

// noteOwnerChange notes what a replaced keeper said of the job. One that did not know it says
// nothing about runs that an earlier one may have started.
func (s *submission) noteOwnerChange(out rrscheduler.JobOutcome) rrscheduler.JobOutcome {
	if out.Kind == rrscheduler.OutcomeOwnerChanged && out.MayHaveRuns {
		s.job.MayHaveRuns, s.job.RunMinionsKnown, s.job.RunMinions = true, out.RunMinionsKnown, out.RunMinions
	}
	return out
}

// callOutcome classifies the end of a call.
func (s *submission) callOutcome(owner rrelection.Owner, out rrscheduler.JobOutcome, err error) rrscheduler.JobOutcome {
	if err == nil {
		return s.noteOwnerChange(out)
	}
	level.Warn(s.host.Logger).Log("msg", "keeper lost", "id", s.job.ID, "seat", s.shard, "token", owner.FencingToken(), "err", err)
	s.host.requestHeartbeats()
	if rrdial.NotSent(err) {
		s.retryUnsent()
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
	}
	s.job.MayHaveRuns, s.job.RunMinionsKnown = true, false
	s.triedToken = 0 // the same keeper may still have it
	time.Sleep(minBackoff)
	return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
}

// retryUnsent goes on with a job that its keeper did not get. One that was forwarded goes
// back to its own zone for good.
func (s *submission) retryUnsent() {
	if s.job.MayHaveRuns || s.returnToOwnZone() {
		return
	}
	s.triedToken = 0
	time.Sleep(minBackoff)
}

// returnToOwnZone sends a job home that was forwarded and of which nothing has run, and reports
// whether it did.
func (s *submission) returnToOwnZone() bool {
	if s.job.MayHaveRuns || s.shard == s.host.Self.Zone {
		return false
	}
	s.shard, s.job.NoForward, s.triedToken = s.host.Self.Zone, true, 0
	return true
}

// ownerReplaced reports whether the seat has another holder or its holder can't be reached
// any more, and returns a channel that is closed at the next change of a seat.
func (s *submission) ownerReplaced(tried rrelection.Owner) (bool, <-chan struct{}) {
	h := s.host
	h.mu.Lock()
	defer h.mu.Unlock()
	owner, _ := h.election.Owner(s.shard)
	replaced := owner.Name != tried.Name || owner.Incarnation != tried.Incarnation || h.election.UnansweredFor(time.Now(), s.shard) > unreachableTimeout
	return replaced, h.ownersChanged
}

// withdraw tells a keeper that nobody waits for a job.
func (h *Host) withdraw(addr, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		if err := h.peers.withdraw(ctx, addr, id); err != nil {
			level.Warn(h.Logger).Log("msg", "not withdrawn", "id", id, "peer", addr, "err", err)
		}
	}()
}
