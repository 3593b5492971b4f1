package rrhost

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrdial"
	"rattanring/io/rrwire"
)

const (
	pulseLimit    = 500 * time.Millisecond // for one call
	farEvery      = 4                      // rounds of pulses between two to holders of other zones, for a keeper with room
	roomShare     = 2                      // a keeper that has more than this part of its cores free has room
	neighborEvery = 5                      // rounds of pulses between two to members of the zone
	neighborsMost = 3                      // members of the zone that get one
	neighborTerm  = 10 * time.Second       // for so long after the store was away members call each other; longer than a membership lasts without it
)

// signal wakes the duty that waits for ch, if it is not to wake already.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// ping asks for a pulse at once.
func (h *Host) ping() {
	signal(h.kick)
}

// lookAtSeats asks for a look at the seats at once.
func (h *Host) lookAtSeats() {
	signal(h.look)
}

// pulse calls the holders of seats, for their life and their load.
func (h *Host) pulse(ctx context.Context) error {
	tick := time.NewTicker(rrelection.HeartbeatInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-h.kick:
			sleep(ctx, retryLeast/2) // a burst of broken calls is one question
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, addr := range h.holders(n) {
			go h.pulseOne(ctx, addr)
		}
		if n%neighborEvery == 0 {
			for _, addr := range h.neighbors() {
				go h.pulseOne(ctx, addr)
			}
		}
		h.tellLoads()
	}
}

// holders returns the addresses of the holders to call in a round: those that this host may
// have to follow, those that have jobs of it, and those of other zones if their loads are
// of use.
func (h *Host) holders(round int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.council.MonitoredOwners()
	far := h.wantsFar(round)
	for _, seat := range h.council.Shards() {
		holder, _ := h.council.Owner(seat)
		zone, part := rrelection.ParseShardName(seat)
		home := zone == h.Self.Zone
		if h.using[holder.Addr] > 0 || !home && part == 0 && far || home && h.moving {
			list = append(list, holder)
		}
		if holder.Addr == h.Self.Addr && holder.Incarnation != h.Self.Incarnation {
			h.council.MarkDead(time.Now(), h.Self.Addr) // an earlier life of this process
		}
	}
	return h.addresses(list)
}

// addresses returns the distinct addresses of holders besides this process.
func (h *Host) addresses(list []rrelection.Owner) []string {
	seen := map[string]bool{h.Self.Addr: true, "": true}
	var out []string
	for _, holder := range list {
		if !seen[holder.Addr] {
			seen[holder.Addr] = true
			out = append(out, holder.Addr)
		}
	}
	return out
}

// wantsFar reports whether the loads of other zones are of use in a round: to a keeper of a
// first seat, which forwards jobs, and to all when the keeper of their zone does not
// answer. The caller holds h.mu.
func (h *Host) wantsFar(round int) bool {
	for seat, k := range h.keepers {
		if _, part := rrelection.ParseShardName(seat); part == 0 && (round%farEvery == 0 || !hasRoom(k.Load())) {
			return true
		}
	}
	return h.orphaned()
}

// hasRoom reports whether a keeper is not about to forward jobs.
func hasRoom(l rrscheduler.Load) bool {
	return l.ExpectedWait == 0 && l.FreeMillicores > l.CapacityMillicores/roomShare
}

// orphaned reports whether the keeper of the host's zone does not answer. The caller holds
// h.mu.
func (h *Host) orphaned() bool {
	_, alive := h.council.Owner(h.Self.Zone)
	return h.keepers[h.Self.Zone] == nil && (!alive || h.council.UnansweredFor(time.Now(), h.Self.Zone) > elsewhere)
}

func (h *Host) pulseOne(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pulseLimit)
	defer cancel()
	ping := &rrwire.Ping{Name: h.Self.Name, Addr: h.Self.Addr, Home: h.home()}
	if p := h.table.Load(); p != nil {
		ping.Version = p.revision
	}
	h.mu.Lock()
	h.council.HeartbeatSent(time.Now(), addr)
	h.mu.Unlock()
	pong, err := h.peers.at(addr).Pulse(ctx, ping)
	now := time.Now()
	if err != nil {
		h.pulseFailed(now, addr, err)
		return
	}
	h.pulsed(now, addr, pong)
	if pong.GetVersion() > ping.Version {
		h.learnTable(ctx, addr, pong.GetVersion())
	}
}

func (h *Host) pulseFailed(now time.Time, addr string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rrdial.IsConnRefused(err) {
		h.council.MarkDead(now, addr)
		h.lookAtSeats()
	}
	for _, seat := range h.council.Shards() {
		if holder, _ := h.council.Owner(seat); holder.Addr == addr {
			level.Warn(h.Logger).Log("msg", "no pulse", "seat", seat, "holder", holder.Name, "silent", h.council.UnansweredFor(now, seat), "err", err)
		}
	}
}

func (h *Host) pulsed(now time.Time, addr string, pong *rrwire.Pong) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.council.HeartbeatAnswered(now, addr, pong.GetLife())
	if !pong.GetLeaving() {
		h.council.ConfirmMember(now, addr, pong.GetLife())
	}
	if holder, alive := h.council.Owner(h.Self.Zone); holder.Addr == addr && !alive {
		h.lookAtSeats() // another life answers
	}
	h.hearHolder(pong.GetHome().GetName(), fromSeat(pong.GetHome()))
	h.tell(now, addr, pong)
	h.takeLoads(now, addr, pong)
	if h.orphaned() {
		h.noteChange() // jobs may wait for the load of another zone
	}
}

// takeLoads notes what a process says of its seats. One that it does not name it does not
// keep. The caller holds h.mu.
func (h *Host) takeLoads(now time.Time, addr string, pong *rrwire.Pong) {
	named := make(map[string]bool)
	for _, s := range pong.GetSeats() {
		named[s.GetName()] = true
		h.loads[s.GetName()] = seatLoad{
			load:    rrscheduler.Load{ExpectedWait: micros(s.GetWait()), FreeMillicores: s.GetFree(), CapacityMillicores: s.GetCapacity()},
			waiting: int(s.GetWaiting()),
			at:      now,
			kept:    true,
			life:    pong.GetLife(),
			busy:    float64(s.GetBusy()) / permille,
			layout:  s.GetLayout(),
			outside: set(s.GetOutside()),
		}
	}
	for _, seat := range h.council.Shards() {
		if holder, _ := h.council.Owner(seat); !named[seat] && holder.Addr == addr && holder.Incarnation == pong.GetLife() {
			h.loads[seat] = seatLoad{at: now, life: pong.GetLife()}
		}
	}
	if h.moving {
		h.divide()
	}
}

// pong answers a ping.
func (h *Host) pong(p *rrwire.Ping) *rrwire.Pong {
	out := &rrwire.Pong{Life: h.Self.Incarnation, Leaving: h.leaving.Load()}
	if t := h.table.Load(); t != nil {
		out.Version = t.revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.askIfNew(p.GetAddr())
	h.hearHolder(p.GetHome().GetName(), fromSeat(p.GetHome()))
	if holder, _ := h.council.Owner(h.Self.Zone); holder.Revision != 0 {
		out.Home = toSeat(h.Self.Zone, holder)
	}
	h.heardCaller(p.GetName())
	h.pinged[p.GetAddr()] = time.Now()
	if h.keepers[h.Self.Zone] != nil {
		out.Reports = h.reports
	}
	for name, k := range h.keepers {
		l := k.Load()
		zone, _ := rrelection.ParseShardName(name)
		out.Seats = append(out.Seats, &rrwire.Seat{
			Name: name, Token: k.FencingToken, Wait: l.ExpectedWait.Microseconds(),
			Free: l.FreeMillicores, Capacity: l.CapacityMillicores, Waiting: uint32(k.WaitingJobs()),
			Busy: uint32(h.busy * permille), Layout: h.council.Layout(zone).Revision, Outside: h.outside(name),
		})
	}
	return out
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

const loadAge = time.Second // loads that are older say nothing

// tellLoads tells the own keepers how busy the others are.
func (h *Host) tellLoads() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for seat, k := range h.keepers {
		others := make(map[string]rrscheduler.Load)
		for name, l := range h.loads {
			if name != seat && h.keepers[name] == nil && now.Sub(l.at) < loadAge {
				others[name] = l.load
			}
		}
		for name, o := range h.keepers {
			if name != seat {
				others[name] = o.Load()
			}
		}
		k.Post(&rrscheduler.ShardLoadsReported{ByShard: others, PeerShards: h.siblings(seat)})
	}
}
