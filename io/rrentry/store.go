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

// noStoreDelay is how long a store call takes to fail if the settings name no store.
const noStoreDelay = time.Second

// startStoreEffects starts the store calls for claims and configuration changes and the
// Attach calls to coordinators of claimed jobs. It also passes the results of configuration
// changes to the calls that wait for them.
func (e *Entry) startStoreEffects(eff *rrnode.Effects) {
	for _, c := range eff.ClaimCalls {
		e.spawn(func(ctx context.Context) { e.report(&rrnode.ClaimCallDone{Reply: e.callClaimStore(ctx, c)}) })
	}
	for _, w := range eff.ConfigWrites {
		e.spawn(func(ctx context.Context) { e.report(&rrnode.ConfigWriteDone{Reply: e.writeConfig(ctx, w)}) })
	}
	for _, r := range eff.ConfigResults {
		e.configChangeCalls.complete(r.RequestID, r)
	}
	for _, a := range eff.Attaches {
		e.spawn(func(ctx context.Context) { e.report(e.attach(ctx, a)) })
	}
}

func (e *Entry) callClaimStore(ctx context.Context, c rrclaim.StoreCall) rrclaim.Reply {
	if e.store == nil {
		sleep(ctx, noStoreDelay)
		return rrclaim.Reply{CallID: c.ID, Outcome: rrclaim.NotApplied}
	}
	r := rrclaimstore.Execute(ctx, e.store, c)
	e.setStoreReachable(r.Outcome == rrclaim.Committed || r.Outcome == rrclaim.CompareFailed)
	return r
}

func (e *Entry) writeConfig(ctx context.Context, w rrconf.StoreCall) rrconf.Reply {
	if e.store == nil {
		sleep(ctx, noStoreDelay)
		return rrconf.Reply{CallID: w.ID, Outcome: rrconf.NotApplied}
	}
	r := rrchange.Write(ctx, e.store, w)
	e.setStoreReachable(r.Outcome == rrconf.Committed || r.Outcome == rrconf.CompareFailed)
	return r
}

// attach waits for the answer to a job at the entry that owns the job's claim.
func (e *Entry) attach(ctx context.Context, c rrnode.AttachCall) *rrnode.AttachDone {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	a, delivery := e.peers.Attach(ctx, c.Addr, c.ID, c.Tenant)
	return &rrnode.AttachDone{ID: c.ID, Delivery: delivery, Answer: a}
}

// storeShare is the fraction of the store's request rates that all entries together use.
// The rest is left to operators' tools.
const storeShare = 0.9

// setStoreBudget limits this entry to an equal share of the store's request rates.
func (e *Entry) setStoreBudget(entries int) {
	if e.store == nil || entries == e.budgetedEntries {
		return
	}
	e.budgetedEntries = entries
	share := storeShare / float64(entries)
	e.store.Budget.SetRates(share*float64(e.settings.StoreWriteRate), share*float64(e.settings.StoreReadRate))
}
