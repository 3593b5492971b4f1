package rrconf

import (
	"errors"
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
