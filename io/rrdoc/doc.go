// Package rrdoc maps the operators' configuration to its JSON document.
package rrdoc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"

	"rattanring/core/rrconf"
	"rattanring/io/rrwire"
)

// MaxBytes is the largest document, the largest value of the platform's store.
const MaxBytes = 1_000_000

type document struct {
	Version uint64           `json:"version"`
	Change  string           `json:"change"`
	Author  string           `json:"author"`
	Preset  string           `json:"preset"`
	Open    *bool            `json:"open"`
	Tenants []tenant         `json:"tenants"`
	Rules   map[string]rules `json:"rules"`
}

type tenant struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
	Quota  int    `json:"quota"`
}

type rules struct {
	Slack   float64 `json:"slack"`
	Backlog string  `json:"backlog"`
	Retries float64 `json:"retries"`
	Ageing  string  `json:"ageing"`
	Batch   int     `json:"batch"`
}

// Encode returns the document of c. Equal configurations give equal documents.
func Encode(c rrconf.Config) []byte {
	doc := document{
		Version: c.Version,
		Change:  c.Change,
		Author:  c.Author,
		Preset:  string(c.Preset),
		Open:    &c.Open,
		Tenants: make([]tenant, len(c.Tenants)),
		Rules:   make(map[string]rules, len(c.Rules)),
	}
	for i, t := range c.Tenants {
		doc.Tenants[i] = tenant(t)
	}
	for p, r := range c.Rules {
		doc.Rules[string(p)] = rules{r.Slack, r.Backlog.String(), r.Retries, r.Ageing.String(), r.Batch}
	}
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		// Only a threshold that is not a number can not be encoded, and Check refuses it.
		panic(err)
	}
	return append(data, '\n')
}

// Decode parses and checks a document. It refuses unknown keys by name, a missing
// "open", and what rrconf.Config.Check refuses with a *rrconf.FieldError.
func Decode(data []byte) (rrconf.Config, error) {
	doc, err := parse(data)
	if err != nil {
		return rrconf.Config{}, fmt.Errorf("configuration document: %w", err)
	}
	if doc.Open == nil {
		return rrconf.Config{}, &rrconf.FieldError{Field: "open", Value: "nothing", Want: "true or false"}
	}
	c := rrconf.Config{
		Version: doc.Version,
		Change:  doc.Change,
		Author:  doc.Author,
		Preset:  rrconf.Preset(doc.Preset),
		Open:    *doc.Open,
	}
	for _, t := range doc.Tenants {
		c.Tenants = append(c.Tenants, rrconf.Tenant(t))
	}
	for _, p := range slices.Sorted(maps.Keys(doc.Rules)) {
		r, err := decodeRules("rules."+p, doc.Rules[p])
		if err != nil {
			return rrconf.Config{}, err
		}
		if c.Rules == nil {
			c.Rules = make(map[rrconf.Preset]rrconf.Rules)
		}
		c.Rules[rrconf.Preset(p)] = r
	}
	return c, c.Check()
}

func parse(data []byte) (document, error) {
	var doc document
	if len(data) > MaxBytes {
		return doc, fmt.Errorf("%d bytes, want at most %d", len(data), MaxBytes)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&doc); err != nil {
		return doc, err
	}
	if _, err := d.Token(); err != io.EOF {
		return doc, fmt.Errorf("text after the end of the document")
	}
	return doc, nil
}

func decodeRules(field string, r rules) (rrconf.Rules, error) {
	backlog, err := decodeSpan(field+".backlog", r.Backlog)
	if err != nil {
		return rrconf.Rules{}, err
	}
	ageing, err := decodeSpan(field+".ageing", r.Ageing)
	if err != nil {
		return rrconf.Rules{}, err
	}
	return rrconf.Rules{
		Slack:   r.Slack,
		Backlog: backlog,
		Retries: r.Retries,
		Ageing:  ageing,
		Batch:   r.Batch,
	}, nil
}

func decodeSpan(field, text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, &rrconf.FieldError{Field: field, Value: fmt.Sprintf("%q", text), Want: "a duration such as 20s"}
	}
	return d, nil
}

// ToWire returns the message of c.
func ToWire(c rrconf.Config) *rrwire.Document {
	text := Encode(c)
	h := fnv.New64a()
	h.Write(text)
	return &rrwire.Document{
		Version: c.Version,
		Change:  c.Change,
		Author:  c.Author,
		Text:    string(text),
		Digest:  h.Sum64(),
	}
}

// FromWire parses and checks the document in m, like Decode. Its text alone
// counts; the other fields of m are for routing.
func FromWire(m *rrwire.Document) (rrconf.Config, error) {
	return Decode([]byte(m.GetText()))
}
