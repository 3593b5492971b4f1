package rradmission

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"

	"pgregory.net/rapid"
)

var testTime = time.Unix(1_700_000_000, 0)

func config() rrconf.Config {
	cfg := rrconf.Default()
	cfg.AllowUnlisted = false
	cfg.Tenants = []rrconf.Tenant{{Name: "ports", Weight: 1}, {Name: "farms", Weight: 1, Quota: 8}}
	return cfg
}

func TestAdmit(t *testing.T) {
	valid := Request{Tenant: "ports", Tasks: 10, TotalRunTime: time.Second, EstimatedCompletion: time.Second, Timeout: 2 * time.Second, Slots: 8}
	tests := []struct {
		name string
		edit func(*Request)
		want rrcode.Code
	}{
		{"in time", func(*Request) {}, 0},
		{"deadline unreachable", func(req *Request) { req.EstimatedCompletion = 3 * time.Second }, rrcode.DeadlineUnreachable},
		{"no minion fits", func(req *Request) { req.Unschedulable = true }, rrcode.Unschedulable},
		{"no minions", func(req *Request) { req.Slots = 0 }, rrcode.NoMinions},
		{"unlisted tenant", func(req *Request) { req.Tenant = "x" }, rrcode.UnknownTenant},
		{"quota", func(req *Request) { req.Tenant, req.TotalRunTime = "farms", 20*time.Second }, rrcode.QuotaExceeded},
		{"within quota", func(req *Request) { req.Tenant, req.TotalRunTime = "farms", 7*time.Second }, 0},
		{"backlog", func(req *Request) { req.Backlog = time.Hour }, rrcode.Overloaded},
		{"retry not earned", func(req *Request) { req.IsRetry = true }, rrcode.RetryBudgetExhausted},
	}
	for _, tc := range tests {
		var c Controller
		c.SetConfig(config(), 2)
		req := valid
		tc.edit(&req)
		got := c.Admit(testTime, req)
		if got.Code != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got.Code, tc.want)
		}
		if got.Code != 0 && got.Code.Class() != rrcode.ClassNotRun {
			t.Errorf("%s: got class %v, want not run", tc.name, got.Code.Class())
		}
		tasks, _ := c.Outstanding(req.Tenant)
		if (tasks > 0) != (got.Code == 0) {
			t.Errorf("%s: got %d tasks outstanding after %v", tc.name, tasks, got.Code)
		}
	}
}

// With a long backlog, a tenant with most of the outstanding work is refused and one
// with little is not.
func TestTenantAboveFairShare(t *testing.T) {
	var c Controller
	req := Request{Tasks: 1, TotalRunTime: time.Second, Timeout: time.Hour, Slots: 8}
	for range 9 {
		req.Tenant = "loud"
		c.Admit(testTime, req)
	}
	req.Tenant = "calm"
	c.Admit(testTime, req)
	req.Backlog = 40 * time.Second
	if got := c.Admit(testTime, req).Code; got != 0 {
		t.Errorf("calm tenant: got %v, want admission", got)
	}
	req.Tenant = "loud"
	if got := c.Admit(testTime, req).Code; got != rrcode.Overloaded {
		t.Errorf("loud tenant: got %v, want %v", got, rrcode.Overloaded)
	}
}

// Retried tasks never exceed RetryRatio times the starts plus FreeRetries.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Controller{FreeRetries: rapid.IntRange(0, 20).Draw(t, "free")}
		c.SetConfig(rrconf.Default(), 1)
		ratio := rrconf.Default().ActiveThresholds().RetryRatio
		var started, retried int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(1, 300).Draw(t, "tasks")
			req := Request{Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), Tasks: n, Timeout: time.Hour, Slots: 1}
			req.IsRetry = rapid.Bool().Draw(t, "retry")
			if c.Admit(testTime, req).Code != 0 {
				continue
			}
			if req.IsRetry {
				retried += n
			}
			c.RecordStarts(n)
			started += n
			c.Release(testTime, req.Tenant, n, 0)
			if limit := ratio*float64(started) + float64(c.FreeRetries); float64(retried) > limit {
				t.Fatalf("got %d retried tasks after %d starts, want at most %v", retried, started, limit)
			}
		}
	})
}
