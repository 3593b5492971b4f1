package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
	"rattanring/io/rrcall"
	_ "rattanring/io/rrentry" // run by the programs; imported so that a change of it invalidates cached test results
	"rattanring/io/rrplatform"
	"rattanring/io/rrstand"
)

var zones = []string{"caerdydd", "abertawe", "bangor"}

const minionsPerZone = 2

// fleet is a platform stand-in, minions and entries, each in its own process.
type fleet struct {
	entries []*process
	addrs   []string // of the entries
	minions []string // addresses of the minions
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{}
	_, m := startProcess(t, `^platform (\S+)$`, "rrlab", "platform")
	platform := m[1]
	for i, zone := range zones {
		for n := range minionsPerZone {
			prefix := fmt.Sprintf("torri-%d-%d", i, n)
			_, m := startProcess(t, `^torri\S+ (\S+) \S+$`, "rrlab", "minion", "-n", "1", "-prefix", prefix, "-zones", zone, "-platform", platform)
			f.minions = append(f.minions, m[1])
		}
	}
	for _, zone := range zones {
		name := zone + "-1"
		p, m := startProcess(t, `msg=started addr=(\S+)`, "rattanring", "entry", "-name", name, "-zone", zone,
			"-listen", "127.0.0.1:0", "-store", platform, "-list", platform, "-log-level", "debug")
		f.entries = append(f.entries, p)
		f.addrs = append(f.addrs, m[1])
		inst := rrplatform.Instance{Name: name, Addr: m[1], Zone: zone, Service: "rattanring"}
		if err := (rrstand.Registry{URL: platform}).Add(t.Context(), []rrplatform.Instance{inst}); err != nil {
			t.Fatal(err)
		}
	}
	for _, addr := range f.addrs {
		f.awaitStatus(t, addr, "all peers and minions", f.knowsFleet)
	}
	return f
}

// awaitStatus polls the status of one entry until ok reports true.
func (f *fleet) awaitStatus(t *testing.T, addr, what string, ok func(rrstatus.Status) bool) {
	t.Helper()
	c := rrcall.Client{Entries: []string{addr}}
	var last rrstatus.Status
	for started := time.Now(); time.Since(started) < waitTimeout; time.Sleep(20 * time.Millisecond) {
		s, err := c.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if last = s; ok(s) {
			return
		}
	}
	t.Fatalf("the status of entry %s does not show %s: got %+v", addr, what, last)
}

// knowsFleet reports whether an entry is ready, reaches the store, knows all peers, and
// sees each minion owned by the entry of the minion's zone.
func (f *fleet) knowsFleet(s rrstatus.Status) bool {
	live, owned := 0, 0
	for _, p := range s.Peers {
		if p.State == rrstatus.Alive {
			live++
		}
	}
	for _, m := range s.Minions {
		if m.Owner == m.Zone+"-1" {
			owned++
		}
	}
	return s.Ready && s.StoreReachable && live == len(zones)-1 && owned == len(zones)*minionsPerZone
}

// tally returns the minions' own counts, combined with Tally.Add.
func (f *fleet) tally(t *testing.T) rrstand.Tally {
	t.Helper()
	var sum rrstand.Tally
	for _, addr := range f.minions {
		resp, err := http.Get("http://" + addr + "/tally")
		if err != nil {
			t.Fatal(err)
		}
		var one rrstand.Tally
		err = json.NewDecoder(resp.Body).Decode(&one)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		sum.Add(one)
	}
	return sum
}

func TestFleet(t *testing.T) {
	f := startFleet(t)
	all := strings.Join(f.addrs, ",")
	started := 0

	t.Run("submit", func(t *testing.T) {
		for _, addr := range f.addrs {
			f.submitCommand(t, addr)
			started += 100
		}
	})
	t.Run("explain", func(t *testing.T) {
		out, status := runCommand(t, "explain", "-entry", all, "-json", "job-2")
		if status != 0 || !strings.Contains(out, `"outcome": "complete"`) {
			t.Errorf("got status %d and %s, want a complete history", status, out)
		}
	})
	t.Run("preset", func(t *testing.T) {
		if out, status := runCommand(t, "preset", "set", "-entry", f.addrs[0], "peak"); status != 0 {
			t.Errorf("got status %d and %s, want 0", status, out)
		}
		for _, addr := range f.addrs {
			f.awaitStatus(t, addr, "preset peak", func(s rrstatus.Status) bool { return s.Preset == rrconf.Peak })
		}
	})
	t.Run("drain", func(t *testing.T) {
		started += f.drain(t, 0)
	})
	t.Run("starts", func(t *testing.T) {
		got := f.tally(t)
		if got.Starts != started || got.Most != 1 {
			t.Errorf("got %d starts, at most %d of a task, want %d and 1", got.Starts, got.Most, started)
		}
	})
}

// submitCommand submits a job of 100 tasks by the command rattanring submit and checks
// the answer.
func (f *fleet) submitCommand(t *testing.T, addr string) {
	t.Helper()
	id := fmt.Sprint("job-", f.index(addr))
	out, status := runCommand(t, "submit", "-entry", addr, "-id", id, "-tasks", "100", "-run", "20ms", "-json")
	var answer struct {
		ID      string
		Code    rrcode.Code
		Results []struct {
			Index int
			Code  rrcode.Code
		}
	}
	if err := json.Unmarshal([]byte(out), &answer); err != nil {
		t.Fatalf("%v in %s", err, out)
	}
	if status != 0 || answer.ID != id || answer.Code != rrcode.Complete || len(answer.Results) != 100 {
		t.Fatalf("got status %d and %s, want a complete answer", status, out)
	}
	for i, r := range answer.Results {
		if r.Index != i || r.Code != rrcode.Complete {
			t.Errorf("got %+v as result %d, want a complete one", r, i)
		}
	}
}

func (f *fleet) index(addr string) int {
	for i, a := range f.addrs {
		if a == addr {
			return i
		}
	}
	return -1
}

// drain stops one entry by SIGTERM under load and checks that every job is answered
// complete. It returns the number of submitted tasks.
func (f *fleet) drain(t *testing.T, entry int) int {
	const callers, rounds, tasks = 12, 5, 20
	answered := make(chan bool, callers*rounds)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			c := rrcall.Client{
				Entries:    append([]string{f.addrs[entry]}, f.addrs[entry+1:]...),
				MaxRetries: 10,
			}
			for round := range rounds {
				f.submitJob(t, &c, fmt.Sprintf("drain-%d-%d", n, round), tasks)
				answered <- true
			}
		})
	}
	for range callers * rounds / 2 {
		<-answered
	}
	if status := f.entries[entry].terminate(t); status != 0 {
		t.Errorf("got exit status %d of a drained entry, want 0", status)
	}
	wg.Wait()
	return callers * rounds * tasks
}

func (f *fleet) submitJob(t *testing.T, c *rrcall.Client, id string, tasks int) {
	job := rrtask.Job{ID: id, Tenant: "ports", Class: "proof", Service: "torri", Deadline: time.Now().Add(waitTimeout)}
	for i := range tasks {
		job.Tasks = append(job.Tasks, rrtask.Task{Index: i, Body: rrstand.Work{RunTime: 50 * time.Millisecond}.Marshal()})
	}
	a := c.Submit(t.Context(), job)
	if a.Code != rrcode.Complete || len(a.Results) != tasks || a.RequestID != id {
		t.Errorf("%s: got %v (%s) with %d results, want complete with %d", id, a.Code, a.Detail, len(a.Results), tasks)
	}
}
