package rrhost

import (
	"context"
	"maps"
	"strings"
	"time"

	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/io/rrstore"
)

// watchRegistrations watches the registrations of minions while this host owns a shard.
func (h *Host) watchRegistrations(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-h.registrationsNeeded:
		case <-ctx.Done():
			return ctx.Err()
		}
		for ctx.Err() == nil && h.ownsShards() {
			watchCtx, cancel := context.WithCancel(ctx)
			go h.restartRegistrationWatch(watchCtx, cancel)
			_ = h.watchPrefix(watchCtx, "minions", h.Keys.MinionPrefix, registrationsWatchTimeout, h.applyRegistrations, registrationsBatchPause) // ends with watchCtx
			cancel()
			h.forgetRegistrations()
		}
	}
	return ctx.Err()
}

// forgetRegistrations drops the registrations if no shard needs them.
func (h *Host) forgetRegistrations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.executors) > 0 {
		return
	}
	clear(h.registrations)
	clear(h.removedMinions)
	clear(h.coldReports)
	h.minionsListed, h.registrationsRead = false, 0
}

// restartRegistrationWatch calls cancel, which ends the watch, when this host owns no shard, and when a new
// executor needs the present list.
func (h *Host) restartRegistrationWatch(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-h.registrationsNeeded:
			return
		case <-tick.C:
			if !h.ownsShards() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) ownsShards() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.executors) > 0
}

// applyRegistrations applies the list of the registrations or its changes up to a revision of the store.
func (h *Host) applyRegistrations(complete bool, events []rrstore.Event, revision int64, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copySuspended = h.copySuspended && !complete
	changed := complete
	listed := make(map[string]bool)
	now := time.Now()
	for _, e := range events {
		id := strings.TrimPrefix(e.Item.Key, h.Keys.MinionPrefix)
		if e.Deleted {
			delete(h.unreadable, e.Item.Key)
			h.removeMinion(id, revision)
			changed = true
			continue
		}
		m, err := h.Decoder.DecodeMinion(e.Item, now)
		if err != nil {
			listed[id] = true
			h.noteUnreadable(e.Item, err)
			h.suspendMinion(id)
			changed = true
			continue
		}
		delete(h.unreadable, e.Item.Key)
		listed[m.ID] = true
		known, ok := h.registrations[m.ID]
		h.noteColdTime(&m, &known, e.Item.Mod)
		changed = changed || !ok || !m.Equal(&known) || coldTimeChanged(now, &m, &known)
		h.registrations[m.ID] = m
		delete(h.removedMinions, m.ID)
		h.postRegistration(m)
	}
	if changed { // most reports of minions only say that they live
		h.assignMinions()
	}
	if complete {
		h.removeUnlistedMinions(listed, revision)
		h.forgetUnreadable(h.Keys.MinionPrefix, events)
	}
	if changed {
		h.registrationsRevision++
		h.postProfiles()
	}
	h.minionsListed = h.minionsListed || complete
	h.registrationsRead, h.registrationsReadAt = max(h.registrationsRead, revision), requestedAt
	for shard := range h.executors {
		h.postListSynced(shard)
	}
}

// removeUnlistedMinions removes minions that a complete list lacks. The caller holds h.mu.
func (h *Host) removeUnlistedMinions(listed map[string]bool, revision int64) {
	fromCopy := !h.minionsListed && time.Since(h.lastStoreFailure) > registrationsGrace
	for id := range h.registrations {
		if listed[id] {
			continue
		}
		if fromCopy {
			h.suspendMinion(id) // it left before this process knew the store's list
		}
		h.removeMinion(id, revision)
	}
}

// suspendMinion gives a minion no new tasks, since its registration can't be read any longer. Another
// writer may have replaced the registration while the minion lives and runs tasks, so these go on. The
// caller holds h.mu.
func (h *Host) suspendMinion(id string) {
	m, known := h.registrations[id]
	if !known || m.Draining {
		return
	}
	m.Draining = true
	h.registrations[id] = m
	h.postRegistration(m)
}

// removeMinion records that a minion has no registration at a revision of the store. Its executor uses it
// for a while, and releases it then. The caller holds h.mu.
func (h *Host) removeMinion(id string, revision int64) {
	m, ok := h.registrations[id]
	if !ok {
		return
	}
	delete(h.registrations, id)
	delete(h.coldReports, id)
	h.noteRemoved(m, revision)
	for shard, ex := range h.executors {
		a := h.assignments[shard][id]
		if a == nil {
			continue
		}
		a.unlisted = true
		ex.Post(&rrscheduler.MinionDeregistered{MinionID: id})
	}
}

// postRegistration posts a minion's registration to the local executor that owns the
// minion. The caller holds h.mu.
func (h *Host) postRegistration(m rrscheduler.Minion) {
	for shard, ex := range h.executors {
		a := h.assignments[shard][m.ID]
		if a == nil {
			continue
		}
		a.minion, a.unlisted = m, false
		if !a.handingOff {
			ex.Post(&rrscheduler.MinionRegistered{Minion: m})
		}
	}
}

// postProfiles posts the minion profiles of all other shards to each local executor. The
// caller holds h.mu.
func (h *Host) postProfiles() {
	profiles := h.profiles()
	for shard, ex := range h.executors {
		others := maps.Clone(profiles)
		delete(others, shard)
		ex.Post(&rrscheduler.ShardProfilesReported{ByShard: others})
	}
}

// profiles returns the distinct profiles of minions by shard. The caller holds h.mu.
func (h *Host) profiles() map[string][]rrscheduler.MinionProfile {
	type profileKey struct {
		shard, service, labels string
		capacity               rrtask.Resources
	}
	seen := make(map[profileKey]bool)
	out := make(map[string][]rrscheduler.MinionProfile)
	for _, m := range h.registrations {
		shard := h.shardOf(m)
		key := profileKey{shard, m.Service, strings.Join(m.Labels, "\n"), m.Capacity}
		if !seen[key] {
			seen[key] = true
			out[shard] = append(out[shard], m.Profile())
		}
	}
	return out
}
