// Package rrchange stores the configuration in the platform's store. It executes
// the writes of rrconf.Manager and watches the key of the configuration.
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

// ConfigKey is the store key of the configuration document.
const ConfigKey = "rattanring/config"

// KeptChangeIDs is the number of latest versions whose change IDs stay in the store.
const KeptChangeIDs = 1000

// changeIDKey returns the store key that holds the change ID of a version.
func changeIDKey(version uint64) string {
	return fmt.Sprintf("rattanring/changes/%020d", version)
}

// Store is the part of rrstore.Client that Write uses.
type Store interface {
	Txn(ctx context.Context, txn rrstore.Txn) (rrstore.TxnResult, error)
}

// Write executes one write and blocks until it has succeeded or failed.
func Write(ctx context.Context, s Store, call rrconf.StoreCall) rrconf.Reply {
	out, err := s.Txn(ctx, txn(call))
	switch {
	case rrstore.NotApplied(err):
		return rrconf.Reply{CallID: call.ID, Outcome: rrconf.NotApplied}
	case err != nil:
		return rrconf.Reply{CallID: call.ID, Outcome: rrconf.Indeterminate}
	case out.Succeeded:
		return rrconf.Reply{CallID: call.ID, Outcome: rrconf.Committed, Revision: out.Revision}
	}
	return compareFailedReply(call, out)
}

// txn returns the transaction that writes the document and its change ID and deletes
// the oldest change ID. It fails if the revision of the document is not the expected
// one, and then reads the document and the change ID of this version.
func txn(call rrconf.StoreCall) rrstore.Txn {
	version := call.Config.Version
	t := rrstore.Txn{
		If: []rrstore.Condition{{Key: ConfigKey, Field: rrstore.FieldModRevision, Value: call.ExpectedRevision}},
		Then: []rrstore.Op{
			{Put: &rrstore.Put{Key: ConfigKey, Value: rrconfigdoc.Encode(call.Config)}},
			{Put: &rrstore.Put{Key: changeIDKey(version), Value: []byte(call.Config.ChangeID)}},
		},
		Else: []rrstore.Op{{Get: &rrstore.Range{Key: ConfigKey}}, {Get: &rrstore.Range{Key: changeIDKey(version)}}},
	}
	if version > KeptChangeIDs {
		t.Then = append(t.Then, rrstore.Op{Delete: &rrstore.Range{Key: changeIDKey(version - KeptChangeIDs)}})
	}
	return t
}

// compareFailedReply converts the response to a write whose comparison failed.
func compareFailedReply(call rrconf.StoreCall, out rrstore.TxnResult) rrconf.Reply {
	r := rrconf.Reply{CallID: call.ID, Outcome: rrconf.CompareFailed}
	if len(out.Results) != 2 {
		return rrconf.Reply{CallID: call.ID, Outcome: rrconf.Indeterminate}
	}
	if items := out.Results[0].Items; len(items) > 0 {
		r.ModRevision = items[0].Mod
		r.Current, _ = decode(items[0]) // zero if the stored document does not parse; a write may still replace it
	}
	if items := out.Results[1].Items; len(items) > 0 {
		r.VersionChangeID = string(items[0].Value)
	}
	return r
}

// decode parses and checks the document. With an error it returns the zero Config.
func decode(item rrstore.Item) (rrconf.Config, error) {
	cfg, err := rrconfigdoc.Decode(item.Value)
	if err != nil {
		return rrconf.Config{}, err
	}
	return cfg, nil
}

// Reading is the result of reading the configuration. It is zero if the store has no
// document.
type Reading struct {
	Config      rrconf.Config
	ModRevision int64
	Err         error // the store is unreachable or the document does not parse; the other fields are zero then
}

// maxRetryPause bounds the pause of Follow after a failure. The actual pause is
// random, between half of it and all of it.
const maxRetryPause = time.Second

// Follow reads the configuration and then watches it until ctx ends. It calls handle
// with each document, with a zero Reading if a read finds no document, and with each
// failure. It does not report a deletion that it watches. handle must not block for
// long.
func Follow(ctx context.Context, c *rrstore.Client, handle func(Reading)) error {
	for ctx.Err() == nil {
		if err := readAndWatch(ctx, c, handle); err != nil && ctx.Err() == nil {
			handle(Reading{Err: err})
		}
		wait := maxRetryPause/2 + rand.N(maxRetryPause/2)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// readAndWatch reads the configuration once and watches it until it has to be read
// again.
func readAndWatch(ctx context.Context, c *rrstore.Client, handle func(Reading)) error {
	result, err := c.Get(ctx, rrstore.Range{Key: ConfigKey})
	if err != nil {
		return err
	}
	if len(result.Items) == 0 {
		handle(Reading{})
	}
	for _, item := range result.Items {
		notify(item, handle)
	}
	next := result.Revision + 1
	for {
		from := next
		next, err = c.Watch(ctx, rrstore.Range{Key: ConfigKey}, from, func(e rrstore.Event) error {
			if !e.Deleted {
				notify(e.Item, handle)
			}
			return nil
		})
		var compacted *rrstore.CompactedError
		if errors.As(err, &compacted) || next == from {
			// Follow pauses and then reads again: the store has discarded changes that the
			// watch needs, or the watch ended without a change and may have missed some.
			return err
		}
	}
}

func notify(item rrstore.Item, handle func(Reading)) {
	cfg, err := decode(item)
	if err != nil {
		handle(Reading{Err: err})
		return
	}
	handle(Reading{Config: cfg, ModRevision: item.Mod})
}
