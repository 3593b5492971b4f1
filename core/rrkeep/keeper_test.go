package rrkeep

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrtask"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet returns n minions with slots each.
func fleet(n, slots int) []rrtask.Minion {
	ms := make([]rrtask.Minion, n)
	for i := range ms {
		name := "m" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		ms[i] = rrtask.Minion{Name: name, Addr: name, Service: "torri", Slots: slots}
	}
	return ms
}

// work returns a batch of n tasks that are expected to run for each.
func work(seq uint64, tenant string, n int, each time.Duration) Batch {
	b := Batch{
		Key: Key{"e1", 1, seq}, Job: "j", Tenant: tenant, Class: "proof", Service: "torri",
		Deadline: epoch.Add(time.Hour), Accepted: epoch, Rest: time.Duration(n) * each,
	}
	for i := range n {
		b.Tasks = append(b.Tasks, rrtask.Task{Index: i, Expect: each})
	}
	return b
}

func TestShortestFirst(t *testing.T) {
	k := New(nil)
	k.SetMinions(epoch, fleet(1, 1))
	k.Add(epoch, work(1, "a", 3, time.Second))
	k.Add(epoch, work(2, "a", 1, time.Second))
	got := k.Next(epoch, nil)
	if len(got) != 1 || got[0].Key.Seq != 2 {
		t.Fatalf("got %v, want the shorter job alone", got)
	}
	k.Finish(epoch, Finish{ID: got[0].ID, Result: rrtask.Result{Code: rrcode.Complete}})
	if got := k.Next(epoch, nil); len(got) != 1 || got[0].Key.Seq != 1 {
		t.Fatalf("got %v, want one task of the longer job", got)
	}
	if got := len(k.Outcomes(nil)); got != 1 {
		t.Errorf("got %d outcomes, want 1", got)
	}
	if k.Add(epoch, work(2, "a", 1, time.Second)) {
		t.Errorf("an ended batch was taken again")
	}
}

func TestQuota(t *testing.T) {
	tests := []struct {
		quota, fleet, want int
	}{
		{0, 96, 48},
		{24, 96, 12},
		{24, 48, 24},
		{1, 1000, 1},
		{1000, 96, 48},
	}
	for _, tc := range tests {
		k := New(nil)
		k.SetMinions(epoch, fleet(6, 8))
		now := epoch.Add(time.Minute)
		cfg := rrconf.Default()
		cfg.Tenants = []rrconf.Tenant{{Name: "a", Weight: 1, Quota: tc.quota}}
		k.SetConfig(cfg, tc.fleet)
		k.Add(now, work(1, "a", 60, time.Second))
		if got := len(k.Next(now, nil)); got != tc.want {
			t.Errorf("quota %d of %d slots: got %d starts, want %d", tc.quota, tc.fleet, got, tc.want)
		}
		k.Add(now, work(2, "b", 60, time.Second))
		if got := len(k.Next(now, nil)); got != 48-tc.want {
			t.Errorf("quota %d of %d slots: got %d starts of another tenant, want %d", tc.quota, tc.fleet, got, 48-tc.want)
		}
	}
}
