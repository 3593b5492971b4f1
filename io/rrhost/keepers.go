package rrhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrpool"
	"rattanring/core/rrseat"
	"rattanring/io/rrkeeper"
)

// manKeepers starts and stops keepers so that they match the seats. The caller holds
// h.mu.
func (h *Host) manKeepers() {
	for _, seat := range h.council.Seats() {
		holder, _ := h.council.Holder(seat)
		mine := holder.Name == h.Self.Name && holder.Life == h.Self.Life
		k := h.keepers[seat]
		switch {
		case k != nil && !mine:
			k.Stop()
			h.dropKeeper(seat)
		case k != nil && holder.Token() > k.Token:
			k.Token = holder.Token()
			k.Tell(&rrpool.Raise{Token: k.Token})
		case k == nil && mine && holder.Token() > h.lostToken[seat]:
			h.startKeeper(seat, holder.Token())
		}
	}
}

// startKeeper begins to keep a seat. The caller holds h.mu.
func (h *Host) startKeeper(seat string, token int64) {
	terms := h.Terms
	zone, _ := rrseat.Split(seat)
	terms.Vague = zone != h.Self.Zone || time.Since(h.trouble) < reportsBack || time.Since(h.council.Divided(zone)) < moveTerm
	k := rrkeeper.New(seat, token, terms)
	k.Minions = h.Minions
	k.Note = h.logNote
	k.Orders = h.Metrics.Order
	k.Timing = h.time
	h.Metrics.TakeOver()
	k.Verify = func(ctx context.Context) bool { return h.verify(ctx, seat) }
	k.Yielded = func(id string) { h.yielded(seat, k, id) }
	h.keepers[seat] = k
	h.held[seat] = make(map[string]*holding)
	h.showSeat(seat)
	go k.Run()
	go h.endKeeper(seat, k)
	h.useCopies(seat)
	h.divide()
	if h.listed {
		h.tellShapes()
		k.Tell(&rrpool.Listed{})
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
func (h *Host) endKeeper(seat string, k *rrkeeper.Keeper) {
	<-k.Done()
	h.mu.Lock()
	defer h.mu.Unlock()
	level.Info(h.Logger).Log("msg", "keeper ended", "seat", seat, "token", k.Token)
	if h.keepers[seat] != k {
		return
	}
	// A minion has seen a higher token. Whose that is, the store may tell.
	h.dropKeeper(seat)
	h.lostToken[seat] = k.Token
	if holder, _ := h.council.Holder(seat); holder.Token() > k.Token {
		h.manKeepers()
		return
	}
	h.council.Lose(time.Now(), seat)
}

// verify reports whether this process still holds a seat; true when the store can't
// tell.
func (h *Host) verify(ctx context.Context, seat string) bool {
	for ctx.Err() == nil {
		item, err := h.Store.Read(ctx, seatPrefix+seat)
		if err == nil {
			var r record
			bad := json.Unmarshal(item.Value, &r)
			return bad == nil && r.Name == h.Self.Name && r.Life == h.Self.Life
		}
		sleep(ctx, retryLeast)
	}
	return true
}
