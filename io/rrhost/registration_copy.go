package rrhost

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/core/rrwarmup"
	"rattanring/io/rrwire"
)

const (
	copyInterval = time.Second     // between two checks of the copied registrations
	maxCopyPeers = 3               // processes that one search asks for registrations that the store can't give
	copyFreshTTL = time.Second     // after its confirmation, a copy serves new tasks for this long; with the age of what its source knows, less than the 2 s for which the platform permits starts on a leaving minion
	storeAwayTTL = 2 * time.Second // after a failed call to the store, it counts as unreachable for this long
)

// registrationCopy holds the registrations of the minions of this process's zone, as
// another process sent them. With them this process can own the primary shard while the
// store is unreachable. The zero value holds none.
type registrationCopy struct {
	minions     []rrscheduler.Minion
	version     registrationsVersion
	confirmedAt time.Time // when the owner of the zone's primary shard was last known to have the same ones
}

// registrationsVersion identifies a state of the registrations that an owner has.
type registrationsVersion struct {
	incarnation int64 // of the owner
	revision    int64 // zero if the owner has none
}

// maintainRegistrationCopy copies the registrations of the minions of this process's zone
// whenever they change.
func (h *Host) maintainRegistrationCopy(ctx context.Context) error {
	for sleep(ctx, copyInterval) {
		if h.lacksRegistrations() {
			h.findRegistrations(ctx)
			continue
		}
		h.copyRegistrations(ctx)
	}
	return ctx.Err()
}

// copyRegistrations fetches the zone's registrations from the owner of its primary shard
// unless the copy is up to date.
func (h *Host) copyRegistrations(ctx context.Context) {
	h.mu.Lock()
	owner, _ := h.election.Owner(h.Self.Zone)
	latest := h.ownerRegistrationsVersion
	skip := latest.revision == 0 || h.registrationCopy.version == latest || h.executors[h.Self.Zone] != nil
	h.mu.Unlock()
	if skip || owner.Incarnation != latest.incarnation || owner.Addr == h.Self.Addr {
		return
	}
	requestedAt := time.Now()
	list, err := h.peers.registrations(ctx, owner.Addr, h.Self.Zone)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "fetching minion registrations from the owner of the primary shard failed", "peer", owner.Addr, "err", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registrationCopy = registrationCopy{fromWireRegistrations(list.GetMinions(), time.Now()), registrationsVersion{latest.incarnation, list.GetReports()}, requestedAt}
}

// noteRegistrationsVersion records which registrations the owner of the primary shard of
// this process's zone has, from its answer to a heartbeat that was sent at sentAt. The caller holds h.mu.
func (h *Host) noteRegistrationsVersion(sentAt time.Time, addr string, pong *rrwire.Pong) {
	if owner, _ := h.election.Owner(h.Self.Zone); owner.Addr != addr {
		return
	}
	h.ownerRegistrationsVersion = registrationsVersion{pong.GetLife(), pong.GetReports()}
	if h.registrationCopy.version == h.ownerRegistrationsVersion {
		h.registrationCopy.confirmedAt = sentAt
	}
}

// lacksRegistrations reports whether this process owns the primary shard of its zone but
// knows none of the zone's minions. This happens, for example, if all processes of the zone
// end while the store is unreachable.
func (h *Host) lacksRegistrations() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.minionsListed || h.executors[h.Self.Zone] == nil {
		return false
	}
	for _, m := range h.registrations {
		if m.Zone == h.Self.Zone {
			return false
		}
	}
	return true
}

// findRegistrations asks other processes for the registrations of the zone's minions. Each
// owner of a shard has those of all zones.
func (h *Host) findRegistrations(ctx context.Context) {
	h.mu.Lock()
	peers := h.election.PeerAddrs()
	h.mu.Unlock()
	peers = append(peers, h.seeds()...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), maxCopyPeers)] {
		requestedAt := time.Now()
		list, err := h.peers.registrations(ctx, addr, h.Self.Zone)
		if err != nil {
			level.Warn(h.Logger).Log("msg", "fetching minion registrations from the peer failed", "peer", addr, "err", err)
			continue
		}
		if len(list.GetMinions()) == 0 {
			continue
		}
		level.Info(h.Logger).Log("msg", "reports found", "peer", addr, "minions", len(list.GetMinions()))
		h.mu.Lock()
		h.registrationCopy = registrationCopy{minions: fromWireRegistrations(list.GetMinions(), time.Now()), confirmedAt: requestedAt}
		h.registrationsRevision++ // the other members of the zone then copy the registrations
		h.useRegistrationCopy(h.Self.Zone)
		h.assignMinions()
		h.mu.Unlock()
		return
	}
}

// useRegistrationCopy uses the copied registrations until the store's are read. The caller
// holds h.mu.
func (h *Host) useRegistrationCopy(shard string) {
	if zone, _ := rrelection.ParseShardName(shard); h.minionsListed || zone != h.Self.Zone || time.Since(h.registrationCopy.confirmedAt) > registrationCopyTTL {
		return
	}
	for _, m := range h.registrationCopy.minions {
		if _, known := h.registrations[m.ID]; !known {
			h.registrations[m.ID] = m
		}
	}
}

// reviewRegistrationCopy suspends the copied minions while the copy is too old for new tasks and the
// store, which has newer registrations, is reachable: a minion may have reported since that it leaves.
// Their runs go on. The next list of the store ends the suspension.
func (h *Host) reviewRegistrationCopy(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	suspend := !h.minionsListed && len(h.executors) > 0 && now.Sub(h.registrationCopy.confirmedAt) > copyFreshTTL && now.Sub(h.lastStoreFailure) > storeAwayTTL
	if suspend == h.copySuspended {
		return
	}
	h.copySuspended = suspend
	if h.minionsListed {
		return // the list has posted all registrations
	}
	level.Info(h.Logger).Log("msg", "copied registrations", "usable", !suspend, "age", now.Sub(h.registrationCopy.confirmedAt), "minions", len(h.registrations))
	for _, m := range h.registrations {
		m.Draining = m.Draining || suspend
		h.postRegistration(m)
	}
}

// registrations fetches the registrations of a zone's minions from a process.
func (p *peerClients) registrations(ctx context.Context, addr, zone string) (*rrwire.ReportList, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return p.client(addr).Reports(ctx, &rrwire.Zone{Name: zone})
}

// Reports implements rrwire.Keeper. It returns the known registrations of a zone's minions, and the further
// minions of the zone that local executors use.
func (s *peerServer) Reports(_ context.Context, z *rrwire.Zone) (*rrwire.ReportList, error) {
	h := s.h
	h.mu.Lock()
	defer h.mu.Unlock()
	known := slices.DeleteFunc(slices.Clone(h.registrationCopy.minions), func(m rrscheduler.Minion) bool { return m.Zone != z.GetName() })
	if len(h.executors) > 0 {
		known = h.usedMinions(z.GetName())
	}
	return &rrwire.ReportList{Minions: toWireRegistrations(known, time.Now()), Reports: h.registrationsRevision}, nil
}

// toWireRegistrations converts registrations for a message that is sent now.
func toWireRegistrations(minions []rrscheduler.Minion, now time.Time) []*rrwire.Endpoint {
	var out []*rrwire.Endpoint
	for _, m := range minions {
		out = append(out, &rrwire.Endpoint{
			Id: m.ID, Born: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Service: m.Service, Rack: m.Rack, Labels: m.Labels,
			Cores: m.Capacity.MilliCores, Memory: m.Capacity.MemoryBytes, Accels: m.Capacity.Accelerators, Leaving: m.Draining,
			Cold: coldTimeLeft(now, &m).Microseconds(),
		})
	}
	return out
}

// fromWireRegistrations converts registrations of a message that is read now.
func fromWireRegistrations(registrations []*rrwire.Endpoint, now time.Time) []rrscheduler.Minion {
	var out []rrscheduler.Minion
	for _, r := range registrations {
		m := rrscheduler.Minion{
			ID: r.GetId(), Incarnation: r.GetBorn(), Addr: r.GetAddr(), Zone: r.GetZone(), Service: r.GetService(),
			Rack: r.GetRack(), Labels: r.GetLabels(), Draining: r.GetLeaving(),
			Capacity: rrtask.Resources{MilliCores: r.GetCores(), MemoryBytes: r.GetMemory(), Accelerators: r.GetAccels()},
		}
		if cold := r.GetCold(); cold > 0 && cold <= rrwarmup.MaxRemaining.Microseconds() {
			m.ColdUntil = now.Add(microseconds(cold))
		}
		out = append(out, m)
	}
	return out
}
