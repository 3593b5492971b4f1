package rrhost

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrwire"
)

// JobStatus returns the status of a job. It reports false if no owner that answered knows
// the job, and a shard has no live owner or its owner did not answer.
func (h *Host) JobStatus(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	return h.queryJob(ctx, id, false)
}

// Abort aborts a job at a caller's request and returns its status afterwards. It reports
// false in the same cases as JobStatus.
func (h *Host) Abort(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	status, complete := h.queryJob(ctx, id, true)
	level.Info(h.Logger).Log("msg", "abort asked", "id", id, "known", status.Known, "outcome", status.Outcome, "sure", complete)
	return status, complete
}

// jobAnswer is the status of a job at the executors of one process or of all.
type jobAnswer struct {
	status   rrscheduler.JobStatus
	complete bool // all executors that were asked have answered
}

// queryJob asks the owners of all shards for the status of a job, since the job may have
// been forwarded or its owner replaced, and aborts the job there if abort is set.
func (h *Host) queryJob(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	addrs := h.ownerAddrs()
	answers := make(chan jobAnswer, len(addrs)+1)
	for _, addr := range addrs {
		go func() {
			status, err := h.peers.queryJob(ctx, addr, id, abort)
			if err != nil {
				level.Warn(h.Logger).Log("msg", "asking the peer for the status of the job failed", "id", id, "peer", addr, "err", err)
			}
			answers <- jobAnswer{status, err == nil}
		}()
	}
	go func() {
		status, complete := h.queryLocalJob(ctx, id, abort)
		answers <- jobAnswer{status, complete}
	}()
	best := jobAnswer{complete: h.allShardsOwned()}
	for range len(addrs) + 1 {
		answer := <-answers
		best.complete = best.complete && answer.complete
		best.status = preferredStatus(best.status, answer.status)
	}
	return best.status, best.complete || best.status.Known
}

// preferredStatus returns the status to report: a known job before an unknown one, then the
// lower outcome (none before completed, completed before failed or aborted).
func preferredStatus(a, b rrscheduler.JobStatus) rrscheduler.JobStatus {
	if !b.Known || a.Known && cmp.Less(a.Outcome, b.Outcome) {
		return a
	}
	return b
}

// ownerAddrs returns the addresses of all owners except this process.
func (h *Host) ownerAddrs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []rrelection.Owner
	for _, shard := range h.election.Shards() {
		owner, _ := h.election.Owner(shard)
		list = append(list, owner)
	}
	return h.distinctAddrs(list)
}

// queryLocalJob asks the executors of this process for the status of a job, and aborts the
// job there if abort is set.
func (h *Host) queryLocalJob(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	h.mu.Lock()
	executors := slices.Collect(maps.Values(h.executors))
	h.mu.Unlock()
	out := jobAnswer{complete: true}
	for _, ex := range executors {
		s, complete := ex.QueryJob(ctx, id, abort)
		out.complete = out.complete && complete
		out.status = preferredStatus(out.status, s)
	}
	return out.status, out.complete
}

// allShardsOwned reports whether each shard has an owner that is not known to be dead. A
// shard that this process owns counts only while it has an executor.
func (h *Host) allShardsOwned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, shard := range h.election.Shards() {
		owner, alive := h.election.Owner(shard)
		if !alive || owner.Name == h.Self.Name && h.executors[shard] == nil {
			return false
		}
	}
	return true
}

// queryJob asks another process for the status of a job, which aborts the job if abort is
// set.
func (p *peerClients) queryJob(ctx context.Context, addr, id string, abort bool) (rrscheduler.JobStatus, error) {
	status, err := p.client(addr).Inquire(ctx, &rrwire.Inquiry{Id: id, Abort: abort})
	if err != nil {
		return rrscheduler.JobStatus{}, err
	}
	return rrscheduler.JobStatus{Known: status.GetKnown(), Outcome: rrscheduler.OutcomeKind(status.GetKind()), MayHaveStarted: status.GetBegun()}, nil
}

// Inquire implements rrwire.Keeper. It returns the status of a job and aborts it if asked.
func (s *peerServer) Inquire(ctx context.Context, q *rrwire.Inquiry) (*rrwire.Standing, error) {
	status, complete := s.h.queryLocalJob(ctx, q.GetId(), q.GetAbort())
	if !complete && !status.Known {
		return nil, twirp.NewError(twirp.Unavailable, "a keeper has just ended")
	}
	return &rrwire.Standing{Known: status.Known, Kind: uint32(status.Outcome), Begun: status.MayHaveStarted}, nil
}
