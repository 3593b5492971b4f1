package rrbook

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

// Do carries out one call and blocks until it has ended, however it does.
func Do(ctx context.Context, s Store, call rrclaim.Call) rrclaim.Reply {
	if call.Before != "" {
		_, err := s.DeleteRange(ctx, rrstore.Range{Key: rrclaim.Prefix, End: call.Before})
		return rrclaim.Reply{Call: call.ID, Ending: ending(err)}
	}
	out, err := s.Txn(ctx, txn(call.Writes))
	if err != nil {
		return rrclaim.Reply{Call: call.ID, Ending: ending(err)}
	}
	if out.Succeeded {
		return rrclaim.Reply{Call: call.ID, Ending: rrclaim.Written, Revision: out.Revision}
	}
	found, ok := foundIn(call.Writes, out.Pages)
	if !ok {
		return rrclaim.Reply{Call: call.ID, Ending: rrclaim.InDoubt}
	}
	return rrclaim.Reply{Call: call.ID, Ending: rrclaim.Compared, Found: found}
}

func ending(err error) rrclaim.Ending {
	if err == nil {
		return rrclaim.Written
	}
	if rrstore.NotApplied(err) {
		return rrclaim.NotApplied
	}
	return rrclaim.InDoubt
}

// txn compares and writes all keys, or reads them.
func txn(writes []rrclaim.Write) rrstore.Txn {
	var t rrstore.Txn
	for _, w := range writes {
		t.If = append(t.If, rrstore.If{Key: w.Key, Field: rrstore.Mod, Value: w.Expect})
		t.Then = append(t.Then, rrstore.Op{Put: &rrstore.Put{Key: w.Key, Value: Encode(w.Record)}})
		t.Else = append(t.Else, rrstore.Op{Get: &rrstore.Range{Key: w.Key}})
	}
	return t
}

// foundIn maps what was read to the writes, and reports false for an answer that
// is not about their keys.
func foundIn(writes []rrclaim.Write, pages []rrstore.Page) ([]rrclaim.Found, bool) {
	if len(pages) != len(writes) {
		return nil, false
	}
	found := make([]rrclaim.Found, len(writes))
	for i, p := range pages {
		if len(p.Items) == 0 {
			continue
		}
		item := p.Items[0]
		if len(p.Items) > 1 || item.Key != writes[i].Key || item.Mod <= 0 {
			return nil, false
		}
		found[i] = rrclaim.Found{Mod: item.Mod, Record: Decode(item.Value)}
	}
	return found, true
}
