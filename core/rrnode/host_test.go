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

// entry runs one Node of a sim.
type entry struct {
	s *sim
	rrtask.Entry
	life    uint64
	node    *Node
	alive   bool
	frozen  bool
	leaving bool
	listed  bool
	thawed  time.Time // when it last resumed
	started time.Time
	inbox   []func() // what waits while it is frozen
	version uint64   // highest seen in this incarnation
}

// boot starts an incarnation.
func (e *entry) boot() {
	e.life++
	e.alive, e.frozen, e.leaving, e.listed = true, false, false, true
	e.inbox = nil
	e.version = 0
	e.started = e.s.now
	e.thawed = e.s.now
	e.node = New(e.s.now, Options{Self: e.Entry, Incarnation: e.life, Seed: e.s.rnd.Uint64()})
	e.tick(e.life)
	e.poll(e.life)
}

// do runs f unless the incarnation is gone, and later when it is frozen.
func (e *entry) do(life uint64, f func()) {
	switch {
	case !e.alive || e.life != life:
	case e.frozen:
		e.inbox = append(e.inbox, func() { e.do(life, f) })
	default:
		f()
	}
}

func (e *entry) tick(life uint64) {
	if !e.alive || e.life != life {
		return
	}
	if !e.frozen && e.s.mutate != tickLost {
		e.step(&Tick{})
	}
	e.s.after(tickTime, func() { e.tick(life) })
}

// poll reads the instance list, which may be late.
func (e *entry) poll(life uint64) {
	if !e.alive || e.life != life {
		return
	}
	entries, minions := e.s.list()
	reached := !e.s.away[e.Zone]
	e.s.after(e.s.between(time.Millisecond, 100*time.Millisecond), func() {
		e.do(life, func() {
			if reached {
				e.step(&EntriesListed{List: entries})
				e.step(&MinionsListed{List: minions})
			}
			e.s.after(pollTime, func() { e.do(life, func() { e.poll(life) }) })
		})
	})
}

// kill ends the process. Its open connections break.
func (e *entry) kill() {
	e.alive = false
	e.inbox = nil
	for id := CallID(1); id <= e.s.lastCall; id++ {
		if c := e.s.calls[id]; c != nil && c.to == e {
			e.s.after(e.s.between(0, 5*time.Millisecond), func() { e.s.finish(id, rrcoord.DeliveryUnknown, nil) })
		}
	}
}

// thaw resumes a frozen process: what has come meanwhile is handled in order, and
// one tick somewhere between.
func (e *entry) thaw() {
	if !e.alive || !e.frozen {
		return
	}
	e.frozen = false
	e.thawed = e.s.now
	inbox := e.inbox
	e.inbox = nil
	at := e.s.rnd.IntN(len(inbox) + 1)
	for i, f := range inbox {
		if i == at {
			e.step(&Tick{})
		}
		f()
	}
}

// step hands an event to the core and carries its effects out.
func (e *entry) step(ev Event) {
	s := e.s
	s.steps++
	if _, ok := ev.(*PeerConfig); ok && s.mutate == configReverts {
		e.node.register = rrconf.Manager{}
		e.node.cfg.Version = 0
	}
	eff := e.node.Step(s.now, ev)
	if got := e.node.Config().Version; got < e.version {
		s.fail(neverReverts, "%s went from version %d to %d", e.Name, e.version, got)
	}
	e.version = e.node.Config().Version
	s.note("%s %T %d %d %d", e.Name, ev, len(eff.TaskSends), len(eff.RunBatches), len(eff.Answers))
	e.work(eff)
	e.control(eff)
	for _, f := range eff.Answers {
		s.answered(e, f)
	}
}

// spawn does what a goroutine of the entry does a little later.
func (e *entry) spawn(f func()) {
	life := e.life
	e.s.after(e.s.between(0, 200*time.Microsecond), func() { e.do(life, f) })
}

func (e *entry) work(eff *Effects) {
	for _, st := range eff.TaskSends {
		e.spawn(func() { e.s.send(e, st) })
	}
	for _, r := range eff.RunBatches {
		e.spawn(func() { e.sendRun(r) })
	}
	for _, c := range eff.ClaimCalls {
		e.spawn(func() { e.s.callStore(e, c) })
	}
	for _, j := range eff.Attaches {
		e.spawn(func() { e.sendJoin(j) })
	}
	for _, m := range eff.AttachMisses {
		e.s.reply(CallID(m.Token-joinToken), m.Answer)
	}
	for _, r := range eff.RunBatchResponses {
		r.Results = slices.Clone(r.Results)
		r.Returned = slices.Clone(r.Returned)
		e.s.reply(r.Call, r)
	}
}

func (e *entry) sendRun(r rrcoord.RunBatchCall) {
	limit := max(time.Millisecond, r.Batch.Deadline.Add(5*time.Second).Sub(e.s.now))
	sends := 0
	handle := func(to *entry, id CallID) {
		b := r.Batch
		sends++
		if e.s.mutate == keeperForgets && sends > 1 {
			b.Key.Seq += 1 << 40
		}
		to.step(&RunBatchRequest{Call: id, Incarnation: r.Incarnation, Batch: b, Received: r.Received})
	}
	e.s.runs[r.Batch.Job]++
	e.s.request(e, r.Addr, limit, handle, func(sent rrcoord.Delivery, v any) {
		out := rrcoord.RunBatchResult{Seq: r.Batch.Key.Seq, Delivery: sent}
		if in, ok := v.(RunBatchResponse); ok {
			out = rrcoord.RunBatchResult{Seq: out.Seq, Code: in.Code, Results: in.Results, Returned: in.Returned, More: in.More, Incarnation: in.Incarnation, Load: in.Load}
		}
		e.step(&RunBatchDone{From: r.To, Reply: out})
	})
}

// controlLimit bounds calls that carry no work.
const controlLimit = 2 * time.Second

// control sends everything that is not work.
func (e *entry) control(eff *Effects) {
	for _, b := range eff.Heartbeats {
		e.spawn(func() { e.sendBeat(b) })
	}
	for _, r := range eff.HeartbeatResponses {
		e.s.reply(r.Call, r)
	}
	for _, d := range eff.CancelBatches {
		e.spawn(func() {
			handle := func(to *entry, id CallID) {
				to.step(&CancelBatchesRequest{Call: id, Incarnation: d.Incarnation, Keys: d.Keys})
			}
			e.s.request(e, d.Addr, controlLimit, handle, func(rrcoord.Delivery, any) {})
		})
	}
	for _, t := range eff.Recalls {
		e.spawn(func() { e.sendTake(t) })
	}
	for _, r := range eff.RecallResponses {
		e.s.reply(r.Call, r)
	}
	for _, f := range eff.ConfigFetches {
		e.spawn(func() { e.fetch(f) })
	}
	for _, p := range eff.Probes {
		e.spawn(func() { e.s.probe(e, p) })
	}
}

func (e *entry) sendBeat(b HeartbeatCall) {
	handle := func(to *entry, id CallID) { to.step(&HeartbeatRequest{Call: id, Members: b.Members}) }
	e.s.request(e, b.Addr, controlLimit, handle, func(sent rrcoord.Delivery, v any) {
		out := &HeartbeatDone{To: b.To, Delivery: sent}
		if r, ok := v.(HeartbeatResponse); ok {
			out.Members = r.Members
		}
		e.step(out)
	})
}

func (e *entry) sendTake(t rrcoord.RecallCall) {
	handle := func(to *entry, id CallID) {
		to.step(&RecallRequest{Call: id, Incarnation: t.Incarnation, Key: t.Key, MaxTasks: t.MaxTasks})
	}
	e.s.request(e, t.Addr, controlLimit, handle, func(_ rrcoord.Delivery, v any) {
		r, _ := v.(RecallResponse)
		e.step(&RecallDone{Seq: t.Key.Seq, Returned: r.Returned})
	})
}

func (e *entry) fetch(f FetchConfigCall) {
	handle := func(to *entry, id CallID) { to.s.reply(id, to.node.Config()) }
	e.s.request(e, f.Addr, controlLimit, handle, func(_ rrcoord.Delivery, v any) {
		if cfg, ok := v.(rrconf.Config); ok {
			e.step(&PeerConfig{Config: cfg})
		}
	})
}

// minion runs tasks in its slots.
type minion struct {
	rrtask.Minion
	life    int
	busy    int
	dead    bool
	broken  bool // fails everything
	leaving bool // refuses
	listed  bool
	leftAt  time.Time // since when the list says that it leaves
	running []func()  // break the connections of running tasks
}

// kill ends the minion's process.
func (m *minion) kill() {
	m.dead = true
	m.life++
	m.busy = 0
	for _, f := range m.running {
		f()
	}
	m.running = nil
}

// send carries a start to its minion.
func (s *sim) send(e *entry, st rrdispatcher.Dispatch) {
	life := e.life
	fates := 0
	finish := func(code rrcode.Code, r rrtask.Result, leaving bool) {
		if fates++; fates > 1 {
			return
		}
		r.Code = code
		s.after(s.between(0, time.Millisecond), func() {
			e.do(life, func() {
				e.step(&TaskSendDone{Finish: rrdispatcher.DispatchResult{ID: st.ID, Result: r, Draining: leaving}})
			})
		})
	}
	m := s.minion(st.Minion)
	switch {
	case s.now.Sub(st.DecidedAt) > rrmembership.MaxPause: // the guard of io/rrentry
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
	s.checkLeaving(e, m)
	s.after(s.delay(e.Zone, m.Zone), func() { s.arrive(e, m, st, finish) })
}

// checkLeaving asserts that nothing new goes to a minion that the list shows as
// leaving. An entry that cannot read the list does not know.
func (s *sim) checkLeaving(e *entry, m *minion) {
	if !m.leftAt.IsZero() && s.now.Sub(m.leftAt) > leaveTime && !s.away[e.Zone] {
		s.fail(leavingIdle, "%s sent a task to %s, which is listed as leaving for %v", e.Name, m.Name, s.now.Sub(m.leftAt))
	}
}

// arrive lets the minion refuse or run a task.
func (s *sim) arrive(e *entry, m *minion, st rrdispatcher.Dispatch, finish func(rrcode.Code, rrtask.Result, bool)) {
	switch {
	case m.dead:
		finish(rrcode.ConnectionLost, rrtask.Result{}, false)
		return
	case m.leaving:
		finish(rrcode.MinionRefused, rrtask.Result{}, true)
		return
	case m.busy >= m.Slots:
		if !s.settled.IsZero() && s.now.Sub(s.settled) > settleTime {
			s.fail(withinSlots, "%s sent a task to %s, which is full", e.Name, m.Name)
		}
		finish(rrcode.MinionRefused, rrtask.Result{}, false)
		return
	}
	s.begin(m, st)
	m.busy++
	life := m.life
	m.running = append(m.running, func() { finish(rrcode.ConnectionLost, rrtask.Result{}, false) })
	s.after(s.subOf(st.Task.Body).run, func() {
		if m.life == life {
			m.busy--
			s.end(m, st, finish)
		}
	})
}

// settleTime is how long after the last fault the views of all entries agree and
// the tasks of former keepers have ended.
const settleTime = 15 * time.Second

// begin counts a start.
func (s *sim) begin(m *minion, st rrdispatcher.Dispatch) {
	sub := s.subOf(st.Task.Body)
	id := fmt.Sprintf("%s/%d", st.Task.Body, st.Task.Index)
	if sub.once {
		id = fmt.Sprintf("%s/%d", sub.id, st.Task.Index)
	}
	s.starts[id]++
	s.ran[sub.id] = true
	sub.started = true
	s.note("start %s %s", m.Name, id)
	if s.starts[id] > 1 {
		s.fail(startsOnce, "task %s of job %s started again on %s", id, st.Job, m.Name)
	}
	if sub.notRun {
		s.fail(trueRefusal, "task %s of job %s started after the answer", id, st.Job)
	}
	if sub.id != st.Job {
		s.fail(ownAnswer, "task %s of job %s started for %s", id, sub.id, st.Job)
	}
}

// end answers a task, unless the answer is lost.
func (s *sim) end(m *minion, st rrdispatcher.Dispatch, finish func(rrcode.Code, rrtask.Result, bool)) {
	r := rrtask.Result{Body: output(st.Task.Body, st.Task.Index), RunTime: s.subOf(st.Task.Body).run, Minion: m.Name}
	r.Index = st.Task.Index
	switch {
	case s.chance() && s.mutate == transportResend:
		s.begin(m, st)
	case s.chance() && s.mutate == lostAsRefused:
		finish(rrcode.MinionRefused, rrtask.Result{}, false)
	case s.chance():
		finish(rrcode.ConnectionLost, rrtask.Result{}, false)
	case m.broken:
		finish(rrcode.TaskFailed, rrtask.Result{Detail: "broken"}, false)
	default:
		finish(rrcode.Complete, r, false)
	}
}

// output is the right result of a task.
func output(body []byte, index int) []byte {
	return fmt.Appendf(nil, "%s=%d", body, index)
}

// probe is a health check.
func (s *sim) probe(e *entry, p rrdispatcher.Probe) {
	m := s.minion(p.Minion)
	ok := !m.dead && !m.leaving && !m.broken && !s.cut(e.Zone, m.Zone) && !s.cut(m.Zone, e.Zone)
	e.spawn(func() { e.step(&ProbeDone{Minion: p.Minion, OK: ok}) })
}
