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

// JobStatus returns the status of a job. It reports false if no owner of a shard knows the
// job and at least one did not answer.
func (h *Host) JobStatus(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	return h.queryJob(ctx, id, false)
}

// Abort aborts a job at a caller's request and returns its status after that. It reports
// false as JobStatus does.
func (h *Host) Abort(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	status, complete := h.queryJob(ctx, id, true)
	level.Info(h.Logger).Log("msg", "abort asked", "id", id, "known", status.Known, "outcome", status.Outcome, "sure", complete)
	return status, complete
}

// jobAnswer is the status of a job by the executors of one process.
type jobAnswer struct {
	status   rrscheduler.JobStatus
	complete bool
}

// queryJob asks the owners of all shards, since a job may have been forwarded or its owner
// replaced.
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
		best.status = moreAdvanced(best.status, answer.status)
	}
	return best.status, best.complete || best.status.Known
}

// moreAdvanced returns the status that says more: a known job rather than an unknown one, a
// job without an outcome rather than one that has ended, and completed rather than failed
// or aborted.
func moreAdvanced(a, b rrscheduler.JobStatus) rrscheduler.JobStatus {
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

// queryLocalJob asks the executors of this process.
func (h *Host) queryLocalJob(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	h.mu.Lock()
	executors := slices.Collect(maps.Values(h.executors))
	h.mu.Unlock()
	out := jobAnswer{complete: true}
	for _, ex := range executors {
		s, complete := ex.QueryJob(ctx, id, abort)
		out.complete = out.complete && complete
		out.status = moreAdvanced(out.status, s)
	}
	return out.status, out.complete
}

// allShardsOwned reports whether each shard has an owner that is not known to be dead. A
// shard that names this process as owner counts only while it has an executor.
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

// queryJob asks another process for the status of a job.
func (p *peerClients) queryJob(ctx context.Context, addr, id string, abort bool) (rrscheduler.JobStatus, error) {
	standing, err := p.client(addr).Inquire(ctx, &rrwire.Inquiry{Id: id, Abort: abort})
	if err != nil {
		return rrscheduler.JobStatus{}, err
	}
	return rrscheduler.JobStatus{Known: standing.GetKnown(), Outcome: rrscheduler.OutcomeKind(standing.GetKind()), MayHaveStarted: standing.GetBegun()}, nil
}

// Inquire implements rrwire.Keeper.
func (s *peerServer) Inquire(ctx context.Context, q *rrwire.Inquiry) (*rrwire.Standing, error) {
	status, complete := s.h.queryLocalJob(ctx, q.GetId(), q.GetAbort())
	if !complete && !status.Known {
		return nil, twirp.NewError(twirp.Unavailable, "an executor of this process ended before it gave the status of the job")
	}
	return &rrwire.Standing{Known: status.Known, Kind: uint32(status.Outcome), Begun: status.MayHaveStarted}, nil
}
