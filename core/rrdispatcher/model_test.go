package rrdispatcher

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"

	"pgregory.net/rapid"
)

// model tracks a Dispatcher from the outside: the state of every task and the
// dispatches in flight.
type model struct {
	t             *rapid.T
	d             *Dispatcher
	now           time.Time
	seq           uint64
	tasks         map[BatchKey][]taskState
	deadlines     map[BatchKey]time.Time // zero for none
	dispatches    []Dispatch
	ids           map[uint64]bool
	listed        []rrtask.Minion
	drainReported map[string]bool // minions that answered that they are draining, until a check passes
	evacuated     rrconf.Config   // the active configuration
	excluded      map[string]bool // minions that are listed as draining or not listed
}

// taskState counts what happened to one task.
type taskState struct {
	inFlight, started   bool
	outcomes            int
	reclaimed, canceled bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, d: New(nil), now: testStart, tasks: map[BatchKey][]taskState{}, deadlines: map[BatchKey]time.Time{}, ids: map[uint64]bool{}, excluded: map[string]bool{}, drainReported: map[string]bool{}}
	m.listed = testMinions(4, 3)
	m.listed[3].Capacity = rrtask.Resources{MilliCores: 4000}
	for i := range m.listed {
		m.listed[i].Zone = []string{"a", "b"}[i%2]
	}
	m.d.SetMinions(m.now, m.listed)
	return m
}

func (m *model) key() BatchKey {
	if m.seq == 0 {
		m.t.Skip("no batch yet")
	}
	return BatchKey{"e1", 1, rapid.Uint64Range(1, m.seq).Draw(m.t, "seq")}
}

func (m *model) add(t *rapid.T) {
	m.seq++
	n := rapid.IntRange(1, 8).Draw(t, "tasks")
	b := testBatch(m.seq, rapid.SampledFrom([]string{"a", "b", "q"}).Draw(t, "tenant"), n, 100*time.Millisecond)
	b.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "timeoutMs")) * time.Millisecond)
	if rapid.IntRange(0, 4).Draw(t, "noDeadline") == 0 {
		b.Deadline = time.Time{}
	}
	b.AcceptedAt = m.now
	for i := range b.Tasks {
		b.Tasks[i].DeclaredRunTime = time.Duration(rapid.IntRange(0, 900).Draw(t, "declaredMs")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(t, "hasResources") == 0 {
			b.Tasks[i].Resources.MilliCores = 1500
		}
	}
	if !m.d.Add(m.now, b) {
		t.Fatalf("new batch %v refused as known", b.Key)
	}
	if m.d.Add(m.now, b) {
		t.Fatalf("batch %v accepted twice", b.Key)
	}
	m.tasks[b.Key] = make([]taskState, n)
	m.deadlines[b.Key] = b.Deadline
}

func (m *model) reclaim(t *rapid.T) {
	key := m.key()
	seen := map[int]bool{}
	for _, i := range m.d.Reclaim(m.now, key, rapid.IntRange(0, 5).Draw(t, "maxTasks")) {
		s := &m.tasks[key][i]
		if seen[i] || s.inFlight || s.started || s.canceled || s.outcomes > 0 {
			t.Fatalf("reclaimed task %d of %v in state %+v", i, key, *s)
		}
		seen[i] = true
		s.reclaimed = true
	}
	for i, s := range m.tasks[key] {
		if s.reclaimed && !seen[i] {
			t.Fatalf("task %d of %v was reclaimed before and is missing from the result", i, key)
		}
	}
}

func (m *model) cancel(t *rapid.T) {
	key := m.key()
	m.dispatchAndCheck()
	want := 0
	for i := range m.tasks[key] {
		s := &m.tasks[key][i]
		if !s.inFlight && s.outcomes == 0 && !s.reclaimed && !s.canceled {
			s.canceled = true
			want++
		}
	}
	if got := m.d.CancelQueued(m.now, key); got != want {
		t.Fatalf("cancellation of %v: got %d tasks, want %d", key, got, want)
	}
}

func (m *model) finish(t *rapid.T) {
	if len(m.dispatches) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(m.dispatches)-1).Draw(t, "dispatch")
	dispatch := m.dispatches[i]
	m.dispatches = append(m.dispatches[:i], m.dispatches[i+1:]...)
	code := rapid.SampledFrom([]rrcode.Code{
		rrcode.Complete, rrcode.Complete, rrcode.Complete, rrcode.Complete, rrcode.TaskFailed,
		rrcode.ConnectionLost, rrcode.MinionRefused, rrcode.Unreachable,
	}).Draw(t, "code")
	res := DispatchResult{ID: dispatch.ID, Result: rrtask.Result{Code: code, RunTime: 50 * time.Millisecond}}
	if code == rrcode.MinionRefused {
		res.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
		m.drainReported[dispatch.Minion] = m.drainReported[dispatch.Minion] || res.Draining
	}
	if dispatch.Minion == m.listed[3].Name {
		res.WorkerUsage.MilliCores = rapid.Uint32Range(0, 9000).Draw(t, "usage")
	}
	m.d.HandleResult(m.now, res)
	m.d.HandleResult(m.now, res) // a repeat changes nothing
	state := &m.tasks[dispatch.Key][dispatch.Task.Index]
	state.inFlight = false
	state.started = state.started || code.Class() != rrcode.ClassNotRun
	m.dispatchAndCheck()
}

// dispatchAndCheck calls Dispatch and TakeOutcomes, and checks each dispatch and outcome.
func (m *model) dispatchAndCheck() {
	for _, dispatch := range m.d.Dispatch(m.now, nil) {
		state := &m.tasks[dispatch.Key][dispatch.Task.Index]
		if state.inFlight || state.started || state.reclaimed || state.canceled || state.outcomes > 0 || m.ids[dispatch.ID] {
			m.t.Fatalf("dispatched task %d of %v in state %+v", dispatch.Task.Index, dispatch.Key, *state)
		}
		if m.excluded[dispatch.Minion] || m.drainReported[dispatch.Minion] {
			m.t.Fatalf("dispatched a task to %s, which is draining or not listed", dispatch.Minion)
		}
		for _, l := range m.listed {
			if l.Name == dispatch.Minion && m.evacuated.IsEvacuated(l.Zone) {
				m.t.Fatalf("dispatched a task to %s, whose zone is evacuated", dispatch.Minion)
			}
		}
		if deadline := m.deadlines[dispatch.Key]; !deadline.IsZero() && !m.now.Before(deadline) {
			m.t.Fatalf("dispatched a task of %v after its deadline", dispatch.Key)
		}
		state.inFlight = true
		m.ids[dispatch.ID] = true
		m.dispatches = append(m.dispatches, dispatch)
	}
	for _, o := range m.d.TakeOutcomes(nil) {
		state := &m.tasks[o.Key][o.Result.Index]
		notRun := o.Result.Code.Class() == rrcode.ClassNotRun
		if state.inFlight || state.reclaimed || state.canceled || state.outcomes > 0 || notRun == state.started {
			m.t.Fatalf("outcome %v of task %d of %v in state %+v", o.Result.Code, o.Result.Index, o.Key, *state)
		}
		state.outcomes++
	}
	inFlight := map[string]int{}
	for _, dispatch := range m.dispatches {
		inFlight[dispatch.Minion]++
		if inFlight[dispatch.Minion] > 3 {
			m.t.Fatalf("%d dispatches in flight on %s", inFlight[dispatch.Minion], dispatch.Minion)
		}
	}
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	m.dispatchAndCheck()
	m.probe(t)
	m.dispatchAndCheck()
	if at := m.d.NextWakeup(m.now); !at.IsZero() && !at.After(m.now) {
		t.Fatalf("NextWakeup returned %v, which is not after now (%v)", at, m.now)
	}
}

func (m *model) changeList(t *rapid.T) {
	i := rapid.IntRange(0, len(m.listed)-1).Draw(t, "minion")
	m.listed[i].Draining = rapid.Bool().Draw(t, "draining")
	list := m.listed
	m.excluded = map[string]bool{}
	for _, l := range list {
		m.excluded[l.Name] = l.Draining
	}
	if rapid.IntRange(0, 4).Draw(t, "unlisted") == 0 {
		list = append(append([]rrtask.Minion{}, m.listed[:i]...), m.listed[i+1:]...)
		m.excluded[m.listed[i].Name] = true
	}
	m.d.SetMinions(m.now, list)
}

// probe answers the health checks that are due. A minion that passes may get tasks again.
func (m *model) probe(t *rapid.T) {
	for _, p := range m.d.DueProbes(m.now, nil) {
		ok := rapid.Bool().Draw(t, "ok")
		m.d.HandleProbeResult(m.now, p.Minion, ok)
		m.drainReported[p.Minion] = m.drainReported[p.Minion] && !ok
	}
}

func (m *model) configure(t *rapid.T) {
	cfg := rrconf.Default()
	cfg.Tenants = []rrconf.Tenant{{Name: "q", Weight: 3, Quota: rapid.IntRange(0, 6).Draw(t, "quota")}}
	cfg.Evacuated = rapid.SampledFrom([][]string{nil, nil, {"a"}, {"b"}, {"a", "b"}}).Draw(t, "evacuated")
	m.d.SetConfig(cfg, 12)
	m.evacuated = cfg
}

// checkCommands checks that commands name tasks in flight on their minion.
func (m *model) checkCommands(t *rapid.T) {
	for _, command := range m.d.TaskCommands(m.now, nil) {
		found := false
		for _, dispatch := range m.dispatches {
			found = found || dispatch.Minion == command.Minion && dispatch.Task.Index == command.TaskIndex
		}
		if !found {
			t.Fatalf("command %+v names no task in flight", command)
		}
	}
}

// runToEnd completes all tasks, advancing the time only to NextWakeup, and checks that
// every task ended exactly once.
func (m *model) runToEnd(t *rapid.T) {
	for range 10000 {
		m.dispatchAndCheck()
		for len(m.dispatches) > 0 {
			s := m.dispatches[0]
			m.dispatches = m.dispatches[1:]
			state := &m.tasks[s.Key][s.Task.Index]
			state.inFlight, state.started = false, true
			m.d.HandleResult(m.now, DispatchResult{ID: s.ID, Result: rrtask.Result{Code: rrcode.Complete}})
			m.dispatchAndCheck()
		}
		if m.d.Load(m.now).QueuedTasks == 0 {
			break
		}
		at := m.d.NextWakeup(m.now)
		if at.IsZero() {
			t.Fatalf("tasks are queued, none runs, and NextWakeup returns no time")
		}
		if at.After(m.now) {
			m.now = at
		}
		for _, p := range m.d.DueProbes(m.now, nil) {
			m.d.HandleProbeResult(m.now, p.Minion, true)
			m.drainReported[p.Minion] = false
		}
	}
	for key, tasks := range m.tasks {
		for i, s := range tasks {
			ends := s.outcomes
			if s.reclaimed {
				ends++
			}
			if s.canceled {
				ends++
			}
			if ends != 1 && !(s.canceled && s.started && s.outcomes == 1) {
				t.Fatalf("task %d of %v ended %d times: %+v", i, key, ends, s)
			}
		}
		if q, r := m.d.Progress(key); q != 0 || r != 0 {
			t.Fatalf("%v has %d queued and %d running tasks after the end", key, q, r)
		}
	}
}

func TestModel(t *testing.T) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { t.Errorf("invariant violated: %s", v.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add, "add2": m.add, "finish": m.finish, "finish2": m.finish, "finish3": m.finish,
			"take": m.reclaim, "drop": m.cancel, "wait": m.wait, "relist": m.changeList, "probe": m.probe, "order": m.checkCommands, "configure": m.configure,
			"rest": func(t *rapid.T) {
				m.d.SetRemainingWork(m.now, m.key(), time.Duration(rapid.IntRange(0, 9000).Draw(t, "remainingMs"))*time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "drain") == 0 {
					m.d.Drain(m.now)
				}
			},
			"": func(*rapid.T) { m.dispatchAndCheck() },
		})
		m.runToEnd(t)
	})
}
