// Package rrchange keeps the configuration in the platform's store: it carries
// out the writes of rrconf.Manager and follows the key.
package rrchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"rattanring/core/rrconf"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrstore"
)

// Key holds the configuration document.
const Key = "rattanring/config"

// KeptIDs is the number of versions whose change ids the store keeps.
const KeptIDs = 1000

// idKey returns the key of the change id of a version.
func idKey(version uint64) string {
	return fmt.Sprintf("rattanring/changes/%020d", version)
}

// Store is the part of the key-value service that changes use.
type Store interface {
	Txn(ctx context.Context, txn rrstore.Txn) (rrstore.Outcome, error)
}

// Do carries out one write and blocks until it has ended, however it does.
func Do(ctx context.Context, s Store, w rrconf.StoreCall) rrconf.Reply {
	out, err := s.Txn(ctx, txn(w))
	switch {
	case rrstore.NotApplied(err):
		return rrconf.Reply{ID: w.ID, Outcome: rrconf.NotApplied}
	case err != nil:
		return rrconf.Reply{ID: w.ID, Outcome: rrconf.Indeterminate}
	case out.Succeeded:
		return rrconf.Reply{ID: w.ID, Outcome: rrconf.Committed, Revision: out.Revision}
	}
	return compared(w, out)
}

// txn writes the document and its change id, and drops an old change id.
func txn(w rrconf.StoreCall) rrstore.Txn {
	version := w.Config.Version
	t := rrstore.Txn{
		If: []rrstore.If{{Key: Key, Field: rrstore.Mod, Value: w.ExpectedRevision}},
		Then: []rrstore.Op{
			{Put: &rrstore.Put{Key: Key, Value: rrconfigdoc.Encode(w.Config)}},
			{Put: &rrstore.Put{Key: idKey(version), Value: []byte(w.Config.ChangeID)}},
		},
		Else: []rrstore.Op{{Get: &rrstore.Range{Key: Key}}, {Get: &rrstore.Range{Key: idKey(version)}}},
	}
	if version > KeptIDs {
		t.Then = append(t.Then, rrstore.Op{Delete: &rrstore.Range{Key: idKey(version - KeptIDs)}})
	}
	return t
}

// compared reads the answer to a write whose comparison failed.
func compared(w rrconf.StoreCall, out rrstore.Outcome) rrconf.Reply {
	r := rrconf.Reply{ID: w.ID, Outcome: rrconf.CompareFailed}
	if len(out.Pages) != 2 {
		return rrconf.Reply{ID: w.ID, Outcome: rrconf.Indeterminate}
	}
	if items := out.Pages[0].Items; len(items) > 0 {
		r.ModRevision = items[0].Mod
		r.Current, _ = decode(items[0])
	}
	if items := out.Pages[1].Items; len(items) > 0 {
		r.VersionChangeID = string(items[0].Value)
	}
	return r
}

// decode returns the zero Config with an error if the document does not parse.
func decode(item rrstore.Item) (rrconf.Config, error) {
	cfg, err := rrconfigdoc.Decode(item.Value)
	if err != nil {
		return rrconf.Config{}, err
	}
	return cfg, nil
}

// Seen is what Follow found in the store. It is zero when the store answers and
// holds no document.
type Seen struct {
	Config rrconf.Config
	Mod    int64
	Err    error // the store is away or the document does not parse; the rest is zero then
}

// Pause of Follow after a failure, between half of it and the whole.
const pause = time.Second

// Follow reads the configuration and then watches it until ctx ends. It calls f
// with each document, and with each failure. f must not block for long.
func Follow(ctx context.Context, c *rrstore.Client, f func(Seen)) error {
	for ctx.Err() == nil {
		if err := follow(ctx, c, f); err != nil && ctx.Err() == nil {
			f(Seen{Err: err})
		}
		wait := pause/2 + rand.N(pause/2)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// follow reads once and watches until the watch breaks for good.
func follow(ctx context.Context, c *rrstore.Client, f func(Seen)) error {
	page, err := c.Get(ctx, rrstore.Range{Key: Key})
	if err != nil {
		return err
	}
	if len(page.Items) == 0 {
		f(Seen{})
	}
	for _, item := range page.Items {
		tell(item, f)
	}
	next := page.Revision + 1
	for {
		from := next
		next, err = c.Watch(ctx, rrstore.Range{Key: Key}, from, func(e rrstore.Event) error {
			if !e.Deleted {
				tell(e.Item, f)
			}
			return nil
		})
		var gone *rrstore.CompactedError
		if errors.As(err, &gone) || next == from {
			return err // read again: a watch that brought nothing may have missed something
		}
	}
}

func tell(item rrstore.Item, f func(Seen)) {
	cfg, err := decode(item)
	if err != nil {
		f(Seen{Err: err})
		return
	}
	f(Seen{Config: cfg, Mod: item.Mod})
}
