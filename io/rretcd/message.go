// Package rretcd defines the messages of etcd v3's JSON gateway that the project
// uses. In JSON, keys and values are base64, 64-bit integers are strings, and
// fields with their zero value are omitted.
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

// Limits of the store.
const (
	MaxValueBytes = 1 << 20 // of one value
	MaxBodyBytes  = 2 << 20 // of one request, in base64
	MaxOps        = 128     // operations or comparisons in one transaction
)

// Int is a 64-bit integer. It is encoded as a JSON string and decoded from a string
// or a number.
type Int int64

// MarshalJSON encodes n as a string.
func (n Int) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON decodes a string or a number; null leaves n unchanged.
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

// Header is part of each response.
type Header struct {
	Revision Int `json:"revision,omitempty"` // of the whole store
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int    `json:"create_revision,omitempty"`
	ModRevision    Int    `json:"mod_revision,omitempty"`
	Version        Int    `json:"version,omitempty"` // number of changes since the key was created; zero if it is deleted
	Value          []byte `json:"value,omitempty"`
	Lease          Int    `json:"lease,omitempty"`
}

// RangeRequest reads Key, or all keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int    `json:"limit,omitempty"` // zero means no limit
}

// RangeResponse is the response to a RangeRequest. Kvs is sorted by key.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"` // the range has more keys than the limit
	Count  Int        `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int    `json:"lease,omitempty"`
}

// PutResponse is the response to a PutRequest and to a LeaseRequest that revokes a
// lease.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes Key, or all keys from Key up to but not including
// RangeEnd.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted Int    `json:"deleted,omitempty"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetVersion = "VERSION"
	TargetCreate  = "CREATE"
	TargetMod     = "MOD"

	ResultEqual    = "EQUAL"
	ResultGreater  = "GREATER"
	ResultLess     = "LESS"
	ResultNotEqual = "NOT_EQUAL"
)

// Compare is one condition of a transaction. An empty Result means EQUAL, an empty
// Target means VERSION.
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

// ResponseOp is the response to a RequestOp.
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

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest creates a lease of TTL seconds.
type GrantRequest struct {
	TTL Int `json:"TTL,omitempty"`
	ID  Int `json:"ID,omitempty"` // zero lets the store choose
}

// LeaseResponse is the response to a GrantRequest and to a LeaseRequest that renews a
// lease. A TTL of zero means that the lease no longer exists.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     Int    `json:"ID,omitempty"`
	TTL    Int    `json:"TTL,omitempty"`
}

// LeaseRequest names a lease to renew or to revoke.
type LeaseRequest struct {
	ID Int `json:"ID,omitempty"`
}

// KeepAliveResponse is one message of the response stream to a keepalive request.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest says which keys to watch and from which revision on.
type WatchCreateRequest struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int    `json:"start_revision,omitempty"` // zero means from the next change on
}

// WatchMessage is one line of the response stream to a WatchRequest.
type WatchMessage struct {
	Result WatchResult `json:"result"`
	Error  *Error      `json:"error,omitempty"`
}

// WatchResult holds changes of the watched keys, or the state of the watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int     `json:"compact_revision,omitempty"` // the oldest revision that the store still has, if the watch asked for an older one
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the type of an event that deletes a key; an empty type means a put.
const EventDelete = "DELETE"

// Event is one change of one key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// gRPC status codes of errors.
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

// Error is the body of a response whose HTTP status is not 200, or the error of one
// message of a response stream.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// Error returns the message and the status code.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d)", e.Message, e.Code)
}

// NotApplied reports whether e says that the store did not apply the call. A store
// that is unavailable or timed out may have applied it.
func (e *Error) NotApplied() bool {
	switch e.Code {
	case CodeInvalidArgument, CodeNotFound, CodePermissionDenied, CodeResourceExhausted,
		CodeFailedPrecondition, CodeOutOfRange, CodeUnimplemented, CodeUnauthenticated:
		return true
	}
	return false
}
