package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrclock"
	"rattanring/io/rrstore"
)

const minSuspension = 200 * time.Millisecond // shorter ones change no decision

// checkShards checks the shards until ctx ends. It claims those whose owner is missing, dead
// or unresponsive, writes to the store which shards this process owns under an epoch, drops
// unresponsive caller processes, and hands over shards that other members should own.
func (h *Host) checkShards(ctx context.Context) error {
	started, boot := time.Now(), rrclock.SinceBoot()
	suspended := time.Duration(0) // since the start
	for h.awaitShardCheck(ctx) {
		h.mu.Lock()
		if d := rrclock.SinceBoot() - boot - time.Since(started) - suspended; d > minSuspension {
			suspended += d
			h.noteSuspension(d)
		}
		claims := append(h.election.DueClaims(time.Now()), h.election.UnpersistedClaims(time.Now())...)
		h.mu.Unlock()
		for _, c := range claims {
			go h.claimShard(ctx, c)
		}
		h.reviewRegistrationCopy(time.Now())
		h.dropUnresponsiveCallerProcesses()
		h.handOverToPreferred(ctx)
	}
	return ctx.Err()
}

// noteSuspension records that this process was suspended for d. The monotonic clock has not counted that time, so
// what other processes have told counts as old. The caller holds h.mu.
func (h *Host) noteSuspension(d time.Duration) {
	level.Warn(h.Logger).Log("msg", "process was suspended", "for", d)
	h.election.Suspended(d)
	h.registrationCopy.confirmedAt, h.registrationsReadAt = time.Time{}, time.Time{}
	for shard, l := range h.loads {
		l.receivedAt, l.requestedAt = time.Time{}, time.Time{}
		h.loads[shard] = l
	}
}

// awaitShardCheck waits until the next check of the shards is due, and reports false if ctx
// ends first.
func (h *Host) awaitShardCheck(ctx context.Context) bool {
	t := time.NewTimer(shardCheckInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-h.shardCheckNow:
	case <-ctx.Done():
		return false
	}
	return true
}

func (h *Host) claimShard(ctx context.Context, c rrelection.Claim) {
	level.Info(h.Logger).Log("msg", "claiming seat", "seat", c.Shard, "expect", c.ExpectedRevision)
	rev, err := h.writeOwner(ctx, c.Shard, h.Self, c.ExpectedRevision)
	if err == nil && rev != 0 {
		return
	}
	level.Warn(h.Logger).Log("msg", "seat not taken", "seat", c.Shard, "expect", c.ExpectedRevision, "err", err)
	if !h.readOwner(ctx, c.Shard) {
		h.claimWithoutStore(c.Shard)
	}
}

// claimWithoutStore takes a shard under a new epoch while the store is unreachable, if
// TryClaimWithoutStore allows it and the claim is not left to others.
func (h *Host) claimWithoutStore(shard string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.election.MayClaimWithoutStore(now, shard) || h.yieldsClaim(now, shard) {
		return // a claim that is left to others must not count for epochInterval
	}
	if h.election.TryClaimWithoutStore(now, shard) {
		h.updateOwner(shard, h.election.NextEpochOwner(shard, h.Self))
		h.announceOwner(shard)
	}
}

// yieldTime is how long a process that knows no minions leaves a claim without the store to others. A member that
// knows them may notice the owner's death one heartbeat interval later and wait for the better candidates; with
// the 400 ms between two claims alone, the process without minions was first in some runs.
const yieldTime = 600 * time.Millisecond

// yieldedClaim is a claim of a shard without the store that this process left to others.
type yieldedClaim struct {
	token int64     // fencing token of the shard's owner
	since time.Time // when this process could have claimed the shard
}

// yieldsClaim reports whether this process leaves a claim of a shard without the store to others for now. A process
// that has just started knows few members and no minions: it would claim at once, and serve nobody until it has
// found the minions. Another member that knows them claims in the meantime. The caller holds h.mu.
func (h *Host) yieldsClaim(now time.Time, shard string) bool {
	if h.knowsMinionsOf(shard) {
		return false
	}
	owner, _ := h.election.Owner(shard)
	token := owner.FencingToken()
	if y := h.yieldedClaims[shard]; y.token == token {
		return now.Sub(y.since) < yieldTime
	}
	h.yieldedClaims[shard] = yieldedClaim{token, now}
	level.Info(h.Logger).Log("msg", "claim without the store left to others", "seat", shard, "token", token)
	return true
}

// knowsMinionsOf reports whether this process knows minions of a shard's zone, from the store or by a copy that
// it may use. The caller holds h.mu.
func (h *Host) knowsMinionsOf(shard string) bool {
	zone, _ := rrelection.ParseShardName(shard)
	for _, m := range h.registrations {
		if m.Zone == zone {
			return true
		}
	}
	return zone == h.Self.Zone && len(h.registrationCopy.minions) > 0 && time.Since(h.registrationCopy.confirmedAt) < registrationCopyTTL
}

// writeOwner writes a member as owner into a shard's item if the item still has the
// revision expect. It returns the new revision, or zero if the item has changed.
func (h *Host) writeOwner(ctx context.Context, shard string, m rrelection.Member, expect int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := shardPrefix + shard
	rev, err := h.Store.CompareAndSwap(ctx, rrstore.Put{Key: key, Value: toRecord(m)}, h.expectedRevision(key, expect))
	if err != nil || rev == 0 {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setOwnerRecord(time.Now(), shard, memberRecord(m), rev)
	h.reconcileExecutors()
	return rev, nil
}

// readOwner reads a shard's item after a failed write and reports whether the store
// answered.
func (h *Host) readOwner(ctx context.Context, shard string) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	item, err := h.Store.Get(ctx, shardPrefix+shard)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "reading the owner of the shard from the store failed", "seat", shard, "err", err)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if item.Mod != 0 {
		h.applyShardEvent(shard, rrstore.Event{Item: item})
	}
	h.reconcileExecutors()
	return true
}
