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

// JobStatus returns where a job stands. It reports false when no keeper knows the job and
// one that may could not be asked.
func (h *Host) JobStatus(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	return h.queryJob(ctx, id, false)
}

// Abort ends a job at a caller's wish and returns where it stands then. It reports false
// as JobStatus does.
func (h *Host) Abort(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	status, complete := h.queryJob(ctx, id, true)
	level.Info(h.Logger).Log("msg", "abort asked", "id", id, "known", status.Known, "outcome", status.Outcome, "sure", complete)
	return status, complete
}

// jobAnswer is what one process says of a job.
type jobAnswer struct {
	status   rrscheduler.JobStatus
	complete bool
}

// queryJob asks the keepers of all seats: a job may have been forwarded, or its keeper
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
				level.Warn(h.Logger).Log("msg", "peer not asked", "id", id, "peer", addr, "err", err)
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

// moreAdvanced returns the standing that says more: a job that goes on rather than one that has
// ended, and done rather than failed or aborted.
func moreAdvanced(a, b rrscheduler.JobStatus) rrscheduler.JobStatus {
	if !b.Known || a.Known && cmp.Less(a.Outcome, b.Outcome) {
		return a
	}
	return b
}

// ownerAddrs returns the addresses of all other holders.
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

// queryLocalJob asks the keepers of this process.
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

// allShardsOwned reports whether each seat has a holder that is not known to be gone. A process
// that has just lost a seat is not asked for it.
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

// queryJob asks another process where a job stands.
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
		return nil, twirp.NewError(twirp.Unavailable, "a keeper has just ended")
	}
	return &rrwire.Standing{Known: status.Known, Kind: uint32(status.Outcome), Begun: status.MayHaveStarted}, nil
}
