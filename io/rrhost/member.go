package rrhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/io/rrstore"
)

// maintainMembership writes this host's member item into the store and renews its lease.
func (h *Host) maintainMembership(ctx context.Context) error {
	backoff := newStoreBackoff(h, "membership")
	for ctx.Err() == nil && !h.draining.Load() {
		if h.currentLease() == 0 {
			if backoff.pauseAfter(ctx, h.register(ctx)) {
				continue
			}
		}
		sleep(ctx, membershipRenewInterval+rand.N(membershipRenewInterval/8))
		alive, err := h.Store.KeepAlive(ctx, h.currentLease())
		if backoff.pauseAfter(ctx, err) {
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
	lease, err := h.Store.GrantLease(ctx, membershipTTL)
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
	h.election.AddMember(time.Now(), h.Self)
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
