package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a small deployment.
const (
	maxHoldMs   = 1000
	stopMs      = 50
	heartbeatMs = 1500
)

// started is one start of a task, as its minion saw it.
type started struct {
	task    string // ID.K.STEP.INDEX
	attempt int
	minion  string
	life    int
	at      time.Time
	ended   time.Time // zero while it runs
	how     string
	cpu     int64
	memMb   int64
	label   string    // that the job demands
	kind    string    // of the minion's life
	told    time.Time // when this life first had answered a call
}

// size is what a task needs.
type size struct {
	cpu, memMb int64
	label      string
}

// minion is a stand-in of a minion, sound in all that the pages do not name.
type minion struct {
	w           *world
	id, addr    string
	zone, rack  string
	cpu, memMb  int64
	mu          sync.Mutex
	kind        string
	life        int
	born        int64
	bornAt      time.Time
	told        time.Time
	up          bool
	server      *http.Server
	fence       int64
	leaseMs     int64
	runs        map[string]*run // by task
	highest     map[string]int  // run that was stopped or has ended
	ends        [][]any
	lastEnd     int64
	changed     chan struct{}
	seq         int64
	stopBeating chan struct{}
	drainedAt   time.Time    // when the store took the report that it leaves; zero before
	lost        atomic.Int64 // percent of the orders that are carried out late and not answered
	cut         atomic.Bool  // it gets and answers nothing, and works on
	slow        atomic.Int64 // factor of the length of its runs, 0 for 1
	rate        float64      // of its clock, 0 for 1
}

type run struct {
	*started
	doneAt   time.Time
	length   time.Duration
	stopping bool
}

func (m *minion) clock() int64 {
	d := time.Since(m.bornAt).Milliseconds()
	if m.rate > 0 {
		d = int64(float64(d) * m.rate)
	}
	return d + 1
}

// begin starts a life of the minion. It reports itself at once.
func (m *minion) begin(kind string) error {
	ln, err := net.Listen("tcp4", m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.kind, m.life, m.up = kind, m.life+1, true
	m.bornAt = time.Now()
	m.born, m.told = m.bornAt.UnixMilli(), time.Time{}
	m.fence, m.leaseMs, m.lastEnd, m.ends, m.seq = 0, 0, 0, nil, 0
	m.runs, m.highest, m.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	m.stopBeating = make(chan struct{})
	m.drainedAt = time.Time{}
	life := m.life
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Rattanring-Instance-Id", m.id) })
	mux.HandleFunc("POST /rattanring/run-start", func(w http.ResponseWriter, r *http.Request) { m.call(w, r, life, m.start) })
	mux.HandleFunc("POST /rattanring/run-stop", func(w http.ResponseWriter, r *http.Request) { m.call(w, r, life, m.stop) })
	mux.HandleFunc("POST /rattanring/hold", func(w http.ResponseWriter, r *http.Request) { m.call(w, r, life, m.hold) })
	m.server = &http.Server{Handler: mux}
	s, stop := m.server, m.stopBeating
	m.mu.Unlock()
	go s.Serve(ln)
	m.report("ready")
	go func() {
		for {
			select {
			case <-time.After(heartbeatMs * time.Millisecond):
				m.mu.Lock()
				state := "ready"
				if !m.drainedAt.IsZero() {
					state = "draining"
				}
				m.mu.Unlock()
				m.report(state)
			case <-stop:
				return
			}
		}
	}()
	go m.work(life)
	return nil
}

// crash ends the life of the minion: nothing runs on, and nobody is told.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	close(m.stopBeating)
	for _, r := range m.runs {
		r.ended, r.how = time.Now(), "crashed"
	}
	m.runs = map[string]*run{}
	s := m.server
	m.mu.Unlock()
	s.Close()
}

func (m *minion) report(state string) {
	m.mu.Lock()
	m.seq++
	v := map[string]any{"service": m.w.service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": m.cpu, "memMb": m.memMb, "gpus": 0}, "labels": []string{m.kind, m.rack}, "clockMs": m.clock(), "seqNo": m.seq, "born": m.born}
	up := m.up && !m.cut.Load()
	m.mu.Unlock()
	if up {
		m.w.store.put("servers/"+m.id, v)
	}
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// call decodes an order, checks the life and the fencing token, and carries the order out.
func (m *minion) call(w http.ResponseWriter, r *http.Request, life int, do func(*order) (int, map[string]any)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	if id := r.Header.Get("X-Rattanring-Target-Instance"); id != "" && id != m.id {
		reply(w, 421, map[string]any{})
		return
	}
	if m.cut.Load() {
		<-r.Context().Done()
		return
	}
	defer func() {
		if m.cut.Load() { // the answer is lost
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}()
	late := rand.Int64N(100) < m.lost.Load()
	if late {
		go func() {
			time.Sleep(2*time.Second + rand.N(10*time.Second))
			m.mu.Lock()
			if life == m.life && m.up && o.FencingToken >= m.fence {
				m.fence = o.FencingToken
				o.WaitMs = 0
				do(&o)
			}
			m.mu.Unlock()
		}()
		<-r.Context().Done()
		return
	}
	m.mu.Lock()
	if life != m.life || !m.up {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := 409, map[string]any{"reason": "fence"}
	if o.FencingToken >= m.fence {
		m.fence = o.FencingToken
		status, body = do(&o)
	}
	body["clockMs"], body["born"] = m.clock(), m.born
	if m.told.IsZero() {
		m.told = time.Now()
	}
	m.mu.Unlock()
	if m.cut.Load() { // the answer is lost
		panic(http.ErrAbortHandler)
	}
	reply(w, status, body)
}

func (m *minion) extend(deadlineMs int64) {
	if deadlineMs > 0 {
		m.leaseMs = max(m.leaseMs, min(deadlineMs, m.clock()+maxHoldMs))
	}
}

func (m *minion) start(o *order) (int, map[string]any) {
	if r := m.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return 200, map[string]any{}
	}
	if o.Attempt <= m.highest[o.Task] {
		m.extend(o.DeadlineMs)
		return 409, map[string]any{"reason": "old"}
	}
	if o.DeadlineMs < m.clock() {
		return 409, map[string]any{"reason": "late"}
	}
	m.extend(o.DeadlineMs)
	sz := m.w.sizeOf(o.Task)
	s := &started{task: o.Task, attempt: o.Attempt, minion: m.id, life: m.life, at: time.Now(), cpu: sz.cpu, memMb: sz.memMb, label: sz.label, kind: m.kind, told: m.told}
	length := 50 * time.Millisecond
	if i := strings.Index(o.Spec, "ms="); i >= 0 {
		n, _ := strconv.Atoi(strings.Fields(o.Spec[i+3:] + " 0")[0])
		length = time.Duration(n) * time.Millisecond
	}
	if f := m.slow.Load(); f > 0 {
		length *= time.Duration(f)
	}
	if !m.drainedAt.IsZero() && time.Since(m.drainedAt) > 2*time.Second {
		m.w.breaks("DRAIN: %s starts on %s, %v after its report was taken", o.Task, m.id, time.Since(m.drainedAt).Round(time.Millisecond))
	}
	key := o.Task
	if m.runs[key] != nil { // a lower attempt still runs
		key = fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	}
	m.runs[key] = &run{started: s, doneAt: s.at.Add(length), length: length}
	var cpu, mem int64
	for _, r := range m.runs {
		cpu += r.cpu
		mem += r.memMb
	}
	m.w.noteStart(s, o.Spec, cpu > m.cpu || mem > m.memMb, fmt.Sprintf("cpu %d of %d, memMb %d of %d", cpu, m.cpu, mem, m.memMb))
	return 200, map[string]any{}
}

func (m *minion) stop(o *order) (int, map[string]any) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
	for _, r := range m.runs {
		if r.task == o.Task && r.attempt <= o.Attempt && !r.stopping {
			r.stopping = true
			r.doneAt = time.Now().Add(stopMs / 2 * time.Millisecond)
		}
	}
	return 200, map[string]any{}
}

// hold is called with m.mu locked, which it gives up while it waits.
func (m *minion) hold(o *order) (int, map[string]any) {
	m.extend(o.DeadlineMs)
	for len(m.ends) > 0 && m.ends[0][0].(int64) <= o.LastSeen {
		m.ends = m.ends[1:]
	}
	life, timer := m.life, time.After(time.Duration(min(o.WaitMs, 2000))*time.Millisecond)
	for waits := o.WaitMs > 0; waits && len(m.ends) == 0; {
		ch := m.changed
		m.mu.Unlock()
		select {
		case <-ch:
		case <-timer:
			waits = false
		}
		m.mu.Lock()
		if m.life != life || !m.up {
			m.mu.Unlock() // the panic skips that of call
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, r := range m.runs {
		percent := int(100 * time.Since(r.at) / max(r.length, 1))
		running = append(running, []any{r.task, r.attempt, "", min(percent, 99), r.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	return 200, map[string]any{"running": running, "ended": append([][]any{}, m.ends[:min(len(m.ends), 500)]...)}
}

// work ends runs when they are done, are stopped, or their lease has run out.
func (m *minion) work(life int) {
	for range time.Tick(2 * time.Millisecond) {
		m.mu.Lock()
		if m.life != life || !m.up {
			m.mu.Unlock()
			return
		}
		now, lapsed, ended := time.Now(), m.clock() > m.leaseMs, false
		for key, r := range m.runs {
			switch {
			case lapsed:
				r.how = "lapsed"
			case !r.doneAt.After(now) && r.stopping:
				r.how = "stopped"
			case !r.doneAt.After(now):
				r.how = "done"
			default:
				continue
			}
			m.w.noteEnd(r.started, now)
			delete(m.runs, key)
			m.highest[r.task] = max(m.highest[r.task], r.attempt)
			m.lastEnd++
			m.ends = append(m.ends, []any{m.lastEnd, r.task, r.attempt, r.how, ""})
			ended = true
		}
		if ended {
			close(m.changed)
			m.changed = make(chan struct{})
		}
		m.mu.Unlock()
	}
}

// drain reports that the minion leaves.
func (m *minion) drain() {
	m.mu.Lock()
	m.drainedAt = time.Now()
	m.mu.Unlock()
	m.report("draining")
	m.mu.Lock()
	m.drainedAt = time.Now()
	m.mu.Unlock()
	m.w.note("draining", "minion", m.id)
}

// awaitBeat waits until the minion has just written its entry.
func (m *minion) awaitBeat() {
	seq := func() int64 { m.mu.Lock(); defer m.mu.Unlock(); return m.seq }
	for last := seq(); seq() == last; {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
}
