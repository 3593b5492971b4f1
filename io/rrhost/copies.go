package rrhost

import (
	"context"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

const (
	copyPause = time.Second // between two copies of the reports of minions
	copyPeers = 3           // processes that a keeper asks at once for reports that the store can't give
)

// copies are the reports of the own zone's minions as another process told them, with which
// this process can keep the zone while the store is away. The zero value is none.
type copies struct {
	minions []rrscheduler.Minion
	mark    mark
	at      time.Time // when they were last known to be as the holder has them
}

// mark tells states of a holder's reports apart.
type mark struct {
	life    int64 // of the holder
	reports int64 // zero when it has none
}

// keepCopies copies the reports of the own zone's minions whenever they have changed.
func (h *Host) keepCopies(ctx context.Context) error {
	for sleep(ctx, copyPause) {
		if h.lacksReports() {
			h.findReports(ctx)
			continue
		}
		h.copyReports(ctx)
	}
	return ctx.Err()
}

// copyReports asks the holder of the own zone for the reports of its minions unless they are
// as they were copied.
func (h *Host) copyReports(ctx context.Context) {
	h.mu.Lock()
	holder, _ := h.council.Owner(h.Self.Zone)
	told := h.told
	old := told.reports == 0 || h.copied.mark == told || h.keepers[h.Self.Zone] != nil
	h.mu.Unlock()
	if old || holder.Incarnation != told.life || holder.Addr == h.Self.Addr {
		return
	}
	list, err := h.peers.reports(ctx, holder.Addr, h.Self.Zone)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "reports not copied", "peer", holder.Addr, "err", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copied = copies{fromReports(list.GetMinions()), mark{told.life, list.GetReports()}, time.Now()}
}

// tell notes what the holder of the own zone says of its reports. The caller holds h.mu.
func (h *Host) tell(now time.Time, addr string, pong *rrwire.Pong) {
	if holder, _ := h.council.Owner(h.Self.Zone); holder.Addr != addr {
		return
	}
	h.told = mark{pong.GetLife(), pong.GetReports()}
	if h.copied.mark == h.told {
		h.copied.at = now
	}
}

// lacksReports reports whether this process keeps its zone and knows none of its minions,
// as after the end of all processes of a zone while the store is away.
func (h *Host) lacksReports() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed || h.keepers[h.Self.Zone] == nil {
		return false
	}
	for _, m := range h.minions {
		if m.Zone == h.Self.Zone {
			return false
		}
	}
	return true
}

// findReports asks other processes for the reports of the own zone's minions. Each keeper
// has those of all zones.
func (h *Host) findReports(ctx context.Context) {
	h.mu.Lock()
	peers := h.council.PeerAddrs()
	h.mu.Unlock()
	peers = append(peers, h.Seeds...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), copyPeers)] {
		list, err := h.peers.reports(ctx, addr, h.Self.Zone)
		if err != nil {
			level.Warn(h.Logger).Log("msg", "reports not found", "peer", addr, "err", err)
			continue
		}
		if len(list.GetMinions()) == 0 {
			continue
		}
		level.Info(h.Logger).Log("msg", "reports found", "peer", addr, "minions", len(list.GetMinions()))
		h.mu.Lock()
		h.copied = copies{minions: fromReports(list.GetMinions()), at: time.Now()}
		h.reports++ // for the other members of the zone
		h.useCopies(h.Self.Zone)
		h.divide()
		h.mu.Unlock()
		return
	}
}

// useCopies takes the copied reports for the store's, until that is read. The caller holds
// h.mu.
func (h *Host) useCopies(seat string) {
	if zone, _ := rrelection.ParseShardName(seat); h.listed || zone != h.Self.Zone || time.Since(h.copied.at) > copyTerm {
		return
	}
	for _, m := range h.copied.minions {
		if _, known := h.minions[m.ID]; !known {
			h.minions[m.ID] = m
		}
	}
}

// reports asks a process for the reports of a zone's minions.
func (p *peers) reports(ctx context.Context, addr, zone string) (*rrwire.ReportList, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	return p.at(addr).Reports(ctx, &rrwire.Zone{Name: zone})
}

// Reports implements rrwire.Keeper.
func (s *server) Reports(_ context.Context, z *rrwire.Zone) (*rrwire.ReportList, error) {
	h := s.h
	h.mu.Lock()
	defer h.mu.Unlock()
	known := slices.Values(h.copied.minions)
	if len(h.keepers) > 0 {
		known = maps.Values(h.minions)
	}
	return &rrwire.ReportList{Minions: toReports(known, z.GetName()), Reports: h.reports}, nil
}

// toReports returns the reports of a zone's minions.
func toReports(minions iter.Seq[rrscheduler.Minion], zone string) []*rrwire.Endpoint {
	var out []*rrwire.Endpoint
	for m := range minions {
		if m.Zone != zone {
			continue
		}
		out = append(out, &rrwire.Endpoint{
			Id: m.ID, Born: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Service: m.Service, Rack: m.Rack, Labels: m.Labels,
			Cores: m.Capacity.MilliCores, Memory: m.Capacity.MemoryBytes, Accels: m.Capacity.Accelerators, Leaving: m.Draining,
		})
	}
	return out
}

func fromReports(reports []*rrwire.Endpoint) []rrscheduler.Minion {
	var out []rrscheduler.Minion
	for _, r := range reports {
		out = append(out, rrscheduler.Minion{
			ID: r.GetId(), Incarnation: r.GetBorn(), Addr: r.GetAddr(), Zone: r.GetZone(), Service: r.GetService(),
			Rack: r.GetRack(), Labels: r.GetLabels(), Draining: r.GetLeaving(),
			Capacity: rrtask.Resources{MilliCores: r.GetCores(), MemoryBytes: r.GetMemory(), Accelerators: r.GetAccels()},
		})
	}
	return out
}
