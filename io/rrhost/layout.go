package rrhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrexecutor"
	"rattanring/io/rrstore"
	"rattanring/io/rrwire"
)

const (
	layoutPrefix       = "rr/layout/"
	layoutChangeWindow = 60 * time.Second // for this long after a change of the layout, a job may have runs on minions of another shard
	utilizationScale   = 1000             // CPU utilization is sent in thousandths
)

// layoutRecord is the layout of a zone in the store.
type layoutRecord struct {
	Shards         int `json:"parts"`
	PreviousShards int `json:"was"`
}

// writeLayout writes a new layout of a zone unless the stored one has changed.
func (h *Host) writeLayout(ctx context.Context, zone string, shards int, l rrelection.ShardLayout) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := json.Marshal(layoutRecord{Shards: shards, PreviousShards: l.ShardCount()})
	if err != nil {
		return err
	}
	key := layoutPrefix + zone
	rev, err := h.Store.CompareAndSwap(ctx, rrstore.Put{Key: key, Value: value}, h.expectedRevision(key, l.Revision))
	if err != nil || rev == 0 {
		return err // the watch delivers a layout that has changed
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLayout(zone, rrelection.ShardLayout{Shards: shards, PreviousShards: l.ShardCount(), Revision: rev})
	return nil
}

// applyLayoutEvent applies a change of a zone's layout in the store. The caller holds h.mu.
func (h *Host) applyLayoutEvent(zone string, e rrstore.Event) {
	if e.Deleted {
		level.Error(h.Logger).Log("msg", "layout item deleted from the store, its last content stays active", "zone", zone, "revision", e.Item.Mod)
		return
	}
	var r layoutRecord
	err := json.Unmarshal(e.Item.Value, &r)
	if err == nil && (r.Shards < 1 || r.Shards > rrelection.MaxShards || r.PreviousShards < 0 || r.PreviousShards > rrelection.MaxShards) {
		err = merry.Errorf("%d shards, %d before, are out of range", r.Shards, r.PreviousShards)
	}
	if err != nil {
		h.noteUnreadable(e.Item, err) // the last layout stays in force
		return
	}
	delete(h.unreadable, e.Item.Key)
	h.setLayout(zone, rrelection.ShardLayout{Shards: r.Shards, PreviousShards: r.PreviousShards, Revision: e.Item.Mod})
}

// setLayout records the layout of a zone. The caller holds h.mu.
func (h *Host) setLayout(zone string, l rrelection.ShardLayout) {
	if !h.election.SetLayout(time.Now(), zone, l) {
		return
	}
	level.Info(h.Logger).Log("msg", "layout changed", "zone", zone, "parts", l.ShardCount(), "was", l.PreviousShards, "revision", l.Revision)
	h.assignMinions()
	h.postProfiles()
}

// shardOf returns the shard that a minion belongs to. The caller holds h.mu.
func (h *Host) shardOf(m rrscheduler.Minion) string {
	return rrelection.ShardName(m.Zone, h.election.Layout(m.Zone).ShardIndex(m.ID))
}

// assignMinions gives each local executor the minions of its shard that no other process
// owns, and makes it hand off those of other shards. The caller holds h.mu.
func (h *Host) assignMinions() {
	h.layoutChangePending = false
	for shard, ex := range h.executors {
		assigned := h.assignments[shard]
		for id, m := range h.registrations {
			if assigned[id] != nil || h.shardOf(m) != shard {
				continue
			}
			if !h.canTakeMinion(shard, ex.FencingToken, m) {
				h.layoutChangePending = true
				continue
			}
			m.Draining = m.Draining || h.copySuspended
			assigned[id] = &assignment{zone: m.Zone, minion: m}
			ex.Post(&rrscheduler.MinionRegistered{Minion: m})
		}
		for id := range assigned {
			h.updateHandoff(shard, ex, id)
		}
		h.retireShard(shard)
	}
}

// updateHandoff makes an executor hand off a minion of another shard as soon as that shard
// has a live owner, and cancels the handoff if the minion belongs to the executor's shard
// again. The caller holds h.mu.
func (h *Host) updateHandoff(shard string, ex *rrexecutor.Executor, id string) {
	a := h.assignments[shard][id]
	to := rrelection.ShardName(a.zone, h.election.Layout(a.zone).ShardIndex(id))
	switch {
	case to != shard:
		h.layoutChangePending = true
		if _, alive := h.election.Owner(to); alive || a.handingOff {
			a.handingOff = true
			ex.Post(&rrscheduler.MinionHandoffRequested{MinionID: id})
		}
	case a.handingOff:
		a.handingOff = false
		if m, ok := h.registrations[id]; ok {
			ex.Post(&rrscheduler.MinionRegistered{Minion: m})
		}
	}
}

// assignment is a minion that a local executor was given.
type assignment struct {
	zone       string             // of the minion when it was assigned
	minion     rrscheduler.Minion // as last posted
	handingOff bool               // the executor was asked to hand it off to another shard
	unlisted   bool               // its registration is gone; the executor releases it when nothing runs there any longer
}

func shardIndex(shard string) int {
	_, index := rrelection.ParseShardName(shard)
	return index
}

// canTakeMinion reports whether the owner of a shard may take a minion under its fencing
// token: no other shard still owns it after the last change of the layout, and the minion
// can't have seen a higher token. The caller holds h.mu.
func (h *Host) canTakeMinion(shard string, token int64, m rrscheduler.Minion) bool {
	l := h.election.Layout(m.Zone)
	if l.Revision == 0 || !l.GainsMinions(shardIndex(shard)) {
		return true
	}
	if (rrelection.Owner{Revision: l.Revision}).FencingToken() > token {
		return false
	}
	for index := range max(l.ShardCount(), l.PreviousShards) {
		if other := rrelection.ShardName(m.Zone, index); other != shard && h.mayOwnMinion(other, l, m.ID) {
			return false
		}
	}
	return true
}

// mayOwnMinion reports whether the owner of another shard may still own a minion. The
// caller holds h.mu.
func (h *Host) mayOwnMinion(shard string, l rrelection.ShardLayout, id string) bool {
	if h.executors[shard] != nil {
		return h.assignments[shard][id] != nil
	}
	owner, alive := h.election.Owner(shard)
	if !alive || h.election.UnansweredFor(time.Now(), shard) > unreachableTimeout {
		return false // the next owner takes over its runs
	}
	reported := h.loads[shard]
	if reported.incarnation != owner.Incarnation {
		return true // no report from this incarnation yet
	}
	return reported.hasExecutor && (reported.layoutRevision < l.Revision || reported.foreignMinions[id])
}

// minionReleased records that a local executor has handed off a minion, or uses it no longer since its
// registration is gone.
func (h *Host) minionReleased(shard string, ex *rrexecutor.Executor, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.assignments[shard][id]
	if h.executors[shard] != ex || a == nil || !a.handingOff && !a.unlisted {
		return // the executor was given the minion again in the meantime
	}
	delete(h.assignments[shard], id)
	if a.unlisted {
		h.registrationsRevision++ // other processes copy the used minions too
	}
	if a.handingOff {
		level.Info(h.Logger).Log("msg", "minion given to another seat", "seat", shard, "minion", id)
	}
	h.assignMinions()
}

// foreignMinions returns the minions of other shards that a local executor still owns. The
// caller holds h.mu.
func (h *Host) foreignMinions(shard string) []string {
	var out []string
	if !h.layoutChangePending {
		return out
	}
	for id, a := range h.assignments[shard] {
		if h.election.Layout(a.zone).ShardIndex(id) != shardIndex(shard) {
			out = append(out, id)
		}
	}
	return out
}

// retireShard stops the local executor of a shard that the layout no longer has, once it
// owns no minions and no caller waits. The caller holds h.mu.
func (h *Host) retireShard(shard string) {
	zone, index := rrelection.ParseShardName(shard)
	ex := h.executors[shard]
	if index < h.election.Layout(zone).ShardCount() {
		return
	}
	if len(h.assignments[shard]) > 0 || !ex.Idle() {
		h.layoutChangePending = true
		return
	}
	level.Info(h.Logger).Log("msg", "seat given up", "seat", shard, "token", ex.FencingToken)
	h.endedToken[shard] = ex.FencingToken
	h.forgetExecutor(shard)
	ex.Stop()
}

// peerShards returns the peer shards that a primary shard may forward jobs to; other shards
// and those of an evacuated zone have none. The caller holds h.mu.
func (h *Host) peerShards(shard string) []string {
	zone, index := rrelection.ParseShardName(shard)
	if index != 0 || h.zoneEvacuated(zone) {
		return nil
	}
	var out []string
	for i := 1; i < h.election.Layout(zone).ShardCount(); i++ {
		out = append(out, rrelection.ShardName(zone, i))
	}
	return out
}

// layouts returns the known layouts of zones. The caller holds h.mu.
func (h *Host) layouts() []*rrwire.Layout {
	var out []*rrwire.Layout
	for _, zone := range h.Zones {
		if l := h.election.Layout(zone); l.Revision != 0 {
			out = append(out, &rrwire.Layout{Zone: zone, Parts: uint32(l.Shards), Was: uint32(l.PreviousShards), Revision: l.Revision})
		}
	}
	return out
}
