package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	_ "rattanring/io/rrentry" // what the programs run, so that a cached result is of this code
	"rattanring/io/rrplatform"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

var zones = []string{"caerdydd", "abertawe", "bangor"}

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faults")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/rattanring", "../cmd/rrlab").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// fleet is a platform and minions in this process, and entries as processes.
type fleet struct {
	t        *testing.T
	platform *rrplatform.Platform
	platformCut     map[string]*atomic.Bool // zones that do not reach the platform
	platformServers   map[string]*httptest.Server
	minions  *rrstand.Fleet
	entries  []*process
	links    *links
}

// process is one entry.
type process struct {
	name, zone string
	addr       string // for callers
	relay      *relay // for peers
	cmd        *exec.Cmd
	ended      chan error
}

// slots of each minion.
const slots = 4

// start starts perZone entries in each zone and two minions for each.
func start(t *testing.T, perZone int) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: &rrplatform.Platform{}, platformCut: map[string]*atomic.Bool{}, platformServers: map[string]*httptest.Server{}}
	f.links = &links{fleet: f, cut: map[link]bool{}, zones: map[int]string{}}
	for _, z := range zones {
		f.servePlatform(z)
	}
	minions, err := rrstand.StartFleet("minion", 2*len(zones), slots)
	if err != nil {
		t.Fatal(err)
	}
	f.minions = minions
	t.Cleanup(minions.Close)
	for _, inst := range minions.Instances(rrstand.Listing{Service: "torri", Zones: zones, Conns: 60}) {
		f.platform.Register(inst)
	}
	for i := range perZone * len(zones) {
		f.startEntry(fmt.Sprintf("entry-%d", i), zones[i%len(zones)])
	}
	f.waitServing()
	return f
}

// servePlatform serves the platform to one zone, until that is cut off.
func (f *fleet) servePlatform(zone string) {
	away := &atomic.Bool{}
	h := f.platform.Handler()
	f.platformCut[zone] = away
	f.platformServers[zone] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !away.Load() {
			h.ServeHTTP(w, r)
			return
		}
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			nc.Close()
		}
	}))
	f.t.Cleanup(func() {
		f.platformServers[zone].CloseClientConnections()
		f.platformServers[zone].Close()
	})
}

// startEntry starts one entry process.
func (f *fleet) startEntry(name, zone string) *process {
	f.t.Helper()
	p := &process{name: name, zone: zone, ended: make(chan error, 1)}
	p.relay = f.links.relayTo(p)
	url := f.platformServers[zone].URL
	p.cmd = exec.Command(filepath.Join(binDir, "rattanring"), "entry", "-name", name, "-zone", zone, "-listen", "127.0.0.1:0",
		"-advertise", p.relay.addr(), "-list", url, "-store", url, "-log-level", "info")
	log := &logWatcher{t: f.t, addr: make(chan string, 1)}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.links.started(p)
	go func() {
		err := p.cmd.Wait()
		p.relay.ln.Close() // connections to a dead process are refused
		p.ended <- err
	}()
	f.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.ended
	})
	select {
	case p.addr = <-log.addr:
	case <-time.After(startTimeout):
		f.t.Fatalf("%s has not started", name)
	}
	f.platform.Register(rrplatform.Instance{Name: name, Addr: p.relay.addr(), Zone: zone, Service: "rattanring"})
	f.entries = append(f.entries, p)
	return p
}

// startTimeout is how long an entry may take to listen.
const startTimeout = 10 * time.Second

// started is the line of the log that names the address.
var started = regexp.MustCompile(`msg=started addr=(\S+)`)

// logWatcher shows the log of an entry, fails at a broken invariant and tells the
// address that the entry listens on.
type logWatcher struct {
	t    *testing.T
	addr chan string
}

// Write implements io.Writer.
func (l *logWatcher) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("broken invariant")) {
		l.t.Errorf("an entry logs: %s", b)
	}
	if m := started.FindSubmatch(b); m != nil {
		l.addr <- string(m[1])
	}
	return l.t.Output().Write(b)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wait returns how the process ended.
func (p *process) wait(t *testing.T, limit time.Duration) error {
	t.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		return err
	case <-time.After(limit):
		t.Fatalf("%s still runs after %v", p.name, limit)
		return nil
	}
}

// entryStatus is the part of an entry's status that the tests look at.
type entryStatus struct {
	Version uint64
	Preset  string
	Ready   bool
	Store   bool
	Zones   []struct {
		Name  string
		Reach bool
	}
	Minions []struct{ Name, Zone, Keeper string }
}

// status asks an entry for its status.
func (p *process) status() (entryStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var r entryStatus
	m, err := rrwire.NewOperatorProtobufClient("http://"+p.addr, http.DefaultClient).Status(ctx, &rrwire.Empty{})
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal([]byte(m.GetText()), &r)
}

// eventually waits until ok holds at all given entries.
func (f *fleet) eventually(limit time.Duration, what string, at []*process, ok func(p *process, r entryStatus) bool) {
	f.t.Helper()
	var last entryStatus
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range at {
			r, err := p.status()
			if err != nil || !ok(p, r) {
				all, last = false, r
				break
			}
		}
		if all {
			return
		}
	}
	f.t.Fatalf("not within %v: %s; last status %+v", limit, what, last)
}

// waitServing waits until all entries agree on the keepers of all minions and see
// all zones.
func (f *fleet) waitServing() {
	f.t.Helper()
	alive := f.alive()
	owners := map[string]string{}
	f.eventually(20*time.Second, "all entries agree on all keepers", alive, func(p *process, r entryStatus) bool {
		if p == alive[0] {
			clear(owners)
		}
		return r.Ready && f.allOwned(r) && agrees(owners, r) && reachesZones(r, len(zones))
	})
}

func agrees(owners map[string]string, r entryStatus) bool {
	for _, m := range r.Minions {
		if k, ok := owners[m.Name]; ok && k != m.Keeper {
			return false
		}
		owners[m.Name] = m.Keeper
	}
	return true
}

// alive returns the entries that have not ended.
func (f *fleet) alive() []*process {
	var all []*process
	for _, p := range f.entries {
		if len(p.ended) == 0 {
			all = append(all, p)
		}
	}
	return all
}

// others returns the live entries but one.
func (f *fleet) others(not *process) []*process {
	var all []*process
	for _, p := range f.alive() {
		if p != not {
			all = append(all, p)
		}
	}
	return all
}

// allOwned reports whether a live entry of its zone keeps each minion.
func (f *fleet) allOwned(r entryStatus) bool {
	home := map[string]string{}
	for _, p := range f.alive() {
		home[p.name] = p.zone
	}
	for _, m := range r.Minions {
		if home[m.Keeper] != m.Zone {
			return false
		}
	}
	return len(r.Minions) > 0
}

// reachesZones reports whether n zones are in reach.
func reachesZones(r entryStatus, n int) bool {
	for _, z := range r.Zones {
		if z.Reach {
			n--
		}
	}
	return n == 0
}
