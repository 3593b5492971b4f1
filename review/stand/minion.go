package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold  = time.Second           // maxHoldMs of the small sites
	stopTime = 20 * time.Millisecond // at most stopMs, 50
	callTime = time.Millisecond      // of each call to a minion
)

// capacity is what a minion has, and what a task asks for.
type capacity struct {
	CPU   uint64 `json:"cpu"`
	MemMb uint64 `json:"memMb"`
	GPUs  uint64 `json:"gpus"`
}

// task is what the tests know about a task: its size, label and run time stand in its job.
type task struct {
	size    capacity
	label   string
	runTime time.Duration
}

// world is all minions, and the check of their runs.
type world struct {
	rec   *record
	store *store
	ip    string

	mu       sync.Mutex
	tasks    func(name string) (task, bool) // of the jobs that clients sent
	active   map[string][]*run              // runs at work now, by task
	twice    []string                       // two runs of a task at the same time
	over     []string                       // starts over a minion's capacity
	route    []string                       // starts without the label
	minions  []*minion
	starts   int
	startsOf map[string][]time.Time // by job
}

// The two kinds of minions: of three, one is of the larger kind, as in the sites.
const largeKind = "b"

var (
	smallSize = capacity{CPU: 64000, MemMb: 131072}
	largeSize = capacity{CPU: 96000, MemMb: 196608}
)

// ofKind returns the minions of a kind in a zone.
func (w *world) ofKind(zone, kind string) []*minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*minion
	for _, m := range w.minions {
		if m.zone == zone && m.kind == kind {
			out = append(out, m)
		}
	}
	return out
}

// busiest returns a minion with room that works on the most runs, or nil.
func (w *world) busiest() *minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	var best *minion
	most := 0
	for _, i := range rand.Perm(len(w.minions)) {
		m := w.minions[i]
		used := uint64(0)
		for _, r := range m.runs {
			used += r.what.size.CPU
		}
		if !m.dead && len(m.runs) > most && used+12000 <= m.cap.CPU {
			best, most = m, len(m.runs)
		}
	}
	return best
}

// run is one run of a task.
type run struct {
	task    string
	attempt int64
	minion  *minion
	what    task
	begin   time.Time
	timer   *time.Timer
	stopped bool
}

// minion is one life of a minion, as PROTOCOL.md describes it.
type minion struct {
	w       *world
	id      string
	zone    string
	kind    string
	rack    string
	cap     capacity
	born    time.Time
	addr    string
	ln      net.Listener
	server  *http.Server
	fence   int64
	lease   int64 // end of the lease on the minion's clock
	runs    map[string]*run
	last    map[string]int64 // highest run stopped or ended here, by task
	ended   [][]any
	lastEnd int64
	wake    chan struct{}
	dead    bool
}

// start starts a life of a minion at addr (with port zero: any), registers it and keeps its
// registration fresh.
func (w *world) start(id, zone, kind, rack, addr string, c capacity) (*minion, error) {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	m := &minion{w: w, id: id, zone: zone, kind: kind, rack: rack, cap: c, born: time.Now(), addr: ln.Addr().String(), ln: ln,
		runs: map[string]*run{}, last: map[string]int64{}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rattanring/run-start", m.runStart)
	mux.HandleFunc("POST /rattanring/run-stop", m.runStop)
	mux.HandleFunc("POST /rattanring/hold", m.hold)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Rattanring-Instance-Id", id) })
	m.server = &http.Server{Handler: mux}
	w.rec.add("minion %s starts: kind %s, cpu %d, memMb %d, born %d", id, kind, c.CPU, c.MemMb, m.born.UnixMilli())
	m.register()
	go func() { _ = m.server.Serve(ln) }()
	w.mu.Lock()
	w.minions = append(w.minions, m)
	w.mu.Unlock()
	go m.leases()
	return m, nil
}

// register writes the registration into the store.
func (m *minion) register() {
	text, err := json.Marshal(map[string]any{
		"service": "torri", "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": m.cap, "labels": []string{m.kind, m.rack}, "clockMs": m.clock(), "seqNo": 1, "born": m.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	m.w.store.put("servers/"+m.id, text)
	m.w.rec.add("minion %s: the store has its report, kind %s, cpu %d, born %d", m.id, m.kind, m.cap.CPU, m.born.UnixMilli())
}

// crash ends a minion and all that runs on it.
func (m *minion) crash() {
	m.w.mu.Lock()
	m.dead = true
	for _, r := range m.runs {
		m.drop(r)
	}
	m.w.mu.Unlock()
	m.w.rec.add("minion %s crashes", m.id)
	m.server.Close()
}

func (m *minion) clock() int64 {
	return time.Since(m.born).Milliseconds() + 1
}

// leases ends what runs when the lease has expired.
func (m *minion) leases() {
	for range time.Tick(5 * time.Millisecond) {
		m.w.mu.Lock()
		if m.dead {
			m.w.mu.Unlock()
			return
		}
		if len(m.runs) > 0 && m.clock() > m.lease {
			for _, r := range m.runs {
				m.end(r, "lapsed")
			}
		}
		m.w.mu.Unlock()
	}
}

// drop removes a run. The caller holds w.mu.
func (m *minion) drop(r *run) {
	r.timer.Stop()
	delete(m.runs, key(r.task, r.attempt))
	list := m.w.active[r.task]
	out := list[:0:0]
	for _, x := range list {
		if x != r {
			out = append(out, x)
		}
	}
	m.w.active[r.task] = out
}

// end ends a run and lists its end. The caller holds w.mu.
func (m *minion) end(r *run, how string) {
	if m.runs[key(r.task, r.attempt)] != r {
		return
	}
	m.drop(r)
	m.last[r.task] = max(m.last[r.task], r.attempt)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, r.task, r.attempt, how, ""})
	m.w.rec.add("end   %s run %d on %s (%s): %s", r.task, r.attempt, m.id, m.zone, how)
	close(m.wake)
	m.wake = make(chan struct{})
}

func key(task string, attempt int64) string {
	return fmt.Sprint(task, " ", attempt)
}

// command is the body of every call to a minion.
type command struct {
	Task         string `json:"task"`
	Attempt      int64  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// read decodes a call and checks the intended life and the fencing token. It returns with w.mu
// held if it reports true.
func (m *minion) read(rw http.ResponseWriter, r *http.Request) (command, bool) {
	time.Sleep(callTime)
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		m.answer(rw, http.StatusBadRequest, map[string]any{})
		return c, false
	}
	if want := r.Header.Get("X-Rattanring-Target-Instance"); want != "" && want != m.id {
		m.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return c, false
	}
	m.w.mu.Lock()
	if m.dead {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.FencingToken < m.fence {
		m.w.mu.Unlock()
		m.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return c, false
	}
	m.fence = c.FencingToken
	return c, true
}

func (m *minion) answer(rw http.ResponseWriter, status int, v map[string]any) {
	v["clockMs"], v["born"] = m.clock(), m.born.UnixMilli()
	answer(rw, status, v)
}

// extend takes a deadline for all that runs here. The caller holds w.mu.
func (m *minion) extend(deadline int64) {
	m.lease = max(m.lease, min(deadline, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) runStart(rw http.ResponseWriter, r *http.Request) {
	c, ok := m.read(rw, r)
	if !ok {
		return
	}
	reason := ""
	switch what, known := m.w.tasks(c.Task); {
	case m.runs[key(c.Task, c.Attempt)] != nil:
		m.extend(c.DeadlineMs)
	case c.Attempt <= m.last[c.Task]:
		reason = "old"
		m.extend(c.DeadlineMs)
	case c.DeadlineMs < m.clock():
		reason = "late"
	case !known:
		m.w.rec.add("start of %s, which no client sent", c.Task)
		reason = "room"
	default:
		m.extend(c.DeadlineMs)
		m.begin(c, what)
	}
	m.w.mu.Unlock()
	if reason != "" {
		m.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	m.answer(rw, http.StatusOK, map[string]any{})
}

// begin begins a run and checks the rules. The caller holds w.mu.
func (m *minion) begin(c command, what task) {
	w := m.w
	r := &run{task: c.Task, attempt: c.Attempt, minion: m, what: what, begin: time.Now()}
	w.starts++
	w.startsOf[jobOf(c.Task)] = append(w.startsOf[jobOf(c.Task)], r.begin)
	w.rec.add("start %s run %d on %s (%s), token %d", c.Task, c.Attempt, m.id, m.zone, c.FencingToken)
	for _, other := range w.active[c.Task] {
		text := fmt.Sprintf("%s: run %d starts on %s (%s) while run %d is at work on %s (%s), since %v",
			c.Task, c.Attempt, m.id, m.zone, other.attempt, other.minion.id, other.minion.zone, time.Since(other.begin).Round(time.Millisecond))
		w.twice = append(w.twice, text)
		w.rec.add("TWICE %s", text)
	}
	used := what.size
	for _, o := range m.runs {
		used.CPU += o.what.size.CPU
		used.MemMb += o.what.size.MemMb
		used.GPUs += o.what.size.GPUs
	}
	if used.CPU > m.cap.CPU || used.MemMb > m.cap.MemMb || used.GPUs > m.cap.GPUs {
		text := fmt.Sprintf("%s starts on %s: %d cpu and %d memMb in use, %d and %d there", c.Task, m.id, used.CPU, used.MemMb, m.cap.CPU, m.cap.MemMb)
		w.over = append(w.over, text)
		w.rec.add("LIMIT %s", text)
	}
	if what.label != "" && what.label != m.kind && what.label != m.rack {
		text := fmt.Sprintf("%s, which needs the label %s, starts on %s with %s and %s", c.Task, what.label, m.id, m.kind, m.rack)
		w.route = append(w.route, text)
		w.rec.add("ROUTE %s", text)
	}
	m.runs[key(c.Task, c.Attempt)] = r
	w.active[c.Task] = append(w.active[c.Task], r)
	r.timer = time.AfterFunc(what.runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !r.stopped && !m.dead {
			m.end(r, "done")
		}
	})
}

func (m *minion) runStop(rw http.ResponseWriter, r *http.Request) {
	c, ok := m.read(rw, r)
	if !ok {
		return
	}
	m.last[c.Task] = max(m.last[c.Task], c.Attempt)
	if x := m.runs[key(c.Task, c.Attempt)]; x != nil && !x.stopped {
		x.stopped = true
		time.AfterFunc(stopTime, func() {
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			if !m.dead {
				m.end(x, "stopped")
			}
		})
	}
	m.w.mu.Unlock()
	m.answer(rw, http.StatusOK, map[string]any{})
}

func (m *minion) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := m.read(rw, r)
	if !ok {
		return
	}
	if c.DeadlineMs > 0 {
		m.extend(c.DeadlineMs)
	}
	end := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	over := false
	for {
		kept := m.ended[:0:0]
		for _, e := range m.ended {
			if e[0].(int64) > c.LastSeen {
				kept = append(kept, e)
			}
		}
		m.ended = kept
		ended := kept[:min(len(kept), 500)]
		running := [][]any{}
		for _, x := range m.runs {
			percent := min(int(100*time.Since(x.begin)/x.what.runTime), 99)
			running = append(running, []any{x.task, x.attempt, "", percent, x.what.size.CPU})
		}
		wake := m.wake
		m.w.mu.Unlock()
		if len(ended) > 0 || c.WaitMs == 0 || over {
			m.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
			return
		}
		select {
		case <-wake:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
		m.w.mu.Lock()
	}
}

// stepOf returns the step of a task ID.K.STEP.INDEX.
func stepOf(name string) int {
	parts := strings.Split(name, ".")
	n, _ := strconv.Atoi(parts[min(2, len(parts)-1)])
	return n
}

// jobOf returns the job of a task ID.K.STEP.INDEX.
func jobOf(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}
