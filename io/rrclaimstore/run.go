package rrclaimstore

import (
	"context"

	"rattanring/core/rrclaim"
	"rattanring/io/rrstore"
)

// Store is the part of the key-value service that claims use.
type Store interface {
	Txn(ctx context.Context, txn rrstore.Txn) (rrstore.Outcome, error)
	DeleteRange(ctx context.Context, r rrstore.Range) (int64, error)
}

// Execute carries out one call and blocks until it has ended, however it does.
func Execute(ctx context.Context, s Store, call rrclaim.StoreCall) rrclaim.Reply {
	if call.DeleteBefore != "" {
		_, err := s.DeleteRange(ctx, rrstore.Range{Key: rrclaim.KeyPrefix, End: call.DeleteBefore})
		return rrclaim.Reply{Call: call.ID, Outcome: ending(err)}
	}
	out, err := s.Txn(ctx, txn(call.Writes))
	if err != nil {
		return rrclaim.Reply{Call: call.ID, Outcome: ending(err)}
	}
	if out.Succeeded {
		return rrclaim.Reply{Call: call.ID, Outcome: rrclaim.Committed, Revision: out.Revision}
	}
	found, ok := foundIn(call.Writes, out.Pages)
	if !ok {
		return rrclaim.Reply{Call: call.ID, Outcome: rrclaim.Indeterminate}
	}
	return rrclaim.Reply{Call: call.ID, Outcome: rrclaim.CompareFailed, Current: found}
}

func ending(err error) rrclaim.CallOutcome {
	if err == nil {
		return rrclaim.Committed
	}
	if rrstore.NotApplied(err) {
		return rrclaim.NotApplied
	}
	return rrclaim.Indeterminate
}

// txn compares and writes all keys, or reads them.
func txn(writes []rrclaim.Write) rrstore.Txn {
	var t rrstore.Txn
	for _, w := range writes {
		t.If = append(t.If, rrstore.If{Key: w.Key, Field: rrstore.Mod, Value: w.ExpectedRevision})
		t.Then = append(t.Then, rrstore.Op{Put: &rrstore.Put{Key: w.Key, Value: Encode(w.Record)}})
		t.Else = append(t.Else, rrstore.Op{Get: &rrstore.Range{Key: w.Key}})
	}
	return t
}

// foundIn maps what was read to the writes, and reports false for an answer that
// is not about their keys.
func foundIn(writes []rrclaim.Write, pages []rrstore.Page) ([]rrclaim.KeyState, bool) {
	if len(pages) != len(writes) {
		return nil, false
	}
	found := make([]rrclaim.KeyState, len(writes))
	for i, p := range pages {
		if len(p.Items) == 0 {
			continue
		}
		item := p.Items[0]
		if len(p.Items) > 1 || item.Key != writes[i].Key || item.Mod <= 0 {
			return nil, false
		}
		found[i] = rrclaim.KeyState{ModRevision: item.Mod, Record: Decode(item.Value)}
	}
	return found, true
}
