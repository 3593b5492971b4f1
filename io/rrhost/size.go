package rrhost

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
)

const (
	sizeEvery = time.Second // between two looks at how busy the keepers are
	seatLeast = 16          // minions of a seat at least, on the mean: the smallest zone that was measured
)

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // only an unknown first argument fails
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// size measures how busy this process is, and divides the minions of the zones whose first
// seat it holds among as many seats as they need.
func (h *Host) size(ctx context.Context) error {
	counters := make(map[string]*rrelection.ShardScaler)
	last, used := time.Now(), h.CPUTime()
	for sleep(ctx, sizeEvery) {
		now, next := time.Now(), h.CPUTime()
		h.setBusy(now.Sub(last), next-used)
		last, used = now, next
		for _, zone := range h.Zones {
			if counters[zone] == nil || h.keeper(zone) == nil {
				counters[zone] = &rrelection.ShardScaler{}
			}
			if h.keeper(zone) != nil {
				h.sizeZone(ctx, now, zone, counters[zone])
			}
		}
	}
	return ctx.Err()
}

// setBusy notes how much processor time this process has used in a while. It counts as
// idle where that can't be told: a clock that stood still, or settings without a share.
func (h *Host) setBusy(while, used time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = 0
	if may := while.Seconds() * h.Self.CPUCores; may > 0 {
		h.busy = used.Seconds() / may
	}
}

// sizeZone changes the layout of a zone if its count of seats does not suit the load.
func (h *Host) sizeZone(ctx context.Context, now time.Time, zone string, n *rrelection.ShardScaler) {
	h.mu.Lock()
	l := h.council.Layout(zone)
	used := make([]float64, l.ShardCount())
	for part := range used {
		used[part] = h.busyOf(rrelection.ShardName(zone, part))
	}
	most := h.seatsMost(zone)
	h.mu.Unlock()
	parts := n.DesiredShards(now, used, most)
	if parts == l.ShardCount() {
		return
	}
	level.Info(h.Logger).Log("msg", "dividing minions", "zone", zone, "parts", parts, "was", l.ShardCount(), "used", slices.Max(used), "most", most)
	if err := h.writeLayout(ctx, zone, parts, l); err != nil {
		level.Warn(h.Logger).Log("msg", "layout not written", "zone", zone, "parts", parts, "err", err)
	}
}

// seatsMost returns among how many seats the minions of a zone can be divided. The caller
// holds h.mu.
func (h *Host) seatsMost(zone string) int {
	members, minions := 0, 0
	for _, m := range h.council.Members() {
		if m.Zone == zone {
			members++
		}
	}
	for _, m := range h.minions {
		if m.Zone == zone {
			minions++
		}
	}
	return max(min(members, minions/seatLeast), 1)
}

// busyOf returns how busy the holder of a seat is. The caller holds h.mu.
func (h *Host) busyOf(seat string) float64 {
	if h.keepers[seat] != nil {
		return h.busy
	}
	return h.loads[seat].busy
}
