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
	scaleInterval      = time.Second // between two measurements of the CPU utilization
	minMinionsPerShard = 16          // on average over the shards of a zone; the behavior of smaller shards is unknown
)

// cpuTimeUsed returns the CPU time that this process has used.
func cpuTimeUsed() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // the call fails only for an unknown first argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// scaleShards measures the CPU utilization of this process, and adapts the number of shards
// of each zone whose primary shard it owns.
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

// setCPUUtilization computes the CPU utilization from the CPU time used in a span. It is
// zero if no time has passed or this process may use no CPU cores.
func (h *Host) setCPUUtilization(elapsed, used time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cpuUtilization = 0
	if available := elapsed.Seconds() * h.Self.CPUCores; available > 0 {
		h.cpuUtilization = used.Seconds() / available
	}
}

// scaleZone writes a new layout of a zone if its number of shards does not suit the load.
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
		level.Warn(h.Logger).Log("msg", "writing the layout to the store failed", "zone", zone, "parts", shards, "err", err)
	}
}

// maxShards returns the maximum number of shards of a zone, by its members and minions. The
// caller holds h.mu.
func (h *Host) maxShards(zone string) int {
	members, minions := 0, 0
	for _, m := range h.election.Members() {
		if m.Zone == zone {
			members++
		}
	}
	for _, m := range h.registrations {
		if m.Zone == zone {
			minions++
		}
	}
	return max(min(members, minions/minMinionsPerShard), 1)
}

// ownerCPUUtilization returns the CPU utilization of the owner of a shard. The caller holds
// h.mu.
func (h *Host) ownerCPUUtilization(shard string) float64 {
	if h.executors[shard] != nil {
		return h.cpuUtilization
	}
	return h.loads[shard].cpuUtilization
}
