package rrhost

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/core/rrevacuation"
	"rattanring/core/rrscheduler"
	"rattanring/io/rrclock"
	"rattanring/io/rrstore"
	"rattanring/io/rrwire"
)

const (
	startsDivisor   = 4                       // started jobs may start tasks in an evacuated zone for EvacuateWithin divided by this; the rest covers the delay of the watch, a caller's wait and a start in transit
	latestStarts    = 0.6                     // no such start later than this fraction of EvacuateWithin after the store last answered without the evacuation; below 1 for a start in transit and for changes that a watch misses for a second
	maxProcessPause = time.Second             // after a longer pause of this process, what it knows of evacuations is in doubt; shorter ones are part of the delay of the watch
	maxForwards     = 3                       // of one submission
	evacuatedRetry  = 1000 * time.Millisecond // for the caller, after a refusal because the job was forwarded too often
	isolationTime   = 2 * time.Second         // a host of an evacuated zone that has heard of no capacity elsewhere for this long is not ready; two heartbeats may be lost
)

// Sources of what this process knows of evacuations, for the log.
const (
	sourceWatch = "watch"
	sourceList  = "list"
	sourcePeer  = "peer"
)

// evacuations is what this process knows of the evacuated zones. The zero value knows nothing.
type evacuations struct {
	state       rrevacuation.State
	startsUntil map[string]time.Time // until when started jobs may start tasks in an evacuated zone; no entry for none
	listedAt    time.Time            // when the last list was requested
	heardAt     time.Time            // when the last confirmation by the store or a peer was requested
	storeAt     time.Time            // the same of the store alone
	doubtedAt   time.Time            // when this process last went on after a pause: a request may have been missed
	lastRound   time.Time            // of heartbeats …
	lastBoot    time.Duration        // … and the time since the boot then, which also counts a suspension
	reachedAt   time.Time            // when a zone in use last reported capacity, or when this host saw its zone being evacuated
	fetching    atomic.Bool          // a fetch from a peer is running
}

// inDoubt reports whether this process was paused since it last heard which zones are evacuated.
func (e *evacuations) inDoubt() bool {
	return e.doubtedAt.After(e.heardAt)
}

// told reports whether it is known which zones are evacuated.
func (e *evacuations) told() bool {
	return e.state.Known() && !e.inDoubt()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noticePause notes a pause of this process since the last call. The caller holds h.mu.
func (h *Host) noticePause() {
	e := &h.evacuations
	now, boot := time.Now(), rrclock.SinceBoot()
	if !e.lastRound.IsZero() && max(now.Sub(e.lastRound), boot-e.lastBoot) > maxProcessPause {
		e.doubtedAt = now
	}
	e.lastRound, e.lastBoot = now, boot
}

// hasEvacuations reports whether operators of this deployment evacuate zones.
func (h *Host) hasEvacuations() bool {
	return h.EvacuateWithin > 0
}

// zoneEvacuated reports whether a zone is known to be evacuated. The caller holds h.mu.
func (h *Host) zoneEvacuated(zone string) bool {
	return h.evacuations.state.Evacuated(zone)
}

// shardEvacuated reports whether the zone of a shard is known to be evacuated. The caller holds h.mu.
func (h *Host) shardEvacuated(shard string) bool {
	zone, _ := rrelection.ParseShardName(shard)
	return h.zoneEvacuated(zone)
}

// isolated reports whether this host can serve no job: its zone is evacuated, and no zone that is in use is in
// reach. The load balancer then directs callers to the hosts of other zones. With all zones evacuated no host can
// serve a job, and each stays ready to say so. The caller holds h.mu.
func (h *Host) isolated(now time.Time) bool {
	if !h.zoneEvacuated(h.Self.Zone) || now.Sub(h.evacuations.reachedAt) < isolationTime {
		return false
	}
	return slices.ContainsFunc(h.Zones, func(zone string) bool { return !h.zoneEvacuated(zone) })
}

// noteCapacity records that a shard reported capacity. The caller holds h.mu.
func (h *Host) noteCapacity(now time.Time, shard string, load rrscheduler.Load) {
	if load.CapacityMillicores == 0 || h.shardEvacuated(shard) {
		return
	}
	wasIsolated := h.isolated(now)
	h.evacuations.reachedAt = now
	if wasIsolated {
		h.postLoads() // callers may come back at once
	}
}

// watchOperatorItems applies changes of the configuration and of the evacuated zones in the store.
func (h *Host) watchOperatorItems(ctx context.Context) error {
	return h.watchPrefix(ctx, "config", h.Keys.OperatorPrefix, configWatchTimeout, func(complete bool, events []rrstore.Event, revision int64, requestedAt time.Time) {
		h.applyOperatorItems("watch", complete, events, revision, requestedAt)
	}, 0)
}

// applyOperatorItems applies the list of the operators' items or its changes up to a revision of the
// store. Items with other keys are ignored. reader names the caller in the log.
func (h *Host) applyOperatorItems(reader string, complete bool, events []rrstore.Event, revision int64, requestedAt time.Time) {
	evacuated := make(map[string]int64)
	var changes []rrevacuation.Change
	for _, e := range events {
		if e.Item.Key == h.Keys.ConfigKey && !e.Deleted {
			h.applyConfig(e.Item.Value, e.Item.Mod, reader, requestedAt)
			continue
		}
		zone, ok := strings.CutPrefix(e.Item.Key, h.Keys.EvacuationPrefix)
		if !ok || zone == "" {
			continue
		}
		evacuated[zone] = e.Item.Mod
		c := rrevacuation.Change{Zone: zone, Evacuated: !e.Deleted, Revision: e.Item.Mod}
		if c.Revision == 0 {
			c.Revision = revision // of an item that can't be read
		}
		changes = append(changes, c)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noticePause()
	told, since := h.evacuations.told(), h.evacuations.storeAt
	h.evacuations.heardAt = later(h.evacuations.heardAt, requestedAt)
	h.evacuations.storeAt = later(h.evacuations.storeAt, requestedAt)
	if complete {
		h.evacuations.listedAt = requestedAt
		h.evacuationsChanged(h.evacuations.state.ApplyList(evacuated, revision), told, sourceList, time.Time{})
		return
	}
	if h.evacuations.doubtedAt.After(since) {
		since = time.Time{} // the clock may have stood still
	}
	h.evacuationsChanged(h.evacuations.state.ApplyChanges(changes), told, sourceWatch, since)
}

// evacuationsChanged logs changes and tells the executors of them. told is whether this process knew
// the evacuated zones before. The changes were made after since; zero if that is not known. The caller
// holds h.mu.
func (h *Host) evacuationsChanged(changes []rrevacuation.Change, told bool, source string, since time.Time) {
	now := time.Now()
	e := &h.evacuations
	for _, c := range changes {
		if e.startsUntil == nil {
			e.startsUntil = make(map[string]time.Time)
		}
		delete(e.startsUntil, c.Zone)
		if !c.Evacuated {
			level.Info(h.Logger).Log("msg", "zone back in use", "zone", c.Zone, "revision", c.Revision, "from", source)
			continue
		}
		if told && c.Zone == h.Self.Zone {
			e.reachedAt = now // a process that has just started is ready once it has heard of capacity elsewhere
		}
		age := "unknown"
		if !since.IsZero() {
			e.startsUntil[c.Zone] = h.lastStartInZone(now, since)
			age = "up to " + now.Sub(since).Round(time.Millisecond).String()
		}
		level.Info(h.Logger).Log("msg", "zone evacuated", "zone", c.Zone, "revision", c.Revision, "from", source, "age", age)
	}
	if len(changes) == 0 && (told || !e.told()) {
		return
	}
	h.postLoads() // first, so that nothing is forwarded to a zone that is evacuated too
	for shard := range h.executors {
		h.postEvacuations(shard)
	}
}

// lastStartInZone returns until when started jobs may start tasks in a zone whose evacuation a watch shows
// now, and which the store did not know at since. A watch that goes on after a pause of this process or
// of the store shows changes that are older than its call.
func (h *Host) lastStartInZone(now, since time.Time) time.Time {
	until, latest := now.Add(h.EvacuateWithin/startsDivisor), since.Add(time.Duration(latestStarts*float64(h.EvacuateWithin)))
	if latest.Before(until) {
		return latest
	}
	return until
}

// postEvacuations tells the executor of a shard which zones are evacuated, if that is known. If it is
// in doubt, only an evacuation of the shard's own zone is told. The caller holds h.mu.
func (h *Host) postEvacuations(shard string) {
	zone, _ := rrelection.ParseShardName(shard)
	if !h.hasEvacuations() || !h.evacuations.told() && !h.zoneEvacuated(zone) {
		return
	}
	h.executors[shard].Post(&rrscheduler.EvacuationsReported{
		Evacuated: h.evacuations.state.EvacuatedZones(), StartsUntil: h.evacuations.startsUntil[zone],
	})
}

// operatorItemsDue reports whether the list of the operators' items has to be read again: the watch may
// miss changes without an error.
func (h *Host) operatorItemsDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hasEvacuations() && time.Since(h.evacuations.listedAt) >= configCheckInterval
}

// readOperatorItems reads the configuration and the evacuated zones from the store.
func (h *Host) readOperatorItems(ctx context.Context) {
	if !h.hasEvacuations() {
		h.readConfig(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	requestedAt := time.Now()
	items, revision, err := h.Store.List(ctx, h.Keys.OperatorPrefix)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "reading the operators' items from the store failed", "err", err)
		return
	}
	h.applyOperatorItems("read", true, toEvents(items), revision, requestedAt)
}

// evacuationsRevision returns what a heartbeat says of this process's knowledge.
func (h *Host) evacuationsRevision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuations.state.Revision()
}

// fetchEvacuations fetches the evacuated zones from a peer if that has said that it knows a higher
// revision.
func (h *Host) fetchEvacuations(ctx context.Context, addr string, revision int64) {
	if !h.hasEvacuations() || addr == "" || revision <= h.evacuationsRevision() || !h.evacuations.fetching.CompareAndSwap(false, true) {
		return
	}
	defer h.evacuations.fetching.Store(false)
	requestedAt := time.Now()
	page, err := h.peers.fetchState(ctx, addr)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "fetching the evacuated zones from the peer failed", "peer", addr, "err", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyEvacuationsPage(page, revision, requestedAt)
}

// applyEvacuationsPage applies what a peer knows, which has said that it knows a revision. The caller
// holds h.mu.
func (h *Host) applyEvacuationsPage(page *rrwire.Page, revision int64, requestedAt time.Time) {
	if !h.hasEvacuations() || page.GetEvacuations() == 0 && len(page.GetEvacuated()) == 0 {
		return
	}
	changes := make([]rrevacuation.Change, 0, len(page.GetEvacuated()))
	for _, c := range page.GetEvacuated() {
		changes = append(changes, rrevacuation.Change{Zone: c.GetZone(), Evacuated: c.GetActive(), Revision: c.GetRevision()})
	}
	told := h.evacuations.told()
	h.evacuations.heardAt = later(h.evacuations.heardAt, requestedAt)
	effective := h.evacuations.state.ApplyPage(changes, page.GetEvacuations(), max(revision, 1))
	h.evacuationsChanged(effective, told, sourcePeer, time.Time{})
}

// addEvacuations adds to a page what this process knows. The caller holds h.mu.
func (h *Host) addEvacuations(page *rrwire.Page) {
	page.Evacuations = h.evacuations.state.Base()
	for _, c := range h.evacuations.state.Changes() {
		page.Evacuated = append(page.Evacuated, &rrwire.Evacuation{Zone: c.Zone, Active: c.Evacuated, Revision: c.Revision})
	}
}
