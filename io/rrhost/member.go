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
		if h.currentMembershipLease() == 0 {
			if backoff.pauseAfter(ctx, h.writeMember(ctx)) {
				continue
			}
		}
		sleep(ctx, membershipRenewInterval+rand.N(membershipRenewInterval/8))
		alive, err := h.Store.KeepAlive(ctx, h.currentMembershipLease())
		if backoff.pauseAfter(ctx, err) {
			continue
		}
		if !alive {
			level.Warn(h.Logger).Log("msg", "membership lost")
			h.setMembershipLease(0)
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// writeMember writes this host's member item into the store under a new lease.
func (h *Host) writeMember(ctx context.Context) error {
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
	h.setMembershipLease(lease)
	h.mu.Lock()
	h.election.AddMember(time.Now(), h.Self)
	h.mu.Unlock()
	return nil
}

func (h *Host) currentMembershipLease() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.membershipLease
}

func (h *Host) setMembershipLease(id int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.membershipLease = id
}
