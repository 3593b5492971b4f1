package rrentry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrnode"
	"rattanring/io/rrmetric"
)

const (
	requestQueueSize = 8192                  // requests waiting for the core
	tickInterval     = 20 * time.Millisecond // between two ticks of the core
)

// coreRequest is one item in the queue of the core loop: an event, or a query to run.
type coreRequest struct {
	event rrnode.Event
	query func(now time.Time, n *rrnode.Node)
}

// post queues an event for the core. It blocks while the queue is full.
func (e *Entry) post(ctx context.Context, ev rrnode.Event) error {
	return e.enqueue(ctx, coreRequest{event: ev})
}

// enqueue blocks while the queue is full.
func (e *Entry) enqueue(ctx context.Context, req coreRequest) error {
	select {
	case e.requests <- req:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return errStopped
	}
}

// report queues the result of an effect for the core. The core never waits for an
// effect, so this cannot deadlock.
func (e *Entry) report(ev rrnode.Event) {
	select {
	case e.requests <- coreRequest{event: ev}:
	case <-e.stopped:
	}
}

// query runs f on the core's goroutine and waits until it returns.
func (e *Entry) query(ctx context.Context, f func(now time.Time, n *rrnode.Node)) error {
	done := make(chan struct{})
	err := e.enqueue(ctx, coreRequest{query: func(now time.Time, n *rrnode.Node) {
		f(now, n)
		close(done)
	}})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return errStopped
	}
}

// coreService runs the core on a single goroutine.
type coreService struct {
	e *Entry
}

// Serve implements suture.Service.
func (s *coreService) Serve(ctx context.Context) error {
	e := s.e
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	tick := &rrnode.Tick{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case req := <-e.requests:
			e.handle(req)
		case <-ticker.C:
			e.handle(coreRequest{event: tick})
			e.publish(time.Now())
		}
	}
}

func (e *Entry) handle(req coreRequest) {
	now := time.Now()
	if req.query != nil {
		req.query(now, e.node)
		return
	}
	eff := e.node.Step(now, req.event)
	e.publishConfig()
	e.startEffects(now, eff)
}

// startEffects starts every effect without waiting for any of them.
func (e *Entry) startEffects(now time.Time, eff *rrnode.Effects) {
	for i := range eff.Dispatches {
		e.dispatch(now, eff.Dispatches[i])
	}
	for _, a := range eff.Answers {
		e.deliverAnswer(a)
	}
	for _, r := range eff.RunBatches {
		e.spawn(func(ctx context.Context) {
			e.report(&rrnode.RunBatchDone{From: r.To, RelayAddr: r.RelayAddr, Reply: e.peers.RunBatch(ctx, r)})
		})
	}
	e.deliverResponses(eff)
	e.startStoreEffects(eff)
	e.startControlEffects(eff)
}

// deliverResponses passes the core's responses to the calls that wait for them.
func (e *Entry) deliverResponses(eff *rrnode.Effects) {
	for _, r := range eff.RunBatchResponses {
		e.batchCalls.complete(uint64(r.Call), r)
	}
	for _, r := range eff.RecallResponses {
		e.recallCalls.complete(uint64(r.Call), r)
	}
	for _, r := range eff.CancelBatchesResponses {
		e.cancelBatchCalls.complete(uint64(r.Call), r)
	}
	for _, r := range eff.HeartbeatResponses {
		e.heartbeatCalls.complete(uint64(r.Call), r)
	}
	for _, r := range eff.CancelJobsResponses {
		e.cancelJobCalls.complete(uint64(r.Call), r)
	}
	for _, m := range eff.AttachMisses {
		e.callers.complete(uint64(m.Caller), m.Answer)
	}
}

// startControlEffects starts heartbeats, recalls, cancellations, configuration fetches,
// probes and task commands.
func (e *Entry) startControlEffects(eff *rrnode.Effects) {
	for _, b := range eff.Heartbeats {
		e.spawn(func(ctx context.Context) {
			members, delivery := e.peers.Heartbeat(ctx, b)
			e.report(&rrnode.HeartbeatDone{To: b.To, Delivery: delivery, Members: members})
		})
	}
	for _, r := range eff.Recalls {
		e.spawn(func(ctx context.Context) {
			e.report(e.peers.Recall(ctx, r))
		})
	}
	for _, d := range eff.CancelBatches {
		e.spawn(func(ctx context.Context) { e.peers.CancelBatches(ctx, d) })
	}
	for _, f := range eff.ConfigFetches {
		e.spawn(func(ctx context.Context) { e.fetchConfig(ctx, f) })
	}
	for _, p := range eff.Probes {
		e.spawn(func(ctx context.Context) {
			e.report(&rrnode.ProbeDone{Minion: p.Minion, OK: e.minions.Health(ctx, p)})
		})
	}
	for _, cmd := range eff.TaskCommands {
		e.spawn(func(ctx context.Context) { e.minions.SendCommand(ctx, cmd) })
	}
}

// spawn runs f on a goroutine. Its context ends when the entry has stopped.
func (e *Entry) spawn(f func(ctx context.Context)) {
	e.effects.Add(1)
	go func() {
		defer e.effects.Done()
		f(e.effectsCtx)
	}()
}

// dispatch sends one task to a minion and reports the result to the core.
func (e *Entry) dispatch(now time.Time, d rrdispatcher.Dispatch) {
	e.metrics.ObserveWait(d.Tenant, d.Class, now.Sub(d.AcceptedAt))
	e.spawn(func(ctx context.Context) {
		res := e.minions.Run(ctx, d)
		if res.Result.RunTime > 0 {
			e.metrics.ObserveRun(d.Tenant, d.Class, res.Result.RunTime)
		}
		e.report(&rrnode.DispatchDone{Result: res})
	})
}

// deliverAnswer passes an answer to the callers that wait for it.
func (e *Entry) deliverAnswer(a rrcoord.JobAnswer) {
	for _, caller := range a.Callers {
		e.callers.complete(uint64(caller), a.Answer)
	}
	e.metrics.CountAnswer(a.Answer.Code)
	e.metrics.ObserveResponse(a.Tenant, a.Class, a.Elapsed)
}

// publishConfig updates the copy of the active configuration from the core. It runs after
// each event and before the event's effects, since an operator who is told that a change
// was applied, and a peer that is told of a new version, read the copy next.
func (e *Entry) publishConfig() {
	if e.node.Config().Version == e.Config().Version {
		return
	}
	cfg, before := e.node.Config(), e.Config()
	e.config.Store(&cfg)
	e.logEvacuations(before.Evacuated, cfg)
	level.Info(e.logger).Log("msg", "configuration in force", "version", cfg.Version, "preset", cfg.Preset, "author", cfg.Author)
}

// publish updates the metrics, the store budget and the readiness from the core.
func (e *Entry) publish(now time.Time) {
	e.setStoreBudget(e.node.StoreClients(now))
	e.isReady.Store(e.node.Ready())
	totals := e.node.MessageTotals()
	for kind, total := range totals {
		e.metrics.AddMessages(rrmetric.MessageKinds[kind], int(total-e.publishedTotals[kind]))
	}
	e.publishedTotals = totals
	bytes := e.peers.ControlBytes()
	e.metrics.AddControlBytes(int(bytes - e.publishedControlBytes))
	e.publishedControlBytes = bytes
}

// checkDecisionAge rejects a dispatch that the core decided on more than MaxPause ago, for
// example because the process was paused. Another entry may own the minion by then.
func checkDecisionAge(d rrdispatcher.Dispatch) error {
	if time.Since(d.DecidedAt) > rrmembership.MaxPause {
		return errOwnershipExpired
	}
	return nil
}
