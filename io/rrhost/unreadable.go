package rrhost

import (
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"

	"rattanring/core/rrelection"
	"rattanring/io/rrstore"
)

// noteUnreadable records that the value of an item can't be decoded, and logs each such revision of
// the item once. It reports whether the revision is new. The caller holds h.mu.
func (h *Host) noteUnreadable(item rrstore.Item, err error) bool {
	if rev, known := h.unreadable[item.Key]; known && rev == item.Mod {
		return false
	}
	h.unreadable[item.Key] = item.Mod
	level.Warn(h.Logger).Log("msg", "item of the store not readable and ignored", "key", item.Key, "revision", item.Mod, "err", err)
	return true
}

// forgetUnreadable drops the records of items with a prefix that a complete list lacks. The caller
// holds h.mu.
func (h *Host) forgetUnreadable(prefix string, list []rrstore.Event) {
	for key := range h.unreadable {
		if strings.HasPrefix(key, prefix) && !slices.ContainsFunc(list, func(e rrstore.Event) bool { return e.Item.Key == key }) {
			delete(h.unreadable, key)
		}
	}
}

// expectedRevision returns the revision on which a write of a shard's or layout's item depends: the
// known one, or that of a later content that could not be read and is to be replaced.
func (h *Host) expectedRevision(key string, known int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(known, h.unreadable[key])
}

const maxCPUCores = 1 << 16 // of a member

// validate returns an error if the record does not name a process that can be called.
func (r *memberRecord) validate() error {
	addr, err := netip.ParseAddrPort(r.Addr)
	switch {
	case r.Name == "" || r.Zone == "":
		return merry.New("no name or zone")
	case err != nil || addr.Port() == 0:
		return merry.Errorf("address %.64q is not an IP address with a port", r.Addr)
	case math.IsNaN(r.CPUCores) || r.CPUCores < 0 || r.CPUCores > maxCPUCores:
		return merry.Errorf("%v cores are out of range", r.CPUCores)
	}
	return nil
}

// knowsShard reports whether a shard name can belong to this fleet.
func (h *Host) knowsShard(name string) bool {
	zone, index := rrelection.ParseShardName(name)
	return index < rrelection.MaxShards && slices.Contains(h.Zones, zone)
}
