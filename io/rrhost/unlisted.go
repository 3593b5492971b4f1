package rrhost

import (
	"slices"
	"strings"
	"time"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
)

// An owner goes on using a minion whose registration is gone or can't be read: the minion may only have
// lost its path to the store. The next owner does not find such a minion in the store, but must know it,
// since tasks may run there. So the processes that may succeed an owner copy from it which minions it uses.

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
