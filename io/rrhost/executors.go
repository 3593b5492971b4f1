package rrhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrexecutor"
)

// manKeepers starts and stops keepers so that they match the seats. The caller holds
// h.mu.
func (h *Host) manKeepers() {
	for _, seat := range h.council.Shards() {
		holder, _ := h.council.Owner(seat)
		mine := holder.Name == h.Self.Name && holder.Incarnation == h.Self.Incarnation
		k := h.keepers[seat]
		switch {
		case k != nil && !mine:
			k.Stop()
			h.dropKeeper(seat)
		case k != nil && holder.FencingToken() > k.FencingToken:
			k.FencingToken = holder.FencingToken()
			k.Post(&rrscheduler.FencingTokenRaised{FencingToken: k.FencingToken})
		case k == nil && mine && holder.FencingToken() > h.lostToken[seat]:
			h.startKeeper(seat, holder.FencingToken())
		}
	}
}

// startKeeper begins to keep a seat. The caller holds h.mu.
func (h *Host) startKeeper(seat string, token int64) {
	terms := h.Guarantees
	zone, _ := rrelection.ParseShardName(seat)
	terms.MinionListIncomplete = zone != h.Self.Zone || time.Since(h.trouble) < reportsBack || time.Since(h.council.LayoutChangedAt(zone)) < moveTerm
	k := rrexecutor.New(seat, token, terms)
	k.Client = h.Minions
	k.LogDecision = h.logNote
	k.CountCommand = h.Metrics.CountCommand
	k.RecordTiming = h.time
	h.Metrics.CountTakeover()
	k.CheckOwnership = func(ctx context.Context) bool { return h.verify(ctx, seat) }
	k.OnMinionReleased = func(id string) { h.yielded(seat, k, id) }
	h.keepers[seat] = k
	h.held[seat] = make(map[string]*holding)
	h.showSeat(seat)
	go k.Run()
	go h.endKeeper(seat, k)
	h.useCopies(seat)
	h.divide()
	if h.listed {
		h.tellShapes()
		k.Post(&rrscheduler.MinionListSynced{})
	}
	signal(h.watch)
	level.Info(h.Logger).Log("msg", "keeper started", "seat", seat, "token", token, "minions", len(h.minions))
}

// dropKeeper forgets an own keeper. The caller holds h.mu.
func (h *Host) dropKeeper(seat string) {
	delete(h.keepers, seat)
	delete(h.held, seat)
}

// endKeeper forgets a keeper that has ended by itself.
func (h *Host) endKeeper(seat string, k *rrexecutor.Executor) {
	<-k.Done()
	h.mu.Lock()
	defer h.mu.Unlock()
	level.Info(h.Logger).Log("msg", "keeper ended", "seat", seat, "token", k.FencingToken)
	if h.keepers[seat] != k {
		return
	}
	// A minion has seen a higher token. Whose that is, the store may tell.
	h.dropKeeper(seat)
	h.lostToken[seat] = k.FencingToken
	if holder, _ := h.council.Owner(seat); holder.FencingToken() > k.FencingToken {
		h.manKeepers()
		return
	}
	h.council.MarkFenced(time.Now(), seat)
}

// verify reports whether this process still holds a seat; true when the store can't
// tell.
func (h *Host) verify(ctx context.Context, seat string) bool {
	for ctx.Err() == nil {
		item, err := h.Store.Get(ctx, seatPrefix+seat)
		if err == nil {
			var r record
			bad := json.Unmarshal(item.Value, &r)
			return bad == nil && r.Name == h.Self.Name && r.Incarnation == h.Self.Incarnation
		}
		sleep(ctx, retryLeast)
	}
	return true
}
