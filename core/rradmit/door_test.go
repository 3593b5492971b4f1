package rradmit

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"

	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func config() rrconf.Config {
	cfg := rrconf.Default()
	cfg.Open = false
	cfg.Tenants = []rrconf.Tenant{{Name: "ports", Weight: 1}, {Name: "farms", Weight: 1, Quota: 8}}
	return cfg
}

func TestAdmit(t *testing.T) {
	good := Ask{Tenant: "ports", Tasks: 10, Work: time.Second, Finish: time.Second, Patience: 2 * time.Second, Slots: 8}
	tests := []struct {
		name string
		edit func(*Ask)
		want rrcode.Code
	}{
		{"in time", func(*Ask) {}, 0},
		{"late", func(a *Ask) { a.Finish = 3 * time.Second }, rrcode.DeadlineUnreachable},
		{"no minion fits", func(a *Ask) { a.Misfit = true }, rrcode.NeverRunnable},
		{"no minions", func(a *Ask) { a.Slots = 0 }, rrcode.NoMinions},
		{"stranger", func(a *Ask) { a.Tenant = "x" }, rrcode.UnknownTenant},
		{"quota", func(a *Ask) { a.Tenant, a.Work = "farms", 20*time.Second }, rrcode.QuotaExceeded},
		{"within quota", func(a *Ask) { a.Tenant, a.Work = "farms", 7*time.Second }, 0},
		{"backlog", func(a *Ask) { a.Backlog = time.Hour }, rrcode.Overloaded},
		{"retry not earned", func(a *Ask) { a.Retry = true }, rrcode.RetryBudgetSpent},
	}
	for _, tc := range tests {
		var d Door
		d.SetConfig(config(), 2)
		a := good
		tc.edit(&a)
		got := d.Admit(now, a)
		if got.Code != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got.Code, tc.want)
		}
		if got.Code != 0 && got.Code.Class() != rrcode.ClassNotRun {
			t.Errorf("%s: got class %v, want not run", tc.name, got.Code.Class())
		}
		tasks, _ := d.Outstanding(a.Tenant)
		if (tasks > 0) != (got.Code == 0) {
			t.Errorf("%s: got %d tasks outstanding after %v", tc.name, tasks, got.Code)
		}
	}
}

// A tenant that holds most of a long backlog is refused, one with little is not.
func TestGreedyTenant(t *testing.T) {
	var d Door
	a := Ask{Tasks: 1, Work: time.Second, Patience: time.Hour, Slots: 8}
	for range 9 {
		a.Tenant = "loud"
		d.Admit(now, a)
	}
	a.Tenant = "calm"
	d.Admit(now, a)
	a.Backlog = 40 * time.Second
	if got := d.Admit(now, a).Code; got != 0 {
		t.Errorf("calm tenant: got %v, want admission", got)
	}
	a.Tenant = "loud"
	if got := d.Admit(now, a).Code; got != rrcode.Overloaded {
		t.Errorf("loud tenant: got %v, want %v", got, rrcode.Overloaded)
	}
}

// Retried tasks never exceed the allowed share of starts and the free ones.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Door{Free: rapid.IntRange(0, 20).Draw(t, "free")}
		d.SetConfig(rrconf.Default(), 1)
		share := rrconf.Default().InForce().Retries
		var started, retried int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(1, 300).Draw(t, "tasks")
			a := Ask{Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), Tasks: n, Patience: time.Hour, Slots: 1}
			a.Retry = rapid.Bool().Draw(t, "retry")
			if d.Admit(now, a).Code != 0 {
				continue
			}
			if a.Retry {
				retried += n
			}
			d.Started(n)
			started += n
			d.Done(now, a.Tenant, n, 0)
			if limit := share*float64(started) + float64(d.Free); float64(retried) > limit {
				t.Fatalf("got %d retried tasks after %d starts, want at most %v", retried, started, limit)
			}
		}
	})
}
