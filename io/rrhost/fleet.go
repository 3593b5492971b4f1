package rrhost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrstore"
)

// Keys of the fleet's own items.
const (
	fleetPrefix  = "rr/"
	memberPrefix = "rr/member/"
	shardPrefix  = "rr/seat/"
)

// Times of membership and seats.
const (
	fleetWatchTimeout         = 5 * time.Second         // how long the watch of the fleet waits for a change
	membershipTTL             = 6 * time.Second         // lease of a member's entry
	membershipRenewInterval   = 2 * time.Second         // between two renewals
	claimTimeout              = 500 * time.Millisecond  // for one write to a seat
	shardCheckInterval        = 100 * time.Millisecond  // between two looks at the seats, unless one is called for
	unreachableTimeout        = 1000 * time.Millisecond // a holder that is silent for so long can't be reached
	notReadyTimeout           = 550 * time.Millisecond  // … and this host takes no new connections; some pulses may be lost
	callerTimeout             = 900 * time.Millisecond  // callers of a host that is silent for so long are taken for gone
	registrationsBatchPause   = 900 * time.Millisecond  // between two questions for reports of minions
	registrationsWatchTimeout = time.Second             // how long such a question waits for a change
	registrationCopyTTL       = 30 * time.Second        // how long reports that another process told are of use
	registrationsGrace        = 4 * time.Second         // reports of minions are complete again so long after the store was away
)

// memberRecord is a member or the holder of a seat in the store.
type memberRecord struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone"`
	CPUCores    float64 `json:"share"`
	Incarnation int64   `json:"life"`
}

func toRecord(m rrelection.Member) []byte {
	text, err := json.Marshal(memberRecord(m))
	if err != nil {
		panic(err) // a record of plain fields can always be encoded
	}
	return text
}

// watchFleet watches members and seats.
func (h *Host) watchFleet(ctx context.Context) error {
	return h.watchPrefix(ctx, "fleet", fleetPrefix, fleetWatchTimeout, h.applyFleetEvents, 0)
}

func (h *Host) applyFleetEvents(complete bool, events []rrstore.Event, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if complete {
		h.removeUnlistedMembers(events)
	}
	for _, e := range events {
		if name, ok := strings.CutPrefix(e.Item.Key, memberPrefix); ok {
			h.applyMemberEvent(name, e)
		}
		if name, ok := strings.CutPrefix(e.Item.Key, layoutPrefix); ok {
			h.applyLayoutEvent(name, e)
		}
		if name, ok := strings.CutPrefix(e.Item.Key, shardPrefix); ok {
			h.applyShardEvent(name, e)
		}
	}
	h.reconcileExecutors()
	h.notifyOwnersChanged()
}

// removeUnlistedMembers drops members that a whole list lacks.
func (h *Host) removeUnlistedMembers(events []rrstore.Event) {
	listed := make(map[string]bool)
	for _, e := range events {
		listed[e.Item.Key] = true
	}
	for name := range h.election.Members() {
		if !listed[memberPrefix+name] {
			h.election.RemoveMember(time.Now(), name)
		}
	}
}

func (h *Host) applyMemberEvent(name string, e rrstore.Event) {
	if e.Deleted {
		h.election.RemoveMember(time.Now(), name)
		return
	}
	var r memberRecord
	if err := json.Unmarshal(e.Item.Value, &r); err != nil {
		level.Error(h.Logger).Log("msg", "member not readable", "member", name, "err", err)
		return
	}
	h.election.AddMember(time.Now(), rrelection.Member(r))
}

func (h *Host) applyShardEvent(name string, e rrstore.Event) {
	now := time.Now()
	if e.Deleted {
		h.election.ClearOwner(now, name, e.Item.Mod)
		return
	}
	var r memberRecord
	if err := json.Unmarshal(e.Item.Value, &r); err != nil {
		level.Error(h.Logger).Log("msg", "seat not readable", "seat", name, "err", err)
		return
	}
	h.setOwnerRecord(now, name, r, e.Item.Mod)
}

// setOwnerRecord notes the holder of a seat. The caller holds h.mu.
func (h *Host) setOwnerRecord(now time.Time, name string, r memberRecord, revision int64) {
	h.setOwner(now, name, rrelection.Owner{Name: r.Name, Addr: r.Addr, Incarnation: r.Incarnation, Revision: revision})
}

// updateOwner notes the holder of a seat if it is news, and starts and stops keepers by it.
// The caller holds h.mu.
func (h *Host) updateOwner(shard string, owner rrelection.Owner) {
	if known, _ := h.election.Owner(shard); owner.FencingToken() <= known.FencingToken() {
		return
	}
	h.setOwner(time.Now(), shard, owner)
	h.reconcileExecutors()
}

// setOwner notes the holder of a seat. The caller holds h.mu.
func (h *Host) setOwner(now time.Time, shard string, owner rrelection.Owner) {
	if h.election.SetOwner(now, shard, owner) {
		level.Info(h.Logger).Log("msg", "seat taken", "seat", shard, "holder", owner.Name, "revision", owner.Revision, "step", owner.Epoch)
		h.notifyOwnersChanged()
	}
}
