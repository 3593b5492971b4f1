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
	ringSize  = 8192                  // events that wait for the core
	tickEvery = 20 * time.Millisecond // between two ticks of the core
)

// item is what the core loop takes from its ring: an event or a question.
type item struct {
	ev  rrnode.Event
	ask func(now time.Time, n *rrnode.Node)
}

// post hands an event to the core and waits while the ring is full.
func (e *Entry) post(ctx context.Context, ev rrnode.Event) error {
	return e.push(ctx, item{ev: ev})
}

func (e *Entry) push(ctx context.Context, it item) error {
	select {
	case e.ring <- it:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return errStopped
	}
}

// report hands the end of an effect to the core. The core never waits for an
// effect, so this cannot deadlock.
func (e *Entry) report(ev rrnode.Event) {
	select {
	case e.ring <- item{ev: ev}:
	case <-e.stopped:
	}
}

// ask runs f on the core's goroutine and waits for its end.
func (e *Entry) ask(ctx context.Context, f func(now time.Time, n *rrnode.Node)) error {
	done := make(chan struct{})
	err := e.push(ctx, item{ask: func(now time.Time, n *rrnode.Node) {
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

// coreDuty is the one goroutine that runs the core.
type coreDuty struct {
	e *Entry
}

// Serve implements suture.Service.
func (d *coreDuty) Serve(ctx context.Context) error {
	e := d.e
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	tick := &rrnode.Tick{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case it := <-e.ring:
			e.step(it)
		case <-ticker.C:
			e.step(item{ev: tick})
			e.publish(time.Now())
		}
	}
}

func (e *Entry) step(it item) {
	now := time.Now()
	if it.ask != nil {
		it.ask(now, e.node)
		return
	}
	e.carryOut(now, e.node.Step(now, it.ev))
}

// carryOut starts every effect without waiting for any.
func (e *Entry) carryOut(now time.Time, eff *rrnode.Effects) {
	for i := range eff.TaskSends {
		e.start(now, eff.TaskSends[i])
	}
	for _, f := range eff.Answers {
		e.final(f)
	}
	for _, r := range eff.RunBatches {
		e.spawn(func(ctx context.Context) {
			e.report(&rrnode.RunBatchDone{From: r.To, RelayAddr: r.RelayAddr, Reply: e.peers.Run(ctx, r)})
		})
	}
	e.reply(eff)
	e.keep(eff)
	e.control(eff)
}

// reply hands replies to the requests that wait for them.
func (e *Entry) reply(eff *rrnode.Effects) {
	for _, r := range eff.RunBatchResponses {
		e.runs.done(uint64(r.Call), r)
	}
	for _, r := range eff.RecallResponses {
		e.takes.done(uint64(r.Call), r)
	}
	for _, r := range eff.CancelBatchesResponses {
		e.drops.done(uint64(r.Call), r)
	}
	for _, r := range eff.HeartbeatResponses {
		e.beats.done(uint64(r.Call), r)
	}
	for _, r := range eff.CancelJobsResponses {
		e.cancels.done(uint64(r.Call), r)
	}
	for _, m := range eff.AttachMisses {
		e.callers.done(uint64(m.Caller), m.Answer)
	}
}

// control sends the messages that are not work.
func (e *Entry) control(eff *rrnode.Effects) {
	for _, b := range eff.Heartbeats {
		e.spawn(func(ctx context.Context) {
			members, sent := e.peers.Beat(ctx, b)
			e.report(&rrnode.HeartbeatDone{To: b.To, Delivery: sent, Members: members})
		})
	}
	for _, t := range eff.Recalls {
		e.spawn(func(ctx context.Context) {
			e.report(e.peers.Take(ctx, t))
		})
	}
	for _, d := range eff.CancelBatches {
		e.spawn(func(ctx context.Context) { e.peers.Drop(ctx, d) })
	}
	for _, f := range eff.ConfigFetches {
		e.spawn(func(ctx context.Context) { e.fetch(ctx, f) })
	}
	for _, p := range eff.Probes {
		e.spawn(func(ctx context.Context) {
			e.report(&rrnode.ProbeDone{Minion: p.Minion, OK: e.minions.Health(ctx, p)})
		})
	}
	for _, o := range eff.TaskCommands {
		e.spawn(func(ctx context.Context) { e.minions.Order(ctx, o) })
	}
}

// spawn runs f until it ends or the entry stops for good.
func (e *Entry) spawn(f func(ctx context.Context)) {
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		f(e.workCtx)
	}()
}

// start sends one task to a minion.
func (e *Entry) start(now time.Time, s rrdispatcher.Dispatch) {
	e.metrics.ObserveWait(s.Tenant, s.Class, now.Sub(s.AcceptedAt))
	e.spawn(func(ctx context.Context) {
		f := e.minions.Run(ctx, s)
		if f.Result.RunTime > 0 {
			e.metrics.ObserveRun(s.Tenant, s.Class, f.Result.RunTime)
		}
		e.report(&rrnode.TaskSendDone{Result: f})
	})
}

// final hands an answer to the callers that wait for it.
func (e *Entry) final(f rrcoord.JobAnswer) {
	for _, t := range f.Callers {
		e.callers.done(uint64(t), f.Answer)
	}
	e.metrics.CountAnswer(f.Answer.Code)
	e.metrics.ObserveResponse(f.Tenant, f.Class, f.Elapsed)
}

// publish brings the state and the counters of the core to the metrics.
func (e *Entry) publish(at time.Time) {
	e.budget(e.node.StoreClients(at))
	e.isReady.Store(e.node.Ready())
	if cfg := e.node.Config(); cfg.Version != e.Config().Version {
		e.cfg.Store(&cfg)
		level.Info(e.logger).Log("msg", "configuration in force", "version", cfg.Version, "preset", cfg.Preset, "author", cfg.Author)
	}
	now := e.node.MessageTotals()
	for kind, total := range now {
		e.metrics.AddMessages(rrmetric.MessageKinds[kind], int(total-e.shown[kind]))
	}
	e.shown = now
	bytes := e.peers.ControlBytes()
	e.metrics.AddControlBytes(int(bytes - e.shownBytes))
	e.shownBytes = bytes
}

// guard vetoes a send that a frozen process would make long after the core
// decided on it, when another entry may keep the minion.
func guard(s rrdispatcher.Dispatch) error {
	if time.Since(s.DecidedAt) > rrmembership.MaxPause {
		return errLapsed
	}
	return nil
}
