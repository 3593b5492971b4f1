package rrnode

import (
	"fmt"
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// entry runs one Node of a simulation.
type entry struct {
	s *sim
	rrtask.Entry
	incarnation uint64
	node        *Node
	alive       bool
	frozen      bool
	draining    bool
	listed      bool
	resumedAt   time.Time // when it last resumed
	started     time.Time
	delayed     []func() // what arrived while it is frozen
	version     uint64   // highest configuration version seen in this incarnation
}

// boot starts a new incarnation.
func (e *entry) boot() {
	e.incarnation++
	e.alive, e.frozen, e.draining, e.listed = true, false, false, true
	e.delayed = nil
	e.version = 0
	e.started = e.s.now
	e.resumedAt = e.s.now
	e.node = New(e.s.now, Options{Self: e.Entry, Incarnation: e.incarnation, Seed: e.s.rnd.Uint64()})
	e.tick(e.incarnation)
	e.readList(e.incarnation)
}

// run runs f in the given incarnation, or nothing if that one is dead. While the entry is
// frozen, f is delayed.
func (e *entry) run(incarnation uint64, f func()) {
	switch {
	case !e.alive || e.incarnation != incarnation:
	case e.frozen:
		e.delayed = append(e.delayed, func() { e.run(incarnation, f) })
	default:
		f()
	}
}

func (e *entry) tick(incarnation uint64) {
	if !e.alive || e.incarnation != incarnation {
		return
	}
	if !e.frozen && e.s.mutation != ticksLost {
		e.step(&Tick{})
	}
	e.s.schedule(tickInterval, func() { e.tick(incarnation) })
}

// readList reads the instance list periodically. The answer may be late.
func (e *entry) readList(incarnation uint64) {
	if !e.alive || e.incarnation != incarnation {
		return
	}
	entries, minions := e.s.platformList()
	reached := !e.s.platformUnreachable[e.Zone]
	e.s.schedule(e.s.randomBetween(time.Millisecond, 100*time.Millisecond), func() {
		e.run(incarnation, func() {
			if reached {
				e.step(&EntriesListed{List: entries})
				e.step(&MinionsListed{List: minions})
			}
			e.s.schedule(listInterval, func() { e.run(incarnation, func() { e.readList(incarnation) }) })
		})
	})
}

// kill ends the process. Its open connections break.
func (e *entry) kill() {
	e.alive = false
	e.delayed = nil
	for id := CallID(1); id <= e.s.lastCall; id++ {
		if c := e.s.calls[id]; c != nil && c.to == e {
			e.s.schedule(e.s.randomBetween(0, 5*time.Millisecond), func() { e.s.finishCall(id, rrcoord.DeliveryUnknown, nil) })
		}
	}
}

// resume resumes a frozen process. It handles everything that arrived meanwhile in order,
// with one tick at a random position.
func (e *entry) resume() {
	if !e.alive || !e.frozen {
		return
	}
	e.frozen = false
	e.resumedAt = e.s.now
	delayed := e.delayed
	e.delayed = nil
	at := e.s.rnd.IntN(len(delayed) + 1)
	for i, f := range delayed {
		if i == at {
			e.step(&Tick{})
		}
		f()
	}
}

// step passes an event to the core and carries out the effects.
func (e *entry) step(ev Event) {
	s := e.s
	s.steps++
	if _, ok := ev.(*PeerConfig); ok && s.mutation == configReverts {
		e.node.configManager = rrconf.Manager{}
		e.node.cfg.Version = 0
	}
	if s.mutation == evacuationIgnored {
		e.node.dispatcher.SetConfig(rrconf.Default(), 0)
	}
	eff := e.node.Step(s.now, ev)
	if got := e.node.Config().Version; got < e.version {
		s.fail(neverReverts, "%s went from version %d to %d", e.Name, e.version, got)
	}
	e.version = e.node.Config().Version
	s.traceEvent("%s %T %d %d %d", e.Name, ev, len(eff.Dispatches), len(eff.RunBatches), len(eff.Answers))
	for _, d := range eff.Dispatches {
		if z := s.minion(d.Minion).Zone; e.node.Config().IsEvacuated(z) {
			s.fail(evacuatedIsIdle, "%s with version %d sent a task to %s in zone %s", e.Name, e.version, d.Minion, z)
		}
	}
	e.carryOutWork(eff)
	e.carryOutControl(eff)
	for _, answer := range eff.Answers {
		s.checkJobAnswer(e, answer)
	}
}

// spawn runs f after a short random delay, as a goroutine of the entry does.
func (e *entry) spawn(f func()) {
	incarnation := e.incarnation
	e.s.schedule(e.s.randomBetween(0, 200*time.Microsecond), func() { e.run(incarnation, f) })
}

func (e *entry) carryOutWork(eff *Effects) {
	for _, dispatch := range eff.Dispatches {
		e.spawn(func() { e.s.dispatch(e, dispatch) })
	}
	for _, r := range eff.RunBatches {
		e.spawn(func() { e.sendRunBatch(r) })
	}
	for _, c := range eff.ClaimCalls {
		e.spawn(func() { e.s.callStore(e, c) })
	}
	for _, attach := range eff.Attaches {
		e.spawn(func() { e.sendAttach(attach) })
	}
	for _, m := range eff.AttachMisses {
		e.s.reply(CallID(m.Caller-attachCallerBase), m.Answer)
	}
	for _, r := range eff.RunBatchResponses {
		r.Results = slices.Clone(r.Results)
		r.Returned = slices.Clone(r.Returned)
		e.s.reply(r.Call, r)
	}
}

func (e *entry) sendRunBatch(r rrcoord.RunBatchCall) {
	timeout := max(time.Millisecond, r.Batch.Deadline.Add(5*time.Second).Sub(e.s.now))
	deliveries := 0
	handle := func(to *entry, id CallID) {
		b := r.Batch
		deliveries++
		if e.s.mutation == ownerForgetsBatches && deliveries > 1 {
			b.Key.Seq += 1 << 40
		}
		to.step(&RunBatchRequest{Call: id, Incarnation: r.Incarnation, Batch: b, Received: r.Received})
	}
	e.s.runBatchCalls[r.Batch.Job]++
	e.s.request(e, r.Addr, timeout, handle, func(delivery rrcoord.Delivery, v any) {
		out := rrcoord.RunBatchResult{Seq: r.Batch.Key.Seq, Delivery: delivery}
		if in, ok := v.(RunBatchResponse); ok {
			out = rrcoord.RunBatchResult{Seq: out.Seq, Code: in.Code, Results: in.Results, Returned: in.Returned, More: in.More, Incarnation: in.Incarnation, Load: in.Load}
		}
		e.step(&RunBatchDone{From: r.To, Reply: out})
	})
}

// controlTimeout is the timeout of calls that carry no work.
const controlTimeout = 2 * time.Second

// carryOutControl carries out the effects that carry no work.
func (e *entry) carryOutControl(eff *Effects) {
	for _, heartbeat := range eff.Heartbeats {
		e.spawn(func() { e.sendHeartbeat(heartbeat) })
	}
	for _, r := range eff.HeartbeatResponses {
		e.s.reply(r.Call, r)
	}
	for _, cancel := range eff.CancelBatches {
		e.spawn(func() {
			handle := func(to *entry, id CallID) {
				to.step(&CancelBatchesRequest{Call: id, Incarnation: cancel.Incarnation, Keys: cancel.Keys})
			}
			e.s.request(e, cancel.Addr, controlTimeout, handle, func(rrcoord.Delivery, any) {})
		})
	}
	for _, recall := range eff.Recalls {
		e.spawn(func() { e.sendRecall(recall) })
	}
	for _, r := range eff.RecallResponses {
		e.s.reply(r.Call, r)
	}
	for _, f := range eff.ConfigFetches {
		e.spawn(func() { e.fetchConfig(f) })
	}
	for _, p := range eff.Probes {
		e.spawn(func() { e.s.probe(e, p) })
	}
}

func (e *entry) sendHeartbeat(req HeartbeatCall) {
	handle := func(to *entry, id CallID) { to.step(&HeartbeatRequest{Call: id, Members: req.Members}) }
	e.s.request(e, req.Addr, controlTimeout, handle, func(delivery rrcoord.Delivery, v any) {
		out := &HeartbeatDone{To: req.To, Delivery: delivery}
		if r, ok := v.(HeartbeatResponse); ok {
			out.Members = r.Members
		}
		e.step(out)
	})
}

func (e *entry) sendRecall(req rrcoord.RecallCall) {
	handle := func(to *entry, id CallID) {
		to.step(&RecallRequest{Call: id, Incarnation: req.Incarnation, Key: req.Key, MaxTasks: req.MaxTasks})
	}
	e.s.request(e, req.Addr, controlTimeout, handle, func(_ rrcoord.Delivery, v any) {
		r, _ := v.(RecallResponse)
		e.step(&RecallDone{Seq: req.Key.Seq, Returned: r.Returned})
	})
}

func (e *entry) fetchConfig(req FetchConfigCall) {
	handle := func(to *entry, id CallID) { to.s.reply(id, to.node.Config()) }
	e.s.request(e, req.Addr, controlTimeout, handle, func(_ rrcoord.Delivery, v any) {
		if cfg, ok := v.(rrconf.Config); ok {
			e.step(&PeerConfig{Config: cfg})
		}
	})
}

// minion runs tasks in its slots.
type minion struct {
	rrtask.Minion
	incarnation      int
	busySlots        int
	dead             bool
	failsTasks       bool // every task fails
	refuses          bool // refuses every task
	listed           bool
	drainListedAt    time.Time // since when the list shows it as draining
	breakConnections []func()  // break the connections of running tasks
}

// kill ends the minion's process.
func (m *minion) kill() {
	m.dead = true
	m.incarnation++
	m.busySlots = 0
	for _, f := range m.breakConnections {
		f()
	}
	m.breakConnections = nil
}

// dispatch sends a task to its minion.
func (s *sim) dispatch(e *entry, d rrdispatcher.Dispatch) {
	incarnation := e.incarnation
	outcomes := 0
	finish := func(code rrcode.Code, r rrtask.Result, draining bool) {
		if outcomes++; outcomes > 1 {
			return
		}
		r.Code = code
		s.schedule(s.randomBetween(0, time.Millisecond), func() {
			e.run(incarnation, func() {
				e.step(&DispatchDone{Result: rrdispatcher.DispatchResult{ID: d.ID, Result: r, Draining: draining}})
			})
		})
	}
	m := s.minion(d.Minion)
	switch {
	case s.now.Sub(d.DecidedAt) > rrmembership.MaxPause: // io/rrentry drops dispatches this old
		finish(rrcode.Unreachable, rrtask.Result{}, false)
		return
	case m.dead || s.cut(e.Zone, m.Zone) || s.cut(m.Zone, e.Zone):
		code := rrcode.Unreachable
		if s.rnd.IntN(4) == 0 {
			code = rrcode.ConnectionLost
		}
		finish(code, rrtask.Result{}, false)
		return
	}
	s.checkDraining(e, m)
	s.schedule(s.latency(e.Zone, m.Zone), func() { s.arriveAtMinion(e, m, d, finish) })
}

// checkDraining checks that an entry dispatches no new task to a minion that the list
// shows as draining. An entry that can't read the list is not checked.
func (s *sim) checkDraining(e *entry, m *minion) {
	if !m.drainListedAt.IsZero() && s.now.Sub(m.drainListedAt) > drainNoticeTimeout && !s.platformUnreachable[e.Zone] {
		s.fail(drainingGetsNothing, "%s sent a task to %s, which has been listed as draining for %v", e.Name, m.Name, s.now.Sub(m.drainListedAt))
	}
}

// arriveAtMinion makes the minion refuse or run a task.
func (s *sim) arriveAtMinion(e *entry, m *minion, d rrdispatcher.Dispatch, finish func(rrcode.Code, rrtask.Result, bool)) {
	switch {
	case m.dead:
		finish(rrcode.ConnectionLost, rrtask.Result{}, false)
		return
	case m.refuses:
		finish(rrcode.MinionRefused, rrtask.Result{}, true)
		return
	case m.busySlots >= m.Slots:
		if !s.healedAt.IsZero() && s.now.Sub(s.healedAt) > convergenceTime {
			s.fail(withinSlots, "%s sent a task to %s, which is full", e.Name, m.Name)
		}
		finish(rrcode.MinionRefused, rrtask.Result{}, false)
		return
	}
	s.startTask(m, d)
	m.busySlots++
	incarnation := m.incarnation
	m.breakConnections = append(m.breakConnections, func() { finish(rrcode.ConnectionLost, rrtask.Result{}, false) })
	s.schedule(s.submissionOf(d.Task.Body).run, func() {
		if m.incarnation == incarnation {
			m.busySlots--
			s.endTask(m, d, finish)
		}
	})
}

// convergenceTime is how long after the last fault all entries have equal views and the
// tasks of previous owners have ended.
const convergenceTime = 15 * time.Second

// startTask counts a start and checks that it is allowed.
func (s *sim) startTask(m *minion, d rrdispatcher.Dispatch) {
	sub := s.submissionOf(d.Task.Body)
	id := fmt.Sprintf("%s/%d", d.Task.Body, d.Task.Index)
	if sub.nonIdempotent {
		id = fmt.Sprintf("%s/%d", sub.id, d.Task.Index)
	}
	s.starts[id]++
	s.startedJobs[sub.id] = true
	sub.started = true
	s.traceEvent("start %s %s", m.Name, id)
	if s.starts[id] > 1 {
		s.fail(startsOnce, "task %s of job %s started again on %s", id, d.Job, m.Name)
	}
	if sub.answeredNotRun {
		s.fail(notRunIsTrue, "task %s of job %s started after the answer", id, d.Job)
	}
	if sub.id != d.Job {
		s.fail(ownAnswer, "task %s of job %s started for %s", id, sub.id, d.Job)
	}
}

// endTask answers a dispatch, unless the answer is lost.
func (s *sim) endTask(m *minion, d rrdispatcher.Dispatch, finish func(rrcode.Code, rrtask.Result, bool)) {
	r := rrtask.Result{Body: expectedOutput(d.Task.Body, d.Task.Index), RunTime: s.submissionOf(d.Task.Body).run, Minion: m.Name}
	r.Index = d.Task.Index
	switch {
	case s.randomFault() && s.mutation == transportRetries:
		s.startTask(m, d)
	case s.randomFault() && s.mutation == lostReportedRefused:
		finish(rrcode.MinionRefused, rrtask.Result{}, false)
	case s.randomFault():
		finish(rrcode.ConnectionLost, rrtask.Result{}, false)
	case m.failsTasks:
		finish(rrcode.TaskFailed, rrtask.Result{Detail: "broken"}, false)
	default:
		finish(rrcode.Complete, r, false)
	}
}

// expectedOutput returns the correct result body of a task.
func expectedOutput(body []byte, index int) []byte {
	return fmt.Appendf(nil, "%s=%d", body, index)
}

// probe runs a health check.
func (s *sim) probe(e *entry, p rrdispatcher.Probe) {
	m := s.minion(p.Minion)
	ok := !m.dead && !m.refuses && !m.failsTasks && !s.cut(e.Zone, m.Zone) && !s.cut(m.Zone, e.Zone)
	e.spawn(func() { e.step(&ProbeDone{Minion: p.Minion, OK: ok}) })
}
