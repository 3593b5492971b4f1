package rrentry

import (
	"context"
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrconf"
	"rattanring/core/rrnode"
	"rattanring/io/rrbook"
	"rattanring/io/rrchange"
)

// noStore is the time that a call takes when the settings name no store.
const noStore = time.Second

// keep carries out the calls of claims and of the configuration.
func (e *Entry) keep(eff *rrnode.Effects) {
	for _, c := range eff.Calls {
		e.spawn(func(ctx context.Context) { e.report(&rrnode.Claimed{Reply: e.claim(ctx, c)}) })
	}
	for _, w := range eff.Writes {
		e.spawn(func(ctx context.Context) { e.report(&rrnode.Wrote{Reply: e.change(ctx, w)}) })
	}
	for _, v := range eff.Verdicts {
		e.changes.done(v.Token, v)
	}
	for _, j := range eff.Joins {
		e.spawn(func(ctx context.Context) { e.report(e.join(ctx, j)) })
	}
}

func (e *Entry) claim(ctx context.Context, c rrclaim.Call) rrclaim.Reply {
	if e.store == nil {
		pause(ctx, noStore)
		return rrclaim.Reply{Call: c.ID, Ending: rrclaim.NotApplied}
	}
	r := rrbook.Do(ctx, e.store, c)
	e.storeAnswers(r.Ending == rrclaim.Written || r.Ending == rrclaim.Compared)
	return r
}

func (e *Entry) change(ctx context.Context, w rrconf.Write) rrconf.Reply {
	if e.store == nil {
		pause(ctx, noStore)
		return rrconf.Reply{ID: w.ID, Ending: rrconf.NotApplied}
	}
	r := rrchange.Do(ctx, e.store, w)
	e.storeAnswers(r.Ending == rrconf.Written || r.Ending == rrconf.Compared)
	return r
}

// join waits for the answer of the entry that holds a claim.
func (e *Entry) join(ctx context.Context, j rrnode.Join) *rrnode.Joined {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	a, sent := e.peers.Join(ctx, j.Addr, j.ID, j.Tenant)
	return &rrnode.Joined{ID: j.ID, Sent: sent, Answer: a}
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
	e.store.Budget.SetRates(share*float64(e.set.Writes), share*float64(e.set.Reads))
}
