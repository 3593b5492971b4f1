// Package rrconf defines the operators' configuration, its validation, and the
// protocol that decides which version is active.
package rrconf

import (
	"fmt"
	"slices"
	"time"
)

// Preset names one of the three sets of thresholds. Exactly one is active.
type Preset string

// The presets that operators can choose.
const (
	Ordinary    Preset = "ordinary"
	Peak        Preset = "peak"
	Maintenance Preset = "maintenance"
)

// Presets lists all presets in display order.
var Presets = []Preset{Ordinary, Peak, Maintenance}

// Valid reports whether p names a preset.
func (p Preset) Valid() bool {
	return p == Ordinary || p == Peak || p == Maintenance
}

// Tenant is the configuration of one tenant.
type Tenant struct {
	Name   string
	Weight int // relative share of slots under contention; at least 1
	Quota  int // slots in use at a time in the whole fleet; zero means no limit
}

// Thresholds are the thresholds that a preset sets.
type Thresholds struct {
	DeadlineFactor float64       // a job is admitted if its estimated completion is within DeadlineFactor times its timeout
	MaxBacklog     time.Duration // queued work per slot above which new jobs are refused
	RetryRatio     float64       // maximum retried tasks per started task
	AgingHalfLife  time.Duration // waiting time that halves the value by which queues order a job; the lowest value runs first
	MinBatchTasks  int           // smallest batch sent to another entry, tasks
}

// Config is one version of the operators' configuration.
type Config struct {
	Version       uint64 // incremented by every accepted change; zero is the built-in configuration
	ChangeID      string // id of the change that made this version
	Author        string // of the change
	Preset        Preset
	AllowUnlisted bool // serve tenants missing from Tenants, with weight 1 and no quota
	Tenants       []Tenant
	Overrides     map[Preset]Thresholds // replace the built-in thresholds of their preset
	Evacuated     []string              // availability zones whose minions start no tasks
}

// Default returns the configuration that is active before any change.
func Default() Config {
	return Config{Preset: Ordinary, AllowUnlisted: true}
}

// ActiveThresholds returns the thresholds of the active preset.
func (c Config) ActiveThresholds() Thresholds {
	if t, ok := c.Overrides[c.Preset]; ok {
		return t
	}
	return DefaultThresholds(c.Preset)
}

// DefaultThresholds returns the thresholds of p that apply unless a Config overrides them.
func DefaultThresholds(p Preset) Thresholds {
	switch p {
	case Peak:
		return Thresholds{DeadlineFactor: 0.8, MaxBacklog: 20 * time.Second, RetryRatio: 0.05, AgingHalfLife: 20 * time.Second, MinBatchTasks: 24}
	case Maintenance:
		return Thresholds{DeadlineFactor: 0.5, MaxBacklog: 5 * time.Second, RetryRatio: 0.02, AgingHalfLife: 10 * time.Second, MinBatchTasks: 24}
	}
	return Thresholds{DeadlineFactor: 1, MaxBacklog: 60 * time.Second, RetryRatio: 0.1, AgingHalfLife: 20 * time.Second, MinBatchTasks: 24}
}

// Tenant returns the configuration of the tenant, and whether the tenant is served.
func (c Config) Tenant(name string) (Tenant, bool) {
	for _, t := range c.Tenants {
		if t.Name == name {
			return t, true
		}
	}
	return Tenant{Name: name, Weight: 1}, c.AllowUnlisted
}

// IsEvacuated reports whether the minions of a zone start no tasks.
func (c Config) IsEvacuated(zone string) bool {
	return slices.Contains(c.Evacuated, zone)
}

// WithZone returns c with a zone added to the evacuated ones, or removed from them. It
// shares no memory with c.Evacuated.
func (c Config) WithZone(zone string, evacuated bool) Config {
	zones := slices.DeleteFunc(slices.Clone(c.Evacuated), func(z string) bool { return z == zone })
	if evacuated {
		zones = append(zones, zone)
		slices.Sort(zones)
	}
	c.Evacuated = zones
	return c
}

// Limits of a configuration document.
const (
	MaxTenants   = 1000
	MaxEvacuated = 64 // zones
	MaxNameBytes = 64
	MaxWeight    = 1000
	MaxQuota     = 1_000_000 // slots
)

// FieldError reports an invalid field of a configuration document.
type FieldError struct {
	Field   string // path in the document, such as tenants[0].name
	Value   string
	Allowed string // description of the allowed values
}

// Error names the field, its value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s is not allowed, want %s", e.Field, e.Value, e.Allowed)
}

// Validate returns a *FieldError for the first invalid field, or nil.
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
		thresholds, ok := c.Overrides[p]
		if !ok {
			continue
		}
		if err := thresholds.validate("rules." + string(p)); err != nil {
			return err
		}
	}
	for p := range c.Overrides {
		if !p.Valid() {
			return &FieldError{"rules", fmt.Sprintf("%q", p), "ordinary, peak or maintenance"}
		}
	}
	return c.validateEvacuated()
}

func (c Config) validateEvacuated() error {
	if len(c.Evacuated) > MaxEvacuated {
		return &FieldError{"evacuated", fmt.Sprint(len(c.Evacuated)), fmt.Sprintf("at most %d", MaxEvacuated)}
	}
	for i, zone := range c.Evacuated {
		field := fmt.Sprintf("evacuated[%d]", i)
		if len(zone) == 0 || len(zone) > MaxNameBytes {
			return &FieldError{field, fmt.Sprintf("%q", zone), fmt.Sprintf("1 to %d bytes", MaxNameBytes)}
		}
		if slices.Contains(c.Evacuated[:i], zone) {
			return &FieldError{field, fmt.Sprintf("%q", zone), "each name once"}
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

func (t Thresholds) validate(field string) error {
	if !(t.DeadlineFactor > 0 && t.DeadlineFactor <= 10) {
		return &FieldError{field + ".slack", fmt.Sprint(t.DeadlineFactor), "above 0, at most 10"}
	}
	if t.MaxBacklog <= 0 || t.MaxBacklog > time.Hour {
		return &FieldError{field + ".backlog", t.MaxBacklog.String(), "above 0, at most 1h"}
	}
	if !(t.RetryRatio >= 0 && t.RetryRatio <= 1) {
		return &FieldError{field + ".retries", fmt.Sprint(t.RetryRatio), "0 to 1"}
	}
	if t.AgingHalfLife <= 0 || t.AgingHalfLife > time.Hour {
		return &FieldError{field + ".ageing", t.AgingHalfLife.String(), "above 0, at most 1h"}
	}
	if t.MinBatchTasks < 1 || t.MinBatchTasks > 10_000 {
		return &FieldError{field + ".batch", fmt.Sprint(t.MinBatchTasks), "1 to 10000"}
	}
	return nil
}
