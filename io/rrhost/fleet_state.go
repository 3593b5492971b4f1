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

// zonePeersForHeartbeat returns the addresses of a few members of the zone that get a
// heartbeat. A process that starts while the store is unreachable may know no member and
// fetches the fleet's state from a process that sends it a heartbeat. The owner of the
// primary shard always sends such heartbeats, except to members that sent it one lately;
// other members do so only if the store has failed lately or that owner is unavailable. The
// caller must not hold h.mu.
func (h *Host) zonePeersForHeartbeat() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(h.lastHeartbeatFrom, func(_ string, at time.Time) bool { return now.Sub(at) > zonePeerWindow })
	if h.executors[h.Self.Zone] == nil && !h.primaryOwnerUnavailable() && now.Sub(h.lastStoreFailure) > zonePeerWindow {
		return nil
	}
	out := slices.DeleteFunc(h.election.ZonePeerAddrs(), func(addr string) bool {
		return now.Sub(h.lastHeartbeatFrom[addr]) < zonePeerRounds*rrelection.HeartbeatInterval && h.executors[h.Self.Zone] != nil
	})
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxZonePeers)]
}

// fetchMissingState fetches the fleet's state from a peer if this process knows no
// configuration, or no live owner of its zone's primary shard. The caller holds h.mu.
func (h *Host) fetchMissingState(addr string) {
	_, alive := h.election.Owner(h.Self.Zone)
	if addr == "" || alive && h.config.Load() != nil || !h.fetchingState.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer h.fetchingState.Store(false)
		h.fetchState(context.Background(), addr)
	}()
}

const seedInterval = 250 * time.Millisecond // between two rounds of queries to the seeds

// querySeeds queries the seeds until this process knows a configuration and the owner of
// its zone's primary shard.
func (h *Host) querySeeds(ctx context.Context) error {
	for sleep(ctx, seedInterval) {
		for _, addr := range h.seeds() {
			h.mu.Lock()
			h.fetchMissingState(addr)
			h.mu.Unlock()
			sleep(ctx, seedInterval/5)
		}
		if h.primaryOwner() != nil && h.config.Load() != nil {
			<-ctx.Done()
		}
	}
	return ctx.Err()
}

// fetchState fetches the fleet's state from a peer and applies what is new to this process.
func (h *Host) fetchState(ctx context.Context, addr string) {
	requestedAt := time.Now()
	state, err := h.peers.fetchState(ctx, addr)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "fetching the state of the fleet from the peer failed", "peer", addr, "err", err)
		return
	}
	level.Info(h.Logger).Log("msg", "state of the fleet fetched from the peer", "peer", addr, "seats", len(state.GetSeats()), "members", len(state.GetHosts()))
	if state.GetRevision() != 0 {
		h.applyConfig(state.GetText(), state.GetRevision(), addr, requestedAt)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, m := range state.GetHosts() {
		if _, known := h.election.Members()[m.GetName()]; !known {
			h.election.AddMember(now, rrelection.Member{Name: m.GetName(), Addr: m.GetAddr(), Zone: m.GetZone(), CPUCores: m.GetShare(), Incarnation: m.GetLife()})
		}
	}
	for _, l := range state.GetLayouts() {
		h.setLayout(l.GetZone(), rrelection.ShardLayout{Shards: int(l.GetParts()), PreviousShards: int(l.GetWas()), Revision: l.GetRevision()})
	}
	for _, s := range state.GetSeats() {
		h.setOwner(now, s.GetName(), fromWireShard(s))
	}
	h.applyEvacuationsPage(state, 0, requestedAt)
	h.reconcileExecutors()
}

// primaryOwner returns the owner of the primary shard of this process's zone, or nil.
func (h *Host) primaryOwner() *rrwire.Seat {
	h.mu.Lock()
	defer h.mu.Unlock()
	owner, _ := h.election.Owner(h.Self.Zone)
	if owner.Revision == 0 {
		return nil
	}
	return toWireShard(h.Self.Zone, owner)
}

// state returns the configuration, owners, layouts and members that this process knows.
func (h *Host) state() *rrwire.Page {
	out := &rrwire.Page{}
	if snapshot := h.config.Load(); snapshot != nil {
		out.Version, out.Text, out.Revision = snapshot.config.Version, snapshot.text, snapshot.revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range h.election.Shards() {
		if owner, _ := h.election.Owner(name); owner.Revision != 0 {
			out.Seats = append(out.Seats, toWireShard(name, owner))
		}
	}
	out.Layouts = h.layouts()
	h.addEvacuations(out)
	for _, m := range h.election.Members() {
		out.Hosts = append(out.Hosts, &rrwire.Host{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Share: m.CPUCores, Life: m.Incarnation})
	}
	return out
}

// announceOwner sends the owner of a shard to the other members of the shard's zone. The
// caller holds h.mu.
func (h *Host) announceOwner(shard string) {
	owner, _ := h.election.Owner(shard)
	zone, _ := rrelection.ParseShardName(shard)
	for _, m := range h.election.Members() {
		if m.Zone == zone && m.Name != h.Self.Name {
			go h.notifyPeer(m.Addr, shard, owner)
		}
	}
}

// notifyPeer sends the owner of a shard to one process, and reports whether the call
// succeeded.
func (h *Host) notifyPeer(addr, shard string, owner rrelection.Owner) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_, err := h.peers.client(addr).Follow(ctx, toWireShard(shard, owner))
	if err != nil {
		level.Warn(h.Logger).Log("msg", "notifying the peer of the owner of the shard failed", "seat", shard, "holder", owner.Name, "peer", addr, "err", err)
	}
	return err == nil
}

func toWireShard(name string, owner rrelection.Owner) *rrwire.Seat {
	return &rrwire.Seat{
		Name: name, Token: owner.FencingToken(), Holder: owner.Name, Addr: owner.Addr, Life: owner.Incarnation,
		Revision: owner.Revision, Step: owner.Epoch,
	}
}

func fromWireShard(s *rrwire.Seat) rrelection.Owner {
	return rrelection.Owner{Name: s.GetHolder(), Addr: s.GetAddr(), Incarnation: s.GetLife(), Revision: s.GetRevision(), Epoch: s.GetStep()}
}
