// Package rretcd holds the messages of etcd v3's JSON gateway that the project
// uses. Keys and values travel as base64, 64 bit integers as strings, and
// fields at their zero value are left out.
package rretcd

import (
	"bytes"
	"fmt"
	"strconv"
)

// Paths of the gateway.
const (
	PathRange       = "/v3/kv/range"
	PathPut         = "/v3/kv/put"
	PathTxn         = "/v3/kv/txn"
	PathDeleteRange = "/v3/kv/deleterange"
	PathGrant       = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
	PathWatch       = "/v3/watch"
)

// Limits of the service.
const (
	MaxValueBytes = 1 << 20 // bytes of one value
	MaxBodyBytes  = 2 << 20 // bytes of one request, base64 included
	MaxOps        = 128     // operations or comparisons in one transaction
)

// Int is a 64 bit integer, written as a string and read as a string or a number.
type Int int64

// MarshalJSON writes n as a string.
func (n Int) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON reads a string or a number; null leaves n alone.
func (n *Int) UnmarshalJSON(b []byte) error {
	if string(b) == "null" {
		return nil
	}
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	if err != nil {
		return fmt.Errorf("%.40s is not a 64 bit integer", b)
	}
	*n = Int(v)
	return nil
}

// Header comes with each answer.
type Header struct {
	Revision Int `json:"revision,omitempty"` // of the whole store
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int    `json:"create_revision,omitempty"`
	ModRevision    Int    `json:"mod_revision,omitempty"`
	Version        Int    `json:"version,omitempty"` // changes since the key was made; zero when it is deleted
	Value          []byte `json:"value,omitempty"`
	Lease          Int    `json:"lease,omitempty"`
}

// RangeRequest reads Key, or all keys from Key up to RangeEnd, exclusive.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int    `json:"limit,omitempty"` // zero means no limit
}

// RangeResponse answers a RangeRequest, in order of the keys.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"` // the limit cut the answer
	Count  Int        `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int    `json:"lease,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes Key, or all keys from Key up to RangeEnd, exclusive.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int    `json:"deleted,omitempty"`
}

// What a comparison looks at and how.
const (
	TargetVersion = "VERSION"
	TargetCreate  = "CREATE"
	TargetMod     = "MOD"

	ResultEqual    = "EQUAL"
	ResultGreater  = "GREATER"
	ResultLess     = "LESS"
	ResultNotEqual = "NOT_EQUAL"
)

// Compare is one condition of a transaction. Empty words mean EQUAL and VERSION.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	Version        Int    `json:"version,omitempty"`
	CreateRevision Int    `json:"create_revision,omitempty"`
	ModRevision    Int    `json:"mod_revision,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	Range  *RangeResponse       `json:"response_range,omitempty"`
	Put    *PutResponse         `json:"response_put,omitempty"`
	Delete *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest runs Success if all comparisons hold and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest makes a lease of TTL seconds.
type GrantRequest struct {
	TTL Int `json:"TTL,omitempty"`
	ID  Int `json:"ID,omitempty"` // zero lets the service choose
}

// LeaseResponse answers a GrantRequest, and a LeaseRequest to keep a lease alive. A TTL
// of zero means that the lease is gone.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     Int    `json:"ID,omitempty"`
	TTL    Int    `json:"TTL,omitempty"`
}

// LeaseRequest names a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID Int `json:"ID,omitempty"`
}

// KeepAliveResponse is one message of the stream that answers a keepalive.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest says what to watch, and from which revision on.
type WatchCreateRequest struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int    `json:"start_revision,omitempty"` // zero means from now on
}

// WatchMessage is one line of the stream that answers a watch.
type WatchMessage struct {
	Result WatchResult `json:"result"`
	Error  *Error      `json:"error,omitempty"`
}

// WatchResult tells of changes.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int     `json:"compact_revision,omitempty"` // the oldest revision that is still kept
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of an event that deletes a key; an empty type is a put.
const EventDelete = "DELETE"

// Event is one change of one key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// Numbers of errors, as gRPC defines them.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodePermissionDenied   = 7
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnimplemented      = 12
	CodeUnavailable        = 14
	CodeUnauthenticated    = 16
)

// Error is the body of an answer whose HTTP status is not 200.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// Error returns the message and its number.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d)", e.Message, e.Code)
}

// NotApplied reports whether e says that the call had no effect. An unavailable
// or timed out service may have applied it.
func (e *Error) NotApplied() bool {
	switch e.Code {
	case CodeInvalidArgument, CodeNotFound, CodePermissionDenied, CodeResourceExhausted,
		CodeFailedPrecondition, CodeOutOfRange, CodeUnimplemented, CodeUnauthenticated:
		return true
	}
	return false
}
