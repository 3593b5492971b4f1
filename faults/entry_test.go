package faults

import (
	"syscall"
	"testing"
	"time"

	"rattanring/core/rrcode"
)

// TestKillEntry kills an entry by SIGKILL under load. The other entries must take over
// its minions. A job of another entry may end with the code keeper-lost, but must be
// answered.
func TestKillEntry(t *testing.T) {
	f := startFleet(t, 2)
	victim := f.entries[0]
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 2, 12, 60*time.Millisecond)
	}
	time.Sleep(time.Second)
	victim.signal(t, syscall.SIGKILL)
	victim.wait(t, time.Second)
	f.eventually(12*time.Second, "the minions of the dead entry have new owners", f.aliveExcept(victim),
		func(_ *process, s entryStatus) bool { return f.allOwned(s) })
	time.Sleep(time.Second)
	all := c.stopAll()
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.to == victim {
			continue
		}
		if o.err != nil {
			t.Errorf("%v: no answer from a live entry", o)
		}
		if code := o.code(); code != rrcode.Complete && code != rrcode.OwnerLost {
			t.Errorf("%v: want complete or keeper-lost", o)
		}
	}
	for _, p := range f.aliveExcept(victim) {
		if n := count(all, func(o callOutcome) bool { return o.to == p && o.code() == rrcode.Complete }); n == 0 {
			t.Errorf("%s completed nothing", p.name)
		}
	}
}

// TestFreezeEntry freezes an entry by SIGSTOP until its leases have expired, and
// continues it by SIGCONT. Every job must be answered, and no task may start twice.
func TestFreezeEntry(t *testing.T) {
	f := startFleet(t, 2)
	victim := f.entries[0]
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 2, 12, 60*time.Millisecond)
	}
	time.Sleep(time.Second)
	victim.signal(t, syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	victim.signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	all := c.stopAll()
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.err != nil {
			t.Errorf("%v: no answer", o)
		}
	}
	f.waitServing()
}

// TestStopEntry stops an entry by SIGTERM under load. Its open jobs must complete. New
// jobs must be refused with the code draining, or their connections must be refused.
func TestStopEntry(t *testing.T) {
	f := startFleet(t, 2)
	victim := f.entries[0]
	c := &callerPool{}
	for _, p := range f.entries {
		c.startCallers(p, 3, 12, 100*time.Millisecond)
	}
	time.Sleep(time.Second)
	victim.signal(t, syscall.SIGTERM)
	if err := victim.wait(t, 15*time.Second); err != nil {
		t.Errorf("got %v from a planned stop, want nil", err)
	}
	f.eventually(3*time.Second, "the minions of the stopped entry have new owners", f.aliveExcept(victim),
		func(_ *process, s entryStatus) bool { return f.allOwned(s) })
	time.Sleep(500 * time.Millisecond)
	all := c.stopAll()
	checkOutcomes(t, all, f.taskStarts())
	for _, o := range all {
		if o.err != nil && !o.refused() {
			t.Errorf("%v: a request got no answer", o)
		}
		if o.err == nil && o.code() != rrcode.Complete && o.code() != rrcode.Draining {
			t.Errorf("%v: want complete or draining", o)
		}
	}
	if n := count(all, func(o callOutcome) bool { return o.to == victim && o.code() == rrcode.Complete }); n == 0 {
		t.Errorf("the stopped entry completed nothing")
	}
}
