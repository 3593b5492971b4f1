package rrhost

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
)

// An owner goes on using a minion whose registration is gone or can't be read: the minion may only have
// lost its path to the store. The next owner does not find such a minion in the store, but must know it,
// since tasks may run there. So owners tell the processes that may succeed them which minions they use:
// the owner of a primary shard with the registrations that others copy from it, the owner of another
// shard with its answers to heartbeats.

const (
	defaultRegistrationTTL = 3 * time.Second         // where Options.RegistrationTTL is not known
	registrationLag        = 1500 * time.Millisecond // a registration reaches the owners within this time
	maxRemovedMinions      = 4096                    // removed registrations that are remembered
)

// usedMinions returns the minions of a zone that are registered or that local executors use. The caller
// holds h.mu.
func (h *Host) usedMinions(zone string) []rrscheduler.Minion {
	var out []rrscheduler.Minion
	for _, m := range h.registrations {
		if m.Zone == zone {
			out = append(out, m)
		}
	}
	for shard := range h.assignments {
		out = append(out, h.unlistedMinions(shard, zone)...)
	}
	return out
}

// unlistedMinions returns the minions of a zone that the local executor of a shard uses although the store
// does not list them in that zone. They are marked as draining, so that the next owner gives them no new
// tasks. The caller holds h.mu.
func (h *Host) unlistedMinions(shard, zone string) []rrscheduler.Minion {
	var out []rrscheduler.Minion
	for id, a := range h.assignments[shard] {
		if a.zone != zone || h.registrations[id].Zone == zone {
			continue
		}
		m := a.minion
		m.Zone, m.Draining = zone, true
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b rrscheduler.Minion) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// adoptUnlistedMinions gives a new local executor the minions that the previous owner of the shard may
// have used and that are not registered. The caller holds h.mu.
func (h *Host) adoptUnlistedMinions(shard string) {
	zone, _ := rrelection.ParseShardName(shard)
	var minions []rrscheduler.Minion
	if zone == h.Self.Zone && time.Since(h.registrationCopy.confirmedAt) < registrationCopyTTL {
		minions = append(minions, h.registrationCopy.minions...)
	}
	minions = append(minions, h.loads[shard].unlistedMinions...)
	for _, r := range h.removedMinions {
		minions = append(minions, r.minion)
	}
	assigned, ex := h.assignments[shard], h.executors[shard]
	for _, m := range minions {
		if h.registrations[m.ID].Zone == m.Zone || assigned[m.ID] != nil || h.shardOf(m) != shard || !h.canTakeMinion(shard, ex.FencingToken, m) {
			continue
		}
		m.Draining = true
		assigned[m.ID] = &assignment{zone: m.Zone, minion: m, unlisted: true}
		ex.Post(&rrscheduler.MinionRegistered{Minion: m})
		ex.Post(&rrscheduler.MinionDeregistered{MinionID: m.ID})
	}
}

// removedMinion is a minion of a shard of another process whose registration is gone.
type removedMinion struct {
	minion   rrscheduler.Minion
	revision int64 // of the store at the removal, or later
}

// noteRemoved remembers the removed registration of a minion until the owner of its shard has read as much
// of the store: until then that owner may use the minion without reporting it as unlisted. The copy of the
// registrations serves this purpose for a primary shard. The caller holds h.mu.
func (h *Host) noteRemoved(m rrscheduler.Minion, revision int64) {
	if shard := h.shardOf(m); m.Zone != h.Self.Zone || shard == m.Zone || h.executors[shard] != nil || len(h.removedMinions) >= maxRemovedMinions {
		return
	}
	h.removedMinions[m.ID] = removedMinion{m, revision}
}

// forgetRemoved drops the removed registrations of a shard's minions up to a revision, which the shard's
// owner has read. The caller holds h.mu.
func (h *Host) forgetRemoved(shard string, revision int64) {
	for id, r := range h.removedMinions {
		if r.revision <= revision && h.shardOf(r.minion) == shard {
			delete(h.removedMinions, id)
		}
	}
}

// keepRegistrations keeps what this process knows of its zone's minions when it stops being the owner of the
// primary shard. It may be the next owner but one. The caller holds h.mu.
func (h *Host) keepRegistrations(shard string) {
	if shard != h.Self.Zone {
		return
	}
	confirmedAt := h.registrationsReadAt
	if h.registrationCopy.confirmedAt.After(confirmedAt) {
		confirmedAt = h.registrationCopy.confirmedAt
	}
	h.registrationCopy = registrationCopy{minions: h.usedMinions(h.Self.Zone), confirmedAt: confirmedAt}
}

// postListSynced tells the executor of a shard that it has been given all registered minions. The caller
// holds h.mu.
func (h *Host) postListSynced(shard string) {
	complete, synced := h.listComplete[shard]
	if complete {
		return
	}
	complete = !h.mayLackMinions(shard)
	h.listComplete[shard] = complete
	h.executors[shard].Post(&rrscheduler.MinionListSynced{Incomplete: !complete})
	if complete || !synced {
		level.Info(h.Logger).Log("msg", "minions of the shard listed", "seat", shard, "complete", complete, "minions", len(h.assignments[shard]),
			"read", h.registrationsRead, "copy", ageText(h.registrationCopy.confirmedAt))
	}
}

// ageText returns the time since at, for the log.
func ageText(at time.Time) string {
	if at.IsZero() {
		return "unknown"
	}
	return time.Since(at).Round(time.Millisecond).String()
}

// mayLackMinions reports whether a previous owner of a shard may have used minions that the shard's local
// executor has not been given. The caller holds h.mu.
func (h *Host) mayLackMinions(shard string) bool {
	zone, index := rrelection.ParseShardName(shard)
	owner, _ := h.election.Owner(shard)
	switch {
	case zone != h.Self.Zone, time.Since(h.lastStoreFailure) < registrationsGrace, time.Since(h.election.LayoutChangedAt(zone)) < layoutChangeWindow:
		return true
	case h.registrationsRead < owner.Revision: // the previous owner may have read more
		return true
	case index == 0:
		return time.Since(h.registrationCopy.confirmedAt) > h.copyTrustTime()
	}
	return time.Since(h.loads[shard].requestedAt) > h.copyTrustTime()
}

// copyTrustTime returns how old the knowledge of a previous owner's minions may be. A minion that the
// owner has found since then is still registered, even if it has reported only once.
//
// The caller holds h.mu.
func (h *Host) copyTrustTime() time.Duration {
	ttl := cmp.Or(h.RegistrationTTL, defaultRegistrationTTL)
	if time.Now().Before(h.shorterTTLUntil) {
		ttl = min(ttl, h.shorterTTL)
	}
	return ttl - registrationLag
}
