package rrentry

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrnode"
	"rattanring/io/rrchange"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrwire"
)

// Intervals and timeouts of the configuration service.
const (
	watchCheckInterval    = time.Second      // between two checks whether this entry must watch the configuration
	unwatchedReadInterval = time.Minute      // between two reads by an entry that does not watch
	readTimeout           = 3 * time.Second  // of one read of the stored configuration
	applyTimeout          = 10 * time.Second // of one configuration change
)

// configService keeps the core's copy of the stored configuration current. Only some
// entries watch the configuration in the platform's store; the others read it at
// intervals.
type configService struct {
	e           *Entry
	unreachable bool
}

// Serve implements suture.Service.
func (s *configService) Serve(ctx context.Context) error {
	s.readOnce(ctx, readTimeout)
	lastRead := time.Now()
	for ctx.Err() == nil {
		switch {
		case s.e.watchesConfig(ctx):
			s.watch(ctx)
			lastRead = time.Now()
		case time.Since(lastRead) > unwatchedReadInterval:
			s.readOnce(ctx, readTimeout)
			lastRead = time.Now()
		default:
			sleep(ctx, watchCheckInterval)
		}
	}
	return ctx.Err()
}

// watch follows the stored configuration while this entry is one of those that watch it.
func (s *configService) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.e.watchesConfig(ctx) {
			sleep(ctx, watchCheckInterval)
		}
		cancel()
	}()
	_ = rrchange.Follow(ctx, s.e.store, s.handleReading)
}

// readOnce reads the stored configuration once, within timeout.
func (s *configService) readOnce(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_ = rrchange.Follow(ctx, s.e.store, func(r rrchange.Reading) {
		s.handleReading(r)
		cancel()
	})
}

func (s *configService) handleReading(r rrchange.Reading) {
	e := s.e
	e.setStoreReachable(r.Err == nil)
	if unreachable := r.Err != nil; unreachable != s.unreachable {
		s.unreachable = unreachable
		level.Warn(e.logger).Log("msg", "reachability of the stored configuration changed", "away", unreachable, "err", r.Err)
	}
	if r.Err == nil && r.ModRevision != 0 {
		e.report(&rrnode.StoredConfig{Config: r.Config, ModRevision: r.ModRevision})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) watchesConfig(ctx context.Context) bool {
	var watches bool
	_ = e.query(ctx, func(now time.Time, n *rrnode.Node) { watches = n.WatchesConfig(now) })
	return watches
}

// setStoreReachable reports to the core whether the store answers, if that has changed.
func (e *Entry) setStoreReachable(reachable bool) {
	if e.storeReachable.Swap(reachable) != reachable {
		level.Info(e.logger).Log("msg", "store", "answers", reachable)
		e.report(&rrnode.StoreStatus{Reachable: reachable})
	}
}

// fetchConfig gets the configuration from a peer whose heartbeat reported a newer version.
func (e *Entry) fetchConfig(ctx context.Context, f rrnode.FetchConfigCall) {
	d, err := e.peers.LatestConfig(ctx, f.Addr)
	if err != nil {
		level.Warn(e.logger).Log("msg", "failed to fetch the configuration from a peer", "peer", f.From, "err", err)
		return
	}
	cfg, err := rrconfigdoc.FromWire(d)
	if err != nil {
		level.Error(e.logger).Log("msg", "ignored an invalid configuration from a peer", "peer", f.From, "err", err)
		return
	}
	e.report(&rrnode.PeerConfig{Config: cfg})
}

// logEvacuations logs the zones that a new configuration evacuates or puts back in use. The
// argument before lists the zones that were evacuated until then.
func (e *Entry) logEvacuations(before []string, cfg rrconf.Config) {
	for _, zone := range cfg.Evacuated {
		if !slices.Contains(before, zone) {
			level.Info(e.logger).Log("msg", "zone evacuated", "zone", zone, "version", cfg.Version)
		}
	}
	for _, zone := range before {
		if !cfg.IsEvacuated(zone) {
			level.Info(e.logger).Log("msg", "zone back in use", "zone", zone, "version", cfg.Version)
		}
	}
}

// Config implements rrfront.Backend.
func (e *Entry) Config() rrconf.Config {
	if cfg := e.config.Load(); cfg != nil {
		return *cfg
	}
	return rrconf.Default()
}

// LatestConfig implements rrpeer.Backend.
func (e *Entry) LatestConfig(context.Context) (*rrwire.Document, error) {
	return rrconfigdoc.ToWire(e.Config()), nil
}

// Apply implements rrfront.Backend. It assigns a change ID to a document that has none,
// and a new one to an edited copy of the active document, which still has the active
// document's ID.
func (e *Entry) Apply(ctx context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout+time.Second)
	defer cancel()
	active := e.Config()
	firstAttempt := cfg.ChangeID == "" || cfg.ChangeID == active.ChangeID && cfg.Version == active.Version
	if firstAttempt {
		cfg.ChangeID = uuid.NewString()
	}
	result, err := call(ctx, e, &e.configChangeCalls, func(id uint64) rrnode.Event {
		c := rrconf.Change{RequestID: id, Config: cfg, Deadline: time.Now().Add(applyTimeout), FirstAttempt: firstAttempt}
		return &rrnode.ProposeConfig{Change: c}
	})
	if err != nil {
		return rrcode.ApplyUnconfirmed, rrcode.ApplyUnconfirmed.Description(), e.Config()
	}
	return result.Code, result.Detail, result.Active
}
