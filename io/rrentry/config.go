package rrentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrnode"
	"rattanring/io/rrdoc"
	"rattanring/io/rrstore"
	"rattanring/io/rrwire"
)

// configKey is the one key of the configuration.
const configKey = "rattanring/config"

// Times of the configuration duty.
const (
	roleCheck    = time.Second      // between two looks whether this entry watches
	readAnyway   = time.Minute      // between two reads by an entry that does not watch
	afterFailure = time.Second      // least wait after a failed call, before jitter
	applyLimit   = 10 * time.Second // for one change
)

// configDuty follows the configuration at the platform's store.
type configDuty struct {
	e    *Entry
	read time.Time
}

// Serve implements suture.Service.
func (d *configDuty) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		d.round(ctx)
	}
	return ctx.Err()
}

func (d *configDuty) round(ctx context.Context) {
	e := d.e
	watches := e.watches(ctx)
	if !watches && time.Since(d.read) < readAnyway {
		pause(ctx, roleCheck)
		return
	}
	page, err := e.store.Get(ctx, rrstore.Range{Key: configKey})
	e.storeAnswers(err == nil)
	if err != nil {
		pause(ctx, afterFailure+rand.N(afterFailure))
		return
	}
	d.read = time.Now()
	for _, item := range page.Items {
		e.seen(item.Value)
	}
	if watches {
		d.watch(ctx, page.Revision+1)
	}
}

// watch follows changes until the stream breaks or this entry no longer has to.
func (d *configDuty) watch(ctx context.Context, from int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && d.e.watches(ctx) {
			pause(ctx, roleCheck)
		}
		cancel()
	}()
	_, err := d.e.store.Watch(ctx, rrstore.Range{Key: configKey}, from, func(ev rrstore.Event) error {
		d.e.seen(ev.Item.Value)
		return nil
	})
	if ctx.Err() != nil {
		return
	}
	level.Warn(d.e.logger).Log("msg", "configuration watch ended", "err", err)
	pause(ctx, afterFailure+rand.N(afterFailure))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) watches(ctx context.Context) bool {
	var yes bool
	_ = e.ask(ctx, func(now time.Time, n *rrnode.Node) { yes = n.Watches(now) })
	return yes
}

// storeAnswers tells the core whether the store answers, when that has changed.
func (e *Entry) storeAnswers(ok bool) {
	if e.storeOK.Swap(ok) != ok {
		level.Info(e.logger).Log("msg", "store", "answers", ok)
		e.report(&rrnode.Store{OK: ok})
	}
}

// seen takes a document from the store or a peer.
func (e *Entry) seen(text []byte) {
	cfg, err := rrdoc.Decode(text)
	if err != nil {
		level.Error(e.logger).Log("msg", "configuration ignored", "err", err)
		return
	}
	e.report(&rrnode.Config{Config: cfg})
}

// fetch asks a peer for a newer configuration that its heartbeat told of.
func (e *Entry) fetch(ctx context.Context, f rrnode.Fetch) {
	d, err := e.peers.Latest(ctx, f.Addr)
	if err != nil {
		level.Warn(e.logger).Log("msg", "configuration of a peer", "peer", f.From, "err", err)
		return
	}
	e.seen([]byte(d.GetText()))
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
	return rrdoc.ToWire(e.Config()), nil
}

// Apply implements rrfront.Backend. The change is accepted when cfg.Version is
// still the version at the store.
func (e *Entry) Apply(ctx context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config) {
	if e.store == nil {
		return rrcode.StoreAway, "this entry has no store", e.Config()
	}
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	if cfg.Change == "" {
		cfg.Change = uuid.NewString()
	}
	page, err := e.store.Get(ctx, rrstore.Range{Key: configKey})
	if err != nil {
		return rrcode.StoreAway, err.Error(), e.Config()
	}
	now, mod := rrconf.Default(), int64(0)
	if len(page.Items) > 0 {
		mod = page.Items[0].Mod
		if now, err = rrdoc.Decode(page.Items[0].Value); err != nil {
			return rrcode.BadConfig, "at the store: " + err.Error(), e.Config()
		}
	}
	if now.Version != cfg.Version {
		return rrcode.Conflict, rrcode.Conflict.Text(), now
	}
	if cfg.Change == now.Change {
		cfg.Change = uuid.NewString() // a copy of the document in force
	}
	cfg.Version++
	return e.write(ctx, cfg, mod)
}

// write replaces the document that has the revision mod.
func (e *Entry) write(ctx context.Context, cfg rrconf.Config, mod int64) (rrcode.Code, string, rrconf.Config) {
	out, err := e.store.Txn(ctx, rrstore.Txn{
		If:   []rrstore.If{{Key: configKey, Field: rrstore.Mod, Value: mod}},
		Then: []rrstore.Op{{Put: &rrstore.Put{Key: configKey, Value: rrdoc.Encode(cfg)}}},
	})
	if rrstore.NotApplied(err) {
		return rrcode.StoreAway, err.Error(), e.Config()
	}
	if err == nil && out.Succeeded {
		e.report(&rrnode.Config{Config: cfg})
		return rrcode.Applied, "", cfg
	}
	return e.settle(ctx, cfg)
}

// settle reads back what became of a change that was not confirmed.
func (e *Entry) settle(ctx context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config) {
	for ctx.Err() == nil {
		page, err := e.store.Get(ctx, rrstore.Range{Key: configKey})
		if err != nil || len(page.Items) == 0 {
			pause(ctx, afterFailure)
			continue
		}
		won, err := rrdoc.Decode(page.Items[0].Value)
		switch {
		case err != nil:
			return rrcode.ApplyUnknown, err.Error(), e.Config()
		case won.Change == cfg.Change:
			e.report(&rrnode.Config{Config: won})
			return rrcode.Applied, "", won
		case won.Version > cfg.Version:
			return rrcode.ApplyUnknown, "a later change is in force", won
		default:
			return rrcode.Conflict, rrcode.Conflict.Text(), won
		}
	}
	return rrcode.ApplyUnknown, rrcode.ApplyUnknown.Text(), e.Config()
}
