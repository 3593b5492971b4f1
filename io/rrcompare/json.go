package rrcompare

import (
	"encoding/json"
	"io"

	"rattanring/io/rrload"
)

type resultDoc struct {
	Scenario string      `json:"scenario"`
	Seed     uint64      `json:"seed"`
	Seconds  float64     `json:"seconds"`
	Strategy string      `json:"strategy"`
	Classes  []ratiosDoc `json:"classes"` // the first item covers all classes
	Codes    []codeDoc   `json:"codes"`
	Goodput  float64     `json:"goodput"`
	Cost     costDoc     `json:"cost"`
	Starts   int         `json:"starts"`
	Failed   int         `json:"failed"`
	Most     int         `json:"most"`
	Peak     int         `json:"peak"`
	Took     float64     `json:"took"` // seconds
	Audit    auditDoc    `json:"audit"`
}

type ratiosDoc struct {
	Class    string  `json:"class"`
	Jobs     int     `json:"jobs"`
	Complete int     `json:"done"`
	Mean     float64 `json:"mean"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
}

type codeDoc struct {
	Code uint32 `json:"code"`
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
}

type costDoc struct {
	Dispatches   float64 `json:"starts"`
	Refused      float64 `json:"refused"`
	Redispatches float64 `json:"resends"`
	Batches      float64 `json:"batches"`
	Recalls      float64 `json:"takes"`
	Cancels      float64 `json:"drops"`
	Heartbeats   float64 `json:"beats"`
	Probes       float64 `json:"probes"`
	Bytes        float64 `json:"bytes"`
	CPUSeconds   float64 `json:"cpu"`
}

type auditDoc struct {
	Doubled int `json:"doubled"`
	Untrue  int `json:"untrue"`
	Partial int `json:"partial"`
	Unasked int `json:"unasked"`
	Silent  int `json:"silent"`
}

// Encode writes the results as one JSON array.
func Encode(w io.Writer, c Config, results []Result) error {
	var docs []resultDoc
	for _, r := range results {
		docs = append(docs, newDoc(c, r))
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(docs)
}

func newDoc(c Config, r Result) resultDoc {
	doc := resultDoc{
		Scenario: c.Scenario.Name,
		Seed:     c.Seed,
		Seconds:  c.Length.Seconds(),
		Strategy: r.Strategy,
		Goodput:  r.Goodput,
		Cost:     costDoc(r.Cost),
		Starts:   r.Tally.Starts,
		Failed:   r.Tally.Failed,
		Most:     r.Tally.Most,
		Peak:     r.Tally.Peak,
		Took:     r.Duration.Seconds(),
		Audit:    auditDoc(r.Audit),
	}
	for _, row := range append([]rrload.Ratios{r.Summary.All}, r.Summary.Classes...) {
		doc.Classes = append(doc.Classes, ratiosDoc(row))
	}
	for _, o := range r.Summary.Codes {
		doc.Codes = append(doc.Codes, codeDoc{uint32(o.Code), codeName(o), o.Jobs})
	}
	return doc
}
