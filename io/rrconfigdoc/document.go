// Package rrconfigdoc maps the JSON configuration document to rrconf.Config.
//
// A document names exactly one preset. Fields that it omits have their default
// values. An unknown or repeated key is an error that names the key, because a
// silently ignored setting costs more than an error.
package rrconfigdoc

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"time"

	"rattanring/core/rrconf"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 512 << 10

// UnknownKeyError says that a document has an unknown key.
type UnknownKeyError struct {
	Field string // path of the key
}

// Error returns the path of the key.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s: the key is unknown", e.Field)
}

// RepeatedKeyError says that an object has a key twice.
type RepeatedKeyError struct {
	Field string // path of the key
}

// Error returns the path of the key.
func (e *RepeatedKeyError) Error() string {
	return fmt.Sprintf("%s: the key is given twice", e.Field)
}

// SyntaxError says where and why a text is not valid JSON.
type SyntaxError struct {
	Offset int64 // in bytes, of the position where decoding failed
	Detail string
}

// Error returns the offset and what is wrong there.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("not JSON at byte %d: %s", e.Offset, e.Detail)
}

// Decode parses and checks a document. Its errors are *UnknownKeyError,
// *RepeatedKeyError, *SyntaxError and *rrconf.FieldError.
func Decode(text []byte) (rrconf.Config, error) {
	cfg := rrconf.Default()
	cfg.Preset = ""
	if len(text) > MaxDocumentBytes {
		size := fmt.Sprintf("%d bytes", len(text))
		return cfg, &rrconf.FieldError{Field: "document", Value: size, Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}
	}
	r, err := newReader(text)
	if err != nil {
		return cfg, err
	}
	if err := r.readConfig(&cfg); err != nil {
		return cfg, err
	}
	if err := r.expectEnd(); err != nil {
		return cfg, err
	}
	return cfg, cfg.Validate()
}

func (r *reader) readConfig(cfg *rrconf.Config) error {
	return r.readObject("", func(key, path string) error {
		switch key {
		case "version":
			return r.readUint(path, &cfg.Version)
		case "change":
			return r.readName(path, &cfg.ChangeID)
		case "author":
			return r.readName(path, &cfg.Author)
		case "preset":
			return r.readString(path, (*string)(&cfg.Preset))
		case "open":
			return r.readBool(path, &cfg.AllowUnlisted)
		case "tenants":
			return r.readTenants(path, cfg)
		case "rules":
			return r.readPresets(path, cfg)
		case "evacuated":
			return r.readEvacuated(path, cfg)
		}
		return &UnknownKeyError{path}
	})
}

func (r *reader) readTenants(path string, cfg *rrconf.Config) error {
	return r.readArray(path, func(path string) error {
		t := rrconf.Tenant{Weight: 1}
		if len(cfg.Tenants) >= rrconf.MaxTenants {
			return &rrconf.FieldError{Field: path, Value: "one more", Allowed: fmt.Sprintf("at most %d tenants", rrconf.MaxTenants)}
		}
		if err := r.readTenant(path, &t); err != nil {
			return err
		}
		cfg.Tenants = append(cfg.Tenants, t)
		return nil
	})
}

func (r *reader) readEvacuated(path string, cfg *rrconf.Config) error {
	return r.readArray(path, func(path string) error {
		var zone string
		if len(cfg.Evacuated) >= rrconf.MaxEvacuated {
			return &rrconf.FieldError{Field: path, Value: "one more", Allowed: fmt.Sprintf("at most %d zones", rrconf.MaxEvacuated)}
		}
		if err := r.readName(path, &zone); err != nil {
			return err
		}
		cfg.Evacuated = append(cfg.Evacuated, zone)
		return nil
	})
}

func (r *reader) readTenant(path string, t *rrconf.Tenant) error {
	return r.readObject(path, func(key, path string) error {
		switch key {
		case "name":
			return r.readString(path, &t.Name)
		case "weight":
			return r.readInt(path, &t.Weight)
		case "quota":
			return r.readInt(path, &t.Quota)
		}
		return &UnknownKeyError{path}
	})
}

func (r *reader) readPresets(path string, cfg *rrconf.Config) error {
	return r.readObject(path, func(key, path string) error {
		p := rrconf.Preset(key)
		if !p.Valid() {
			return &UnknownKeyError{path}
		}
		thresholds := rrconf.DefaultThresholds(p)
		if err := r.readThresholds(path, &thresholds); err != nil {
			return err
		}
		if cfg.Overrides == nil {
			cfg.Overrides = make(map[rrconf.Preset]rrconf.Thresholds)
		}
		cfg.Overrides[p] = thresholds
		return nil
	})
}

func (r *reader) readThresholds(path string, thresholds *rrconf.Thresholds) error {
	return r.readObject(path, func(key, path string) error {
		switch key {
		case "slack":
			return r.readFloat(path, &thresholds.DeadlineFactor)
		case "backlog":
			return r.readDuration(path, &thresholds.MaxBacklog)
		case "retries":
			return r.readFloat(path, &thresholds.RetryRatio)
		case "ageing":
			return r.readDuration(path, &thresholds.AgingHalfLife)
		case "batch":
			return r.readInt(path, &thresholds.MinBatchTasks)
		}
		return &UnknownKeyError{path}
	})
}

// documentJSON is the JSON form of a configuration.
type documentJSON struct {
	Version       uint64       `json:"version"`
	ChangeID      string       `json:"change,omitempty"`
	Author        string       `json:"author,omitempty"`
	Preset        string       `json:"preset"`
	AllowUnlisted bool         `json:"open"`
	Tenants       []tenantJSON `json:"tenants,omitempty"`
	Rules         *presetsJSON `json:"rules,omitempty"`
	Evacuated     []string     `json:"evacuated,omitempty"`
}

type tenantJSON struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Quota  int    `json:"quota,omitempty"`
}

type presetsJSON struct {
	Ordinary    *thresholdsJSON `json:"ordinary,omitempty"`
	Peak        *thresholdsJSON `json:"peak,omitempty"`
	Maintenance *thresholdsJSON `json:"maintenance,omitempty"`
}

type thresholdsJSON struct {
	DeadlineFactor float64 `json:"slack"`
	MaxBacklog     string  `json:"backlog"`
	RetryRatio     float64 `json:"retries"`
	AgingHalfLife  string  `json:"ageing"`
	MinBatchTasks  int     `json:"batch"`
}

// Encode returns the indented document of a configuration, with a newline at the
// end. Equal configurations have equal documents.
func Encode(cfg rrconf.Config) []byte {
	d := documentJSON{
		Version:       cfg.Version,
		ChangeID:      cfg.ChangeID,
		Author:        cfg.Author,
		Preset:        string(cfg.Preset),
		AllowUnlisted: cfg.AllowUnlisted,
		Evacuated:     cfg.Evacuated,
	}
	for _, t := range cfg.Tenants {
		d.Tenants = append(d.Tenants, tenantJSON(t))
	}
	if len(cfg.Overrides) > 0 {
		d.Rules = &presetsJSON{
			Ordinary:    toThresholdsJSON(cfg, rrconf.Ordinary),
			Peak:        toThresholdsJSON(cfg, rrconf.Peak),
			Maintenance: toThresholdsJSON(cfg, rrconf.Maintenance),
		}
	}
	// Marshaling can't fail: d holds only strings, booleans and numbers, and
	// Validate rejects numbers that are not finite.
	text, _ := json.MarshalIndent(d, "", "  ")
	return append(text, '\n')
}

func toThresholdsJSON(cfg rrconf.Config, p rrconf.Preset) *thresholdsJSON {
	t, ok := cfg.Overrides[p]
	if !ok {
		return nil
	}
	return &thresholdsJSON{
		DeadlineFactor: t.DeadlineFactor,
		MaxBacklog:     formatDuration(t.MaxBacklog),
		RetryRatio:     t.RetryRatio,
		AgingHalfLife:  formatDuration(t.AgingHalfLife),
		MinBatchTasks:  t.MinBatchTasks,
	}
}

// formatDuration formats whole seconds in seconds, such as 60s instead of 1m0s.
func formatDuration(d time.Duration) string {
	if d%time.Second == 0 {
		return fmt.Sprintf("%ds", d/time.Second)
	}
	return d.String()
}

// Digest returns a checksum of a document's text, for comparing documents.
func Digest(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}
