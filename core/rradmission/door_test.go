package rradmission

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
	cfg.AllowUnlisted = false
	cfg.Tenants = []rrconf.Tenant{{Name: "ports", Weight: 1}, {Name: "farms", Weight: 1, Quota: 8}}
	return cfg
}

func TestAdmit(t *testing.T) {
	good := Request{Tenant: "ports", Tasks: 10, TotalRunTime: time.Second, EstimatedCompletion: time.Second, Timeout: 2 * time.Second, Slots: 8}
	tests := []struct {
		name string
		edit func(*Request)
		want rrcode.Code
	}{
		{"in time", func(*Request) {}, 0},
		{"late", func(a *Request) { a.EstimatedCompletion = 3 * time.Second }, rrcode.DeadlineUnreachable},
		{"no minion fits", func(a *Request) { a.Unschedulable = true }, rrcode.NeverRunnable},
		{"no minions", func(a *Request) { a.Slots = 0 }, rrcode.NoMinions},
		{"stranger", func(a *Request) { a.Tenant = "x" }, rrcode.UnknownTenant},
		{"quota", func(a *Request) { a.Tenant, a.TotalRunTime = "farms", 20*time.Second }, rrcode.QuotaExceeded},
		{"within quota", func(a *Request) { a.Tenant, a.TotalRunTime = "farms", 7*time.Second }, 0},
		{"backlog", func(a *Request) { a.Backlog = time.Hour }, rrcode.Overloaded},
		{"retry not earned", func(a *Request) { a.Retry = true }, rrcode.RetryBudgetExhausted},
	}
	for _, tc := range tests {
		var d Controller
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
func TestTenantAboveFairShare(t *testing.T) {
	var d Controller
	a := Request{Tasks: 1, TotalRunTime: time.Second, Timeout: time.Hour, Slots: 8}
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
		d := Controller{FreeRetries: rapid.IntRange(0, 20).Draw(t, "free")}
		d.SetConfig(rrconf.Default(), 1)
		share := rrconf.Default().ActiveThresholds().RetryRatio
		var started, retried int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(1, 300).Draw(t, "tasks")
			a := Request{Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), Tasks: n, Timeout: time.Hour, Slots: 1}
			a.Retry = rapid.Bool().Draw(t, "retry")
			if d.Admit(now, a).Code != 0 {
				continue
			}
			if a.Retry {
				retried += n
			}
			d.RecordStarts(n)
			started += n
			d.Release(now, a.Tenant, n, 0)
			if limit := share*float64(started) + float64(d.FreeRetries); float64(retried) > limit {
				t.Fatalf("got %d retried tasks after %d starts, want at most %v", retried, started, limit)
			}
		}
	})
}
