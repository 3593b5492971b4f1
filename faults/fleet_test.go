// Package faults tests a fleet of entry processes while entries, minions, connections or
// the platform fail.
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

	_ "rattanring/io/rrentry" // run by the programs; imported so that a change of it invalidates cached test results
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

// fleet is a platform stand-in and minions in this process, and entries in their own
// processes.
type fleet struct {
	t               *testing.T
	platform        *rrplatform.Platform
	platformCut     map[string]*atomic.Bool     // by zone; true makes the platform unreachable for the zone
	platformServers map[string]*httptest.Server // by zone
	minions         *rrstand.Fleet
	entries         []*process
	network         *network
}

// process is the process of one entry.
type process struct {
	name, zone string
	addr       string // address for callers
	relay      *relay // accepts the connections of peers
	cmd        *exec.Cmd
	ended      chan error // capacity 1; holds the error of exec.Cmd.Wait from the end of the process on
}

// slots is the number of slots of each minion.
const slots = 4

// startFleet starts perZone entries and two minions in each zone.
func startFleet(t *testing.T, perZone int) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: &rrplatform.Platform{}, platformCut: map[string]*atomic.Bool{}, platformServers: map[string]*httptest.Server{}}
	f.network = &network{fleet: f, cut: map[link]bool{}, zones: map[int]string{}}
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

// servePlatform serves the platform to one zone. While platformCut is true for the
// zone, it closes the connections of requests without an answer.
func (f *fleet) servePlatform(zone string) {
	cut := &atomic.Bool{}
	h := f.platform.Handler()
	f.platformCut[zone] = cut
	f.platformServers[zone] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !cut.Load() {
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

// startEntry starts one entry process and puts the entry on the instance list.
func (f *fleet) startEntry(name, zone string) *process {
	f.t.Helper()
	p := &process{name: name, zone: zone, ended: make(chan error, 1)}
	p.relay = f.network.relayTo(p)
	url := f.platformServers[zone].URL
	p.cmd = exec.Command(filepath.Join(binDir, "rattanring"), "entry", "-name", name, "-zone", zone, "-listen", "127.0.0.1:0",
		"-advertise", p.relay.addr(), "-list", url, "-store", url, "-log-level", "info")
	log := &logWatcher{t: f.t, addr: make(chan string, 1)}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.network.addProcess(p)
	go func() {
		err := p.cmd.Wait()
		p.relay.ln.Close() // so that connections to a dead process are refused
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
		f.t.Fatalf("%s has not logged its address", name)
	}
	f.platform.Register(rrplatform.Instance{Name: name, Addr: p.relay.addr(), Zone: zone, Service: "rattanring"})
	f.entries = append(f.entries, p)
	return p
}

// startTimeout bounds the time until an entry listens.
const startTimeout = 10 * time.Second

// startedLine matches the log line that contains the address.
var startedLine = regexp.MustCompile(`msg=started addr=(\S+)`)

// logWatcher copies the log of an entry to the test's output. It fails the test at a
// broken invariant and sends the address that the entry listens on.
type logWatcher struct {
	t    *testing.T
	addr chan string
}

// Write implements io.Writer.
func (l *logWatcher) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("broken invariant")) {
		l.t.Errorf("an entry logs: %s", b)
	}
	if m := startedLine.FindSubmatch(b); m != nil {
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

// wait waits for the process to end and returns the error of exec.Cmd.Wait.
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

// entryStatus is the part of an entry's status that the tests read. Its field names
// are the keys of the status document.
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

// status reads the status of an entry.
func (p *process) status() (entryStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var s entryStatus
	m, err := rrwire.NewOperatorProtobufClient("http://"+p.addr, http.DefaultClient).Status(ctx, &rrwire.Empty{})
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(m.GetText()), &s)
}

// eventually polls the status of the given entries until ok holds for all of them, and
// fails the test after limit.
func (f *fleet) eventually(limit time.Duration, what string, entries []*process, ok func(p *process, s entryStatus) bool) {
	f.t.Helper()
	var last entryStatus
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, p := range entries {
			s, err := p.status()
			if err != nil || !ok(p, s) {
				all, last = false, s
				break
			}
		}
		if all {
			return
		}
	}
	f.t.Fatalf("not reached within %v: %s; last status %+v", limit, what, last)
}

// waitServing waits until all live entries are ready, agree on the owners of all
// minions and reach all zones.
func (f *fleet) waitServing() {
	f.t.Helper()
	alive := f.alive()
	owners := map[string]string{}
	f.eventually(20*time.Second, "all entries agree on all owners", alive, func(p *process, s entryStatus) bool {
		if p == alive[0] {
			clear(owners)
		}
		return s.Ready && f.allOwned(s) && agrees(owners, s) && reachesZones(s, len(zones))
	})
}

// agrees reports whether s has the owners in owners, and adds those that are missing.
func agrees(owners map[string]string, s entryStatus) bool {
	for _, m := range s.Minions {
		if owner, ok := owners[m.Name]; ok && owner != m.Keeper {
			return false
		}
		owners[m.Name] = m.Keeper
	}
	return true
}

// alive returns the entries whose processes have not ended.
func (f *fleet) alive() []*process {
	var all []*process
	for _, p := range f.entries {
		if len(p.ended) == 0 {
			all = append(all, p)
		}
	}
	return all
}

// aliveExcept returns the live entries without excluded.
func (f *fleet) aliveExcept(excluded *process) []*process {
	var all []*process
	for _, p := range f.alive() {
		if p != excluded {
			all = append(all, p)
		}
	}
	return all
}

// allOwned reports whether each minion is owned by a live entry of the minion's zone.
func (f *fleet) allOwned(s entryStatus) bool {
	home := map[string]string{}
	for _, p := range f.alive() {
		home[p.name] = p.zone
	}
	for _, m := range s.Minions {
		if home[m.Keeper] != m.Zone {
			return false
		}
	}
	return len(s.Minions) > 0
}

// reachesZones reports whether exactly n zones are reachable.
func reachesZones(s entryStatus, n int) bool {
	for _, z := range s.Zones {
		if z.Reach {
			n--
		}
	}
	return n == 0
}
