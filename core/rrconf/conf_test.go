package rrconf

import (
	"errors"
	"slices"
	"testing"
	"time"
)

func TestValidate(t *testing.T) {
	tests := []struct {
		name  string
		edit  func(*Config)
		field string
	}{
		{"default", func(*Config) {}, ""},
		{"no preset", func(c *Config) { c.Preset = "" }, "preset"},
		{"empty tenant", func(c *Config) { c.Tenants = []Tenant{{Weight: 1}} }, "tenants[0].name"},
		{"no weight", func(c *Config) { c.Tenants = []Tenant{{Name: "a"}} }, "tenants[0].weight"},
		{"quota", func(c *Config) { c.Tenants = []Tenant{{Name: "a", Weight: 1, Quota: -1}} }, "tenants[0].quota"},
		{"duplicate tenant", func(c *Config) { c.Tenants = []Tenant{{"a", 1, 0}, {"a", 1, 0}} }, "tenants[1].name"},
		{"thresholds of an unknown preset", func(c *Config) { c.Overrides = map[Preset]Thresholds{"night": {}} }, "rules"},
		{"evacuated zones", func(c *Config) { c.Evacuated = []string{"a", "b"} }, ""},
		{"zone without a name", func(c *Config) { c.Evacuated = []string{"a", ""} }, "evacuated[1]"},
		{"duplicate zone", func(c *Config) { c.Evacuated = []string{"a", "b", "a"} }, "evacuated[2]"},
		{"too many zones", func(c *Config) { c.Evacuated = make([]string, MaxEvacuated+1) }, "evacuated"},
		{"zero deadline factor", func(c *Config) { c.Overrides = map[Preset]Thresholds{Peak: {MaxBacklog: time.Second}} }, "rules.peak.slack"},
	}
	for _, tc := range tests {
		cfg := Default()
		tc.edit(&cfg)
		err := cfg.Validate()
		var bad *FieldError
		got := ""
		if errors.As(err, &bad) {
			got = bad.Field
		}
		if got != tc.field {
			t.Errorf("%s: got field %q (%v), want %q", tc.name, got, err, tc.field)
		}
	}
}

// TestWithZone: an edit that writes into the list of the active configuration would put a
// change in force that the store never accepted.
func TestWithZone(t *testing.T) {
	active := Config{Evacuated: append(make([]string, 0, 8), "c", "a")}
	tests := []struct {
		zone      string
		evacuated bool
		want      []string
	}{
		{"b", true, []string{"a", "b", "c"}},
		{"c", true, []string{"a", "c"}},
		{"c", false, []string{"a"}},
		{"b", false, []string{"c", "a"}},
	}
	for _, tc := range tests {
		if got := active.WithZone(tc.zone, tc.evacuated).Evacuated; !slices.Equal(got, tc.want) {
			t.Errorf("%s %v: got %q, want %q", tc.zone, tc.evacuated, got, tc.want)
		}
		if want := []string{"c", "a"}; !slices.Equal(active.Evacuated, want) {
			t.Fatalf("%s %v: got active zones %q, want %q", tc.zone, tc.evacuated, active.Evacuated, want)
		}
	}
}
