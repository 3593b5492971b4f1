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
	return h.inquire(ctx, id, false)
}

// Abort ends a job at a caller's wish and returns where it stands then. It reports false
// as JobStatus does.
func (h *Host) Abort(ctx context.Context, id string) (rrscheduler.JobStatus, bool) {
	s, sure := h.inquire(ctx, id, true)
	level.Info(h.Logger).Log("msg", "abort asked", "id", id, "known", s.Known, "outcome", s.Outcome, "sure", sure)
	return s, sure
}

// found is what one process says of a job.
type found struct {
	standing rrscheduler.JobStatus
	sure     bool
}

// inquire asks the keepers of all seats: a job may have been forwarded, or its keeper
// replaced.
func (h *Host) inquire(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	addrs := h.keeping()
	answers := make(chan found, len(addrs)+1)
	for _, addr := range addrs {
		go func() {
			s, err := h.peers.inquire(ctx, addr, id, abort)
			if err != nil {
				level.Warn(h.Logger).Log("msg", "peer not asked", "id", id, "peer", addr, "err", err)
			}
			answers <- found{s, err == nil}
		}()
	}
	go func() {
		s, sure := h.inquireOwn(ctx, id, abort)
		answers <- found{s, sure}
	}()
	best := found{sure: h.manned()}
	for range len(addrs) + 1 {
		a := <-answers
		best.sure = best.sure && a.sure
		best.standing = telling(best.standing, a.standing)
	}
	return best.standing, best.sure || best.standing.Known
}

// telling returns the standing that says more: a job that goes on rather than one that has
// ended, and done rather than failed or aborted.
func telling(a, b rrscheduler.JobStatus) rrscheduler.JobStatus {
	if !b.Known || a.Known && cmp.Less(a.Outcome, b.Outcome) {
		return a
	}
	return b
}

// keeping returns the addresses of all other holders.
func (h *Host) keeping() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []rrelection.Owner
	for _, seat := range h.council.Shards() {
		holder, _ := h.council.Owner(seat)
		list = append(list, holder)
	}
	return h.addresses(list)
}

// inquireOwn asks the keepers of this process.
func (h *Host) inquireOwn(ctx context.Context, id string, abort bool) (rrscheduler.JobStatus, bool) {
	h.mu.Lock()
	keepers := slices.Collect(maps.Values(h.keepers))
	h.mu.Unlock()
	out := found{sure: true}
	for _, k := range keepers {
		s, sure := k.QueryJob(ctx, id, abort)
		out.sure = out.sure && sure
		out.standing = telling(out.standing, s)
	}
	return out.standing, out.sure
}

// manned reports whether each seat has a holder that is not known to be gone. A process
// that has just lost a seat is not asked for it.
func (h *Host) manned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, seat := range h.council.Shards() {
		holder, alive := h.council.Owner(seat)
		if !alive || holder.Name == h.Self.Name && h.keepers[seat] == nil {
			return false
		}
	}
	return true
}

// inquire asks another process where a job stands.
func (p *peers) inquire(ctx context.Context, addr, id string, abort bool) (rrscheduler.JobStatus, error) {
	s, err := p.at(addr).Inquire(ctx, &rrwire.Inquiry{Id: id, Abort: abort})
	if err != nil {
		return rrscheduler.JobStatus{}, err
	}
	return rrscheduler.JobStatus{Known: s.GetKnown(), Outcome: rrscheduler.OutcomeKind(s.GetKind()), MayHaveStarted: s.GetBegun()}, nil
}

// Inquire implements rrwire.Keeper.
func (s *server) Inquire(ctx context.Context, q *rrwire.Inquiry) (*rrwire.Standing, error) {
	out, sure := s.h.inquireOwn(ctx, q.GetId(), q.GetAbort())
	if !sure && !out.Known {
		return nil, twirp.NewError(twirp.Unavailable, "a keeper has just ended")
	}
	return &rrwire.Standing{Known: out.Known, Kind: uint32(out.Outcome), Begun: out.MayHaveStarted}, nil
}
