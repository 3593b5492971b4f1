package rrhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log/level"

	"rattanring/core/rrinvariant"
	"rattanring/core/rrpacer"
	"rattanring/core/rrroute"
	"rattanring/io/rrstore"
)

// Timing of the configuration.
const (
	configWatchTimeout  = 1300 * time.Millisecond // maximum wait of one watch call
	configCheckInterval = 1500 * time.Millisecond // between two reads: a watch may miss changes for a second without an error
	configPollInterval  = 250 * time.Millisecond  // between two checks whether a read is due
	freshConfigTTL      = 1200 * time.Millisecond // for this long after a confirmation, FreshConfig reads nothing from the store
	queryTimeout        = 400 * time.Millisecond  // for one query to the store or a peer
	freshConfigTimeout  = 180 * time.Millisecond  // for a read while a request waits; the platform accepts for at most 250 ms that a process answers with an older version than another did
	minBackoff          = 50 * time.Millisecond   // pause after a failed call to the store or a peer; doubles with each further failure of a store call
	maxBackoff          = 500 * time.Millisecond  // maximum pause after failed calls to the store
)

// configSnapshot is a configuration with its text as the platform wrote it.
type configSnapshot struct {
	config    *rrroute.Config
	text      []byte
	revision  int64
	checkedAt time.Time // when it was last known to be the newest
}

// Config returns the active configuration, or nil if there is none yet.
func (h *Host) Config() *rrroute.Config {
	if snapshot := h.config.Load(); snapshot != nil {
		return snapshot.config
	}
	return nil
}

var configNeverOlder = rrinvariant.New("a configuration is not replaced by an older one")

// applyConfig makes a configuration active if its revision is higher, it can be decoded and
// its version is not lower. If the revision is the active one's, the active configuration
// was still the newest at requestedAt.
func (h *Host) applyConfig(text []byte, revision int64, source string, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.config.Load()
	if old != nil && old.revision >= revision {
		if old.revision == revision && requestedAt.After(old.checkedAt) {
			fresh := *old
			fresh.checkedAt = requestedAt
			h.config.Store(&fresh)
		}
		return
	}
	config, err := h.Decoder.DecodeConfig(text)
	if err != nil {
		h.noteUnreadable(rrstore.Item{Key: h.Keys.ConfigKey, Mod: revision}, merry.Prepend(err, "from "+source))
		return
	}
	delete(h.unreadable, h.Keys.ConfigKey)
	if old != nil && old.config.Version > config.Version {
		level.Warn(h.Logger).Log("msg", "configuration with a lower version than the active one ignored", "version", config.Version, "have", old.config.Version)
		return
	}
	configNeverOlder.Assert(old == nil || revision > old.revision && config.Version >= old.config.Version)
	h.config.Store(&configSnapshot{config: config, text: text, revision: revision, checkedAt: requestedAt})
	h.applyWarmups(config)
	level.Info(h.Logger).Log("msg", "configuration in force", "version", config.Version, "queues", len(config.Queues), "revision", revision, "from", source)
}

// watchConfig applies changes of the configuration in the store.
func (h *Host) watchConfig(ctx context.Context) error {
	if h.hasEvacuations() {
		return h.watchOperatorItems(ctx)
	}
	return h.watchPrefix(ctx, "config", h.Keys.ConfigKey, configWatchTimeout, func(_ bool, events []rrstore.Event, _ int64, requestedAt time.Time) {
		for _, e := range events {
			if !e.Deleted && e.Item.Key == h.Keys.ConfigKey {
				h.applyConfig(e.Item.Value, e.Item.Mod, "watch", requestedAt)
			}
		}
	}, 0)
}

// pollConfig reads the configuration if the watch has not confirmed it for
// configCheckInterval, and with it the evacuated zones in a deployment that has evacuations.
func (h *Host) pollConfig(ctx context.Context) error {
	for sleep(ctx, configPollInterval+rand.N(configPollInterval/8)) {
		if snapshot := h.config.Load(); snapshot != nil && time.Since(snapshot.checkedAt) < configCheckInterval && !h.operatorItemsDue() {
			continue
		}
		h.readOperatorItems(ctx)
	}
	return ctx.Err()
}

// readConfig reads the configuration from the store and reports whether the store answered.
func (h *Host) readConfig(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	requestedAt := time.Now()
	item, err := h.Store.Get(ctx, h.Keys.ConfigKey)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "reading the configuration from the store failed", "err", err)
		return false
	}
	if item.Mod != 0 {
		h.applyConfig(item.Value, item.Mod, "read", requestedAt)
	}
	return true
}

// FreshConfig returns the active configuration. It reads the store first unless the
// configuration was confirmed within freshConfigTTL, and reports false if the store did not
// answer.
func (h *Host) FreshConfig(ctx context.Context) (*rrroute.Config, bool) {
	if snapshot := h.config.Load(); snapshot != nil && time.Since(snapshot.checkedAt) < freshConfigTTL {
		return snapshot.config, true
	}
	// The read may return a version that was written after the request, while another process
	// still answers later requests with an older one. The timeout bounds this time.
	ctx, cancel := context.WithTimeout(ctx, freshConfigTimeout)
	defer cancel()
	ok := h.readConfig(ctx)
	return h.Config(), ok
}

// fetchConfig fetches the configuration from a peer that reported a newer revision.
func (h *Host) fetchConfig(ctx context.Context, addr string, revision int64) {
	if snapshot := h.config.Load(); snapshot != nil && snapshot.revision >= revision {
		return
	}
	requestedAt := time.Now()
	state, err := h.peers.fetchState(ctx, addr)
	if err != nil {
		level.Warn(h.Logger).Log("msg", "fetching the configuration from the peer failed", "peer", addr, "err", err)
		return
	}
	if state.GetRevision() != 0 {
		h.applyConfig(state.GetText(), state.GetRevision(), addr, requestedAt)
	}
}

// watchPrefix reads all items with a prefix and then their changes, until ctx ends. handle
// gets whether the events are the complete list, the revision of the store up to which they were
// read, and the time of the request. wait is the
// maximum duration of one watch call; service names the caller in log lines. pause is the
// wait between two watch calls, which batches changes, while the watch keeps up with the store.
func (h *Host) watchPrefix(ctx context.Context, service, prefix string, wait time.Duration, handle func(complete bool, events []rrstore.Event, revision int64, requestedAt time.Time), pause time.Duration) error {
	backoff := newStoreBackoff(h, service)
	pacer := rrpacer.Pacer{Interval: pause}
	for ctx.Err() == nil {
		requestedAt := time.Now()
		items, rev, err := h.Store.List(ctx, prefix)
		if backoff.pauseAfter(ctx, err) {
			continue
		}
		handle(true, toEvents(items), rev, requestedAt)
		for ctx.Err() == nil {
			requestedAt = time.Now()
			events, next, err := h.Store.WaitForChanges(ctx, prefix, rev, wait)
			var compacted *rrstore.CompactedError
			if errors.As(err, &compacted) {
				level.Warn(h.Logger).Log("msg", "history lost", "what", service, "revision", rev)
				break
			}
			if backoff.pauseAfter(ctx, err) {
				break
			}
			rev = next
			handle(false, events, rev, requestedAt)
			pacer.Observe(h.storeRevision.Load())
			h.observeStoreRevision(rev)
			sleep(ctx, pacer.Pause(len(events), rev))
		}
	}
	return ctx.Err()
}

// observeStoreRevision records that the store was at a revision.
func (h *Host) observeStoreRevision(revision int64) {
	for {
		known := h.storeRevision.Load()
		if revision <= known || h.storeRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

func toEvents(items []rrstore.Item) []rrstore.Event {
	out := make([]rrstore.Event, len(items))
	for i, it := range items {
		out[i] = rrstore.Event{Item: it}
	}
	return out
}

// storeBackoff delays the calls of one service to a failing store, and logs when the store
// fails and recovers.
type storeBackoff struct {
	h           *Host
	service     string
	failedSince time.Time
	failures    int
}

func newStoreBackoff(h *Host, service string) *storeBackoff {
	return &storeBackoff{h: h, service: service}
}

// pauseAfter pauses if err, the error of a call to the store, is not nil. It reports whether
// the call failed or ctx has ended.
func (b *storeBackoff) pauseAfter(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	if err == nil {
		if b.failures > 0 {
			level.Info(b.h.Logger).Log("msg", "store regained", "for", b.service, "after", time.Since(b.failedSince))
		}
		b.failures = 0
		return false
	}
	if b.failures == 0 {
		b.failedSince = time.Now()
		level.Warn(b.h.Logger).Log("msg", "store lost", "for", b.service, "err", err)
	}
	b.h.mu.Lock()
	b.h.lastStoreFailure = time.Now()
	b.h.mu.Unlock()
	pause := min(minBackoff<<min(b.failures, 8), maxBackoff)
	b.failures++
	sleep(ctx, pause/2+rand.N(pause/2))
	return true
}
