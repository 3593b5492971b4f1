package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "torri"
	queueHost   = "jobs.example"
	queuePrefix = "/queue/"
	resendDelay = 1300 * time.Millisecond // resendMs
)

// zoneNames are those of the small deployments: three zones, with three, two and two machines.
var zoneNames = []string{"za", "zb", "zc"}

// node is one process of the system under review.
type node struct {
	name, zone, ip            string
	frontend, readiness, ctrl string
	port                      int
	settings, logPath         string
	cmd                       *exec.Cmd
	logFile                   *os.File
	exited                    chan struct{}
	mu                        sync.Mutex
	missed                    int  // misses of the readiness check in a row
	inRotation                bool // as the platform's balancer sees it
}

// deployment is a small deployment: nodes, minions, a store, an operator and clients.
type deployment struct {
	rec     *record
	log     *runLog
	store   *store
	nodes   []*node
	minions []*minion
	dir     string
	bin     string
	client  *http.Client
	closed  chan struct{}
}

// deploymentSize says how large a deployment is.
type deploymentSize struct {
	nodes   map[string]int // by zone
	minions int            // in each zone
	kind    kind
}

var smallSize = map[string]int{"za": 3, "zb": 2, "zc": 2}

// newDeployment starts a deployment and waits until it serves.
func newDeployment(rec *record, size deploymentSize) (*deployment, error) {
	bin, err := filepath.Abs("target/rattanring")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(bin); err != nil {
		return nil, fmt.Errorf("not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, log: newRunLog(rec), dir: dir, bin: bin, closed: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	d.store.put("op/config", configuration(7))
	for _, zone := range zoneNames {
		for i := range size.minions {
			m, err := newMinion(fmt.Sprintf("i-%s-%02d", zone, i), zone, d.store, d.log)
			if err != nil {
				return d, err
			}
			if err := m.up(size.kind); err != nil {
				return d, err
			}
			d.minions = append(d.minions, m)
		}
	}
	if err := d.plan(size.nodes); err != nil {
		return d, err
	}
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return d, err
		}
	}
	go d.checkReadiness()
	return d, d.awaitReady(8 * time.Second)
}

// configuration is what the operator writes.
func configuration(version int) []byte {
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "r-1", "host": queueHost, "prefix": queuePrefix, "type": "non_idempotent", "timeoutMs": 1500,
			"targetLatencyMs": 60, "priority": 0, "service": serviceName, "maxAttempts": 4, "stretch": 1.6}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return value
}

// plan chooses addresses and ports of the nodes, and writes their settings files.
func (d *deployment) plan(perZone map[string]int) error {
	zones := make(map[string]string)
	for _, zone := range zoneNames {
		zones[zone] = "r1"
		for i := range perZone[zone] {
			k := len(d.nodes)
			n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, 11+k)}
			var ports []int
			for range 4 {
				ln, err := net.Listen("tcp", n.ip+":0")
				if err != nil {
					return err
				}
				defer ln.Close()
				ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
			}
			n.frontend, n.readiness, n.ctrl, n.port = addr(n.ip, ports[0]), addr(n.ip, ports[1]), addr(n.ip, ports[2]), ports[3]
			n.settings, n.logPath = filepath.Join(d.dir, n.name+".json"), filepath.Join(d.dir, n.name+".log")
			d.nodes = append(d.nodes, n)
		}
	}
	var seeds []string
	for _, zone := range zoneNames {
		for _, n := range d.nodes {
			if n.zone == zone {
				seeds = append(seeds, n.ctrl)
				break
			}
		}
	}
	for _, n := range d.nodes {
		text, err := json.MarshalIndent(map[string]any{
			"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control"},
			"ip": n.ip, "zone": n.zone, "region": "r1", "zones": zones,
			"listen":        map[string]any{"frontend": n.frontend, "readiness": n.readiness, "controlPlane": n.ctrl},
			"internalPorts": []int{n.port, n.port}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entryMode": "vip", "heartbeatMs": 1500,
			"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
				"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": maxHoldMs, "stopMs": 50,
				"cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "leaseMs": 3000, "thawMs": 300, "resendMs": 1300},
			"controlMode": "rpc",
			"platform":    map[string]any{"address": d.store.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// start starts a node with the command of the deploy file. A machine shows one processor to its processes.
func (d *deployment) start(n *node) error {
	f, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(d.bin, "node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "RATTANRING_BOOT=" + n.settings, "GOMAXPROCS=1"}
	n.cmd.Stdout, n.cmd.Stderr, n.logFile = f, f, f
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() {
		err := cmd.Wait()
		d.rec.line("node   %s has ended: %v", n.name, err)
		close(exited)
	}()
	d.rec.line("node   %s starts in zone %s", n.name, n.zone)
	return nil
}

// signal sends a signal to a node.
func (d *deployment) signal(n *node, s syscall.Signal, name string) {
	d.rec.line("node   %s gets %s", n.name, name)
	_ = n.cmd.Process.Signal(s)
}

// checkReadiness is the platform's balancer: a node leaves the rotation after two misses.
func (d *deployment) checkReadiness() {
	c := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range d.nodes {
			go func() {
				res, err := c.Get("http://" + n.readiness + "/rattanring/readyz")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					res.Body.Close()
				}
				n.mu.Lock()
				if n.missed++; ok {
					n.missed = 0
				}
				was := n.inRotation
				n.inRotation = n.missed < 2 && (ok || was)
				now := n.inRotation
				n.mu.Unlock()
				if was != now {
					d.rec.line("node   %s in rotation: %v", n.name, now)
				}
			}()
		}
		select {
		case <-time.After(time.Second):
		case <-d.closed:
			return
		}
	}
}

func (n *node) rotated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inRotation
}

// awaitReady waits until all nodes are in rotation, and a little longer.
func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range d.nodes {
			if n.rotated() {
				ready++
			}
		}
		if ready == len(d.nodes) {
			time.Sleep(2 * time.Second)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d nodes are ready", ready, len(d.nodes))
		}
	}
}

// keeper returns the node that keeps the minions of a zone, by the system's own entry in the store, and nil
// if there is none.
func (d *deployment) keeper(zone string) *node {
	var r struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(d.store.value("rr/seat/"+zone), &r) != nil {
		return nil
	}
	for _, n := range d.nodes {
		if n.name == r.Name {
			return n
		}
	}
	return nil
}

// inZone returns the nodes of a zone.
func (d *deployment) inZone(zone string) (out []*node) {
	for _, n := range d.nodes {
		if n.zone == zone {
			out = append(out, n)
		}
	}
	return out
}

// close ends all processes.
func (d *deployment) close() {
	close(d.closed)
	for _, n := range d.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.exited
		n.logFile.Close()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// job is a job of one step, for which its client waits.
type job struct {
	id       string
	count    int
	size     taskSize
	deadline time.Duration
	extra    map[string]any // further fields of the step
}

func (j *job) body() []byte {
	step := map[string]any{"count": j.count, "cpu": j.size.CPU, "memMb": j.size.MemMb, "estRuntimeMs": j.size.RunMs}
	for k, v := range j.extra {
		step[k] = v
	}
	b, _ := json.Marshal(map[string]any{"spec": j.size.spec(), "phases": []any{step}, "bestEffort": true})
	return b
}

// result is what a client got.
type result struct {
	status int
	text   string
	err    error
}

func (r result) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.text))
}

// submit hands a job in at a node on a kept connection, and waits for the answer until the deadline.
func (d *deployment) submit(n *node, j *job) result {
	ctx, cancel := context.WithTimeout(context.Background(), j.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontend+queuePrefix+j.id, bytes.NewReader(j.body()))
	if err != nil {
		return result{err: err}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Rattanring-Deadline-Ms", fmt.Sprint(j.deadline.Milliseconds()))
	res, err := d.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return result{res.StatusCode, string(text), err}
}

// submitOnNewConnection does the same on a connection of its own, which it closes when the deadline has passed.
func (d *deployment) submitOnNewConnection(n *node, j *job) result {
	end := time.Now().Add(j.deadline)
	c, err := net.DialTimeout("tcp", n.frontend, j.deadline)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	body := j.body()
	_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nX-Rattanring-Deadline-Ms: %d\r\n\r\n%s",
		queuePrefix, j.id, queueHost, len(body), j.deadline.Milliseconds(), body)
	if err != nil {
		return result{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return result{res.StatusCode, string(text), err}
}
