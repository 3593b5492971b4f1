package rrentry

import (
	"context"
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

// Times of the configuration duty.
const (
	roleCheck  = time.Second      // between two looks whether this entry watches
	readAnyway = time.Minute      // between two reads by an entry that does not watch
	readLimit  = 3 * time.Second  // for such a read
	applyLimit = 10 * time.Second // for one change
)

// configDuty follows the configuration at the platform's store while this entry
// is one of those that watch, and reads it now and then otherwise.
type configDuty struct {
	e    *Entry
	away bool
}

// Serve implements suture.Service.
func (d *configDuty) Serve(ctx context.Context) error {
	d.follow(ctx, readLimit)
	read := time.Now()
	for ctx.Err() == nil {
		switch {
		case d.e.watches(ctx):
			d.watch(ctx)
			read = time.Now()
		case time.Since(read) > readAnyway:
			d.follow(ctx, readLimit)
			read = time.Now()
		default:
			pause(ctx, roleCheck)
		}
	}
	return ctx.Err()
}

// watch follows the key until this entry no longer has to.
func (d *configDuty) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && d.e.watches(ctx) {
			pause(ctx, roleCheck)
		}
		cancel()
	}()
	_ = rrchange.Follow(ctx, d.e.store, d.seen)
}

// follow reads the key once, within limit.
func (d *configDuty) follow(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_ = rrchange.Follow(ctx, d.e.store, func(s rrchange.Seen) {
		d.seen(s)
		cancel()
	})
}

func (d *configDuty) seen(s rrchange.Seen) {
	e := d.e
	e.storeAnswers(s.Err == nil)
	if away := s.Err != nil; away != d.away {
		d.away = away
		level.Warn(e.logger).Log("msg", "configuration at the store", "away", away, "err", s.Err)
	}
	if s.Err == nil && s.Mod != 0 {
		e.report(&rrnode.StoredConfig{Config: s.Config, ModRevision: s.Mod})
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) watches(ctx context.Context) bool {
	var yes bool
	_ = e.ask(ctx, func(now time.Time, n *rrnode.Node) { yes = n.WatchesConfig(now) })
	return yes
}

// storeAnswers tells the core whether the store answers, when that has changed.
func (e *Entry) storeAnswers(ok bool) {
	if e.storeOK.Swap(ok) != ok {
		level.Info(e.logger).Log("msg", "store", "answers", ok)
		e.report(&rrnode.StoreStatus{Reachable: ok})
	}
}

// fetch asks a peer for a newer configuration that its heartbeat told of.
func (e *Entry) fetch(ctx context.Context, f rrnode.FetchConfigCall) {
	d, err := e.peers.Latest(ctx, f.Addr)
	if err != nil {
		level.Warn(e.logger).Log("msg", "configuration of a peer", "peer", f.From, "err", err)
		return
	}
	cfg, err := rrconfigdoc.FromWire(d)
	if err != nil {
		level.Error(e.logger).Log("msg", "configuration of a peer ignored", "peer", f.From, "err", err)
		return
	}
	e.report(&rrnode.PeerConfig{Config: cfg})
}

// Config implements rrfront.Backend.
func (e *Entry) Config() rrconf.Config {
	if cfg := e.cfg.Load(); cfg != nil {
		return *cfg
	}
	return rrconf.Default()
}

// Latest implements rrpeer.Core.
func (e *Entry) Latest(context.Context) (*rrwire.Document, error) {
	return rrconfigdoc.ToWire(e.Config()), nil
}

// Apply implements rrfront.Backend. A change without an id gets one, and so does
// an edited copy of the document in force, which still has that document's id.
func (e *Entry) Apply(ctx context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config) {
	ctx, cancel := context.WithTimeout(ctx, applyLimit+time.Second)
	defer cancel()
	now := e.Config()
	first := cfg.ChangeID == "" || cfg.ChangeID == now.ChangeID && cfg.Version == now.Version
	if first {
		cfg.ChangeID = uuid.NewString()
	}
	v, err := call(ctx, e, &e.changes, func(id uint64) rrnode.Event {
		c := rrconf.Change{RequestID: id, Config: cfg, Deadline: time.Now().Add(applyLimit), FirstAttempt: first}
		return &rrnode.ProposeConfig{Change: c}
	})
	if err != nil {
		return rrcode.ApplyUnconfirmed, rrcode.ApplyUnconfirmed.Description(), e.Config()
	}
	return v.Code, v.Detail, v.Active
}
