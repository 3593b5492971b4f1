package rrhost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
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

// Timing of membership and shards.
const (
	fleetWatchTimeout         = 5 * time.Second         // maximum wait of one watch call
	membershipTTL             = 6 * time.Second         // lease of a member's item
	membershipRenewInterval   = 2 * time.Second         // between two renewals of the lease
	claimTimeout              = 500 * time.Millisecond  // for one call that reads or writes a shard's item or a layout
	shardCheckInterval        = 100 * time.Millisecond  // between two checks of the shards, unless one is requested
	unreachableTimeout        = 1000 * time.Millisecond // an owner without an answer for this long counts as unreachable
	notReadyTimeout           = 550 * time.Millisecond  // if the owner of its zone's primary shard has not answered for this long, a host is not ready for new connections; some heartbeats may be lost
	maxCallerProcessTimeout   = 900 * time.Millisecond  // a process that has jobs here and has sent nothing for this long counts as lost; earlier if callers submit their jobs again sooner
	minCallerProcessTimeout   = 500 * time.Millisecond  // the shortest such time: two heartbeats may be lost
	registrationsBatchPause   = 900 * time.Millisecond  // between two watch calls for registrations
	registrationsWatchTimeout = time.Second             // maximum wait of one watch call for registrations
	registrationCopyTTL       = 30 * time.Second        // registrations from another process are used for this long
	registrationsGrace        = 4 * time.Second         // for this long after a failure of the store, registrations may be missing
)

// memberRecord is a member or the owner of a shard in the store.
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
		panic(err) // a struct of plain fields can always be encoded
	}
	return text
}

// watchFleet watches members, layouts and owners of shards in the store.
func (h *Host) watchFleet(ctx context.Context) error {
	return h.watchPrefix(ctx, "fleet", fleetPrefix, fleetWatchTimeout, h.applyFleetEvents, 0)
}

func (h *Host) applyFleetEvents(complete bool, events []rrstore.Event, _ int64, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if complete {
		h.removeUnlistedMembers(events)
		h.forgetUnreadable(fleetPrefix, events)
		h.requestShardCheck() // this process may have to take back what its previous incarnation owned
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
	h.notifyRoutesChanged()
}

// removeUnlistedMembers removes members that a complete list lacks.
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
		delete(h.unreadable, e.Item.Key)
		h.election.RemoveMember(time.Now(), name)
		return
	}
	r, err := decodeMember(e.Item.Value)
	if err == nil && r.Name != name {
		err = merry.Errorf("names the member %.64q", r.Name)
	}
	if err != nil {
		h.noteUnreadable(e.Item, err) // a member that was known stays one until its lease ends
		return
	}
	delete(h.unreadable, e.Item.Key)
	h.election.AddMember(time.Now(), rrelection.Member(r))
}

func decodeMember(value []byte) (memberRecord, error) {
	var r memberRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return memberRecord{}, err
	}
	return r, r.validate()
}

func (h *Host) applyShardEvent(name string, e rrstore.Event) {
	if !h.knowsShard(name) {
		h.noteUnreadable(e.Item, merry.New("no zone of the fleet has this seat"))
		return
	}
	now := time.Now()
	if e.Deleted {
		delete(h.unreadable, e.Item.Key)
		h.election.ClearOwner(now, name, e.Item.Mod)
		return
	}
	r, err := decodeMember(e.Item.Value)
	if err != nil {
		if h.noteUnreadable(e.Item, err) && h.executors[name] != nil {
			owner, _ := h.election.Owner(name)
			go h.claimShard(context.Background(), rrelection.Claim{Shard: name, ExpectedRevision: owner.Revision}) // writes the item anew
		}
		return
	}
	delete(h.unreadable, e.Item.Key)
	h.setOwnerRecord(now, name, r, e.Item.Mod)
}

// setOwnerRecord records the owner of a shard from its item. The caller holds h.mu.
func (h *Host) setOwnerRecord(now time.Time, name string, r memberRecord, revision int64) {
	h.setOwner(now, name, rrelection.Owner{Name: r.Name, Addr: r.Addr, Incarnation: r.Incarnation, Revision: revision})
}

// updateOwner records the owner of a shard if its fencing token is higher than the known
// one, and starts and stops executors accordingly. The caller holds h.mu.
func (h *Host) updateOwner(shard string, owner rrelection.Owner) {
	if known, _ := h.election.Owner(shard); owner.FencingToken() <= known.FencingToken() {
		return
	}
	h.setOwner(time.Now(), shard, owner)
	h.reconcileExecutors()
}

// setOwner records the owner of a shard, and wakes waiting submissions if it changed. The
// caller holds h.mu.
func (h *Host) setOwner(now time.Time, shard string, owner rrelection.Owner) {
	if h.election.SetOwner(now, shard, owner) {
		level.Info(h.Logger).Log("msg", "seat taken", "seat", shard, "holder", owner.Name, "revision", owner.Revision, "step", owner.Epoch)
		h.notifyRoutesChanged()
	}
}
