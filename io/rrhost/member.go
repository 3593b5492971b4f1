package rrhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/io/rrstore"
)

// keepMembership keeps this host's entry in the store.
func (h *Host) keepMembership(ctx context.Context) error {
	away := newAway(h, "membership")
	for ctx.Err() == nil && !h.leaving.Load() {
		if h.currentLease() == 0 {
			if away.note(ctx, h.register(ctx)) {
				continue
			}
		}
		sleep(ctx, memberRenew+rand.N(memberRenew/8))
		alive, err := h.Store.KeepAlive(ctx, h.currentLease())
		if away.note(ctx, err) {
			continue
		}
		if !alive {
			level.Warn(h.Logger).Log("msg", "membership lost")
			h.setLease(0)
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (h *Host) register(ctx context.Context) error {
	lease, err := h.Store.GrantLease(ctx, memberTerm)
	if err != nil {
		return err
	}
	key := memberPrefix + h.Self.Name
	item, err := h.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	rev, err := h.Store.CompareAndSwap(ctx, rrstore.Put{Key: key, Value: toRecord(h.Self), Lease: lease}, item.Mod)
	if err != nil || rev == 0 {
		return err
	}
	h.setLease(lease)
	h.mu.Lock()
	h.council.AddMember(time.Now(), h.Self)
	h.mu.Unlock()
	return nil
}

func (h *Host) currentLease() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease
}

func (h *Host) setLease(id int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = id
}
