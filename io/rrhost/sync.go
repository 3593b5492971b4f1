package rrhost

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrwire"
)

// neighbors returns the addresses of a few members of the own zone that have not called
// lately. A process that has just started may know nobody while the store is away; it learns
// from who calls it: the keeper of the zone, and all while the store or the keeper is away.
func (h *Host) neighbors() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(h.pinged, func(_ string, at time.Time) bool { return now.Sub(at) > neighborTerm })
	if h.keepers[h.Self.Zone] == nil && !h.orphaned() && now.Sub(h.trouble) > neighborTerm {
		return nil
	}
	out := slices.DeleteFunc(h.council.ZonePeerAddrs(), func(addr string) bool {
		return now.Sub(h.pinged[addr]) < neighborEvery*rrelection.HeartbeatInterval && h.keepers[h.Self.Zone] != nil
	})
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), neighborsMost)]
}

// askIfNew asks a peer for what it knows if this process knows no configuration or no
// holder of its own zone. The caller holds h.mu.
func (h *Host) askIfNew(addr string) {
	_, known := h.council.Owner(h.Self.Zone)
	if addr == "" || known && h.table.Load() != nil || !h.learning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.learning.Store(false)
		h.learn(context.Background(), addr)
	}()
}

const seedPause = 250 * time.Millisecond // between two rounds of questions to seeds

// askSeeds asks the seeds until this process knows a configuration and the holder of
// its zone.
func (h *Host) askSeeds(ctx context.Context) error {
	for sleep(ctx, seedPause) {
		for _, addr := range h.Seeds {
			h.mu.Lock()
			h.askIfNew(addr)
			h.mu.Unlock()
			sleep(ctx, seedPause/5)
		}
		if h.home() != nil && h.table.Load() != nil {
			<-ctx.Done()
		}
	}
	return ctx.Err()
}

// learn takes over what a peer knows.
func (h *Host) learn(ctx context.Context, addr string) {
	asked := time.Now()
	page, err := h.peers.sheet(ctx, addr)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "peer did not tell", "peer", addr, "err", err)
		return
	}
	level.Info(h.Logger).Log("msg", "learned from peer", "peer", addr, "seats", len(page.GetSeats()), "members", len(page.GetHosts()))
	if page.GetRevision() != 0 {
		h.adoptTable(page.GetText(), page.GetRevision(), addr, asked)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, m := range page.GetHosts() {
		if _, known := h.council.Members()[m.GetName()]; !known {
			h.council.AddMember(now, rrelection.Member{Name: m.GetName(), Addr: m.GetAddr(), Zone: m.GetZone(), CPUCores: m.GetShare(), Incarnation: m.GetLife()})
		}
	}
	for _, l := range page.GetLayouts() {
		h.setLayout(l.GetZone(), rrelection.ShardLayout{Shards: int(l.GetParts()), PreviousShards: int(l.GetWas()), Revision: l.GetRevision()})
	}
	for _, s := range page.GetSeats() {
		h.setHolder(now, s.GetName(), fromSeat(s))
	}
	h.manKeepers()
}

// home returns the holder of the own zone's seat, or nil.
func (h *Host) home() *rrwire.Seat {
	h.mu.Lock()
	defer h.mu.Unlock()
	holder, _ := h.council.Owner(h.Self.Zone)
	if holder.Revision == 0 {
		return nil
	}
	return toSeat(h.Self.Zone, holder)
}

// page returns what this process knows.
func (h *Host) page() *rrwire.Page {
	out := &rrwire.Page{}
	if p := h.table.Load(); p != nil {
		out.Version, out.Text, out.Revision = p.table.Version, p.text, p.revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range h.council.Shards() {
		if holder, _ := h.council.Owner(name); holder.Revision != 0 {
			out.Seats = append(out.Seats, toSeat(name, holder))
		}
	}
	out.Layouts = h.layouts()
	for _, m := range h.council.Members() {
		out.Hosts = append(out.Hosts, &rrwire.Host{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Share: m.CPUCores, Life: m.Incarnation})
	}
	return out
}

// announce tells the members of the zone who holds a seat. The caller holds h.mu.
func (h *Host) announce(seat string) {
	holder, _ := h.council.Owner(seat)
	zone, _ := rrelection.ParseShardName(seat)
	for _, m := range h.council.Members() {
		if m.Zone == zone && m.Name != h.Self.Name {
			go h.tellHolder(m.Addr, seat, holder)
		}
	}
}

// tellHolder tells one process who holds a seat, and reports whether it heard.
func (h *Host) tellHolder(addr, seat string, holder rrelection.Owner) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pulseLimit)
	defer cancel()
	_, err := h.peers.at(addr).Follow(ctx, toSeat(seat, holder))
	if err != nil {
		level.Warn(h.Logger).Log("msg", "holder not told", "seat", seat, "holder", holder.Name, "peer", addr, "err", err)
	}
	return err == nil
}

func toSeat(name string, holder rrelection.Owner) *rrwire.Seat {
	return &rrwire.Seat{
		Name: name, Token: holder.FencingToken(), Holder: holder.Name, Addr: holder.Addr, Life: holder.Incarnation,
		Revision: holder.Revision, Step: holder.Epoch,
	}
}

func fromSeat(s *rrwire.Seat) rrelection.Owner {
	return rrelection.Owner{Name: s.GetHolder(), Addr: s.GetAddr(), Incarnation: s.GetLife(), Revision: s.GetRevision(), Epoch: s.GetStep()}
}
