package rrhost

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrscheduler"
	"rattanring/io/rrexecutor"
)

// reconcileExecutors starts and stops executors so that this process has one for each shard
// that it owns. The caller holds h.mu.
func (h *Host) reconcileExecutors() {
	for _, shard := range h.election.Shards() {
		owner, _ := h.election.Owner(shard)
		owned := owner.Name == h.Self.Name && owner.Incarnation == h.Self.Incarnation
		ex := h.executors[shard]
		switch {
		case ex != nil && !owned:
			ex.Stop()
			h.forgetExecutor(shard)
		case ex != nil && owner.FencingToken() > ex.FencingToken:
			ex.FencingToken = owner.FencingToken()
			ex.Post(&rrscheduler.FencingTokenRaised{FencingToken: ex.FencingToken})
		case ex == nil && owned && owner.FencingToken() > h.endedToken[shard]:
			h.startExecutor(shard, owner.FencingToken())
		}
	}
}

// startExecutor starts the executor of a shard that this process owns. The caller holds
// h.mu.
func (h *Host) startExecutor(shard string, token int64) {
	guarantees := h.Guarantees
	guarantees.HeldTasks = int(h.heldTasks.Load())
	guarantees.AwaitEvacuations = h.hasEvacuations()
	guarantees.FormerOwnerAliveAt = h.election.FormerOwnerAliveAt(shard, guarantees.MaxClaimTime())
	ex := rrexecutor.New(shard, token, guarantees)
	ex.Client = h.MinionClient
	ex.LogDecision = h.logDecision
	ex.CountCommand = h.Metrics.CountCommand
	ex.RecordTiming = h.recordTiming
	h.Metrics.CountTakeover()
	ex.CheckOwnership = func(ctx context.Context) bool { return h.ownsInStore(ctx, shard) }
	ex.OnMinionReleased = func(id string) { h.minionReleased(shard, ex, id) }
	h.executors[shard] = ex
	h.assignments[shard] = make(map[string]*assignment)
	h.registerShardMetrics(shard)
	h.postWarmups(ex)
	go ex.Run()
	go h.awaitExecutorEnd(shard, ex)
	h.noticePause()
	h.postEvacuations(shard) // before the first minion
	h.useRegistrationCopy(shard)
	h.assignMinions()
	h.adoptUnlistedMinions(shard)
	if h.minionsListed {
		h.postProfiles()
		h.postListSynced(shard)
	}
	signal(h.registrationsNeeded)
	level.Info(h.Logger).Log("msg", "executor of an owned shard started", "seat", shard, "token", token, "minions", len(h.registrations), "former", ageText(guarantees.FormerOwnerAliveAt))
}

// SetHeldTasks replaces the limit Guarantees.HeldTasks. Jobs that are held stay.
func (h *Host) SetHeldTasks(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldTasks.Store(int64(limit))
	for _, ex := range h.executors {
		ex.Post(&rrscheduler.HeldTasksLimited{Limit: limit})
	}
}

// forgetExecutor removes an executor and its assignments. The caller holds h.mu.
func (h *Host) forgetExecutor(shard string) {
	h.keepRegistrations(shard)
	delete(h.executors, shard)
	delete(h.assignments, shard)
	delete(h.listComplete, shard)
}

// awaitExecutorEnd waits for the end of an executor. If the executor ended by itself, a
// minion has seen a higher fencing token, and the shard is claimed again unless its new
// owner is known. If the store names a new owner, the claim fails and that owner is read.
func (h *Host) awaitExecutorEnd(shard string, ex *rrexecutor.Executor) {
	<-ex.Done()
	h.mu.Lock()
	defer h.mu.Unlock()
	level.Info(h.Logger).Log("msg", "executor of an owned shard ended", "seat", shard, "token", ex.FencingToken)
	if h.executors[shard] != ex {
		return
	}
	h.forgetExecutor(shard)
	h.endedToken[shard] = ex.FencingToken
	if owner, _ := h.election.Owner(shard); owner.FencingToken() > ex.FencingToken {
		h.reconcileExecutors()
		return
	}
	h.election.MarkFenced(time.Now(), shard)
	h.requestShardCheck()
}

// ownsInStore reports whether the store names this process as the owner of a shard. It
// retries until the store answers, and reports true if ctx ends first.
func (h *Host) ownsInStore(ctx context.Context, shard string) bool {
	for ctx.Err() == nil {
		item, err := h.Store.Get(ctx, shardPrefix+shard)
		if err == nil {
			var r memberRecord
			decodeErr := json.Unmarshal(item.Value, &r)
			return decodeErr == nil && r.Name == h.Self.Name && r.Incarnation == h.Self.Incarnation
		}
		sleep(ctx, minBackoff)
	}
	return true
}
