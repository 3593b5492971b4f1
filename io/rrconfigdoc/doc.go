// Package rrconfigdoc maps the JSON configuration document to rrconf.Config.
//
// A document names exactly one preset. Fields that it leaves out keep their
// built-in values. Unknown and repeated keys are refused by name, because a
// setting that is dropped in silence costs more than an error.
package rrconfigdoc

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"rattanring/core/rrconf"
)

// MaxText is the largest document, in bytes.
const MaxText = 512 << 10

// UnknownError names a key that documents do not have.
type UnknownError struct {
	Field string // path of the key
}

// Error returns the path of the key.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: the key is unknown", e.Field)
}

// RepeatedError names a key that an object has twice.
type RepeatedError struct {
	Field string // path of the key
}

// Error returns the path of the key.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("%s: the key is given twice", e.Field)
}

// SyntaxError tells where a text stops being JSON.
type SyntaxError struct {
	Offset int64 // bytes
	Detail string
}

// Error returns the place and what is wrong there.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("not JSON at byte %d: %s", e.Offset, e.Detail)
}

// Decode reads and checks a document. Its errors are *UnknownError,
// *RepeatedError, *SyntaxError and *rrconf.FieldError.
func Decode(text []byte) (rrconf.Config, error) {
	cfg := rrconf.Default()
	cfg.Preset = ""
	if len(text) > MaxText {
		size := fmt.Sprintf("%d bytes", len(text))
		return cfg, &rrconf.FieldError{Field: "document", Value: size, Allowed: fmt.Sprintf("at most %d bytes", MaxText)}
	}
	r, err := newReader(text)
	if err != nil {
		return cfg, err
	}
	if err := r.config(&cfg); err != nil {
		return cfg, err
	}
	if err := r.end(); err != nil {
		return cfg, err
	}
	return cfg, cfg.Validate()
}

func (r *reader) config(cfg *rrconf.Config) error {
	return r.object("", func(key, path string) error {
		switch key {
		case "version":
			return r.uint(path, &cfg.Version)
		case "change":
			return r.name(path, &cfg.ChangeID)
		case "author":
			return r.name(path, &cfg.Author)
		case "preset":
			return r.text(path, (*string)(&cfg.Preset))
		case "open":
			return r.bool(path, &cfg.AllowUnlisted)
		case "tenants":
			return r.tenants(path, cfg)
		case "rules":
			return r.presets(path, cfg)
		}
		return &UnknownError{path}
	})
}

func (r *reader) tenants(path string, cfg *rrconf.Config) error {
	return r.array(path, func(path string) error {
		t := rrconf.Tenant{Weight: 1}
		if len(cfg.Tenants) >= rrconf.MaxTenants {
			return &rrconf.FieldError{Field: path, Value: "one more", Allowed: fmt.Sprintf("at most %d tenants", rrconf.MaxTenants)}
		}
		if err := r.tenant(path, &t); err != nil {
			return err
		}
		cfg.Tenants = append(cfg.Tenants, t)
		return nil
	})
}

func (r *reader) tenant(path string, t *rrconf.Tenant) error {
	return r.object(path, func(key, path string) error {
		switch key {
		case "name":
			return r.text(path, &t.Name)
		case "weight":
			return r.int(path, &t.Weight)
		case "quota":
			return r.int(path, &t.Quota)
		}
		return &UnknownError{path}
	})
}

func (r *reader) presets(path string, cfg *rrconf.Config) error {
	return r.object(path, func(key, path string) error {
		p := rrconf.Preset(key)
		if !p.Valid() {
			return &UnknownError{path}
		}
		rules := rrconf.DefaultThresholds(p)
		if err := r.rules(path, &rules); err != nil {
			return err
		}
		if cfg.Rules == nil {
			cfg.Rules = make(map[rrconf.Preset]rrconf.Thresholds)
		}
		cfg.Rules[p] = rules
		return nil
	})
}

func (r *reader) rules(path string, rules *rrconf.Thresholds) error {
	return r.object(path, func(key, path string) error {
		switch key {
		case "slack":
			return r.float(path, &rules.DeadlineFactor)
		case "backlog":
			return r.duration(path, &rules.MaxBacklog)
		case "retries":
			return r.float(path, &rules.RetryRatio)
		case "ageing":
			return r.duration(path, &rules.AgingHalfLife)
		case "batch":
			return r.int(path, &rules.MinBatchTasks)
		}
		return &UnknownError{path}
	})
}

// document is the form in which a configuration is written.
type document struct {
	Version uint64   `json:"version"`
	Change  string   `json:"change,omitempty"`
	Author  string   `json:"author,omitempty"`
	Preset  string   `json:"preset"`
	Open    bool     `json:"open"`
	Tenants []tenant `json:"tenants,omitempty"`
	Rules   *presets `json:"rules,omitempty"`
}

type tenant struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Quota  int    `json:"quota,omitempty"`
}

type presets struct {
	Ordinary    *rules `json:"ordinary,omitempty"`
	Peak        *rules `json:"peak,omitempty"`
	Maintenance *rules `json:"maintenance,omitempty"`
}

type rules struct {
	Slack   float64 `json:"slack"`
	Backlog string  `json:"backlog"`
	Retries float64 `json:"retries"`
	Ageing  string  `json:"ageing"`
	Batch   int     `json:"batch"`
}

// Encode writes a configuration as an indented document that ends with a
// newline. The same configuration always has the same text.
func Encode(cfg rrconf.Config) []byte {
	d := document{
		Version: cfg.Version,
		Change:  cfg.ChangeID,
		Author:  cfg.Author,
		Preset:  string(cfg.Preset),
		Open:    cfg.AllowUnlisted,
	}
	for _, t := range cfg.Tenants {
		d.Tenants = append(d.Tenants, tenant(t))
	}
	if len(cfg.Rules) > 0 {
		d.Rules = &presets{
			Ordinary:    rulesOf(cfg, rrconf.Ordinary),
			Peak:        rulesOf(cfg, rrconf.Peak),
			Maintenance: rulesOf(cfg, rrconf.Maintenance),
		}
	}
	// Strings and finite numbers, which Validate makes sure of, always have a JSON form.
	text, _ := json.MarshalIndent(d, "", "  ")
	return append(text, '\n')
}

func rulesOf(cfg rrconf.Config, p rrconf.Preset) *rules {
	r, ok := cfg.Rules[p]
	if !ok {
		return nil
	}
	return &rules{
		Slack:   r.DeadlineFactor,
		Backlog: short(r.MaxBacklog),
		Retries: r.RetryRatio,
		Ageing:  short(r.AgingHalfLife),
		Batch:   r.MinBatchTasks,
	}
}

// short writes whole seconds as seconds: 60s and not 1m0s.
func short(d time.Duration) string {
	if d%time.Second == 0 {
		return fmt.Sprintf("%ds", d/time.Second)
	}
	return d.String()
}

// Digest returns a checksum of a document's text, to compare versions by.
func Digest(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}
