package rrentry

import (
	"context"
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrconf"
	"rattanring/core/rrnode"
	"rattanring/io/rrchange"
	"rattanring/io/rrclaimstore"
)

// noStore is the time that a call takes when the settings name no store.
const noStore = time.Second

// keep carries out the calls of claims and of the configuration.
func (e *Entry) keep(eff *rrnode.Effects) {
	for _, c := range eff.ClaimCalls {
		e.spawn(func(ctx context.Context) { e.report(&rrnode.ClaimCallDone{Reply: e.claim(ctx, c)}) })
	}
	for _, w := range eff.ConfigWrites {
		e.spawn(func(ctx context.Context) { e.report(&rrnode.ConfigWriteDone{Reply: e.change(ctx, w)}) })
	}
	for _, v := range eff.ConfigResults {
		e.changes.done(v.RequestID, v)
	}
	for _, j := range eff.Attaches {
		e.spawn(func(ctx context.Context) { e.report(e.join(ctx, j)) })
	}
}

func (e *Entry) claim(ctx context.Context, c rrclaim.StoreCall) rrclaim.Reply {
	if e.store == nil {
		pause(ctx, noStore)
		return rrclaim.Reply{Call: c.ID, Outcome: rrclaim.NotApplied}
	}
	r := rrclaimstore.Execute(ctx, e.store, c)
	e.storeAnswers(r.Outcome == rrclaim.Committed || r.Outcome == rrclaim.CompareFailed)
	return r
}

func (e *Entry) change(ctx context.Context, w rrconf.StoreCall) rrconf.Reply {
	if e.store == nil {
		pause(ctx, noStore)
		return rrconf.Reply{ID: w.ID, Outcome: rrconf.NotApplied}
	}
	r := rrchange.Do(ctx, e.store, w)
	e.storeAnswers(r.Outcome == rrconf.Committed || r.Outcome == rrconf.CompareFailed)
	return r
}

// join waits for the answer of the entry that holds a claim.
func (e *Entry) join(ctx context.Context, j rrnode.AttachCall) *rrnode.AttachDone {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	a, sent := e.peers.Join(ctx, j.Addr, j.ID, j.Tenant)
	return &rrnode.AttachDone{ID: j.ID, Delivery: sent, Answer: a}
}

// Shares of the store's rates that all entries together use; the rest is left to
// operators' tools.
const storeShare = 0.9

// budget divides the store's rates among the entries.
func (e *Entry) budget(entries int) {
	if e.store == nil || entries == e.sharers {
		return
	}
	e.sharers = entries
	share := storeShare / float64(entries)
	e.store.Budget.SetRates(share*float64(e.set.StoreWriteRate), share*float64(e.set.StoreReadRate))
}
