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

// model is what a test knows of a keeper from the outside: the state of every
// task and the sends in flight.
type model struct {
	t      *rapid.T
	k      *Dispatcher
	now    time.Time
	seq    uint64
	tasks  map[BatchKey][]taskState
	ends   map[BatchKey]time.Time // deadlines
	sends  []Dispatch
	ids    map[uint64]bool
	list   []rrtask.Minion
	said   map[string]bool // minions that said they leave, until a check passes
	barred map[string]bool // minions that are listed as leaving or not listed
}

// taskState counts what happened to one task.
type taskState struct {
	flying, started bool
	outcomes        int
	given, canceled bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, k: New(nil), now: epoch, tasks: map[BatchKey][]taskState{}, ends: map[BatchKey]time.Time{}, ids: map[uint64]bool{}, barred: map[string]bool{}, said: map[string]bool{}}
	m.list = fleet(4, 3)
	m.list[3].Capacity = rrtask.Resources{MilliCores: 4000}
	m.k.SetMinions(m.now, m.list)
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
	b := work(m.seq, rapid.SampledFrom([]string{"a", "b", "q"}).Draw(t, "tenant"), n, 100*time.Millisecond)
	b.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "patience")) * time.Millisecond)
	if rapid.IntRange(0, 4).Draw(t, "endless") == 0 {
		b.Deadline = time.Time{}
	}
	b.AcceptedAt = m.now
	for i := range b.Tasks {
		b.Tasks[i].DeclaredRunTime = time.Duration(rapid.IntRange(0, 900).Draw(t, "expect")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(t, "sized") == 0 {
			b.Tasks[i].Resources.MilliCores = 1500
		}
	}
	if !m.k.Add(m.now, b) {
		t.Fatalf("new batch %v refused as known", b.Key)
	}
	if m.k.Add(m.now, b) {
		t.Fatalf("batch %v taken twice", b.Key)
	}
	m.tasks[b.Key] = make([]taskState, n)
	m.ends[b.Key] = b.Deadline
}

func (m *model) take(t *rapid.T) {
	key := m.key()
	seen := map[int]bool{}
	for _, i := range m.k.Reclaim(m.now, key, rapid.IntRange(0, 5).Draw(t, "most")) {
		s := &m.tasks[key][i]
		if seen[i] || s.flying || s.started || s.canceled || s.outcomes > 0 {
			t.Fatalf("took back task %d of %v in state %+v", i, key, *s)
		}
		seen[i] = true
		s.given = true
	}
	for i, s := range m.tasks[key] {
		if s.given && !seen[i] {
			t.Fatalf("task %d of %v was given back before and is not listed now", i, key)
		}
	}
}

func (m *model) drop(t *rapid.T) {
	key := m.key()
	m.settle()
	want := 0
	for i := range m.tasks[key] {
		s := &m.tasks[key][i]
		if !s.flying && s.outcomes == 0 && !s.given && !s.canceled {
			s.canceled = true
			want++
		}
	}
	if got := m.k.CancelQueued(m.now, key); got != want {
		t.Fatalf("drop of %v: got %d tasks, want %d", key, got, want)
	}
}

func (m *model) finish(t *rapid.T) {
	if len(m.sends) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(m.sends)-1).Draw(t, "send")
	s := m.sends[i]
	m.sends = append(m.sends[:i], m.sends[i+1:]...)
	code := rapid.SampledFrom([]rrcode.Code{
		rrcode.Complete, rrcode.Complete, rrcode.Complete, rrcode.Complete, rrcode.TaskFailed,
		rrcode.ConnectionLost, rrcode.MinionRefused, rrcode.Unreachable,
	}).Draw(t, "code")
	f := DispatchResult{ID: s.ID, Result: rrtask.Result{Code: code, RunTime: 50 * time.Millisecond}}
	if code == rrcode.MinionRefused {
		f.Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
		m.said[s.Minion] = m.said[s.Minion] || f.Draining
	}
	if s.Minion == m.list[3].Name {
		f.WorkerUsage.MilliCores = rapid.Uint32Range(0, 9000).Draw(t, "usage")
	}
	m.k.HandleResult(m.now, f)
	m.k.HandleResult(m.now, f) // a repeat changes nothing
	state := &m.tasks[s.Key][s.Task.Index]
	state.flying = false
	state.started = state.started || code.Class() != rrcode.ClassNotRun
	m.settle()
}

// settle takes the outcomes and the sends, and checks each.
func (m *model) settle() {
	for _, s := range m.k.Dispatch(m.now, nil) {
		state := &m.tasks[s.Key][s.Task.Index]
		if state.flying || state.started || state.given || state.canceled || state.outcomes > 0 || m.ids[s.ID] {
			m.t.Fatalf("sent task %d of %v in state %+v", s.Task.Index, s.Key, *state)
		}
		if m.barred[s.Minion] || m.said[s.Minion] {
			m.t.Fatalf("sent a task to %s, which is leaving", s.Minion)
		}
		if end := m.ends[s.Key]; !end.IsZero() && !m.now.Before(end) {
			m.t.Fatalf("sent a task of %v after its deadline", s.Key)
		}
		state.flying = true
		m.ids[s.ID] = true
		m.sends = append(m.sends, s)
	}
	for _, o := range m.k.TakeOutcomes(nil) {
		state := &m.tasks[o.Key][o.Result.Index]
		notRun := o.Result.Code.Class() == rrcode.ClassNotRun
		if state.flying || state.given || state.canceled || state.outcomes > 0 || notRun == state.started {
			m.t.Fatalf("outcome %v of task %d of %v in state %+v", o.Result.Code, o.Result.Index, o.Key, *state)
		}
		state.outcomes++
	}
	busy := map[string]int{}
	for _, s := range m.sends {
		busy[s.Minion]++
		if busy[s.Minion] > 3 {
			m.t.Fatalf("%d sends in flight on %s", busy[s.Minion], s.Minion)
		}
	}
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	m.settle()
	m.probe(t)
	m.settle()
	if at := m.k.NextWakeup(m.now); !at.IsZero() && !at.After(m.now) {
		t.Fatalf("wakes at %v with nothing to do, now %v", at, m.now)
	}
}

func (m *model) relist(t *rapid.T) {
	i := rapid.IntRange(0, len(m.list)-1).Draw(t, "minion")
	m.list[i].Draining = rapid.Bool().Draw(t, "leaving")
	list := m.list
	m.barred = map[string]bool{}
	for _, l := range list {
		m.barred[l.Name] = l.Draining
	}
	if rapid.IntRange(0, 4).Draw(t, "vanish") == 0 {
		list = append(append([]rrtask.Minion{}, m.list[:i]...), m.list[i+1:]...)
		m.barred[m.list[i].Name] = true
	}
	m.k.SetMinions(m.now, list)
}

// probe checks the due minions; one that passes may get work again.
func (m *model) probe(t *rapid.T) {
	for _, p := range m.k.DueProbes(m.now, nil) {
		ok := rapid.Bool().Draw(t, "ok")
		m.k.HandleProbeResult(m.now, p.Minion, ok)
		m.said[p.Minion] = m.said[p.Minion] && !ok
	}
}

func (m *model) configure(t *rapid.T) {
	cfg := rrconf.Default()
	cfg.Tenants = []rrconf.Tenant{{Name: "q", Weight: 3, Quota: rapid.IntRange(0, 6).Draw(t, "quota")}}
	m.k.SetConfig(cfg, 12)
}

// order checks that orders are about tasks in flight on their minion.
func (m *model) order(t *rapid.T) {
	for _, o := range m.k.TaskCommands(m.now, nil) {
		found := false
		for _, s := range m.sends {
			found = found || s.Minion == o.Minion && s.Task.Index == o.TaskIndex
		}
		if !found {
			t.Fatalf("order %+v is about no task in flight", o)
		}
	}
}

// drain ends everything, woken by the keeper alone, and checks that every task has
// exactly one end.
func (m *model) drain(t *rapid.T) {
	for range 10000 {
		m.settle()
		for len(m.sends) > 0 {
			s := m.sends[0]
			m.sends = m.sends[1:]
			state := &m.tasks[s.Key][s.Task.Index]
			state.flying, state.started = false, true
			m.k.HandleResult(m.now, DispatchResult{ID: s.ID, Result: rrtask.Result{Code: rrcode.Complete}})
			m.settle()
		}
		if m.k.Load(m.now).QueuedTasks == 0 {
			break
		}
		at := m.k.NextWakeup(m.now)
		if at.IsZero() {
			t.Fatalf("tasks wait, nothing runs, and the keeper does not wake")
		}
		if at.After(m.now) {
			m.now = at
		}
		for _, p := range m.k.DueProbes(m.now, nil) {
			m.k.HandleProbeResult(m.now, p.Minion, true)
			m.said[p.Minion] = false
		}
	}
	for key, tasks := range m.tasks {
		for i, s := range tasks {
			ends := s.outcomes
			if s.given {
				ends++
			}
			if s.canceled {
				ends++
			}
			if ends != 1 && !(s.canceled && s.started && s.outcomes == 1) {
				t.Fatalf("task %d of %v ended %d times: %+v", i, key, ends, s)
			}
		}
		if q, r := m.k.Progress(key); q != 0 || r != 0 {
			t.Fatalf("%v has %d queued and %d running tasks after the end", key, q, r)
		}
	}
}

func TestModel(t *testing.T) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { t.Errorf("broken: %s", v.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"add": m.add, "add2": m.add, "finish": m.finish, "finish2": m.finish, "finish3": m.finish,
			"take": m.take, "drop": m.drop, "wait": m.wait, "relist": m.relist, "probe": m.probe, "order": m.order, "configure": m.configure,
			"rest": func(t *rapid.T) {
				m.k.SetRemainingWork(m.now, m.key(), time.Duration(rapid.IntRange(0, 9000).Draw(t, "rest"))*time.Millisecond)
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "leave") == 0 {
					m.k.Drain(m.now)
				}
			},
			"": func(*rapid.T) { m.settle() },
		})
		m.drain(t)
	})
}
