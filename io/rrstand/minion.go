// Package rrstand provides stand-in minions. They replace the real endpoints in tests
// and measurements, count every start of a task and inject faults on demand.
package rrstand

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBodyBytes bounds the body of a request that a minion reads.
const maxBodyBytes = 1 << 20

// Work is the body of a task. It says what the stand-in does for the task.
type Work struct {
	RunTime time.Duration // how long the task takes
	Fail    bool          // the task fails on every minion
}

// Marshal returns w encoded as a task body.
func (w Work) Marshal() []byte {
	body := []byte(`{"run":"` + w.RunTime.String() + `"`)
	if w.Fail {
		body = append(body, `,"fail":true`...)
	}
	return append(body, '}')
}

// ParseWork decodes a task body.
func ParseWork(body []byte) (Work, error) {
	var doc struct {
		Run  string `json:"run"`
		Fail bool   `json:"fail"`
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return Work{}, err
	}
	runTime, err := time.ParseDuration(doc.Run)
	return Work{RunTime: runTime, Fail: doc.Fail}, err
}

// Faults are the faults that a minion injects. The zero value is a healthy minion.
type Faults struct {
	FailTasks    bool          // fails every task immediately but still passes health checks
	FailHealth   bool          // fails health checks
	SlowFactor   float64       // factor of all run times; zero means 1
	Draining     bool          // refuses new tasks and reports that it is draining
	Freeze       bool          // answers nothing until the fault is cleared
	DropRequests bool          // reads the request and closes the connection without starting the task
	DropAnswers  bool          // runs the task and closes the connection instead of answering
	AnswerDelay  time.Duration // added before each answer
	Usage        string        // value of the header Rattanring-Usage; empty omits the header
}

// TaskRuns describes the runs of one task.
type TaskRuns struct {
	Starts             int       // number of starts
	StartedAt, EndedAt time.Time // of the last run; EndedAt is zero while the task runs
}

// Minion is one stand-in endpoint. Slots must be set before the first request.
type Minion struct {
	Name  string
	Slots int // tasks at a time; zero refuses all

	mu        sync.Mutex
	faults    Faults
	thaw      chan struct{} // closed when Freeze is cleared
	running   int
	tally     Tally
	runs      map[string]TaskRuns  // by task
	stops     map[string]chan bool // running tasks; closed by a stop command
	throttled map[string]bool      // running tasks that were throttled
}

// SetFaults replaces the faults of the minion.
func (m *Minion) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Freeze && !f.Freeze {
		close(m.thaw)
	}
	if f.Freeze && !m.faults.Freeze {
		m.thaw = make(chan struct{})
	}
	m.faults = f
}

// Faults returns the active faults.
func (m *Minion) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// ServeHTTP serves tasks, health checks, commands, and the lab's requests to set
// faults and read counts.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.waitWhileFrozen(r)
	switch r.URL.Path {
	case "/run":
		m.serveRun(w, r)
	case "/health":
		m.serveHealth(w)
	case "/stop", "/throttle":
		m.serveCommand(w, r)
	case "/faults":
		m.serveFaults(w, r)
	case "/tally":
		m.serveTally(w)
	default:
		http.NotFound(w, r)
	}
}

// waitWhileFrozen blocks a request while the minion is frozen. Requests that set the
// faults pass.
func (m *Minion) waitWhileFrozen(r *http.Request) {
	m.mu.Lock()
	frozen, thaw := m.faults.Freeze && r.URL.Path != "/faults", m.thaw
	m.mu.Unlock()
	if frozen {
		<-thaw
	}
}

func (m *Minion) serveHealth(w http.ResponseWriter) {
	f := m.Faults()
	m.mu.Lock()
	m.tally.Probes++
	m.mu.Unlock()
	if f.FailHealth || f.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (m *Minion) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, false)
		return
	}
	f := m.Faults()
	if f.DropRequests {
		m.countDroppedRequest()
		closeConn(w)
		return
	}
	task := r.Header.Get("Rattanring-Task")
	stop, ok := m.startTask(task)
	if !ok {
		refuse(w, http.StatusTooManyRequests, f.Draining)
		return
	}
	status, detail := m.runTask(task, body, f, stop)
	m.endTask(task, status)
	time.Sleep(f.AnswerDelay)
	if f.DropAnswers {
		closeConn(w)
		return
	}
	if f.Usage != "" {
		w.Header()["Rattanring-Usage"] = []string{f.Usage}
	}
	w.WriteHeader(status)
	io.WriteString(w, detail)
}

func readBody(r *http.Request) ([]byte, error) {
	if n := r.ContentLength; n >= 0 && n <= maxBodyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
}

// refuse answers that the task was not started.
func refuse(w http.ResponseWriter, status int, draining bool) {
	w.Header()["Rattanring-Started"] = []string{"no"}
	if draining {
		w.Header()["Rattanring-Leaving"] = []string{"yes"}
	}
	w.WriteHeader(status)
}

// closeConn closes the connection of w without an answer.
func closeConn(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		nc.Close()
	}
}

// startTask takes a slot for a task and counts the start. It reports false if the
// minion refuses the task.
func (m *Minion) startTask(task string) (chan bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running >= m.Slots || m.faults.Draining {
		m.tally.Refused++
		return nil, false
	}
	if m.runs == nil {
		m.runs = make(map[string]TaskRuns)
		m.stops = make(map[string]chan bool)
		m.throttled = make(map[string]bool)
	}
	m.running++
	m.tally.Starts++
	m.tally.Peak = max(m.tally.Peak, m.running)
	taskRuns := TaskRuns{Starts: m.runs[task].Starts + 1, StartedAt: time.Now()}
	m.runs[task] = taskRuns
	m.tally.Most = max(m.tally.Most, taskRuns.Starts)
	stop := make(chan bool)
	m.stops[task] = stop
	return stop, true
}

func (m *Minion) endTask(task string, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	taskRuns := m.runs[task]
	taskRuns.EndedAt = time.Now()
	m.runs[task] = taskRuns
	if status != http.StatusOK {
		m.tally.Failed++
	}
	delete(m.stops, task)
	delete(m.throttled, task)
}

// runTask runs the task and returns the status and body of its answer.
func (m *Minion) runTask(task string, body []byte, f Faults, stop chan bool) (int, string) {
	if f.FailTasks {
		return http.StatusInternalServerError, "broken"
	}
	work, err := ParseWork(body)
	if err != nil {
		return http.StatusUnprocessableEntity, err.Error()
	}
	runTime := work.RunTime
	if f.SlowFactor > 0 {
		runTime = time.Duration(float64(runTime) * f.SlowFactor)
	}
	if !m.sleep(task, runTime, stop) {
		return http.StatusInternalServerError, "stopped"
	}
	if work.Fail {
		return http.StatusUnprocessableEntity, "bad task"
	}
	return http.StatusOK, m.Name
}

// throttleFactor multiplies the run time of a throttled task.
const throttleFactor = 2

// sleep waits for runTime, or throttleFactor times as long if the task is throttled by
// then. It reports false if the task was stopped.
func (m *Minion) sleep(task string, runTime time.Duration, stop chan bool) bool {
	if runTime <= 0 {
		return true
	}
	t := time.NewTimer(runTime)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C:
	}
	if !m.isThrottled(task) {
		return true
	}
	t.Reset(runTime * (throttleFactor - 1))
	select {
	case <-stop:
		return false
	case <-t.C:
		return true
	}
}

func (m *Minion) isThrottled(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.throttled[task]
}

// serveCommand stops or throttles one running task.
func (m *Minion) serveCommand(w http.ResponseWriter, r *http.Request) {
	task := r.Header.Get("Rattanring-Task")
	m.mu.Lock()
	defer m.mu.Unlock()
	stop, ok := m.stops[task]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.URL.Path == "/throttle" {
		m.throttled[task] = true
		m.tally.Throttled++
		return
	}
	m.tally.Stopped++
	delete(m.stops, task)
	close(stop)
}

func (m *Minion) countDroppedRequest() {
	m.mu.Lock()
	m.tally.Cuts++
	m.mu.Unlock()
}

// Server serves a minion over HTTP.
type Server struct {
	Minion *Minion
	Addr   string // host:port
	srv    *http.Server
	done   chan struct{}
}

// Serve starts m on a port of 127.0.0.1 that the kernel picks.
func Serve(m *Minion) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Minion: m, Addr: ln.Addr().String(), srv: &http.Server{Handler: m}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.srv.Serve(ln)
	}()
	return s, nil
}

// Close stops the server immediately and closes its connections, as the death of the
// minion's process would.
func (s *Server) Close() {
	s.srv.Close()
	<-s.done
}

// Running returns the number of running tasks.
func (m *Minion) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

// Runs returns the runs of each task that started here. The keys have the form
// JOB/INDEX.
func (m *Minion) Runs() map[string]TaskRuns {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.runs)
}

// Port returns the port of the server.
func (s *Server) Port() int {
	_, port, _ := net.SplitHostPort(s.Addr)
	n, _ := strconv.Atoi(port)
	return n
}
