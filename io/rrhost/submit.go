package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrconn"
	"rattanring/io/rrdial"
	"rattanring/io/rrexecutor"
	"rattanring/io/rrwire"
)

// Timing of a submission.
const (
	newJobOwnerWait     = 700 * time.Millisecond // maximum wait for an owner, unless the job may have runs in this host's zone
	startedJobOwnerWait = 2 * time.Second        // the same if the job may have runs in this host's zone
	rerouteTimeout      = 100 * time.Millisecond // if an owner is unresponsive for this long, a new job goes to another shard
	noOwnerRetryAfter   = 500 * time.Millisecond // for the caller, after a refusal because the shard has no owner
	withdrawTimeout     = 250 * time.Millisecond // for one call that withdraws a job; an idle connection may have gone silent
	withdrawAttempts    = 4                      // calls that withdraw a job until one is answered
	ownerChangeTimeout  = 150 * time.Millisecond // for the answer of a replaced owner, which names the minions that may have runs of the job
	ownerCheckInterval  = 300 * time.Millisecond // between two checks whether an owner is unreachable
)

// submission is one job until its outcome.
type submission struct {
	host         *Host
	job          rrscheduler.Job
	shard        string
	waitingSince time.Time // when the job began to wait for an owner
	triedToken   int64     // fencing token of the owner that last got the job
	staleTries   int       // hand-ins in a row that were stale
	forwards     int       // how often an owner has forwarded the job
}

// Submit submits a job to the owner of its shard and waits for the outcome. It withdraws
// the job if ctx ends.
func (h *Host) Submit(ctx context.Context, job rrscheduler.Job) rrscheduler.JobOutcome {
	job.CallerProcess, job.Submission = h.Self.Name, h.lastSubmission.Add(1)
	s := &submission{host: h, job: job, shard: h.Self.Zone, waitingSince: time.Now()}
	out := s.run(ctx)
	if out.Kind == rrscheduler.OutcomeRefused && out.Reason == rrscheduler.ReasonEvacuated {
		h.Metrics.CountEvacuationRefusal()
	}
	return out
}

// run submits the job to one owner after the other until one returns an outcome.
func (s *submission) run(ctx context.Context) rrscheduler.JobOutcome {
	for {
		owner, changed := s.nextOwner()
		if !rrconn.Open(ctx) { // asked again before each hand-in: this process may have been frozen since the last
			level.Info(s.host.Logger).Log("msg", "caller gone", "id", s.job.ID, "runs", s.job.MayHaveRuns, "received", time.Since(s.job.ReceivedAt))
			return s.unowned(rrscheduler.ReasonCanceled)
		}
		if owner.Revision == 0 {
			if out, done := s.awaitOwner(ctx, changed); done {
				return out
			}
			continue
		}
		out := s.submitTo(ctx, owner)
		switch out.Kind {
		case rrscheduler.OutcomeForwarded:
			if out.Reason == rrscheduler.ReasonEvacuated {
				s.host.Metrics.CountEvacuationForward()
			}
			if s.forwards++; s.forwards > maxForwards {
				return s.unowned(rrscheduler.ReasonEvacuated) // only evacuations forward a job more than once
			}
			s.shard, s.job.NoForward, s.triedToken = out.Shard, true, 0
		case rrscheduler.OutcomeOwnerChanged:
			s.returnToOwnZone()
		case rrscheduler.OutcomeStale:
			s.triedToken = 0
			if s.staleTries++; s.staleTries >= maxStaleTries {
				return s.unowned(rrscheduler.ReasonNoOwner)
			}
			continue
		default:
			return out
		}
		s.staleTries = 0
		if ctx.Err() != nil {
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
		}
	}
}

// unowned returns the outcome of a job that no owner has and that is not handed in again.
func (s *submission) unowned(reason rrscheduler.Reason) rrscheduler.JobOutcome {
	out := rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeRefused, Reason: reason}
	switch reason {
	case rrscheduler.ReasonNoOwner:
		out.RetryAfter = noOwnerRetryAfter
	case rrscheduler.ReasonEvacuated:
		out.RetryAfter = evacuatedRetry
	}
	if s.job.MayHaveRuns {
		out.Kind = rrscheduler.OutcomeAbandoned
	}
	return out
}

// nextOwner selects the owner to submit the job to. The zero Owner means to wait for a
// change of owners, which closes the returned channel.
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
			return owner, h.routesChanged
		}
	}
	if s.job.MayHaveRuns || s.job.NoForward {
		return rrelection.Owner{}, h.routesChanged
	}
	if shard := h.leastLoadedShard(now); shard != "" {
		level.Info(h.Logger).Log("msg", "handed elsewhere", "id", s.job.ID, "seat", shard, "silent", unanswered, "alive", alive)
		s.shard, s.job.NoForward, s.triedToken = shard, true, 0
		owner, _ = h.election.Owner(shard)
		return owner, h.routesChanged
	}
	h.requestHeartbeats() // for the loads of other zones
	return rrelection.Owner{}, h.routesChanged
}

// leastLoadedShard returns the shard with the shortest expected wait among those with a
// live owner, except the primary shard of this host's zone. It returns an empty string if
// there is none. The caller holds h.mu.
func (h *Host) leastLoadedShard(now time.Time) string {
	best := ""
	for shard, l := range h.loads {
		_, alive := h.election.Owner(shard)
		if shard == h.Self.Zone || !alive || h.shardEvacuated(shard) || l.load.CapacityMillicores == 0 || now.Sub(l.receivedAt) > loadTTL || h.election.UnansweredFor(now, shard) > rerouteTimeout {
			continue
		}
		if best == "" || l.load.ExpectedWait < h.loads[best].load.ExpectedWait || l.load.ExpectedWait == h.loads[best].load.ExpectedWait && shard < best {
			best = shard
		}
	}
	return best
}

// awaitOwner waits for a change of owners. It reports true, with the outcome, if the job has
// waited too long, ctx has ended, or this host drains and the job has no runs.
func (s *submission) awaitOwner(ctx context.Context, changed <-chan struct{}) (rrscheduler.JobOutcome, bool) {
	limit := newJobOwnerWait
	if zone, _ := rrelection.ParseShardName(s.shard); s.job.MayHaveRuns && zone == s.host.Self.Zone {
		limit = startedJobOwnerWait
	}
	left := limit - time.Since(s.waitingSince)
	if left <= 0 || s.host.draining.Load() && !s.job.MayHaveRuns {
		return s.unowned(rrscheduler.ReasonNoOwner), true
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

// submitTo submits the job to one owner. OutcomeOwnerChanged means that the job has to go
// to the shard's next owner.
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
		out, err := h.peers.submit(call, s.shard, owner, s.job, &h.clocks)
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
			h.withdraw(owner.Addr, &s.job)
			return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeAbandoned, Reason: rrscheduler.ReasonCanceled}
		case <-changed:
		case <-tick.C:
		}
	}
}

// addRemoteJobs adds n to the number of jobs that this host has at an owner.
func (h *Host) addRemoteJobs(addr string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remoteJobs[addr] += n; h.remoteJobs[addr] == 0 {
		delete(h.remoteJobs, addr)
	}
}

// submitLocal submits the job to an executor of this process.
func (s *submission) submitLocal(ctx context.Context, ex *rrexecutor.Executor) rrscheduler.JobOutcome {
	s.waitingSince = time.Now()
	out := ex.Submit(ctx, s.job)
	s.waitingSince = time.Now()
	if ctx.Err() != nil {
		ex.Post(&rrscheduler.JobCancelRequested{JobID: s.job.ID, CallerProcess: s.job.CallerProcess, Submission: s.job.Submission})
	}
	return s.noteOwnerChange(out)
}

// noteOwnerChange records which runs a replaced owner knows of. If it knows of none, the job
// keeps what previous owners reported, since it may still have runs that they started.
func (s *submission) noteOwnerChange(out rrscheduler.JobOutcome) rrscheduler.JobOutcome {
	if out.Kind == rrscheduler.OutcomeOwnerChanged && out.MayHaveRuns {
		s.job.MayHaveRuns, s.job.RunMinionsKnown, s.job.RunMinions = true, out.RunMinionsKnown, out.RunMinions
	}
	return out
}

// callOutcome returns the outcome of a call that ended or failed.
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
	s.triedToken = 0 // the same owner may still have the job
	time.Sleep(minBackoff)
	return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeOwnerChanged}
}

// retryUnsent prepares the next attempt for a job that did not reach its owner. A job that
// was forwarded returns to its own zone, which may not forward it again.
func (s *submission) retryUnsent() {
	if s.job.MayHaveRuns || s.returnToOwnZone() {
		return
	}
	s.triedToken = 0
	time.Sleep(minBackoff)
}

// returnToOwnZone directs a forwarded job without runs back to its own zone, and reports
// whether it did.
func (s *submission) returnToOwnZone() bool {
	if s.job.MayHaveRuns || s.shard == s.host.Self.Zone {
		return false
	}
	s.shard, s.job.NoForward, s.triedToken = s.host.Self.Zone, true, 0
	return true
}

// ownerReplaced reports whether the shard has another owner or the tried one is
// unreachable. It also returns a channel that is closed at the next change of owners.
func (s *submission) ownerReplaced(tried rrelection.Owner) (bool, <-chan struct{}) {
	h := s.host
	h.mu.Lock()
	defer h.mu.Unlock()
	owner, _ := h.election.Owner(s.shard)
	replaced := owner.Name != tried.Name || owner.Incarnation != tried.Incarnation || h.election.UnansweredFor(time.Now(), s.shard) > unreachableTimeout
	return replaced, h.routesChanged
}

// withdraw withdraws the submission of a job from an owner, without waiting for the calls. It tries again
// until the owner answers: the owner sees that this process is alive and would otherwise keep the job's runs
// until their callers have submitted it elsewhere. It stops before they submit it again.
func (h *Host) withdraw(addr string, job *rrscheduler.Job) {
	start := time.Now()
	w := &rrwire.Withdrawal{Id: job.ID, Caller: job.CallerProcess, Submission: job.Submission}
	go func() {
		for attempt := range withdrawAttempts {
			if resend := h.Guarantees.ResendDelay; attempt > 0 && resend > 0 && time.Since(start)+withdrawTimeout > resend {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
			err := h.peers.withdraw(ctx, addr, w)
			cancel()
			if err == nil {
				return
			}
			level.Warn(h.Logger).Log("msg", "withdrawing the job from the peer failed", "id", w.GetId(), "peer", addr, "attempt", attempt+1, "err", err)
			time.Sleep(minBackoff)
		}
	}()
}
