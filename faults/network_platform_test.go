package faults

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/io/rrplatform"
	"rattanring/io/rrwire"
)

// checkServing submits a job of 12 tasks to each of the entries, checks that all
// complete, and returns the outcomes.
func (f *fleet) checkServing(label string, entries []*process) []callOutcome {
	f.t.Helper()
	var all []callOutcome
	for _, p := range entries {
		o := submit(http.DefaultClient, p, p.name+"-"+label, 12, 50*time.Millisecond)
		if o.code() != rrcode.Complete {
			f.t.Errorf("%s: %v, want complete", label, o)
		}
		all = append(all, o)
	}
	return all
}

// TestCutZone cuts all connections of one zone to the other zones and to the platform
// under load, and restores them. Every job must be answered, both sides must serve
// during the cut, and no task may start twice.
func TestCutZone(t *testing.T) {
	f := startFleet(t, 2)
	const isolated = "bangor"
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 1, 12, 60*time.Millisecond)
	}
	time.Sleep(time.Second)
	f.network.isolate(isolated, true)
	f.platformCut[isolated].Store(true)
	f.platformServers[isolated].CloseClientConnections()
	f.eventually(25*time.Second, "each side reports the zones that it does not reach", f.alive(), func(p *process, s entryStatus) bool {
		if p.zone == isolated {
			return reachesZones(s, 1) && !s.Store
		}
		return reachesZones(s, len(zones)-1)
	})
	during := f.checkServing("cutoff", f.alive())
	f.network.isolate(isolated, false)
	f.platformCut[isolated].Store(false)
	f.waitServing()
	all := append(c.stopAll(), during...)
	all = append(all, f.checkServing("healed", f.alive())...)
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.err != nil {
			t.Errorf("%v: no answer", o)
		}
	}
}

// TestCutOneWay cuts the connections of one direction between two zones under load, and
// restores them. Every job must be answered, and all entries must serve during the cut.
func TestCutOneWay(t *testing.T) {
	f := startFleet(t, 1)
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 2, 24, 60*time.Millisecond)
	}
	time.Sleep(time.Second)
	f.network.setCut(zones[0], zones[1], true)
	time.Sleep(4 * time.Second)
	during := f.checkServing("oneway", f.alive())
	f.network.setCut(zones[0], zones[1], false)
	f.waitServing()
	all := append(c.stopAll(), during...)
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.err != nil {
			t.Errorf("%v: no answer", o)
		}
	}
}

// TestCutOneWayInFlight cuts the connections of one direction between two zones while a
// large job has batches in the other zone. The job must complete, because the entries
// relay the batches' messages through the third zone.
func TestCutOneWayInFlight(t *testing.T) {
	f := startFleet(t, 1)
	done := make(chan callOutcome, 1)
	go func() { done <- submit(http.DefaultClient, f.entries[0], "large", 400, 100*time.Millisecond) }()
	time.Sleep(400 * time.Millisecond)
	f.network.setCut(zones[0], zones[1], true)
	o := <-done
	f.network.setCut(zones[0], zones[1], false)
	checkOutcomes(t, []callOutcome{o}, f.taskStarts())
	if o.code() != rrcode.Complete {
		t.Errorf("%v, want complete", o)
	}
}

// TestPlatformAway makes the platform unreachable for longer than any lease. All jobs
// must complete, and the platform's rate limits must not refuse a call.
func TestPlatformAway(t *testing.T) {
	f := startFleet(t, 1)
	f.platform.SetFaults(rrplatform.Faults{Outage: true, ListOutage: true})
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 2, 12, 60*time.Millisecond)
	}
	f.eventually(8*time.Second, "entries report that the store is unreachable", f.alive(), func(_ *process, s entryStatus) bool { return !s.Store })
	time.Sleep(6 * time.Second)
	f.platform.SetFaults(rrplatform.Faults{})
	all := c.stopAll()
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.code() != rrcode.Complete {
			t.Errorf("%v: want complete", o)
		}
	}
	f.eventually(8*time.Second, "entries report that the store is reachable again", f.alive(), func(_ *process, s entryStatus) bool { return s.Store })
	if got := f.platform.Stats().Refused; got != 0 {
		t.Errorf("got %d calls refused by the platform's rate limits, want 0", got)
	}
}

// TestStopMinions stops a process of minions by SIGTERM under load. All jobs must
// complete.
func TestStopMinions(t *testing.T) {
	f := startFleet(t, 1)
	cmd := exec.Command(filepath.Join(binDir, "rrlab"), "minion", "-n", "3", "-slots", "4", "-prefix", "leaver", "-platform", f.platformServers[zones[0]].URL)
	cmd.Stderr = t.Output()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(5*time.Second, "the new minions have owners", f.alive(), func(_ *process, s entryStatus) bool { return len(s.Minions) == 9 && f.allOwned(s) })
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 2, 24, 80*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v from a planned stop, want nil", err)
	}
	f.eventually(3*time.Second, "the stopped minions are no longer listed", f.alive(), func(_ *process, s entryStatus) bool { return len(s.Minions) == 6 })
	all := c.stopAll()
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.code() != rrcode.Complete {
			t.Errorf("%v: want complete", o)
		}
	}
}

// TestOperatorsRace has operators change the configuration through all entries at once
// while one zone does not reach the platform. No version may be accepted for two
// changes, and the last one must become active at all entries.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t, 1)
	f.platformCut[zones[2]].Store(true)
	f.platformServers[zones[2]].CloseClientConnections()
	var mu sync.Mutex
	applied := map[uint64]string{}
	var ops sync.WaitGroup
	for i, p := range f.entries {
		changes := 5
		if p.zone == zones[2] {
			changes = 1 // each waits for the store until it times out
		}
		for k := range 2 {
			ops.Go(func() {
				for n := range changes {
					version, label := f.applyChange(p, fmt.Sprintf("op-%d-%d-%d", i, k, n))
					if version == 0 {
						continue
					}
					mu.Lock()
					if other, ok := applied[version]; ok && other != label {
						t.Errorf("version %d was accepted for the changes %s and %s", version, other, label)
					}
					applied[version] = label
					mu.Unlock()
				}
			})
		}
	}
	ops.Wait()
	if len(applied) == 0 {
		t.Fatal("no change was accepted")
	}
	top := uint64(0)
	for v := range applied {
		top = max(top, v)
	}
	seen := map[string]uint64{}
	f.eventually(14*time.Second, "the last change is active at all entries", f.alive(), func(p *process, s entryStatus) bool {
		if s.Version < seen[p.name] {
			t.Errorf("%s went from version %d back to %d", p.name, seen[p.name], s.Version)
		}
		seen[p.name] = s.Version
		return s.Version == top
	})
	f.platformCut[zones[2]].Store(false)
	t.Logf("%d changes accepted, last version %d", len(applied), top)
}

// applyChange reads the configuration document of an entry and applies it unchanged. It
// returns the version that this creates and label, which names the attempt in error
// messages, or zero and the empty string if the change was not accepted.
func (f *fleet) applyChange(p *process, label string) (uint64, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	op := rrwire.NewOperatorProtobufClient("http://"+p.addr, http.DefaultClient)
	doc, err := op.Config(ctx, &rrwire.Empty{})
	if err != nil {
		f.t.Errorf("%s: reading the configuration: %v", p.name, err)
		return 0, ""
	}
	out, err := op.Apply(ctx, doc) // the document is sent back as read, with its version and change ID
	if err != nil {
		f.t.Errorf("%s: applying the change: %v", p.name, err)
		return 0, ""
	}
	if rrcode.Code(out.GetCode()) != rrcode.Applied {
		return 0, ""
	}
	return doc.GetVersion() + 1, label
}
