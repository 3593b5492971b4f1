package rrhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrexecutor"
	"rattanring/io/rrstore"
	"rattanring/io/rrwire"
)

const (
	layoutPrefix = "rr/layout/"
	moveTerm     = 60 * time.Second // after a change of the layout a job may run on minions of another seat
	permille     = 1000
)

// layoutRecord is the layout of a zone in the store.
type layoutRecord struct {
	Parts int `json:"parts"`
	Was   int `json:"was"`
}

// writeLayout changes the layout of a zone unless it has changed.
func (h *Host) writeLayout(ctx context.Context, zone string, parts int, l rrelection.ShardLayout) error {
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	value, err := json.Marshal(layoutRecord{Parts: parts, Was: l.ShardCount()})
	if err != nil {
		return err
	}
	rev, err := h.Store.CompareAndSwap(ctx, rrstore.Put{Key: layoutPrefix + zone, Value: value}, l.Revision)
	if err != nil || rev == 0 {
		return err // a layout that changed comes with the watch
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setLayout(zone, rrelection.ShardLayout{Shards: parts, PreviousShards: l.ShardCount(), Revision: rev})
	return nil
}

// takeLayout notes a layout that the store tells of. The caller holds h.mu.
func (h *Host) takeLayout(zone string, e rrstore.Event) {
	if e.Deleted {
		level.Error(h.Logger).Log("msg", "layout removed, the last one stays in force", "zone", zone, "revision", e.Item.Mod)
		return
	}
	var r layoutRecord
	if err := json.Unmarshal(e.Item.Value, &r); err != nil {
		level.Error(h.Logger).Log("msg", "layout not readable", "zone", zone, "err", err)
		return
	}
	h.setLayout(zone, rrelection.ShardLayout{Shards: r.Parts, PreviousShards: r.Was, Revision: e.Item.Mod})
}

// setLayout notes the layout of a zone. The caller holds h.mu.
func (h *Host) setLayout(zone string, l rrelection.ShardLayout) {
	if !h.council.SetLayout(time.Now(), zone, l) {
		return
	}
	level.Info(h.Logger).Log("msg", "layout changed", "zone", zone, "parts", l.ShardCount(), "was", l.PreviousShards, "revision", l.Revision)
	h.divide()
	h.tellShapes()
}

// seatOf returns the seat that a minion belongs to. The caller holds h.mu.
func (h *Host) seatOf(m rrscheduler.Minion) string {
	return rrelection.ShardName(m.Zone, h.council.Layout(m.Zone).ShardIndex(m.ID))
}

// divide gives each own keeper the minions of its seat that no other keeper holds, and
// takes from it those of other seats. The caller holds h.mu.
func (h *Host) divide() {
	h.moving = false
	for seat, k := range h.keepers {
		held := h.held[seat]
		for id, m := range h.minions {
			if held[id] != nil || h.seatOf(m) != seat {
				continue
			}
			if !h.released(seat, k.FencingToken, m) {
				h.moving = true
				continue
			}
			held[id] = &holding{zone: m.Zone}
			k.Post(&rrscheduler.MinionReported{Minion: m})
		}
		for id := range held {
			h.move(seat, k, id)
		}
		h.retire(seat)
	}
}

// move tells a keeper to give a minion away that belongs to another seat, once somebody
// holds that, or to keep it after all. The caller holds h.mu.
func (h *Host) move(seat string, k *rrexecutor.Executor, id string) {
	hold := h.held[seat][id]
	to := rrelection.ShardName(hold.zone, h.council.Layout(hold.zone).ShardIndex(id))
	switch {
	case to != seat:
		h.moving = true
		if _, alive := h.council.Owner(to); alive || hold.yields {
			hold.yields = true
			k.Post(&rrscheduler.MinionHandoffRequested{MinionID: id})
		}
	case hold.yields:
		hold.yields = false
		if m, ok := h.minions[id]; ok {
			k.Post(&rrscheduler.MinionReported{Minion: m})
		}
	}
}

// holding is a minion that an own keeper was told of.
type holding struct {
	zone   string
	yields bool // it is to go to another seat
}

func part(seat string) int {
	_, n := rrelection.ParseShardName(seat)
	return n
}

// released reports whether a keeper may take a minion: no keeper that was left by the last
// change of the layout still holds it, and it can't have seen a higher token. The caller
// holds h.mu.
func (h *Host) released(seat string, token int64, m rrscheduler.Minion) bool {
	l := h.council.Layout(m.Zone)
	if l.Revision == 0 || !l.GainsMinions(part(seat)) {
		return true
	}
	if (rrelection.Owner{Revision: l.Revision}).FencingToken() > token {
		return false
	}
	for n := range max(l.ShardCount(), l.PreviousShards) {
		if other := rrelection.ShardName(m.Zone, n); other != seat && h.holds(other, l, m.ID) {
			return false
		}
	}
	return true
}

// holds reports whether the keeper of another seat may still hold a minion. The caller
// holds h.mu.
func (h *Host) holds(seat string, l rrelection.ShardLayout, id string) bool {
	if h.keepers[seat] != nil {
		return h.held[seat][id] != nil
	}
	holder, alive := h.council.Owner(seat)
	if !alive || h.council.UnansweredFor(time.Now(), seat) > lostSilence {
		return false // what it left running is adopted
	}
	said := h.loads[seat]
	if said.life != holder.Incarnation {
		return true // not heard of yet
	}
	return said.kept && (said.layout < l.Revision || said.outside[id])
}

// yielded notes that an own keeper holds a minion no more.
func (h *Host) yielded(seat string, k *rrexecutor.Executor, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := h.held[seat][id]
	if h.keepers[seat] != k || hold == nil || !hold.yields {
		return // it was told of the minion again meanwhile
	}
	delete(h.held[seat], id)
	level.Info(h.Logger).Log("msg", "minion given to another seat", "seat", seat, "minion", id)
	h.divide()
}

// outside returns the minions of other seats that an own keeper still holds. The caller
// holds h.mu.
func (h *Host) outside(seat string) []string {
	var out []string
	if !h.moving {
		return out
	}
	for id, hold := range h.held[seat] {
		if h.council.Layout(hold.zone).ShardIndex(id) != part(seat) {
			out = append(out, id)
		}
	}
	return out
}

// retire ends the keeper of a seat that the layout does not have, once it holds nothing.
// The caller holds h.mu.
func (h *Host) retire(seat string) {
	zone, n := rrelection.ParseShardName(seat)
	k := h.keepers[seat]
	if n < h.council.Layout(zone).ShardCount() {
		return
	}
	if len(h.held[seat]) > 0 || !k.Idle() {
		h.moving = true
		return
	}
	level.Info(h.Logger).Log("msg", "seat given up", "seat", seat, "token", k.FencingToken)
	h.lostToken[seat] = k.FencingToken
	h.dropKeeper(seat)
	k.Stop()
}

// siblings returns the other seats of the zone whose jobs a seat takes. The caller holds
// h.mu.
func (h *Host) siblings(seat string) []string {
	zone, n := rrelection.ParseShardName(seat)
	if n != 0 {
		return nil
	}
	var out []string
	for part := 1; part < h.council.Layout(zone).ShardCount(); part++ {
		out = append(out, rrelection.ShardName(zone, part))
	}
	return out
}

// layouts returns what this process knows of divided zones. The caller holds h.mu.
func (h *Host) layouts() []*rrwire.Layout {
	var out []*rrwire.Layout
	for _, zone := range h.Zones {
		if l := h.council.Layout(zone); l.Revision != 0 {
			out = append(out, &rrwire.Layout{Zone: zone, Parts: uint32(l.Shards), Was: uint32(l.PreviousShards), Revision: l.Revision})
		}
	}
	return out
}
