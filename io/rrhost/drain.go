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
	handPause   = 200 * time.Millisecond  // between two tries to hand a seat over
	handReserve = 1500 * time.Millisecond // of the time for a stop that is left to hand over to a small successor

	successorsMost = 4                      // successors that are asked whether they answer
	successorLimit = 500 * time.Millisecond // for their answers; the process that asks may be short of processor time
)

// Drain hands the host's seats to others, for which it may have to wait until one is in
// reach, or one of about its size where all others are far smaller: those may not carry
// the load. The host goes on serving meanwhile, and the jobs that it has taken.
func (h *Host) Drain(ctx context.Context) {
	h.leaving.Store(true)
	h.mu.Lock()
	h.council.StopClaiming()
	h.mu.Unlock()
	for h.keeps() {
		h.mu.Lock()
		seats := slices.Collect(maps.Keys(h.keepers))
		h.mu.Unlock()
		for _, seat := range seats {
			if !h.waitsForLarger(ctx, seat) {
				h.mu.Lock()
				list := h.council.Successors(seat, h.Self.Name)
				h.mu.Unlock()
				h.handOver(ctx, seat, list)
			}
		}
		if h.keeps() && !sleep(ctx, handPause) {
			level.Warn(h.Logger).Log("msg", "seats not handed over", "seats", len(seats))
			break
		}
	}
	if lease := h.currentLease(); lease != 0 && ctx.Err() == nil {
		if err := h.Store.RevokeLease(ctx, lease); err != nil {
			level.Warn(h.Logger).Log("msg", "membership not ended", "err", err)
		}
	}
}

// waitsForLarger reports whether a stopping host keeps a seat for now, since a member of
// about its size may come back while there is time.
func (h *Host) waitsForLarger(ctx context.Context, seat string) bool {
	end, ok := ctx.Deadline()
	if !ok || time.Until(end) < handReserve {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.council.Successors(seat, h.Self.Name)) > 0 && h.council.OutsizesSuccessors(seat)
}

// handOver gives a seat to the first successor of a list that answers, through the store if
// it can be reached. Without one the seat is kept, and left to be claimed in the end.
func (h *Host) handOver(ctx context.Context, seat string, list []rrelection.Member) {
	h.mu.Lock()
	holder, _ := h.council.Owner(seat)
	h.mu.Unlock()
	list = h.answering(ctx, list[:min(len(list), successorsMost)])
	if len(list) == 0 {
		level.Warn(h.Logger).Log("msg", "no successor", "seat", seat)
		return
	}
	begun := time.Now()
	rev, err := h.writeSeat(ctx, seat, list[0], holder.Revision)
	if err == nil && rev != 0 {
		heard := h.tellHolder(list[0].Addr, seat, rrelection.Owner{Name: list[0].Name, Addr: list[0].Addr, Incarnation: list[0].Incarnation, Revision: rev})
		level.Info(h.Logger).Log("msg", "seat handed over", "seat", seat, "to", list[0].Name, "revision", rev, "took", time.Since(begun), "heard", heard)
		return
	}
	level.Warn(h.Logger).Log("msg", "seat not handed over", "seat", seat, "to", list[0].Name, "err", err)
	if !h.readSeat(ctx, seat) {
		h.stepDown(seat, list)
	}
}

// answering returns the members that answer a call and do not stop, best first, as the lives
// that answered. The store lists a dead process until its membership has lapsed.
func (h *Host) answering(ctx context.Context, list []rrelection.Member) []rrelection.Member {
	lives := make([]int64, len(list))
	var wg sync.WaitGroup
	for i, m := range list {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, successorLimit)
			defer cancel()
			if pong, err := h.peers.at(m.Addr).Pulse(ctx, &rrwire.Ping{Name: h.Self.Name, Addr: h.Self.Addr}); err != nil {
				level.Warn(h.Logger).Log("msg", "successor silent", "host", m.Name, "err", err)
			} else if !pong.GetLeaving() {
				lives[i] = pong.GetLife()
			}
		})
	}
	wg.Wait()
	var out []rrelection.Member
	for i, m := range list {
		if m.Incarnation = lives[i]; m.Incarnation != 0 {
			out = append(out, m)
		}
	}
	return out
}

// stepDown hands a seat to the first member of its zone that hears of it, without the
// store.
func (h *Host) stepDown(seat string, list []rrelection.Member) {
	zone, _ := rrelection.ParseShardName(seat)
	for _, m := range list {
		if m.Zone != zone {
			continue
		}
		h.mu.Lock()
		next := h.council.NextEpoch(seat, m)
		h.mu.Unlock()
		if !h.tellHolder(m.Addr, seat, next) {
			continue
		}
		level.Info(h.Logger).Log("msg", "seat handed over without the store", "seat", seat, "to", m.Name, "step", next.Epoch)
		h.mu.Lock()
		h.hearHolder(seat, next)
		h.announce(seat)
		h.mu.Unlock()
		return
	}
}

// giveBack hands seats to members that should rather keep them, once these call.
func (h *Host) giveBack(ctx context.Context) {
	h.mu.Lock()
	now := time.Now()
	better := make(map[string][]rrelection.Member)
	for seat := range h.keepers {
		list := slices.DeleteFunc(h.council.PreferredOwners(now, seat), func(m rrelection.Member) bool {
			return now.Sub(h.pinged[m.Addr]) > neighborEvery*rrelection.HeartbeatInterval
		})
		if len(list) > 0 {
			better[seat] = list
			h.council.HandoverAttempted(now, seat)
		}
	}
	h.mu.Unlock()
	for seat, list := range better {
		h.handOver(ctx, seat, list)
	}
}

// logNote logs a decision of a keeper.
func (h *Host) logNote(seat string, n *rrscheduler.LogDecision) {
	kv := []any{"msg", n.Message, "seat", seat}
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
