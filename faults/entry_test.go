package faults

import (
	"syscall"
	"testing"
	"time"

	"rattanring/core/rrcode"
)

// TestKillEntry kills an entry under load.
func TestKillEntry(t *testing.T) {
	f := start(t, 2)
	victim := f.entries[0]
	c := &callers{}
	for _, p := range f.entries {
		c.call(p, 2, 12, 60*time.Millisecond)
	}
	time.Sleep(time.Second)
	victim.signal(t, syscall.SIGKILL)
	victim.wait(t, time.Second)
	f.eventually(12*time.Second, "the minions of the dead entry are kept by others", f.others(victim),
		func(_ *process, r report) bool { return f.kept(r) })
	time.Sleep(time.Second)
	all := c.end()
	check(t, all, f.starts())
	for _, o := range all {
		if o.to == victim {
			continue
		}
		if o.err != nil {
			t.Errorf("%v: cut off at an entry that lives", o)
		}
		if code := o.code(); code != rrcode.Complete && code != rrcode.OwnerLost {
			t.Errorf("%v: want complete or keeper-lost", o)
		}
	}
	for _, p := range f.others(victim) {
		if n := count(all, func(o outcome) bool { return o.to == p && o.code() == rrcode.Complete }); n == 0 {
			t.Errorf("%s completed nothing", p.name)
		}
	}
}

// TestFreezeEntry stops an entry past its term and lets it go on.
func TestFreezeEntry(t *testing.T) {
	f := start(t, 2)
	victim := f.entries[0]
	c := &callers{}
	for _, p := range f.entries {
		c.call(p, 2, 12, 60*time.Millisecond)
	}
	time.Sleep(time.Second)
	victim.signal(t, syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	victim.signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	all := c.end()
	check(t, all, f.starts())
	for _, o := range all {
		if o.err != nil {
			t.Errorf("%v: no answer", o)
		}
	}
	f.waitServing()
}

// TestStopEntry stops an entry gracefully under load.
func TestStopEntry(t *testing.T) {
	f := start(t, 2)
	victim := f.entries[0]
	c := &callers{}
	for _, p := range f.entries {
		c.call(p, 3, 12, 100*time.Millisecond)
	}
	time.Sleep(time.Second)
	victim.signal(t, syscall.SIGTERM)
	if err := victim.wait(t, 15*time.Second); err != nil {
		t.Errorf("got %v from a planned stop, want nil", err)
	}
	f.eventually(3*time.Second, "the minions of the stopped entry are kept by others", f.others(victim),
		func(_ *process, r report) bool { return f.kept(r) })
	time.Sleep(500 * time.Millisecond)
	all := c.end()
	check(t, all, f.starts())
	for _, o := range all {
		if o.err != nil && !o.refused() {
			t.Errorf("%v: a request was cut off", o)
		}
		if o.err == nil && o.code() != rrcode.Complete && o.code() != rrcode.Draining {
			t.Errorf("%v: want complete, or leaving", o)
		}
	}
	if n := count(all, func(o outcome) bool { return o.to == victim && o.code() == rrcode.Complete }); n == 0 {
		t.Errorf("the stopped entry completed nothing")
	}
}
