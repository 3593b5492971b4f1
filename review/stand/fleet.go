package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end a process is started again.
const restartDelay = 400 * time.Millisecond

// node is one machine of the system with one process.
type node struct {
	name, zone, ip string
	front, ready   string
	settings       string
	readiness      http.Client

	mu      sync.Mutex
	cmd     *exec.Cmd
	up      bool // in rotation at the platform's balancer
	misses  int
	stopped bool // is not started again
}

// fleet is the system with the platform around it.
type fleet struct {
	rec   *record
	store *store
	world *world
	nodes []*node
	dir   string
	net   string // first two bytes of its loopback addresses
	bin   string
}

// The zones of the small site and their machines.
var zoneNodes = []struct {
	zone  string
	nodes int
}{{"caerdydd", 3}, {"abertawe", 2}, {"bangor", 2}}

const (
	nodeFrontPort = 8161
	nodeReadyPort = 8167
	nodeCtrlPort  = 8166
	nodePeerPort  = 7720
	metricsPort   = 9464
)

// rackSize is the number of minions of a rack.
const rackSize = 8

// config is the operator's configuration: three queues, as on the small sites, one service.
const config = `{"version":7,"routes":[
{"name":"r-proof","host":"nony24.example","prefix":"/proof/","type":"non_idempotent","timeoutMs":30000,"targetLatencyMs":60,"priority":0,"service":"torri","maxAttempts":3,"stretch":1.6},
{"name":"r-face","host":"nony24.example","prefix":"/face/","type":"non_idempotent","timeoutMs":30000,"targetLatencyMs":60,"priority":2,"service":"torri","maxAttempts":4,"stretch":1.6}],
"services":[{"name":"torri","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":false,"standby":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// newFleet starts the store and the minions and writes the settings of the processes.
func newFleet(rec *record, perZone int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, net: freeNet(), bin: "target/rattanring"}
	if f.store, err = newStore(f.net + ".0.7"); err != nil {
		return nil, err
	}
	f.world = &world{rec: rec, store: f.store, ip: f.net + ".8", active: map[string][]*run{}, startsOf: map[string][]time.Time{}}
	f.store.put("op/config", []byte(config))
	for z, zn := range zoneNodes {
		for i := range perZone {
			kind, c := "a", smallSize
			if i%3 == 2 {
				kind, c = largeKind, largeSize
			}
			id := fmt.Sprintf("i-%x%08x", z+1, rand.Uint32())
			if _, err := f.world.start(id, zn.zone, kind, fmt.Sprintf("r%d-%d", z+1, i/rackSize+1), fmt.Sprintf("%s.%d.%d:0", f.net, 20+z, i+1), c); err != nil {
				return nil, err
			}
		}
		for i := range zn.nodes {
			n := &node{name: fmt.Sprintf("edge-%s-%d", zn.zone, i+1), zone: zn.zone, ip: fmt.Sprintf("%s.%d.%d", f.net, z+1, 11+i)}
			n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, nodeFrontPort), fmt.Sprintf("%s:%d", n.ip, nodeReadyPort)
			n.settings = filepath.Join(dir, n.name+".json")
			n.readiness.Timeout = 500 * time.Millisecond
			f.nodes = append(f.nodes, n)
		}
	}
	for _, n := range f.nodes {
		if err := f.writeSettings(n, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeNet returns two bytes of loopback addresses on which the ports of a process are free.
func freeNet() string {
	for {
		network := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		free := true
		for _, port := range []int{nodeFrontPort, nodeReadyPort, nodeCtrlPort, nodePeerPort, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.1.11:%d", network, port))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return network
		}
	}
}

// writeSettings writes a process's settings, with the figures of the small sites.
func (f *fleet) writeSettings(n *node, bootstrap bool) error {
	seeds := []string{}
	for _, i := range []int{0, 3, 5} {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.nodes[i].ip, nodeCtrlPort))
	}
	text, err := json.MarshalIndent(map[string]any{
		"nodeName": n.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control"}, "ip": n.ip,
		"zone": n.zone, "region": "cymru", "zones": map[string]string{"caerdydd": "cymru", "abertawe": "cymru", "bangor": "cymru"},
		"listen":        map[string]string{"frontend": n.front, "readiness": n.ready, "controlPlane": fmt.Sprintf("%s:%d", n.ip, nodeCtrlPort)},
		"internalPorts": []int{nodePeerPort, nodePeerPort + 15}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entryMode": "vip", "heartbeatMs": 1500,
		"invariants":     []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "maxHoldMs": 1000, "stopMs": 50,
			"gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 3,
			"checkpointS": 2, "restoreMs": 600, "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "requireFencing": true, "leaseMs": 3000,
			"thawMs": 300, "paceMs": 100, "impactMs": 4000, "resendMs": 1300},
		"controlMode": "rpc", "advice": f.net + ".0.9:8169",
		"platform": map[string]any{"address": f.store.addr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		"cloudApi": map[string]any{"address": f.net + ".0.8:8169", "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, text, 0o600)
}

// run starts all processes and the balancer's checks, and waits until all are ready.
func (f *fleet) run() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
		go f.check(n)
	}
	for range 150 {
		time.Sleep(100 * time.Millisecond)
		all := true
		for _, n := range f.nodes {
			all = all && n.inRotation()
		}
		if all {
			time.Sleep(2 * time.Second) // the fleet is calm
			return nil
		}
	}
	return fmt.Errorf("not all processes became ready")
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.bin, "node")
	cmd.Env = append(os.Environ(), "RATTANRING_BOOT="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	log.Close()
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	f.rec.add("process %s starts", n.name)
	go func() {
		_ = cmd.Wait()
		f.rec.add("process %s has ended", n.name)
		time.Sleep(restartDelay)
		n.mu.Lock()
		again := !n.stopped
		n.mu.Unlock()
		if again {
			_ = f.writeSettings(n, false)
			_ = f.start(n)
		}
	}()
	return nil
}

// signal sends a signal to a process.
func (f *fleet) signal(n *node, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.rec.add("signal %v to %s", sig, n.name)
	_ = n.cmd.Process.Signal(sig)
}

// close ends all processes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopped = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// check asks for a process's readiness once a second, as the platform's balancer does.
func (f *fleet) check(n *node) {
	for range time.Tick(time.Second) {
		res, err := n.readiness.Get("http://" + n.ready + "/rattanring/readyz")
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			res.Body.Close()
		}
		n.mu.Lock()
		if ok {
			n.up, n.misses = true, 0
		} else if n.misses++; n.misses >= 2 {
			n.up = false
		}
		n.mu.Unlock()
	}
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// inZone returns the nodes of a zone, of all zones if zone is empty, that the balancer uses.
func (f *fleet) inZone(zone string) []*node {
	var all, up []*node
	for _, n := range f.nodes {
		if zone == "" || n.zone == zone {
			all = append(all, n)
			if n.inRotation() {
				up = append(up, n)
			}
		}
	}
	if 2*len(up) < len(all) {
		return all
	}
	return up
}

// byName returns the node with a name, or nil.
func (f *fleet) byName(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
