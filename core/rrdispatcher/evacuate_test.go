package rrdispatcher

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrtask"
)

func evacuating(zones ...string) rrconf.Config {
	cfg := rrconf.Default()
	cfg.Evacuated = zones
	return cfg
}

// zonedMinions returns two minions, of which the one in zone b has 4 cores.
func zonedMinions() []rrtask.Minion {
	ms := testMinions(2, 8)
	ms[0].Zone, ms[1].Zone, ms[1].Capacity = "a", "b", rrtask.Resources{MilliCores: 4000}
	return ms
}

// TestOnlyLargeMinionEvacuated: a task that only an evacuated minion is large enough for
// would wait in the queue of an owner that has others, until its deadline.
func TestOnlyLargeMinionEvacuated(t *testing.T) {
	d := New(nil)
	d.SetMinions(testStart, zonedMinions())
	d.SetConfig(evacuating("b"), 8)
	b := testBatch(1, "t", 1, time.Second)
	b.Tasks[0].Resources.MilliCores = 4000
	d.Add(testStart, b)
	d.Dispatch(testStart, nil)
	if got := d.TakeOutcomes(nil); len(got) != 1 || got[0].Result.Code != rrcode.ZoneEvacuated {
		t.Errorf("got outcomes %+v, want one that returns the task", got)
	}
}

// TestMinionJoinsEvacuatedZone: an owner that gets minions after it got the version, as a
// new owner does, must not start tasks on them.
func TestMinionJoinsEvacuatedZone(t *testing.T) {
	d := New(nil)
	d.SetConfig(evacuating("a", "b"), 0)
	d.SetMinions(testStart, zonedMinions())
	d.Add(testStart, testBatch(1, "t", 1, time.Second))
	if got := d.Dispatch(testStart, nil); len(got) != 0 {
		t.Errorf("got %d dispatches, want none", len(got))
	}
}

// TestLoadOfEvacuatedZone: other owners place tasks by the reported slots. After the zone
// is back in use, a minion in quarantine must be probed without its long delay.
func TestLoadOfEvacuatedZone(t *testing.T) {
	d := New(nil)
	d.SetMinions(testStart, append(zonedMinions(), rrtask.Minion{Name: "bad", Zone: "b", Service: "torri", Slots: 8}))
	d.minions["bad"].probe.interval = maxProbeInterval
	d.minions["bad"].quarantine(testStart)
	now := testStart.Add(time.Second)
	for _, tc := range []struct {
		evacuated     []string
		slots, probes int
	}{{nil, 16, 0}, {[]string{"b"}, 8, 0}, {[]string{"a", "b"}, 0, 0}, {nil, 16, 1}} {
		d.Dispatch(now, nil)
		d.SetConfig(evacuating(tc.evacuated...), 24)
		if slots, probes := d.Load(now).UsableSlots, len(d.DueProbes(now, nil)); slots != tc.slots || probes != tc.probes {
			t.Errorf("evacuated %q: got %d usable slots and %d probes, want %d and %d", tc.evacuated, slots, probes, tc.slots, tc.probes)
		}
	}
}

// TestQuotaWhileEvacuated: an owner that counted the slots of an evacuated zone as its own
// would give a tenant more than its quota of the slots that are left in the fleet.
func TestQuotaWhileEvacuated(t *testing.T) {
	d := New(nil)
	d.SetMinions(testStart, zonedMinions())
	cfg := evacuating("b")
	cfg.Tenants = []rrconf.Tenant{{Name: "t", Weight: 1, Quota: 4}}
	d.SetConfig(cfg, 16) // 8 slots here and 8 at other owners
	if got := d.tenant("t").slotLimit; got != 2 {
		t.Errorf("got a limit of %d slots, want 2", got)
	}
}
