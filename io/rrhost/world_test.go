package rrhost

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrelection"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrroute"
	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/io/rrexecutor"
	"rattanring/io/rrlog"
	"rattanring/io/rrmetric"
	"rattanring/io/rrstore"
)

var errAway = &rrstore.Error{Op: "test", Err: errors.New("away")}

// memory is a store in memory.
type memory struct {
	mu    sync.Mutex
	rev   int64
	items map[string]rrstore.Item
	log   []rrstore.Event
	wake  chan struct{}
	away  bool
	lease int64
}

func newMemory() *memory {
	return &memory{rev: 1, items: make(map[string]rrstore.Item), wake: make(chan struct{})}
}

func (m *memory) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
	m.changed()
}

func (m *memory) changed() {
	close(m.wake)
	m.wake = make(chan struct{})
}

func (m *memory) put(put rrstore.Put) int64 {
	m.rev++
	it := rrstore.Item{Key: put.Key, Value: put.Value, Mod: m.rev, Lease: put.Lease}
	m.items[put.Key] = it
	m.log = append(m.log, rrstore.Event{Item: it})
	m.changed()
	return m.rev
}

func (m *memory) remove(key string) {
	m.rev++
	delete(m.items, key)
	m.log = append(m.log, rrstore.Event{Deleted: true, Item: rrstore.Item{Key: key, Mod: m.rev}})
	m.changed()
}

// Get implements Store.
func (m *memory) Get(_ context.Context, key string) (rrstore.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return rrstore.Item{}, errAway
	}
	return m.items[key], nil
}

// List implements Store.
func (m *memory) List(_ context.Context, prefix string) ([]rrstore.Item, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return nil, 0, errAway
	}
	var out []rrstore.Item
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out, m.rev, nil
}

// WaitForChanges implements Store.
func (m *memory) WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]rrstore.Event, int64, error) {
	end := time.After(wait)
	for {
		m.mu.Lock()
		if m.away {
			m.mu.Unlock()
			return nil, after, errAway
		}
		var out []rrstore.Event
		for _, e := range m.log {
			if e.Item.Mod > after && strings.HasPrefix(e.Item.Key, prefix) {
				out = append(out, e)
			}
		}
		rev, wake := m.rev, m.wake
		m.mu.Unlock()
		if len(out) > 0 {
			return out, rev, nil
		}
		select {
		case <-wake:
		case <-end:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// CompareAndSwap implements Store.
func (m *memory) CompareAndSwap(_ context.Context, put rrstore.Put, expect int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.away:
		return 0, errAway
	case m.items[put.Key].Mod != expect:
		return 0, nil
	}
	return m.put(put), nil
}

// GrantLease implements Store.
func (m *memory) GrantLease(context.Context, time.Duration) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return 0, errAway
	}
	m.lease++
	return m.lease, nil
}

// KeepAlive implements Store.
func (m *memory) KeepAlive(context.Context, int64) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return false, errAway
	}
	return true, nil
}

// RevokeLease implements Store.
func (m *memory) RevokeLease(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return errAway
	}
	for k, it := range m.items {
		if it.Lease == lease {
			m.remove(k)
		}
	}
	return nil
}

// reader reads the documents of these tests.
type reader struct{}

func (reader) DecodeConfig([]byte) (*rrroute.Table, error) {
	return rrroute.NewTable(1, nil, rrroute.Limits{}), nil
}

func (reader) DecodeMinion(it rrstore.Item) (rrscheduler.Minion, error) {
	words := strings.Fields(string(it.Value))
	return rrscheduler.Minion{
		ID: words[1], Addr: words[1], Zone: words[0], Service: "s", Labels: words[2:],
		Capacity: rrtask.Resources{MilliCores: 64_000, MemoryBytes: 1 << 40},
	}, nil
}

// minions run tasks in real time and note every start.
type minions struct {
	t    testing.TB
	work time.Duration
	fail bool // all runs fail

	mu      sync.Mutex
	tokens  map[string]int64
	running map[string]map[rrscheduler.RunID]time.Time // by minion, with the end
	ends    map[string][]rrscheduler.FinishedRun
	n       map[string]int64
	done    map[rrscheduler.TaskID]bool
	starts  int
}

func newMinions(t testing.TB, work time.Duration) *minions {
	return &minions{
		t: t, work: work, tokens: make(map[string]int64), running: make(map[string]map[rrscheduler.RunID]time.Time),
		ends: make(map[string][]rrscheduler.FinishedRun), n: make(map[string]int64), done: make(map[rrscheduler.TaskID]bool),
	}
}

// fence notes a token, and reports whether it counts. The caller holds m.mu.
func (m *minions) fence(id string, token int64) bool {
	if token < m.tokens[id] {
		return false
	}
	m.tokens[id] = token
	return true
}

// settle ends what is due. The caller holds m.mu.
func (m *minions) settle(id string) {
	for run, end := range m.running[id] {
		if time.Now().After(end) {
			m.end(id, run, m.how())
		}
	}
}

// how is how runs end.
func (m *minions) how() rrscheduler.RunOutcome {
	if m.fail {
		return rrscheduler.RunFailed
	}
	return rrscheduler.RunSucceeded
}

// started returns the number of starts.
func (m *minions) started() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts
}

func (m *minions) end(id string, run rrscheduler.RunID, how rrscheduler.RunOutcome) {
	delete(m.running[id], run)
	m.n[id]++
	m.ends[id] = append(m.ends[id], rrscheduler.FinishedRun{EndSeq: m.n[id], Run: run, Outcome: how})
	if how == rrscheduler.RunSucceeded {
		m.done[run.Task] = true
	}
}

// StartRun implements rrexecutor.MinionClient.
func (m *minions) StartRun(_ context.Context, s *rrscheduler.StartRun) *rrscheduler.StartRunDone {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &rrscheduler.StartRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandOK, MinionClockMs: time.Now().UnixMilli()}
	m.settle(s.MinionID)
	if !m.fence(s.MinionID, s.FencingToken) {
		out.Status = rrscheduler.CommandFenced
		return out
	}
	for id := range m.running {
		for run, end := range m.running[id] {
			if run.Task == s.Run.Task && time.Now().Before(end) {
				m.t.Errorf("%v starts on %s while run %d goes on on %s", s.Run, s.MinionID, run.Attempt, id)
			}
		}
	}
	if m.running[s.MinionID] == nil {
		m.running[s.MinionID] = make(map[rrscheduler.RunID]time.Time)
	}
	m.running[s.MinionID][s.Run] = time.Now().Add(m.work)
	m.starts++
	return out
}

// StopRun implements rrexecutor.MinionClient.
func (m *minions) StopRun(_ context.Context, s *rrscheduler.StopRun) *rrscheduler.StopRunDone {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.fence(s.MinionID, s.FencingToken) {
		return &rrscheduler.StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandFenced}
	}
	if _, ok := m.running[s.MinionID][s.Run]; ok {
		m.end(s.MinionID, s.Run, rrscheduler.RunStopped)
	}
	return &rrscheduler.StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandOK}
}

// PollMinion implements rrexecutor.MinionClient.
func (m *minions) PollMinion(ctx context.Context, h *rrscheduler.PollMinion) *rrscheduler.PollMinionDone {
	end := time.Now().Add(h.MaxWait)
	for {
		if out := m.look(h); out != nil && (out.Status != rrscheduler.CommandOK || len(out.FinishedRuns) > 0 || !time.Now().Before(end)) {
			return out
		}
		if !sleep(ctx, 5*time.Millisecond) {
			return &rrscheduler.PollMinionDone{MinionID: h.MinionID, PollSeq: h.PollSeq, Status: rrscheduler.CommandOutcomeUnknown}
		}
	}
}

func (m *minions) look(h *rrscheduler.PollMinion) *rrscheduler.PollMinionDone {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &rrscheduler.PollMinionDone{MinionID: h.MinionID, PollSeq: h.PollSeq, Status: rrscheduler.CommandOK, MinionClockMs: time.Now().UnixMilli()}
	if !m.fence(h.MinionID, h.FencingToken) {
		out.Status = rrscheduler.CommandFenced
		return out
	}
	m.settle(h.MinionID)
	m.ends[h.MinionID] = slices.DeleteFunc(m.ends[h.MinionID], func(e rrscheduler.FinishedRun) bool { return e.EndSeq <= h.AckedEndSeq })
	out.FinishedRuns = slices.Clone(m.ends[h.MinionID])
	for run, end := range m.running[h.MinionID] {
		left := 100 * time.Until(end) / m.work
		out.RunningRuns = append(out.RunningRuns, rrscheduler.RunProgress{Run: run, Percent: max(1, 100-int(left))})
	}
	return out
}

// world is a fleet of hosts on the loopback interface.
type world struct {
	t       testing.TB
	zones   []string
	seeds   []string
	shares  map[string]float64 // of a core, by host; 0.4 for others
	store   *memory
	minions *minions
	orders  rrexecutor.MinionClient // in place of minions; nil for these
	hosts   map[string]*member
	books   map[string]*book                // log of each host
	used    func(name string) time.Duration // processor time of each host; nil for none
	bytes   atomic.Int64                    // between hosts, both ways
}

// member is one running host.
type member struct {
	*Host
	server *http.Server
	stop   context.CancelFunc
	ended  chan struct{}
	dead   bool
}

func newWorld(t testing.TB, work time.Duration) *world {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) { t.Errorf("broken invariant: %s", v.Name()) })
	w := &world{t: t, zones: []string{"a", "b"}, store: newMemory(), minions: newMinions(t, work), hosts: make(map[string]*member), books: make(map[string]*book)}
	w.store.put(rrstore.Put{Key: "config", Value: []byte("1")})
	t.Cleanup(func() {
		for _, m := range w.hosts {
			m.kill()
		}
		rrinvariant.SetViolationHandler(nil)
	})
	return w
}

// minion lists a minion of a zone.
func (w *world) minion(zone, id string, labels ...string) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	text := strings.Join(append([]string{zone, id}, labels...), " ")
	w.store.put(rrstore.Put{Key: "minions/" + id, Value: []byte(text)})
}

// host starts a host. A name that ran before gets its old address again.
func (w *world) host(name, zone string) *member {
	w.t.Helper()
	addr := "127.0.0.1:0"
	if old := w.hosts[name]; old != nil {
		addr = old.Self.Addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		w.t.Fatal(err)
	}
	self := rrelection.Member{Name: name, Addr: ln.Addr().String(), Zone: zone, CPUCores: cmp.Or(w.shares[name], 0.4), Incarnation: time.Now().UnixNano()}
	logger := log.With(rrlog.New(w.book(name), rrlog.Options{}), "host", name)
	h := New(Options{
		Self: self, Zones: w.zones, Seeds: w.seeds, Keys: StoreKeys{MinionPrefix: "minions/", ConfigKey: "config"},
		Guarantees: rrscheduler.MinionGuarantees{MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond},
		Store:      w.store, Reader: reader{}, Minions: w.carrier(), Logger: logger, Metrics: &rrmetric.Metrics{},
		CPUTime: func() time.Duration { return w.usedBy(name) },
	})
	ctx, stop := context.WithCancel(context.Background())
	m := &member{Host: h, server: &http.Server{Handler: h.PeerHandler()}, stop: stop, ended: make(chan struct{})}
	w.hosts[name] = m
	go m.server.Serve(w.count(ln))
	go func() {
		defer close(m.ended)
		h.Run(ctx)
	}()
	return m
}

// count counts what the connections of a listener carry.
func (w *world) count(ln net.Listener) net.Listener { return &countedListener{ln, &w.bytes} }

type countedListener struct {
	net.Listener
	n *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.n}, nil
}

type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// carrier carries orders to minions.
func (w *world) carrier() rrexecutor.MinionClient {
	if w.orders != nil {
		return w.orders
	}
	return w.minions
}

func (w *world) usedBy(name string) time.Duration {
	if w.used == nil {
		return 0
	}
	return w.used(name)
}

// book returns the log of a host, which goes on over its lives.
func (w *world) book(name string) *book {
	if w.books[name] == nil {
		w.books[name] = &book{}
	}
	return w.books[name]
}

// kill ends a host as SIGKILL does: connections break and nothing is handed over.
func (m *member) kill() {
	if m.dead {
		return
	}
	m.dead = true
	m.stop()
	m.server.Close()
	m.mu.Lock()
	for _, k := range m.keepers {
		k.Kill()
	}
	m.mu.Unlock()
	<-m.ended
}

// holder waits until a live host keeps a seat and returns it.
func (w *world) holder(seat string) *member {
	w.t.Helper()
	for range 1000 {
		for _, m := range w.hosts {
			m.mu.Lock()
			k := m.keepers[seat]
			m.mu.Unlock()
			if k != nil && !m.dead && k.Load().CapacityMillicores > 0 {
				return m
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("nobody keeps seat %s", seat)
	return nil
}

// job returns a job of two tasks.
func (w *world) job(id string) rrscheduler.Job {
	now := time.Now()
	return rrscheduler.Job{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 3, TargetSlowdown: 20, TargetLatency: 20 * time.Second,
		Phases:     []rrscheduler.Phase{{TaskCount: 2, Resources: rrtask.Resources{MilliCores: 1000}, DeclaredRunTime: w.minions.work}},
		ReceivedAt: now, Deadline: now.Add(20 * time.Second),
	}
}
