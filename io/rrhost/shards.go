package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrstore"
)

// keepSeats claims seats whose holder is gone.
func (h *Host) keepSeats(ctx context.Context) error {
	for h.awaitLook(ctx) {
		h.mu.Lock()
		claims := append(h.council.DueClaims(time.Now()), h.council.UnpersistedClaims(time.Now())...)
		h.mu.Unlock()
		for _, c := range claims {
			go h.claim(ctx, c)
		}
		h.dropSilentCallers()
		h.giveBack(ctx)
	}
	return ctx.Err()
}

// awaitLook waits until the seats are to be looked at, and reports whether ctx is
// still open.
func (h *Host) awaitLook(ctx context.Context) bool {
	t := time.NewTimer(seatsEvery)
	defer t.Stop()
	select {
	case <-t.C:
	case <-h.look:
	case <-ctx.Done():
		return false
	}
	return true
}

func (h *Host) claim(ctx context.Context, c rrelection.Claim) {
	level.Info(h.Logger).Log("msg", "claiming seat", "seat", c.Shard, "expect", c.ExpectedRevision)
	rev, err := h.writeSeat(ctx, c.Shard, h.Self, c.ExpectedRevision)
	if err == nil && rev != 0 {
		return
	}
	level.Warn(h.Logger).Log("msg", "seat not taken", "seat", c.Shard, "expect", c.ExpectedRevision, "err", err)
	if !h.readSeat(ctx, c.Shard) {
		h.stepIn(c.Shard)
	}
}

// stepIn takes a seat while the store can't be reached, if that may be done.
func (h *Host) stepIn(seat string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.council.TryStartEpoch(time.Now(), seat) {
		h.hearHolder(seat, h.council.NextEpoch(seat, h.Self))
		h.announce(seat)
	}
}

// writeSeat gives a seat to a member if it has not changed.
func (h *Host) writeSeat(ctx context.Context, seat string, m rrelection.Member, expect int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	rev, err := h.Store.CompareAndSwap(ctx, rrstore.Put{Key: seatPrefix + seat, Value: toRecord(m)}, expect)
	if err != nil || rev == 0 {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setSeat(time.Now(), seat, record(m), rev)
	h.manKeepers()
	return rev, nil
}

// readSeat reads a seat whose content is in doubt, and reports whether the store
// answered.
func (h *Host) readSeat(ctx context.Context, seat string) bool {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	item, err := h.Store.Get(ctx, seatPrefix+seat)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "seat not read", "seat", seat, "err", err)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if item.Mod != 0 {
		h.takeSeat(seat, rrstore.Event{Item: item})
	}
	h.manKeepers()
	return true
}
