package rrhost

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
)

// An owner goes on using a minion whose registration is gone or can't be read: the minion may only have
// lost its path to the store. The next owner does not find such a minion in the store, but must know it,
// since tasks may run there. So the processes that may succeed an owner copy from it which minions it uses.

const (
	defaultRegistrationTTL = 3 * time.Second         // where Options.RegistrationTTL is not known
	registrationLag        = 1500 * time.Millisecond // a registration reaches the owners within this time
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
	if zone != h.Self.Zone || time.Since(h.registrationCopy.confirmedAt) > registrationCopyTTL {
		return
	}
	assigned, ex := h.assignments[shard], h.executors[shard]
	for _, m := range h.registrationCopy.minions {
		if h.registrations[m.ID].Zone == m.Zone || assigned[m.ID] != nil || h.shardOf(m) != shard || !h.canTakeMinion(shard, ex.FencingToken, m) {
			continue
		}
		m.Draining = true
		assigned[m.ID] = &assignment{zone: m.Zone, minion: m, unlisted: true}
		ex.Post(&rrscheduler.MinionRegistered{Minion: m})
		ex.Post(&rrscheduler.MinionDeregistered{MinionID: m.ID})
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
	if h.listComplete[shard] {
		return
	}
	h.listComplete[shard] = !h.mayLackMinions(shard)
	h.executors[shard].Post(&rrscheduler.MinionListSynced{Incomplete: !h.listComplete[shard]})
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
	}
	return index > 0 || time.Since(h.registrationCopy.confirmedAt) > h.copyTrustTime()
}

// copyTrustTime returns how old the knowledge of a previous owner's minions may be. A minion that the
// owner has found since then is still registered, even if it has reported only once.
func (h *Host) copyTrustTime() time.Duration {
	return cmp.Or(h.RegistrationTTL, defaultRegistrationTTL) - registrationLag
}
