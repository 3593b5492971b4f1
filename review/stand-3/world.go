package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: the project's own processes, and stand-ins of the store, the minions and the clients.
type world struct {
	service string
	dir     string
	prefix  string // of the addresses, "127.A.B."
	trouble bool
	t0      time.Time
	store   *store
	nodes   []*node
	minions []*minion
	record  *os.File

	mu      sync.Mutex
	sizes   map[string][]size // of the steps of a job
	starts  []*started
	broken  []string
	lastID  int
	idsFrom uint32
	checks  bool
	steps   map[string][]step
	byJob   map[string][]*started
}

type node struct {
	w                  *world
	name, zone, ip     string
	file, logFile      string
	cmd                *exec.Cmd
	frontend, readyURL string
	done               chan struct{}
	storeLink          *link // between the process and the store
}

const (
	hostName  = "nony24.example"
	routePath = "/lohu930/"
)

func newWorld(zones map[string][2]int, kinds []string) (*world, error) {
	w := &world{service: "huvo11a", trouble: os.Getenv("TROUBLE") != "0", t0: time.Now(), sizes: map[string][]size{}, steps: map[string][]step{}, byJob: map[string][]*started{}, idsFrom: rand.Uint32()}
	var err error
	if w.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	if w.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	for range 50 { // a free range of loopback addresses
		w.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if ln, err := net.Listen("tcp4", w.prefix+"2:9464"); err == nil {
			ln.Close()
			break
		}
	}
	if w.store, err = startStore(w.prefix + "1:8169"); err != nil {
		return nil, err
	}
	w.store.put("op/config", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-3hwrr6x", "host": hostName, "prefix": routePath, "type": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60, "priority": 0, "service": w.service, "maxAttempts": 2, "stretch": 1.6}},
		"services": []any{map[string]any{"name": w.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	names := []string{"tx-aus", "tx-dal", "tx-hou"}
	regions := map[string]string{}
	for _, z := range names {
		regions[z] = "tx-central"
	}
	ip, mip := 2, 100
	for _, z := range names {
		for i := range zones[z][0] {
			n := &node{w: w, name: fmt.Sprintf("edge-%s-%d", z, i+1), zone: z, ip: w.prefix + strconv.Itoa(ip)}
			n.frontend = n.ip + ":8161"
			ip++
			w.nodes = append(w.nodes, n)
		}
		for i := range zones[z][1] {
			m := &minion{w: w, id: fmt.Sprintf("i-%s-%02d", z, i), addr: w.prefix + strconv.Itoa(mip) + ":8080", zone: z, rack: fmt.Sprintf("r%c-%d", z[3], i/8), cpu: 16000, memMb: 65536}
			mip++
			w.minions = append(w.minions, m)
			if err := m.begin(kinds[i%len(kinds)]); err != nil {
				return nil, err
			}
		}
	}
	var seeds []string
	for _, z := range names {
		for _, n := range w.nodes {
			if n.zone == z {
				seeds = append(seeds, n.ip+":8166")
				break
			}
		}
	}
	for _, n := range w.nodes {
		if n.storeLink, err = startLink(n.ip+":8300", w.store.addr); err != nil {
			return nil, err
		}
		s := map[string]any{
			"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": n.ip, "zone": n.zone, "region": "tx-central", "zones": regions,
			"listen":        map[string]any{"frontend": n.frontend, "readiness": n.ip + ":8167", "controlPlane": n.ip + ":8166"},
			"internalPorts": []int{7720, 7735}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entryMode": "vip", "heartbeatMs": heartbeatMs,
			"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
				"rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMs, "stopMs": stopMs, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
				"finish_s": 14, "status_s": 120, "leaseMs": 3000, "resendMs": 1300},
			"controlMode": "rpc",
			"platform":    map[string]any{"address": n.storeLink.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		}
		text, _ := json.MarshalIndent(s, "", "  ")
		n.file = filepath.Join(w.dir, n.name+".json")
		n.logFile = filepath.Join(w.dir, n.name+".log")
		if err := os.WriteFile(n.file, text, 0o644); err != nil {
			return nil, err
		}
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return w, w.awaitReady()
}

// start starts a process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/rattanring", "node") // as in deploy/system.toml
	n.cmd.Dir = os.Getenv("ROOT")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.dir, "RATTANRING_BOOT=" + n.file, "GOMAXPROCS=1"} // the users' machines show one processor
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { c.Wait(); out.Close(); close(done) }(n.cmd, n.done)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.w.note("signal", "node", n.name, "signal", s.String())
	n.cmd.Process.Signal(s)
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// awaitReady waits until all processes are ready and a probe job has run in each zone.
func (w *world) awaitReady() error {
	end := time.Now().Add(25 * time.Second)
	for _, n := range w.nodes {
		for {
			res, err := http.Get("http://" + n.ip + ":8167/rattanring/readyz")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range w.nodes {
		for {
			a := w.post(n, w.newID(), []step{{Count: 1, CPU: 500, MemMb: 64, EstRuntimeMs: 20, ms: 20}}, postOptions{deadlineMs: 1500})
			if a.status == 200 {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s serves nothing: %d %s", n.name, a.status, a.body)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// note writes a line of the record.
func (w *world) note(what string, kv ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(w.t0).Seconds(), what)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	b.WriteByte('\n')
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.WriteString(b.String())
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	w.mu.Lock()
	w.broken = append(w.broken, text)
	w.mu.Unlock()
	w.note("BROKEN", "what", text)
}

func (w *world) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.t0).Seconds()) }

func (w *world) noteStart(s *started, spec string, over bool, sums string) {
	w.mu.Lock()
	w.starts = append(w.starts, s)
	id, _, _ := strings.Cut(s.task, ".")
	w.byJob[id] = append(w.byJob[id], s)
	bad := ""
	if w.checks {
		bad = w.checkStart(s)
	}
	w.mu.Unlock()
	if bad != "" {
		defer w.breaks("%s", bad)
	}
	w.note("start", "task", s.task, "attempt", s.attempt, "minion", s.minion, "life", s.life, "kind", s.kind, "spec", strconv.Quote(spec))
	if over {
		w.breaks("LIMIT: the start of %s brings %s over its capacity: %s", s.task, s.minion, sums)
	}
}

func (w *world) noteEnd(s *started, at time.Time) {
	w.mu.Lock()
	s.ended = at
	w.mu.Unlock()
	w.note("end", "task", s.task, "attempt", s.attempt, "minion", s.minion, "how", s.how)
}

// sizeOf returns what a task needs, by what its client sent.
func (w *world) sizeOf(task string) size {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := strings.Split(task, ".")
	steps := w.sizes[p[0]]
	if i, _ := strconv.Atoi(p[2]); i < len(steps) {
		return steps[i]
	}
	return size{}
}

// startsOf returns the starts of a job.
func (w *world) startsOf(id string) []*started {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*started
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, id+".") {
			out = append(out, s)
		}
	}
	return out
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%08x%08x", w.idsFrom, w.lastID)
}

// step is a step of a job.
type step struct {
	Count        int     `json:"count"`
	CPU          int64   `json:"cpu,omitempty"`
	MemMb        int64   `json:"memMb,omitempty"`
	EstRuntimeMs float64 `json:"estRuntimeMs,omitempty"`
	After        []int   `json:"after,omitempty"`
	Constraints  string  `json:"constraints,omitempty"`
	AntiAffinity int     `json:"antiAffinity,omitempty"`
	ms           int
}

type postOptions struct {
	deadlineMs int
	ctx        context.Context
}

type answer struct {
	status int // 0: none
	body   string
	sent   time.Time
	at     time.Time
}

// client has a connection of its own for each request, as another client's would be.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (w *world) do(n *node, method, id string, body []byte, o postOptions) answer {
	ctx := o.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	if o.deadlineMs > 0 { // the client leaves a little after its deadline
		c, cancel := context.WithTimeout(ctx, time.Duration(o.deadlineMs+500)*time.Millisecond)
		defer cancel()
		ctx = c
	}
	a := answer{sent: time.Now()}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.frontend+routePath+id, bytes.NewReader(body))
	req.Host = hostName
	if o.deadlineMs > 0 {
		req.Header.Set("X-Rattanring-Deadline-Ms", strconv.Itoa(o.deadlineMs))
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	w.note("send", "method", method, "id", id, "to", n.name)
	res, err := client.Do(req)
	if err == nil {
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		a.status, a.body = res.StatusCode, string(text)
	} else {
		a.body = "no answer"
	}
	a.at = time.Now()
	w.note("answer", "method", method, "id", id, "from", n.name, "status", a.status, "body", a.body)
	return a
}

// post hands a job in.
func (w *world) post(n *node, id string, steps []step, o postOptions) answer {
	var sizes []size
	ms := 0
	for _, s := range steps {
		sizes = append(sizes, size{s.CPU, s.MemMb, s.Constraints})
		ms = max(ms, s.ms)
	}
	w.mu.Lock()
	w.sizes[id], w.steps[id] = sizes, steps
	w.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("ms=%d ", ms), "phases": steps, "bestEffort": true})
	return w.do(n, "POST", id, body, o)
}

// close ends all processes and reports the result as an exit code.
func (w *world) close() int {
	for _, n := range w.nodes {
		n.cmd.Process.Signal(syscall.SIGCONT)
		n.cmd.Process.Kill()
		<-n.done
	}
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	for i, b := range broken {
		if i == 8 {
			fmt.Printf("... %d more\n", len(broken)-8)
			break
		}
		fmt.Println(b)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	if len(broken) > 0 {
		w.note("result", "broken", len(broken))
		return 1
	}
	w.note("result", "broken", 0)
	fmt.Println("held")
	return 0
}
