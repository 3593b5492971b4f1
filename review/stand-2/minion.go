package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kind is what a minion says about its size and its labels.
type kind struct {
	CPU    int64
	MemMb  int64
	Labels []string
}

// minion is a stand-in of a minion: one machine, which may crash and start again under its id.
// Where no page says otherwise it does what it is told: it does not guard its capacity.
type minion struct {
	id, zone, addr string
	store          *store
	log            *runLog

	mu   sync.Mutex
	life *life // the present incarnation, nil while it is down
}

// taskRun is one run of a task.
type taskRun struct {
	task    string
	attempt int
	where   string
	size    taskSize
	began   time.Time
	length  time.Duration
	timer   *time.Timer
}

// taskSize is what a task needs. The stand-ins of clients say it in the spec as well, so that minions know it.
type taskSize struct {
	CPU, MemMb int64
	RunMs      int64
}

// spec returns the text that a client sends as the job's spec.
func (t taskSize) spec() string {
	return fmt.Sprintf("cpu=%d memMb=%d runMs=%d", t.CPU, t.MemMb, t.RunMs)
}

func parseSpec(spec string) (t taskSize) {
	for _, f := range strings.Fields(spec) {
		name, value, _ := strings.Cut(f, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "cpu":
			t.CPU = n
		case "memMb":
			t.MemMb = n
		case "runMs":
			t.RunMs = n
		}
	}
	return t
}

// life is one incarnation of a minion.
type life struct {
	m      *minion
	kind   kind
	born   int64
	start  time.Time // of its steady clock
	server *http.Server
	stop   chan struct{}

	mu          sync.Mutex
	down        bool
	draining    bool
	cut         bool // from the store
	lastBeat    time.Time
	seqNo       int64
	fence       int64
	runs        map[string]*taskRun
	lastAttempt map[string]int
	lastEnd     int64
	ends        [][]any
	leaseUntil  int64 // on its clock
	leaseTimer  *time.Timer
	wake        chan struct{}
}

const (
	maxHoldMs   = 1000
	heartbeat   = 1500 * time.Millisecond
	clockOffset = 1000 // reading of a minion's clock at its start, in milliseconds
)

// newMinion returns a minion that is down.
func newMinion(id, zone string, s *store, log *runLog) (*minion, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // chooses the port
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return &minion{id: id, zone: zone, addr: ln.Addr().String(), store: s, log: log}, nil
}

// up starts an incarnation of the minion and registers it.
func (m *minion) up(k kind) error {
	ln, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	now := time.Now()
	l := &life{m: m, kind: k, born: now.UnixMilli(), start: now, stop: make(chan struct{}), runs: make(map[string]*taskRun),
		lastAttempt: make(map[string]int), ends: [][]any{}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rattanring/run-start", l.runStart)
	mux.HandleFunc("POST /rattanring/run-stop", l.runStop)
	mux.HandleFunc("POST /rattanring/hold", l.hold)
	l.server = &http.Server{Handler: mux}
	m.mu.Lock()
	m.life = l
	m.mu.Unlock()
	m.log.rec.line("minion %s is up: born %d, cpu %d, memMb %d, labels %v", m.id, l.born, k.CPU, k.MemMb, k.Labels)
	l.register()
	go func() { _ = l.server.Serve(ln) }()
	go l.beat()
	return nil
}

// crash ends the present incarnation at once. Its entry stays in the store until it is missed.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	m.life = nil
	m.mu.Unlock()
	l.mu.Lock()
	l.down = true
	runs := make([]*taskRun, 0, len(l.runs))
	for _, r := range l.runs {
		r.timer.Stop()
		runs = append(runs, r)
	}
	clear(l.runs)
	l.mu.Unlock()
	close(l.stop)
	_ = l.server.Close()
	m.log.rec.line("minion %s crashes", m.id)
	for _, r := range runs {
		m.log.ended(r, "lost")
	}
}

func (l *life) clock() int64 { return clockOffset + time.Since(l.start).Milliseconds() }

// register writes the minion's entry.
func (l *life) register() {
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		return
	}
	l.seqNo++
	l.lastBeat = time.Now()
	state := "ready"
	if l.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": l.m.addr, "zone": l.m.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": l.kind.CPU, "memMb": l.kind.MemMb, "gpus": 0}, "labels": l.kind.Labels, "clockMs": l.clock(), "seqNo": l.seqNo, "born": l.born,
	}
	l.mu.Unlock()
	value, _ := json.Marshal(entry)
	l.m.store.put("servers/"+l.m.id, value)
	if l.seqNo == 1 {
		l.m.log.rec.line("store  has the entry of %s, born %d", l.m.id, l.born)
	}
}

func (l *life) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.register()
		case <-l.stop:
			return
		}
	}
}

type command struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// read decodes a command and checks the incarnation and the fencing token. It returns with l.mu held if ok.
func (l *life) read(w http.ResponseWriter, r *http.Request) (command, bool) {
	var c command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		l.answer(w, http.StatusBadRequest, nil)
		return c, false
	}
	if id := r.Header.Get("X-Rattanring-Target-Instance"); id != "" && id != l.m.id {
		l.answer(w, http.StatusMisdirectedRequest, nil)
		return c, false
	}
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.FencingToken < l.fence {
		l.mu.Unlock()
		l.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return c, false
	}
	l.fence = c.FencingToken
	return c, true
}

func (l *life) answer(w http.ResponseWriter, status int, v map[string]any) {
	if v == nil {
		v = map[string]any{}
	}
	v["clockMs"], v["born"] = l.clock(), l.born
	reply(w, status, v)
}

// extend sets the lease of all that runs. The caller holds l.mu.
func (l *life) extend(until int64) {
	until = min(until, l.clock()+maxHoldMs)
	if until <= l.leaseUntil {
		return
	}
	l.leaseUntil = until
	if l.leaseTimer != nil {
		l.leaseTimer.Stop()
	}
	l.leaseTimer = time.AfterFunc(time.Duration(until-l.clock())*time.Millisecond, l.lapse)
}

func (l *life) lapse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.clock() < l.leaseUntil {
		return
	}
	for _, r := range l.runs {
		l.finish(r, "lapsed")
	}
}

// finish ends a run. The caller holds l.mu.
func (l *life) finish(r *taskRun, how string) {
	if l.runs[r.task] != r {
		return
	}
	delete(l.runs, r.task)
	r.timer.Stop()
	l.lastEnd++
	l.ends = append(l.ends, []any{l.lastEnd, r.task, r.attempt, how, ""})
	close(l.wake)
	l.wake = make(chan struct{})
	l.m.log.ended(r, how)
}

func (l *life) runStart(w http.ResponseWriter, r *http.Request) {
	c, ok := l.read(w, r)
	if !ok {
		return
	}
	status, reason := http.StatusOK, ""
	present := l.runs[c.Task]
	switch {
	case present != nil && present.attempt == c.Attempt:
	case c.Attempt <= l.lastAttempt[c.Task]:
		status, reason = http.StatusConflict, "old"
		l.extend(c.DeadlineMs)
	case l.clock() > c.DeadlineMs:
		status, reason = http.StatusConflict, "late"
	default:
		l.extend(c.DeadlineMs)
		l.begin(c)
	}
	l.mu.Unlock()
	if reason != "" {
		l.m.log.rec.line("minion %s refuses %s attempt %d: %s", l.m.id, c.Task, c.Attempt, reason)
		l.answer(w, status, map[string]any{"reason": reason})
		return
	}
	l.answer(w, status, nil)
}

// begin begins a run and checks the rule on capacity. The caller holds l.mu.
func (l *life) begin(c command) {
	size := parseSpec(c.Spec)
	run := &taskRun{task: c.Task, attempt: c.Attempt, where: l.m.id, size: size, began: time.Now(), length: time.Duration(size.RunMs) * time.Millisecond}
	l.lastAttempt[c.Task] = c.Attempt
	l.runs[c.Task] = run
	run.timer = time.AfterFunc(run.length, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.down {
			l.finish(run, "done")
		}
	})
	l.m.log.began(run)
	var cpu, mem int64
	for _, o := range l.runs {
		cpu += o.size.CPU
		mem += o.size.MemMb
	}
	if cpu > l.kind.CPU || mem > l.kind.MemMb {
		l.m.log.breakRule("LIMIT: the start of %s brings %s (born %d) to cpu %d of %d, memMb %d of %d, with %d runs", c.Task, l.m.id, l.born, cpu, l.kind.CPU, mem, l.kind.MemMb, len(l.runs))
	}
}

func (l *life) runStop(w http.ResponseWriter, r *http.Request) {
	c, ok := l.read(w, r)
	if !ok {
		return
	}
	l.lastAttempt[c.Task] = max(l.lastAttempt[c.Task], c.Attempt)
	if run := l.runs[c.Task]; run != nil && run.attempt <= c.Attempt {
		time.AfterFunc(5*time.Millisecond, func() { // at most stopMs
			l.mu.Lock()
			defer l.mu.Unlock()
			if !l.down {
				l.finish(run, "stopped")
			}
		})
	}
	l.mu.Unlock()
	l.answer(w, http.StatusOK, nil)
}

func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := l.read(w, r)
	if !ok {
		return
	}
	if c.DeadlineMs > 0 {
		l.extend(c.DeadlineMs)
	}
	l.ends = slices.DeleteFunc(l.ends, func(e []any) bool { return e[0].(int64) <= c.LastSeen })
	end := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for len(l.ends) == 0 && c.WaitMs > 0 {
		wake := l.wake
		l.mu.Unlock()
		late := false
		select {
		case <-wake:
		case <-end:
			late = true
		case <-l.stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		l.mu.Lock()
		if late {
			break
		}
	}
	running := [][]any{}
	for _, run := range l.runs {
		percent := 99
		if run.length > 0 {
			percent = int(min(100*time.Since(run.began)/run.length, 99))
		}
		running = append(running, []any{run.task, run.attempt, "", percent, 0})
	}
	ends := slices.Clone(l.ends[:min(len(l.ends), 500)])
	l.mu.Unlock()
	l.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ends})
}

// loseStore cuts the minion off from the store: its beats no longer arrive. It works on, and its entry goes after
// three heartbeat intervals of silence. It returns a function that ends the cut.
func (m *minion) loseStore() (heal func()) {
	m.mu.Lock()
	l := m.life
	m.mu.Unlock()
	l.mu.Lock()
	l.cut = true
	last := l.lastBeat
	l.mu.Unlock()
	m.log.rec.line("minion %s is cut off from the store", m.id)
	t := time.AfterFunc(time.Until(last.Add(3*heartbeat)), func() {
		m.store.remove("servers/" + m.id)
		m.log.rec.line("store  drops the entry of %s", m.id)
	})
	return func() {
		t.Stop()
		l.mu.Lock()
		l.cut = false
		l.mu.Unlock()
		m.log.rec.line("minion %s reaches the store again", m.id)
		l.register()
	}
}
