// Package rrconf holds the operators' configuration and its rules: what a valid
// document is, and which of two versions is in force.
package rrconf

import (
	"fmt"
	"time"
)

// Preset names one of the three sets of thresholds. Exactly one is in force.
type Preset string

// The presets that operators choose from.
const (
	Ordinary    Preset = "ordinary"
	Peak        Preset = "peak"
	Maintenance Preset = "maintenance"
)

// Presets lists all presets in the order in which they are shown.
var Presets = []Preset{Ordinary, Peak, Maintenance}

// Valid reports whether p names a preset.
func (p Preset) Valid() bool {
	return p == Ordinary || p == Peak || p == Maintenance
}

// Tenant is what the configuration says of one tenant.
type Tenant struct {
	Name   string
	Weight int // share of slots under contention; at least 1
	Quota  int // slots at a time over the whole fleet; zero means no limit
}

// Thresholds are the thresholds that a preset sets.
type Thresholds struct {
	DeadlineFactor float64       // a job is admitted while its estimated completion is within DeadlineFactor times its patience
	MaxBacklog     time.Duration // queued work per slot above which new jobs are refused
	RetryRatio     float64       // retries per start, at most
	AgingHalfLife  time.Duration // waiting time that halves a job's rank
	MinBatchTasks  int           // smallest batch sent to another keeper, tasks
}

// Config is one version of the operators' configuration.
type Config struct {
	Version       uint64 // raised by one with every accepted change; zero is the built-in document
	ChangeID      string // id of the change that made this version
	Author        string // who made the change
	Preset        Preset
	AllowUnlisted bool // tenants that are not listed are served with weight 1 and no quota
	Tenants       []Tenant
	Rules         map[Preset]Thresholds // overrides of the built-in thresholds
}

// Default returns the configuration that is in force before any change.
func Default() Config {
	return Config{Preset: Ordinary, AllowUnlisted: true}
}

// ActiveThresholds returns the thresholds of the preset in force.
func (c Config) ActiveThresholds() Thresholds {
	if r, ok := c.Rules[c.Preset]; ok {
		return r
	}
	return DefaultThresholds(c.Preset)
}

// DefaultThresholds returns the thresholds of p that hold unless a Config overrides them.
func DefaultThresholds(p Preset) Thresholds {
	switch p {
	case Peak:
		return Thresholds{DeadlineFactor: 0.8, MaxBacklog: 20 * time.Second, RetryRatio: 0.05, AgingHalfLife: 20 * time.Second, MinBatchTasks: 24}
	case Maintenance:
		return Thresholds{DeadlineFactor: 0.5, MaxBacklog: 5 * time.Second, RetryRatio: 0.02, AgingHalfLife: 10 * time.Second, MinBatchTasks: 24}
	}
	return Thresholds{DeadlineFactor: 1, MaxBacklog: 60 * time.Second, RetryRatio: 0.1, AgingHalfLife: 20 * time.Second, MinBatchTasks: 24}
}

// Tenant returns the entry for name, and whether the tenant is served at all.
func (c Config) Tenant(name string) (Tenant, bool) {
	for _, t := range c.Tenants {
		if t.Name == name {
			return t, true
		}
	}
	return Tenant{Name: name, Weight: 1}, c.AllowUnlisted
}

// Limits of a configuration document.
const (
	MaxTenants   = 1000
	MaxNameBytes = 64 // bytes
	MaxWeight    = 1000
	MaxQuota     = 1_000_000 // slots
)

// FieldError names the field of a configuration document that is not valid.
type FieldError struct {
	Field   string
	Value   string
	Allowed string // allowed range
}

// Error returns the field, its value and the allowed range.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// Validate returns a *FieldError for the first field that is not valid, or nil.
func (c Config) Validate() error {
	if !c.Preset.Valid() {
		return &FieldError{"preset", fmt.Sprintf("%q", c.Preset), "ordinary, peak or maintenance"}
	}
	if len(c.Tenants) > MaxTenants {
		return &FieldError{"tenants", fmt.Sprint(len(c.Tenants)), fmt.Sprintf("at most %d", MaxTenants)}
	}
	seen := make(map[string]bool, len(c.Tenants))
	for i, t := range c.Tenants {
		field := fmt.Sprintf("tenants[%d]", i)
		if err := t.validate(field); err != nil {
			return err
		}
		if seen[t.Name] {
			return &FieldError{field + ".name", fmt.Sprintf("%q", t.Name), "each name once"}
		}
		seen[t.Name] = true
	}
	for _, p := range Presets {
		r, ok := c.Rules[p]
		if !ok {
			continue
		}
		if err := r.validate("rules." + string(p)); err != nil {
			return err
		}
	}
	for p := range c.Rules {
		if !p.Valid() {
			return &FieldError{"rules", fmt.Sprintf("%q", p), "ordinary, peak or maintenance"}
		}
	}
	return nil
}

func (t Tenant) validate(field string) error {
	if len(t.Name) == 0 || len(t.Name) > MaxNameBytes {
		return &FieldError{field + ".name", fmt.Sprintf("%q", t.Name), fmt.Sprintf("1 to %d bytes", MaxNameBytes)}
	}
	if t.Weight < 1 || t.Weight > MaxWeight {
		return &FieldError{field + ".weight", fmt.Sprint(t.Weight), fmt.Sprintf("1 to %d", MaxWeight)}
	}
	if t.Quota < 0 || t.Quota > MaxQuota {
		return &FieldError{field + ".quota", fmt.Sprint(t.Quota), fmt.Sprintf("0 to %d", MaxQuota)}
	}
	return nil
}

func (r Thresholds) validate(field string) error {
	if !(r.DeadlineFactor > 0 && r.DeadlineFactor <= 10) {
		return &FieldError{field + ".slack", fmt.Sprint(r.DeadlineFactor), "above 0, at most 10"}
	}
	if r.MaxBacklog <= 0 || r.MaxBacklog > time.Hour {
		return &FieldError{field + ".backlog", r.MaxBacklog.String(), "above 0, at most 1h"}
	}
	if !(r.RetryRatio >= 0 && r.RetryRatio <= 1) {
		return &FieldError{field + ".retries", fmt.Sprint(r.RetryRatio), "0 to 1"}
	}
	if r.AgingHalfLife <= 0 || r.AgingHalfLife > time.Hour {
		return &FieldError{field + ".ageing", r.AgingHalfLife.String(), "above 0, at most 1h"}
	}
	if r.MinBatchTasks < 1 || r.MinBatchTasks > 10_000 {
		return &FieldError{field + ".batch", fmt.Sprint(r.MinBatchTasks), "1 to 10000"}
	}
	return nil
}
