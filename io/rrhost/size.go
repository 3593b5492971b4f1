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
	scaleInterval      = time.Second // between two looks at how busy the keepers are
	minMinionsPerShard = 16          // minions of a seat at least, on the mean: the smallest zone that was measured
)

// cpuTimeUsed returns the processor time that this process has used.
func cpuTimeUsed() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // only an unknown first argument fails
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// scaleShards measures how busy this process is, and divides the minions of the zones whose first
// seat it holds among as many seats as they need.
func (h *Host) scaleShards(ctx context.Context) error {
	scalers := make(map[string]*rrelection.ShardScaler)
	last, lastUsed := time.Now(), h.CPUTime()
	for sleep(ctx, scaleInterval) {
		now, used := time.Now(), h.CPUTime()
		h.setCPUUtilization(now.Sub(last), used-lastUsed)
		last, lastUsed = now, used
		for _, zone := range h.Zones {
			if scalers[zone] == nil || h.executor(zone) == nil {
				scalers[zone] = &rrelection.ShardScaler{}
			}
			if h.executor(zone) != nil {
				h.scaleZone(ctx, now, zone, scalers[zone])
			}
		}
	}
	return ctx.Err()
}

// setCPUUtilization notes how much processor time this process has used in a while. It counts as
// idle where that can't be told: a clock that stood still, or settings without a share.
func (h *Host) setCPUUtilization(elapsed, used time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cpuUtilization = 0
	if available := elapsed.Seconds() * h.Self.CPUCores; available > 0 {
		h.cpuUtilization = used.Seconds() / available
	}
}

// scaleZone changes the layout of a zone if its count of seats does not suit the load.
func (h *Host) scaleZone(ctx context.Context, now time.Time, zone string, scaler *rrelection.ShardScaler) {
	h.mu.Lock()
	l := h.election.Layout(zone)
	utilization := make([]float64, l.ShardCount())
	for index := range utilization {
		utilization[index] = h.ownerCPUUtilization(rrelection.ShardName(zone, index))
	}
	maxShards := h.maxShards(zone)
	h.mu.Unlock()
	shards := scaler.DesiredShards(now, utilization, maxShards)
	if shards == l.ShardCount() {
		return
	}
	level.Info(h.Logger).Log("msg", "dividing minions", "zone", zone, "parts", shards, "was", l.ShardCount(), "used", slices.Max(utilization), "most", maxShards)
	if err := h.writeLayout(ctx, zone, shards, l); err != nil {
		level.Warn(h.Logger).Log("msg", "layout not written", "zone", zone, "parts", shards, "err", err)
	}
}

// maxShards returns among how many seats the minions of a zone can be divided. The caller
// holds h.mu.
func (h *Host) maxShards(zone string) int {
	members, minions := 0, 0
	for _, m := range h.election.Members() {
		if m.Zone == zone {
			members++
		}
	}
	for _, m := range h.minions {
		if m.Zone == zone {
			minions++
		}
	}
	return max(min(members, minions/minMinionsPerShard), 1)
}

// ownerCPUUtilization returns how busy the holder of a seat is. The caller holds h.mu.
func (h *Host) ownerCPUUtilization(shard string) float64 {
	if h.executors[shard] != nil {
		return h.cpuUtilization
	}
	return h.loads[shard].cpuUtilization
}
