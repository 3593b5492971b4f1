package rrclaimstore

import (
	"context"

	"rattanring/core/rrclaim"
	"rattanring/io/rrstore"
)

// Store is the part of the key-value store client that claims use.
type Store interface {
	Txn(ctx context.Context, txn rrstore.Txn) (rrstore.TxnResult, error)
	DeleteRange(ctx context.Context, r rrstore.Range) (int64, error)
}

// Execute executes one call and blocks until it succeeds or fails.
func Execute(ctx context.Context, s Store, call rrclaim.StoreCall) rrclaim.Reply {
	if call.DeleteBefore != "" {
		_, err := s.DeleteRange(ctx, rrstore.Range{Key: rrclaim.KeyPrefix, End: call.DeleteBefore})
		return rrclaim.Reply{CallID: call.ID, Outcome: callOutcome(err)}
	}
	out, err := s.Txn(ctx, newTxn(call.Writes))
	if err != nil {
		return rrclaim.Reply{CallID: call.ID, Outcome: callOutcome(err)}
	}
	if out.Succeeded {
		return rrclaim.Reply{CallID: call.ID, Outcome: rrclaim.Committed, Revision: out.Revision}
	}
	states, ok := keyStates(call.Writes, out.Results)
	if !ok {
		return rrclaim.Reply{CallID: call.ID, Outcome: rrclaim.Indeterminate}
	}
	return rrclaim.Reply{CallID: call.ID, Outcome: rrclaim.CompareFailed, Current: states}
}

func callOutcome(err error) rrclaim.CallOutcome {
	if err == nil {
		return rrclaim.Committed
	}
	if rrstore.NotApplied(err) {
		return rrclaim.NotApplied
	}
	return rrclaim.Indeterminate
}

// newTxn returns a transaction that writes all keys if their revisions match and reads
// them otherwise.
func newTxn(writes []rrclaim.Write) rrstore.Txn {
	var t rrstore.Txn
	for _, w := range writes {
		t.If = append(t.If, rrstore.Condition{Key: w.Key, Field: rrstore.FieldModRevision, Value: w.ExpectedRevision})
		t.Then = append(t.Then, rrstore.Op{Put: &rrstore.Put{Key: w.Key, Value: Encode(w.Record)}})
		t.Else = append(t.Else, rrstore.Op{Get: &rrstore.Range{Key: w.Key}})
	}
	return t
}

// keyStates returns the state of the key of each write from the results of the reads,
// and false if the results don't match the keys.
func keyStates(writes []rrclaim.Write, results []rrstore.RangeResult) ([]rrclaim.KeyState, bool) {
	if len(results) != len(writes) {
		return nil, false
	}
	states := make([]rrclaim.KeyState, len(writes))
	for i, result := range results {
		if len(result.Items) == 0 {
			continue
		}
		item := result.Items[0]
		if len(result.Items) > 1 || item.Key != writes[i].Key || item.Mod <= 0 {
			return nil, false
		}
		states[i] = rrclaim.KeyState{ModRevision: item.Mod, Record: Decode(item.Value)}
	}
	return states, true
}
