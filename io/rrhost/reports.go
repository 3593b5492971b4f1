package rrhost

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/io/rrstore"
)

// followMinions watches the reports of minions while this host keeps a seat.
func (h *Host) followMinions(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-h.watch:
		case <-ctx.Done():
			return ctx.Err()
		}
		for ctx.Err() == nil && h.keeps() {
			part, cancel := context.WithCancel(ctx)
			go h.cancelIdle(part, cancel)
			_ = h.follow(part, "minions", h.Keys.MinionPrefix, minionWait, h.takeMinions, minionPause) // ends with part
			cancel()
			h.forgetMinions()
		}
	}
	return ctx.Err()
}

// forgetMinions drops reports that are not followed any more.
func (h *Host) forgetMinions() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.minions)
	h.listed = false
}

// cancelIdle ends the watch of minions when no seat is kept.
func (h *Host) cancelIdle(ctx context.Context, cancel context.CancelFunc) {
	for sleep(ctx, time.Second) {
		if !h.keeps() {
			cancel()
		}
	}
}

func (h *Host) keeps() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.keepers) > 0
}

func (h *Host) takeMinions(whole bool, events []rrstore.Event, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool)
	for _, e := range events {
		id := strings.TrimPrefix(e.Item.Key, h.Keys.MinionPrefix)
		if e.Deleted {
			h.loseMinion(id)
			continue
		}
		m, err := h.Reader.DecodeMinion(e.Item)
		if err != nil {
			level.Warn(h.Logger).Log("msg", "report of a minion ignored", "minion", id, "err", err)
			h.loseMinion(id)
			continue
		}
		listed[m.ID] = true
		h.minions[m.ID] = m
		h.tellHolders(m)
	}
	h.divide()
	if whole {
		h.loseUnlisted(listed)
	}
	if whole || len(events) > 0 {
		h.reports++
		h.tellShapes()
	}
	if !whole {
		return
	}
	h.listed = true
	for _, k := range h.keepers {
		k.Post(&rrscheduler.MinionListSynced{})
	}
}

// loseUnlisted drops minions that a whole list lacks. The caller holds h.mu.
func (h *Host) loseUnlisted(listed map[string]bool) {
	for id := range h.minions {
		if !listed[id] {
			h.loseMinion(id)
		}
	}
}

// loseMinion notes that a minion has no report. The caller holds h.mu.
func (h *Host) loseMinion(id string) {
	if _, ok := h.minions[id]; !ok {
		return
	}
	delete(h.minions, id)
	for seat, k := range h.keepers {
		hold := h.held[seat][id]
		if hold == nil {
			continue
		}
		k.Post(&rrscheduler.MinionDeregistered{MinionID: id})
		if !hold.yields {
			delete(h.held[seat], id)
		}
	}
}

// tellHolders tells the own keeper that holds a minion what it now says of itself. The
// caller holds h.mu.
func (h *Host) tellHolders(m rrscheduler.Minion) {
	for seat, k := range h.keepers {
		if hold := h.held[seat][m.ID]; hold != nil && !hold.yields {
			k.Post(&rrscheduler.MinionReported{Minion: m})
		}
	}
}

// tellShapes tells the own keepers what the minions of other seats can run. The caller
// holds h.mu.
func (h *Host) tellShapes() {
	all := h.shapes()
	for seat, k := range h.keepers {
		others := maps.Clone(all)
		delete(others, seat)
		k.Post(&rrscheduler.ShardProfilesReported{ByShard: others})
	}
}

// shapes returns the distinct shapes of minions by seat. The caller holds h.mu.
func (h *Host) shapes() map[string][]rrscheduler.MinionProfile {
	type kind struct {
		seat, service, labels string
		capacity              rrtask.Resources
	}
	seen := make(map[kind]bool)
	out := make(map[string][]rrscheduler.MinionProfile)
	for _, m := range h.minions {
		seat := h.seatOf(m)
		k := kind{seat, m.Service, strings.Join(m.Labels, "\n"), m.Capacity}
		if !seen[k] {
			seen[k] = true
			out[seat] = append(out[seat], m.Profile())
		}
	}
	return out
}
