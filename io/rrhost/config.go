package rrhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrinvariant"
	"rattanring/core/rrroute"
	"rattanring/io/rrstore"
)

// Times of the configuration.
const (
	configWait   = 1300 * time.Millisecond // how long a watch waits for a change
	configCheck  = 1500 * time.Millisecond // between two reads: a watch may miss changes for a second and say nothing
	configLook   = 250 * time.Millisecond  // between two looks whether the watch is silent
	freshTable   = 1200 * time.Millisecond
	askLimit     = 400 * time.Millisecond // for one question about the newest table
	currentLimit = 180 * time.Millisecond // for a check while a request waits; the platform allows a process 250 ms to fall back
	retryLeast   = 50 * time.Millisecond  // pause after a failed call to the store …
	retryMost    = 500 * time.Millisecond // … which doubles up to this
)

// page is a table with its text, as the platform wrote it.
type page struct {
	table    *rrroute.Table
	text     []byte
	revision int64
	checked  time.Time // when it was last known to be the newest
}

// Config returns the table in force, or nil when none is known.
func (h *Host) Config() *rrroute.Table {
	if p := h.table.Load(); p != nil {
		return p.table
	}
	return nil
}

var neverOlder = rrinvariant.New("a configuration is not replaced by an older one")

// adoptTable puts a text in force unless a newer one is.
func (h *Host) adoptTable(text []byte, revision int64, from string, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.table.Load()
	if old != nil && old.revision >= revision {
		if old.revision == revision && asked.After(old.checked) {
			fresh := *old
			fresh.checked = asked
			h.table.Store(&fresh)
		}
		return
	}
	table, err := h.Reader.DecodeConfig(text)
	if err != nil {
		level.Error(h.Logger).Log("msg", "configuration not readable", "revision", revision, "from", from, "err", err)
		return
	}
	if old != nil && old.table.Version > table.Version {
		level.Warn(h.Logger).Log("msg", "older configuration ignored", "version", table.Version, "have", old.table.Version)
		return
	}
	neverOlder.Assert(old == nil || revision > old.revision && table.Version >= old.table.Version)
	h.table.Store(&page{table: table, text: text, revision: revision, checked: asked})
	level.Info(h.Logger).Log("msg", "configuration in force", "version", table.Version, "queues", len(table.Queues), "revision", revision, "from", from)
}

// followConfig watches the configuration.
func (h *Host) followConfig(ctx context.Context) error {
	return h.follow(ctx, "config", h.Keys.ConfigKey, configWait, func(_ bool, events []rrstore.Event, asked time.Time) {
		for _, e := range events {
			if !e.Deleted && e.Item.Key == h.Keys.ConfigKey {
				h.adoptTable(e.Item.Value, e.Item.Mod, "watch", asked)
			}
		}
	}, 0)
}

// checkConfig reads the configuration when nothing was heard of it for a while.
func (h *Host) checkConfig(ctx context.Context) error {
	for sleep(ctx, configLook+rand.N(configLook/8)) {
		if p := h.table.Load(); p != nil && time.Since(p.checked) < configCheck {
			continue
		}
		h.readTable(ctx)
	}
	return ctx.Err()
}

// readTable reads the configuration from the store and reports whether that worked.
func (h *Host) readTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	asked := time.Now()
	item, err := h.Store.Get(ctx, h.Keys.ConfigKey)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "configuration not read", "err", err)
		return false
	}
	if item.Mod != 0 {
		h.adoptTable(item.Value, item.Mod, "read", asked)
	}
	return true
}

// FreshConfig returns the table in force after a look for a newer one, unless it was
// confirmed a moment ago. It reports false when nobody could be asked.
func (h *Host) FreshConfig(ctx context.Context) (*rrroute.Table, bool) {
	if p := h.table.Load(); p != nil && time.Since(p.checked) < freshTable {
		return p.table, true
	}
	// An answer must not show a version that requests sent long after this one may miss.
	ctx, cancel := context.WithTimeout(ctx, currentLimit)
	defer cancel()
	ok := h.readTable(ctx)
	return h.Config(), ok
}

// learnTable asks a peer for the table it told of.
func (h *Host) learnTable(ctx context.Context, addr string, revision int64) {
	if p := h.table.Load(); p != nil && p.revision >= revision {
		return
	}
	asked := time.Now()
	page, err := h.peers.sheet(ctx, addr)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "configuration not heard", "peer", addr, "err", err)
		return
	}
	if page.GetRevision() != 0 {
		h.adoptTable(page.GetText(), page.GetRevision(), addr, asked)
	}
}

// follow reads all items with a prefix and then their changes, for ever. handle gets
// whether the events are all there is, and when they were asked for. pause is left
// between two questions, so that changes come together.
func (h *Host) follow(ctx context.Context, what, prefix string, wait time.Duration, handle func(whole bool, events []rrstore.Event, asked time.Time), pause time.Duration) error {
	away := newAway(h, what)
	for ctx.Err() == nil {
		asked := time.Now()
		items, rev, err := h.Store.List(ctx, prefix)
		if away.note(ctx, err) {
			continue
		}
		handle(true, puts(items), asked)
		for ctx.Err() == nil {
			asked = time.Now()
			events, next, err := h.Store.WaitForChanges(ctx, prefix, rev, wait)
			var lost *rrstore.CompactedError
			if errors.As(err, &lost) {
				level.Warn(h.Logger).Log("msg", "history lost", "what", what, "revision", rev)
				break
			}
			if away.note(ctx, err) {
				break
			}
			rev = next
			handle(false, events, asked)
			sleep(ctx, pause)
		}
	}
	return ctx.Err()
}

func puts(items []rrstore.Item) []rrstore.Event {
	out := make([]rrstore.Event, len(items))
	for i, it := range items {
		out[i] = rrstore.Event{Item: it}
	}
	return out
}

// away paces the calls of one duty to a store that fails, and logs when it is lost
// and regained.
type away struct {
	h     *Host
	what  string
	since time.Time
	fails int
}

func newAway(h *Host, what string) *away {
	return &away{h: h, what: what}
}

// note takes the outcome of a call. It pauses and reports true after a failure.
func (a *away) note(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	if err == nil {
		if a.fails > 0 {
			level.Info(a.h.Logger).Log("msg", "store regained", "for", a.what, "after", time.Since(a.since))
		}
		a.fails = 0
		return false
	}
	if a.fails == 0 {
		a.since = time.Now()
		level.Warn(a.h.Logger).Log("msg", "store lost", "for", a.what, "err", err)
	}
	a.h.mu.Lock()
	a.h.trouble = time.Now()
	a.h.mu.Unlock()
	pause := min(retryLeast<<min(a.fails, 8), retryMost)
	a.fails++
	sleep(ctx, pause/2+rand.N(pause/2))
	return true
}
