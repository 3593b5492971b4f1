package rrhost

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrdial"
	"rattanring/io/rrwire"
)

const (
	heartbeatTimeout      = 500 * time.Millisecond // for one call
	remoteHeartbeatRounds = 4                      // rounds between two heartbeats of an owner with free capacity to owners of other zones
	freeCapacityDivisor   = 2                      // an owner has free capacity if more than its minions' capacity divided by this is free
	zonePeerRounds        = 5                      // rounds between two heartbeats to members of the zone
	maxZonePeers          = 3                      // members of the zone that get a heartbeat in such a round
	zonePeerWindow        = 10 * time.Second       // after a failure of the store, members send each other heartbeats for this long; longer than a membership lasts without the store
)

// signal wakes the service that waits for ch. It does nothing if a signal is pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// requestHeartbeats makes sendHeartbeats start a round at once.
func (h *Host) requestHeartbeats() {
	signal(h.heartbeatNow)
}

// requestShardCheck makes checkShards check the shards at once.
func (h *Host) requestShardCheck() {
	signal(h.shardCheckNow)
}

// sendHeartbeats sends heartbeats to owners of shards, for their incarnation and load, and
// to peers of the zone.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(rrelection.HeartbeatInterval)
	defer tick.Stop()
	for round := 0; ; round++ {
		select {
		case <-tick.C:
		case <-h.heartbeatNow:
			sleep(ctx, minBackoff/2) // 25 ms, so that a burst of failed calls causes one round
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, addr := range h.heartbeatTargets(round) {
			go h.sendHeartbeat(ctx, addr)
		}
		if round%zonePeerRounds == 0 {
			for _, addr := range h.zonePeersForHeartbeat() {
				go h.sendHeartbeat(ctx, addr)
			}
		}
		h.mu.Lock()
		h.noticePause()
		h.postLoads()
		h.mu.Unlock()
	}
}

// heartbeatTargets returns the addresses of the owners that get a heartbeat in a round:
// those that this host may have to replace, those that have jobs of this host, those of
// other zones if their loads are needed, and those of this zone while a layout change is
// pending. It marks a previous incarnation of this process as dead if that owns a shard.
func (h *Host) heartbeatTargets(round int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.election.MonitoredOwners()
	remote := h.needsRemoteLoads(round)
	for _, shard := range h.election.Shards() {
		owner, _ := h.election.Owner(shard)
		zone, index := rrelection.ParseShardName(shard)
		local := zone == h.Self.Zone
		if h.remoteJobs[owner.Addr] > 0 || !local && index == 0 && remote || local && h.layoutChangePending {
			list = append(list, owner)
		}
		if owner.Addr == h.Self.Addr && owner.Incarnation != h.Self.Incarnation {
			h.election.MarkDead(time.Now(), h.Self.Addr) // a previous incarnation of this process
		}
	}
	return h.distinctAddrs(list)
}

// distinctAddrs returns the distinct addresses of owners, without that of this process.
func (h *Host) distinctAddrs(list []rrelection.Owner) []string {
	seen := map[string]bool{h.Self.Addr: true, "": true}
	var out []string
	for _, owner := range list {
		if !seen[owner.Addr] {
			seen[owner.Addr] = true
			out = append(out, owner.Addr)
		}
	}
	return out
}

// needsRemoteLoads reports whether a round needs the loads of other zones: the owner of a
// primary shard needs them to forward jobs, that of another shard if its zone may be evacuated,
// and every host if the owner of its zone's primary shard is unavailable, or its zone is evacuated
// and its callers depend on other zones. The caller holds h.mu.
func (h *Host) needsRemoteLoads(round int) bool {
	for shard, ex := range h.executors {
		if _, index := rrelection.ParseShardName(shard); (index == 0 || h.hasEvacuations()) && (round%remoteHeartbeatRounds == 0 || !hasFreeCapacity(ex.Load())) {
			return true
		}
	}
	return h.primaryOwnerUnavailable() || round%remoteHeartbeatRounds == 0 && h.zoneEvacuated(h.Self.Zone)
}

// hasFreeCapacity reports whether no job has to wait and much capacity is free. The owner is
// then unlikely to forward jobs soon.
func hasFreeCapacity(l rrscheduler.Load) bool {
	return l.ExpectedWait == 0 && l.FreeMillicores > l.CapacityMillicores/freeCapacityDivisor
}

// primaryOwnerUnavailable reports whether the primary shard of the zone has no local
// executor and its owner is missing, dead or has not answered for rerouteTimeout. The caller
// holds h.mu.
func (h *Host) primaryOwnerUnavailable() bool {
	_, alive := h.election.Owner(h.Self.Zone)
	return h.executors[h.Self.Zone] == nil && (!alive || h.election.UnansweredFor(time.Now(), h.Self.Zone) > rerouteTimeout)
}

func (h *Host) sendHeartbeat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	ping := &rrwire.Ping{Name: h.Self.Name, Addr: h.Self.Addr, Home: h.primaryOwner(), Sent: h.clocks.stamp(addr, 0), Evacuations: h.evacuationsRevision()}
	if snapshot := h.config.Load(); snapshot != nil {
		ping.Version = snapshot.revision
	}
	sentAt := time.Now()
	h.mu.Lock()
	h.election.HeartbeatSent(sentAt, addr)
	h.mu.Unlock()
	pong, err := h.peers.client(addr).Pulse(ctx, ping)
	now := time.Now()
	if err != nil {
		h.heartbeatFailed(now, addr, err)
		return
	}
	h.clocks.observe(addr, pong.GetLife(), pong.GetClock())
	h.heartbeatAnswered(now, sentAt, addr, pong)
	if pong.GetVersion() > ping.Version {
		h.fetchConfig(ctx, addr, pong.GetVersion())
	}
	h.fetchEvacuations(ctx, addr, pong.GetEvacuations())
}

func (h *Host) heartbeatFailed(now time.Time, addr string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rrdial.IsConnRefused(err) {
		h.election.MarkDead(now, addr)
		h.requestShardCheck()
	}
	for _, shard := range h.election.Shards() {
		if owner, _ := h.election.Owner(shard); owner.Addr == addr {
			level.Warn(h.Logger).Log("msg", "no pulse", "seat", shard, "holder", owner.Name, "silent", h.election.UnansweredFor(now, shard), "err", err)
		}
	}
}

func (h *Host) heartbeatAnswered(now, sentAt time.Time, addr string, pong *rrwire.Pong) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.election.HeartbeatAnswered(now, sentAt, addr, pong.GetLife())
	if !pong.GetLeaving() {
		h.election.ConfirmMember(now, addr, pong.GetLife())
	}
	if owner, alive := h.election.Owner(h.Self.Zone); owner.Addr == addr && !alive {
		h.requestShardCheck() // another incarnation answers
	}
	h.updateOwner(pong.GetHome().GetName(), fromWireShard(pong.GetHome()))
	h.noteRegistrationsVersion(sentAt, addr, pong)
	h.updateLoads(now, sentAt, addr, pong)
	if h.primaryOwnerUnavailable() {
		h.notifyRoutesChanged() // jobs may be waiting for the load of another zone
	}
}

// updateLoads records the loads that a process reports for its shards. A shard that the
// process owns but does not name has no executor. The heartbeat was sent at sentAt. The caller holds h.mu.
func (h *Host) updateLoads(now, sentAt time.Time, addr string, pong *rrwire.Pong) {
	reported := make(map[string]bool)
	for _, s := range pong.GetSeats() {
		reported[s.GetName()] = true
		h.loads[s.GetName()] = shardLoad{
			load:            rrscheduler.Load{ExpectedWait: microseconds(s.GetWait()), FreeMillicores: s.GetFree(), CapacityMillicores: s.GetCapacity()},
			waitingJobs:     int(s.GetWaiting()),
			receivedAt:      now,
			requestedAt:     sentAt,
			hasExecutor:     true,
			incarnation:     pong.GetLife(),
			cpuUtilization:  float64(s.GetBusy()) / utilizationScale,
			layoutRevision:  s.GetLayout(),
			foreignMinions:  toSet(s.GetOutside()),
			unlistedMinions: fromWireRegistrations(s.GetUnlisted(), now),
		}
		h.noteCapacity(now, s.GetName(), h.loads[s.GetName()].load)
		h.forgetRemoved(s.GetName(), s.GetRead())
	}
	for _, shard := range h.election.Shards() {
		if owner, _ := h.election.Owner(shard); !reported[shard] && owner.Addr == addr && owner.Incarnation == pong.GetLife() {
			h.loads[shard] = shardLoad{receivedAt: now, incarnation: pong.GetLife()}
		}
	}
	if h.layoutChangePending {
		h.assignMinions()
	}
}

// answerHeartbeat returns the answer to a heartbeat of another host.
func (h *Host) answerHeartbeat(ping *rrwire.Ping) *rrwire.Pong {
	age, _ := messageAge(ping.GetSent()) // zero for the first heartbeat of a process
	out := &rrwire.Pong{Life: h.Self.Incarnation, Leaving: h.draining.Load(), Clock: clockReading()}
	if snapshot := h.config.Load(); snapshot != nil {
		out.Version = snapshot.revision
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out.Evacuations = h.evacuations.state.Revision()
	if ping.GetEvacuations() > out.Evacuations && h.hasEvacuations() {
		go h.fetchEvacuations(context.Background(), ping.GetAddr(), ping.GetEvacuations())
	}
	h.fetchMissingState(ping.GetAddr())
	h.updateOwner(ping.GetHome().GetName(), fromWireShard(ping.GetHome()))
	if owner, _ := h.election.Owner(h.Self.Zone); owner.Revision != 0 {
		out.Home = toWireShard(h.Self.Zone, owner)
	}
	h.refreshCallerProcess(ping.GetName(), age)
	sentAt := time.Now().Add(-age)
	h.lastHeartbeatFrom[ping.GetAddr()] = sentAt
	h.election.HeartbeatReceived(sentAt, ping.GetAddr())
	if h.election.IsFormerMember(ping.GetName(), ping.GetAddr()) {
		h.probeFormerMember(ping.GetAddr())
	}
	if h.executors[h.Self.Zone] != nil {
		out.Reports = h.registrationsRevision
	} else if owner, _ := h.election.Owner(h.Self.Zone); h.registrationCopy.version.incarnation == owner.Incarnation {
		out.Reports = h.registrationCopy.version.revision // of the copy of that owner's, for the owner
	}
	for name, ex := range h.executors {
		l := ex.Load()
		zone, index := rrelection.ParseShardName(name)
		seat := &rrwire.Seat{
			Name: name, Token: ex.FencingToken, Wait: l.ExpectedWait.Microseconds(),
			Free: l.FreeMillicores, Capacity: l.CapacityMillicores, Waiting: uint32(ex.WaitingJobs()),
			Busy: uint32(h.cpuUtilization * utilizationScale), Layout: h.election.Layout(zone).Revision, Outside: h.foreignMinions(name),
		}
		if index > 0 {
			seat.Read, seat.Unlisted = h.registrationsRead, toWireRegistrations(h.unlistedMinions(name, zone), time.Now())
		}
		out.Seats = append(out.Seats, seat)
	}
	return out
}

// probeFormerMember sends a heartbeat to a former member, whose answer makes it a member again unless it drains. It
// sends at most one in HeartbeatInterval: two draining processes that are former members to each other would
// otherwise answer each heartbeat with another one without end. The caller holds h.mu.
func (h *Host) probeFormerMember(addr string) {
	now := time.Now()
	if now.Sub(h.lastProbe[addr]) < rrelection.HeartbeatInterval {
		return
	}
	maps.DeleteFunc(h.lastProbe, func(_ string, at time.Time) bool { return now.Sub(at) > rrelection.HeartbeatInterval })
	h.lastProbe[addr] = now
	go h.sendHeartbeat(context.Background(), addr)
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

const loadTTL = time.Second // older loads are ignored

// postLoads posts the loads of all other shards to each local executor. Shards of evacuated zones
// have no capacity, whatever their owners last reported. Those of the executor's own evacuated zone are
// left out: a scheduler that knows of no other shard yet must not refuse jobs for lack of room. The
// caller holds h.mu.
func (h *Host) postLoads() {
	now := time.Now()
	for shard, ex := range h.executors {
		others := make(map[string]rrscheduler.Load)
		for name, l := range h.loads {
			if name != shard && h.executors[name] == nil && now.Sub(l.receivedAt) < loadTTL {
				others[name] = l.load
			}
		}
		for name, other := range h.executors {
			if name != shard {
				others[name] = other.Load()
			}
		}
		zone, _ := rrelection.ParseShardName(shard)
		for name := range others {
			switch other, _ := rrelection.ParseShardName(name); {
			case h.zoneEvacuated(other) && other == zone:
				delete(others, name)
			case h.zoneEvacuated(other):
				others[name] = rrscheduler.Load{}
			}
		}
		ex.Post(&rrscheduler.ShardLoadsReported{ByShard: others, PeerShards: h.peerShards(shard)})
	}
}
