// Package rrclaimstore executes the store calls of rrclaim on the platform's store.
package rrclaimstore

import (
	"encoding/json"
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// record is the JSON form of an rrclaim.Record.
type record struct {
	Tenant         string   `json:"tenant"`
	Entry          string   `json:"entry"`
	Incarnation    uint64   `json:"life"`
	Attempt        uint64   `json:"nonce"`
	State          string   `json:"state"`
	ClosedAtMillis int64    `json:"ended,omitempty"` // Unix milliseconds
	Code           uint32   `json:"code,omitempty"`
	Detail         string   `json:"detail,omitempty"`
	HasResults     bool     `json:"kept,omitempty"`
	Results        []result `json:"results,omitempty"`
}

type result struct {
	Index         int    `json:"index"`
	Code          uint32 `json:"code"`
	Body          []byte `json:"body,omitempty"`
	Detail        string `json:"detail,omitempty"`
	RunTimeMicros int64  `json:"run,omitempty"` // microseconds
	Minion        string `json:"minion,omitempty"`
}

// Values of record.State.
const (
	stateOpen   = "open"
	stateClosed = "closed"
)

// maxRecordBytes is the size of the largest record that Decode accepts.
const maxRecordBytes = 64 << 10

// Encode returns the stored value of a claim.
func Encode(r rrclaim.Record) []byte {
	doc := record{
		Tenant:      r.Tenant,
		Entry:       r.Entry,
		Incarnation: r.Incarnation,
		Attempt:     r.Attempt,
		State:       stateOpen,
		Code:        uint32(r.Code),
		Detail:      r.Detail,
		HasResults:  r.HasResults,
	}
	if r.State == rrclaim.Closed {
		doc.State = stateClosed
		doc.ClosedAtMillis = r.ClosedAt.UnixMilli()
	}
	for _, res := range r.Results {
		doc.Results = append(doc.Results, result{
			Index:         res.Index,
			Code:          uint32(res.Code),
			Body:          res.Body,
			Detail:        res.Detail,
			RunTimeMicros: res.RunTime.Microseconds(),
			Minion:        res.Minion,
		})
	}
	value, _ := json.Marshal(doc) // strings and integers can always be marshaled
	return value
}

// Decode parses the stored value of a claim. A value that does not parse or lacks
// required fields gives a record in state rrclaim.Malformed.
func Decode(value []byte) rrclaim.Record {
	var doc record
	if len(value) > maxRecordBytes || json.Unmarshal(value, &doc) != nil || doc.Entry == "" {
		return rrclaim.Record{}
	}
	r := rrclaim.Record{Tenant: doc.Tenant, Entry: doc.Entry, Incarnation: doc.Incarnation, Attempt: doc.Attempt}
	switch {
	case doc.State == stateOpen:
		r.State = rrclaim.Open
		return r
	case doc.State != stateClosed || doc.Code == 0:
		return rrclaim.Record{}
	}
	r.State = rrclaim.Closed
	r.ClosedAt = time.UnixMilli(doc.ClosedAtMillis)
	r.Code = rrcode.Code(doc.Code)
	r.Detail = doc.Detail
	r.HasResults = doc.HasResults
	for _, res := range doc.Results {
		r.Results = append(r.Results, rrtask.Result{
			Index:   res.Index,
			Code:    rrcode.Code(res.Code),
			Body:    res.Body,
			Detail:  res.Detail,
			RunTime: time.Duration(res.RunTimeMicros) * time.Microsecond,
			Minion:  res.Minion,
		})
	}
	return r
}
