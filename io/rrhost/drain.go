package rrhost

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrwire"
)

const (
	handoverInterval = 200 * time.Millisecond  // between two attempts to hand shards over
	handoverReserve  = 1500 * time.Millisecond // the last part of the drain time, in which a small successor is accepted

	maxSuccessors    = 4                      // successors that get a heartbeat before a handover
	maxCopyWait      = 4 * time.Second        // a preferred owner gets the shard without a copy of the registrations after this time
	maxCopyLag       = 3                      // changes of the registrations that the copy of a preferred owner may lack
	successorTimeout = 500 * time.Millisecond // for the answer to this heartbeat; this process may be short of CPU time
)

// Drain hands the host's shards over to other members. It waits until a successor is
// reachable, and if all successors have far fewer CPU cores, also for one of about this
// host's size, since smaller ones may not carry the load. Until then the host continues to
// serve its shards and jobs.
func (h *Host) Drain(ctx context.Context) {
	h.draining.Store(true)
	h.mu.Lock()
	h.election.StopClaiming()
	h.mu.Unlock()
	for h.ownsShards() {
		h.mu.Lock()
		shards := slices.Collect(maps.Keys(h.executors))
		h.mu.Unlock()
		for _, shard := range shards {
			if !h.waitsForLargerSuccessor(ctx, shard) {
				h.mu.Lock()
				list := h.election.Successors(shard, h.Self.Name)
				h.mu.Unlock()
				h.handOver(ctx, shard, list, false)
			}
		}
		if h.ownsShards() && !sleep(ctx, handoverInterval) {
			level.Warn(h.Logger).Log("msg", "drain time is over, some shards were not handed over", "seats", len(shards))
			break
		}
	}
	if lease := h.currentMembershipLease(); lease != 0 && ctx.Err() == nil {
		if err := h.Store.RevokeLease(ctx, lease); err != nil {
			level.Warn(h.Logger).Log("msg", "revoking the membership lease in the store failed", "err", err)
		}
	}
}

// waitsForLargerSuccessor reports whether a draining host should not hand a shard over yet,
// since a member of about its size may return in time.
func (h *Host) waitsForLargerSuccessor(ctx context.Context, shard string) bool {
	end, ok := ctx.Deadline()
	if !ok || time.Until(end) < handoverReserve {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.election.Successors(shard, h.Self.Name)) > 0 && h.election.HasFarMoreCPUThanSuccessors(shard)
}

// handOver hands a shard over to the first successor of a list that answers, through the
// store if that is reachable. If none answers, this host stays the owner, and another
// member claims the shard after this process has ended. needsCopy accepts only a successor that has
// a copy of the minions' registrations, if this process can tell.
func (h *Host) handOver(ctx context.Context, shard string, list []rrelection.Member, needsCopy bool) {
	h.mu.Lock()
	owner, _ := h.election.Owner(shard)
	revision := int64(0) // of a copy that is recent enough
	if _, index := rrelection.ParseShardName(shard); needsCopy && index == 0 && len(h.registrations) > 0 {
		revision = max(h.registrationsRevision-maxCopyLag, 1)
	}
	h.mu.Unlock()
	list = h.answeringMembers(ctx, list[:min(len(list), maxSuccessors)], revision)
	if len(list) == 0 {
		level.Warn(h.Logger).Log("msg", "no successor found for the shard", "seat", shard)
		return
	}
	startedAt := time.Now()
	rev, err := h.writeOwner(ctx, shard, list[0], owner.Revision)
	if err == nil && rev != 0 {
		notified := h.notifyPeer(list[0].Addr, shard, rrelection.Owner{Name: list[0].Name, Addr: list[0].Addr, Incarnation: list[0].Incarnation, Revision: rev})
		level.Info(h.Logger).Log("msg", "seat handed over", "seat", shard, "to", list[0].Name, "revision", rev, "took", time.Since(startedAt), "heard", notified)
		return
	}
	level.Warn(h.Logger).Log("msg", "the successor of the shard was not written to the store", "seat", shard, "to", list[0].Name, "err", err)
	if !h.readOwner(ctx, shard) {
		h.handOverWithoutStore(shard, list)
	}
}

// answeringMembers returns the members that answer a heartbeat, do not drain and have a copy of the
// registrations of at least this revision, in the order of list, with the incarnations that
// answered. The store lists a dead process until its membership expires.
func (h *Host) answeringMembers(ctx context.Context, list []rrelection.Member, copyRevision int64) []rrelection.Member {
	incarnations := make([]int64, len(list))
	var wg sync.WaitGroup
	for i, m := range list {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, successorTimeout)
			defer cancel()
			if pong, err := h.peers.client(m.Addr).Pulse(ctx, &rrwire.Ping{Name: h.Self.Name, Addr: h.Self.Addr}); err != nil {
				level.Warn(h.Logger).Log("msg", "successor silent", "host", m.Name, "err", err)
			} else if !pong.GetLeaving() && pong.GetReports() >= copyRevision {
				incarnations[i] = pong.GetLife()
			}
		})
	}
	wg.Wait()
	var out []rrelection.Member
	for i, m := range list {
		if m.Incarnation = incarnations[i]; m.Incarnation != 0 {
			out = append(out, m)
		}
	}
	return out
}

// handOverWithoutStore hands a shard over under a new epoch, to the first member of its
// zone that confirms the call.
func (h *Host) handOverWithoutStore(shard string, list []rrelection.Member) {
	zone, _ := rrelection.ParseShardName(shard)
	for _, m := range list {
		if m.Zone != zone {
			continue
		}
		h.mu.Lock()
		next := h.election.NextEpochOwner(shard, m)
		h.mu.Unlock()
		if !h.notifyPeer(m.Addr, shard, next) {
			continue
		}
		level.Info(h.Logger).Log("msg", "seat handed over without the store", "seat", shard, "to", m.Name, "step", next.Epoch)
		h.mu.Lock()
		h.updateOwner(shard, next)
		h.announceOwner(shard)
		h.mu.Unlock()
		return
	}
}

// handOverToPreferred hands shards over to members that should own them instead, if these
// have sent a heartbeat lately. A successor without a copy of the registrations would give the
// shard's jobs no minions until it has read the store, so for a while only one with a copy will do.
func (h *Host) handOverToPreferred(ctx context.Context) {
	h.mu.Lock()
	now := time.Now()
	preferred := make(map[string][]rrelection.Member)
	needsCopy := make(map[string]bool)
	maps.DeleteFunc(h.preferredSince, func(shard string, _ time.Time) bool { return h.executors[shard] == nil })
	for shard := range h.executors {
		list := slices.DeleteFunc(h.election.PreferredOwners(now, shard), func(m rrelection.Member) bool {
			return now.Sub(h.lastHeartbeatFrom[m.Addr]) > zonePeerRounds*rrelection.HeartbeatInterval
		})
		if len(list) > 0 {
			preferred[shard] = list
			h.election.HandoverAttempted(now, shard)
			if h.preferredSince[shard].IsZero() {
				h.preferredSince[shard] = now
			}
			needsCopy[shard] = now.Sub(h.preferredSince[shard]) < maxCopyWait
		}
	}
	h.mu.Unlock()
	for shard, list := range preferred {
		h.handOver(ctx, shard, list, needsCopy[shard])
	}
}

// logDecision logs a decision of a local executor.
func (h *Host) logDecision(shard string, n *rrscheduler.LogDecision) {
	kv := []any{"msg", n.Message, "seat", shard}
	if n.JobID != "" {
		kv = append(kv, "id", n.JobID)
	}
	if n.MinionID != "" {
		kv = append(kv, "minion", n.MinionID)
	}
	if n.Detail != "" {
		kv = append(kv, "detail", n.Detail)
	}
	if n.Age != 0 {
		kv = append(kv, "age", n.Age.Round(time.Millisecond/10))
	}
	level.Info(h.Logger).Log(kv...)
}
