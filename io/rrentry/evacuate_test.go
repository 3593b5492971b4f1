package rrentry

import (
	"slices"
	"testing"

	"rattanring/core/rrcode"
	"rattanring/io/rrcall"
	"rattanring/io/rrwire"
)

// TestEvacuateZone takes zones out of use at one entry. All entries must follow: the entry
// of an evacuated zone serves its callers elsewhere, and refuses them when no zone is left.
func TestEvacuateZone(t *testing.T) {
	f := startFleet(t)
	zoned := f.minions.Servers[0].Minion // of caerdydd, as startFleetOf assigns the zones
	for _, tc := range []struct {
		zone      string
		evacuated bool
		want      []string
		code      rrcode.Code
		starts    bool // in caerdydd
	}{
		{"caerdydd", true, []string{"caerdydd"}, rrcode.Complete, false},
		{"abertawe", true, []string{"abertawe", "caerdydd"}, rrcode.Complete, false},
		{"bangor", true, []string{"abertawe", "bangor", "caerdydd"}, rrcode.ZoneEvacuated, false},
		{"caerdydd", false, []string{"abertawe", "bangor"}, rrcode.Complete, true},
	} {
		operator := rrcall.Client{Entries: f.addrs[1:]}
		if out, err := operator.EvacuateZone(t.Context(), tc.zone, tc.evacuated, "ann"); err != nil || out.Code != rrcode.Applied {
			t.Fatalf("got %+v, %v, want the change of %s applied", out, err, tc.zone)
		}
		for _, addr := range f.addrs {
			c := rrcall.Client{Entries: []string{addr}}
			f.waitFor(t, "the evacuated zones at "+addr, func() bool {
				s, err := c.Status(t.Context())
				return err == nil && slices.Equal(s.Evacuated, tc.want)
			})
		}
		job := &rrwire.Job{Id: "without-" + tc.want[0] + tc.zone, Tenant: "ports", Class: "proof", Service: "torri", Patience: 20_000}
		for n := range 40 {
			job.Tasks = append(job.Tasks, &rrwire.Task{Index: uint32(n), Body: []byte(`{"run":"20ms"}`)})
		}
		a := f.submit(t, f.addrs[0], job)
		if got := rrcode.Code(a.GetCode()); got != tc.code || (got == rrcode.ZoneEvacuated) != (a.GetAfter() > 0) {
			t.Errorf("%s: got %v (%s), retry after %d ms, want %v", job.Id, got, a.GetDetail(), a.GetAfter(), tc.code)
		}
		if got := len(zoned.Runs()) > 0; got != tc.starts {
			t.Errorf("%s: got starts in caerdydd %v, want %v", job.Id, got, tc.starts)
		}
	}
}

// TestAppliedChangeIsRead changes zones without a pause. An entry that shows the version
// before the one that it has just applied would make the next change conflict with it.
func TestAppliedChangeIsRead(t *testing.T) {
	f := startFleet(t)
	c := rrcall.Client{Entries: f.addrs[:1]}
	for i := range 20 {
		out, err := c.EvacuateZone(t.Context(), "caerdydd", i%2 == 0, "ann")
		if err != nil || out.Code != rrcode.Applied {
			t.Fatalf("change %d: got %+v, %v, want it applied", i, out, err)
		}
		if cfg, err := c.Config(t.Context()); err != nil || cfg.Version != out.Active.Version {
			t.Fatalf("change %d: read version %d, %v, want %d", i, cfg.Version, err, out.Active.Version)
		}
	}
}
