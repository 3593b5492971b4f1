package rrhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrwire"
)

// A process that lacks processor time still answers heartbeats within their timeout, and its jobs wait
// meanwhile. It finds out by itself and gives its shards away.
const (
	starvedTime     = 800 * time.Millisecond // after this time a starved owner looks for a successor
	minStarvedOwner = 5 * time.Second        // an owner keeps its shard for this long, so that it does not go round where all are slow
	starvedPenalty  = 10 * time.Second       // a process that gave a shard away is not preferred for this long
	maxSlowerAnswer = 20 * time.Millisecond  // a successor answers at most this much and twice as late as the fastest one
)

// handOverStarved hands the shards over that this process lacks the processor time for.
func (h *Host) handOverStarved(ctx context.Context) {
	now := time.Now()
	h.mu.Lock()
	starved := make(map[string][]rrelection.Member)
	for shard, ex := range h.executors {
		if ex.StarvedFor(now) > starvedTime && now.Sub(h.election.OwnedSince(shard)) > minStarvedOwner && now.Sub(h.starvedAt) > minStarvedOwner {
			starved[shard] = h.zoneSuccessors(shard)
		}
	}
	if len(starved) > 0 {
		h.starvedAt = now
	}
	h.mu.Unlock()
	for shard, list := range starved {
		level.Warn(h.Logger).Log("msg", "owner lacks processor time", "seat", shard, "successors", len(list))
		if list = h.fastestMembers(ctx, list); len(list) > 0 {
			h.handOver(ctx, shard, list, true)
		}
	}
}

// zoneSuccessors returns the members of a shard's zone that can replace this process, best first. The
// caller holds h.mu.
func (h *Host) zoneSuccessors(shard string) []rrelection.Member {
	zone, _ := rrelection.ParseShardName(shard)
	list := slices.DeleteFunc(h.election.Successors(shard, h.Self.Name), func(m rrelection.Member) bool { return m.Zone != zone })
	return list[:min(len(list), maxSuccessors)]
}

// fastestMembers returns the members that answer a heartbeat about as fast as the fastest of them, in the
// order of list. This process's own delay is part of each time.
func (h *Host) fastestMembers(ctx context.Context, list []rrelection.Member) []rrelection.Member {
	took := make([]time.Duration, len(list))
	var wg sync.WaitGroup
	for i, m := range list {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, successorTimeout)
			defer cancel()
			sentAt := time.Now()
			if _, err := h.peers.client(m.Addr).Pulse(ctx, &rrwire.Ping{Name: h.Self.Name}); err != nil {
				level.Warn(h.Logger).Log("msg", "successor silent", "host", m.Name, "err", err)
				return
			}
			took[i] = time.Since(sentAt)
		})
	}
	wg.Wait()
	fastest := successorTimeout
	for _, d := range took {
		if d > 0 {
			fastest = min(fastest, d)
		}
	}
	var out []rrelection.Member
	for i, m := range list {
		if took[i] > 0 && took[i] <= 2*fastest+maxSlowerAnswer {
			out = append(out, m)
		}
	}
	return out
}

// heartbeatAddr returns the address that this process's heartbeats name. Without one it is not preferred
// as an owner.
func (h *Host) heartbeatAddr(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.starvedAt) < starvedPenalty {
		return ""
	}
	return h.Self.Addr
}
