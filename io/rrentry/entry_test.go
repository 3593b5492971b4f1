package rrentry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/io/rrcall"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrplatform"
	"rattanring/io/rrsettings"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

// fleet is a platform, its minions and three entries, all in this process.
type fleet struct {
	platform *rrplatform.Platform
	minions  *rrstand.Fleet
	addrs    []string
}

// startFleet starts a fleet and returns when every entry accepts jobs. The fleet stops at
// the end of the test, which fails if that cuts off a request.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetOf(t, true)
}

// startFleetOf is startFleet with entries that are in the instance list only if listed is true.
func startFleetOf(t *testing.T, listed bool) *fleet {
	t.Helper()
	f := &fleet{platform: &rrplatform.Platform{}}
	web := httptest.NewServer(f.platform.Handler())
	t.Cleanup(web.Close)
	minions, err := rrstand.StartFleet("minion", 6, 8)
	if err != nil {
		t.Fatal(err)
	}
	f.minions = minions
	t.Cleanup(minions.Close)
	zones := []string{"caerdydd", "abertawe", "bangor"}
	for _, inst := range minions.Instances(rrstand.Listing{Service: "torri", Zones: zones, Conns: 60}) {
		f.platform.Register(inst)
	}
	var startFuncs []func()
	for i, zone := range zones {
		startFuncs = append(startFuncs, f.prepareEntry(t, fmt.Sprintf("entry-%d", i), zone, web.URL, listed))
	}
	for _, startEntry := range startFuncs {
		startEntry()
	}
	for _, addr := range f.addrs {
		f.waitFor(t, "readiness", func() bool {
			res, err := http.Get("http://" + addr + "/readyz")
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
	return f
}

// prepareEntry opens the listener of an entry, adds the entry to the instance list if
// listed is true, and returns a function that starts it.
func (f *fleet) prepareEntry(t *testing.T, name, zone, platformURL string, listed bool) func() {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := rrsettings.Default()
	settings.Name, settings.Zone = name, zone
	settings.StoreURL, settings.InstanceListURL = platformURL, platformURL
	addr := ln.Addr().String()
	f.addrs = append(f.addrs, addr)
	if listed {
		f.platform.Register(rrplatform.Instance{Name: name, Addr: addr, Zone: zone, Service: "rattanring"})
	}
	return func() { t.Cleanup(serveUntil(t, settings, ln)) }
}

// serveUntil starts an entry that runs until the returned function is called. It fails the test if that cuts off a
// request.
func serveUntil(t *testing.T, settings rrsettings.Settings, ln net.Listener) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, settings, ln, log.NewNopLogger()) }()
	return func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("%s: got %v from a planned stop, want nil", settings.Name, err)
		}
	}
}

// waitFor polls until ok returns true. It fails the test after 14 s, the limit for a
// configuration change to reach all entries.
func (f *fleet) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(14 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("waited 14 s in vain for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) submit(t *testing.T, addr string, job *rrwire.Job) *rrwire.Answer {
	t.Helper()
	a, err := rrwire.NewCallerProtobufClient("http://"+addr, http.DefaultClient).Submit(context.Background(), job)
	if err != nil {
		t.Error(err)
	}
	return a
}

// starts returns how often the minions started a task.
func (f *fleet) starts(job string, index int) int {
	return f.minions.Runs()[fmt.Sprintf("%s/%d", job, index)].Starts
}

func presetDocument(t *testing.T, d *rrwire.Document, p rrconf.Preset) *rrwire.Document {
	t.Helper()
	cfg, err := rrconfigdoc.FromWire(d)
	if err != nil {
		t.Error(err)
	}
	cfg.Preset = p
	cfg.ChangeID = ""
	return rrconfigdoc.ToWire(cfg)
}

// TestJobAtEachEntry submits a job to each entry and checks that every task ran once.
func TestJobAtEachEntry(t *testing.T) {
	f := startFleet(t)
	for i, addr := range f.addrs {
		job := &rrwire.Job{Id: fmt.Sprint("job-", i), Tenant: "ports", Class: "proof", Service: "torri", Patience: 20_000}
		for n := range 100 {
			job.Tasks = append(job.Tasks, &rrwire.Task{Index: uint32(n), Body: []byte(`{"run":"20ms"}`)})
		}
		a := f.submit(t, addr, job)
		if got := rrcode.Code(a.GetCode()); got != rrcode.Complete || len(a.GetResults()) != 100 {
			t.Errorf("got %v (%s) with %d results, want complete with 100", got, a.GetDetail(), len(a.GetResults()))
		}
		for n := range 100 {
			if got := f.starts(job.Id, n); got != 1 {
				t.Errorf("task %d: got %d starts, want 1", n, got)
			}
		}
	}
}

// TestEntriesFindEachOtherThroughStore starts entries that no instance list contains. They
// must find each other through the store and agree on an owner in its own zone for each
// minion. Each entry must serve jobs, and a second submission of a non-idempotent job must
// attach to the first one.
func TestEntriesFindEachOtherThroughStore(t *testing.T) {
	f := startFleetOf(t, false)
	for i, addr := range f.addrs {
		c := rrcall.Client{Entries: []string{addr}}
		f.waitFor(t, "an entry that knows the others and the owners of all minions", func() bool {
			s, err := c.Status(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			minionsByOwner := make(map[string]int)
			for _, m := range s.Minions {
				minionsByOwner[m.Owner]++
			}
			return len(s.Peers) == 2 && s.Peers[0].State == rrstatus.Alive && s.Peers[1].State == rrstatus.Alive &&
				minionsByOwner["entry-0"] == 2 && minionsByOwner["entry-1"] == 2 && minionsByOwner["entry-2"] == 2
		})
		job := &rrwire.Job{Id: fmt.Sprint("met-", i), Tenant: "ports", Class: "proof", Service: "torri", Patience: 20_000}
		job.Tasks = append(job.Tasks, &rrwire.Task{Body: []byte(`{"run":"20ms"}`)})
		a := f.submit(t, addr, job)
		if got, want := rrcode.Code(a.GetCode()), rrcode.Complete; got != want {
			t.Errorf("job at %s: got %v, want %v", addr, got, want)
		}
	}
	f.checkNonIdempotentJob(t)
}
