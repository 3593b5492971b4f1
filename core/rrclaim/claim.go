// Package rrclaim decides the claims of non-idempotent submissions.
//
// The entry that accepts such a job claims its request id in the platform's store
// before the first task starts, and a retry at any other entry finds the claim. The
// request id is a version 7 UUID, whose timestamp gives the age of the submission.
// Each key holds one claim. Every write compares the revision of its key (zero
// for an absent key), and one transaction writes many claims (group commit). If a
// comparison fails, the transaction reads all its keys instead: claims that exist
// are resolved by their records, and the others join the next group.
//
// A write whose answer is lost is sent again unchanged. Either it takes effect
// now, or its comparison fails and the reply contains the current record. Since the
// revision of a key only rises, a late write can't take effect once the key has
// another revision than the one that the write compares.
//
// An open claim belongs to one attempt: the entry, its incarnation and the number of
// the attempt. No other entry takes it over, even if its owner is dead, because the job
// may have run. The owner closes it with the outcome of the job. A claim closed with an
// outcome of the class "not run" can be taken again, but only by a submission that
// arrived after it was closed: an earlier one is another attempt at the same request,
// whose caller may already have the answer "not run". This rule allows the clocks of
// entries to differ by MaxClockSkew; no start depends on it.
//
// If the deadline of a submission passes before its claim is decided, the manager
// answers StoreUnavailable and abandons the attempt. The answer is correct because the
// job starts only after a grant. While a write of the attempt may still take effect, the
// manager continues until it has closed the claim as not run or knows that the write
// can't take effect. A retry at this entry meanwhile begins a new attempt with a new
// number; a retry at another entry finds the open claim and is answered "may have run"
// until then.
//
// StoreUnavailable is in the class "not run" and is therefore given only to the first
// submission of a request id. A retry whose claim can't be read is answered ClaimHeld,
// because an earlier submission may have run.
package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// Limits and times of claims.
const (
	MaxRequestAge    = 24 * time.Hour         // older request ids are answered Expired
	Retention        = 48 * time.Hour         // age at which claims are deleted
	MaxFutureOffset  = 5 * time.Minute        // request ids from further in the future are refused
	MaxClockSkew     = time.Second            // assumed difference between the clocks of two entries
	MaxResultBytes   = 4 << 10                // results that a claim stores, bytes
	MaxTxnClaims     = 100                    // claims in one transaction
	MaxTxnBytes      = 512 << 10              // estimated size from which a transaction takes no further claim, bytes
	MaxInFlightCalls = 4                      // concurrent store calls
	MaxClaims        = 20_000                 // claims of one Manager
	closeGroupDelay  = 100 * time.Millisecond // how long an outcome waits for others to share its transaction
	closeGroupSize   = MaxTxnClaims / 2       // queued outcomes that start a transaction without delay; also the most claims of a transaction that are reserved for queued outcomes
	deleteInterval   = time.Minute            // between two deletions of old claims
)

// DefaultCallRate is the number of store calls per second that are allowed until SetRate
// is called.
const DefaultCallRate = 30

// State is the state of a claim in the store.
type State int

// States of claims.
const (
	Malformed State = iota // the record does not parse
	Open                   // the job may be running
	Closed                 // the job has ended
)

// Record is the value of a claim in the store.
type Record struct {
	Tenant      string // that sent the request
	Entry       string // owner of the claim
	Incarnation uint64 // of the entry
	Attempt     uint64 // number of the attempt within the incarnation
	State       State
	ClosedAt    time.Time       // when the claim was closed
	Code        rrcode.Code     // outcome of a closed claim
	Detail      string          // explanation of the outcome
	HasResults  bool            // Results holds the results of a complete job
	Results     []rrtask.Result // in task order
}

// Write is one write of a transaction.
type Write struct {
	Key              string
	ExpectedRevision int64 // revision that the key must have; zero if it must not exist
	Record           Record
}

// StoreCall is one call to the store: either a transaction that performs all Writes
// if all their comparisons hold and reads all their keys otherwise, or a deletion.
type StoreCall struct {
	ID           uint64
	Writes       []Write
	DeleteBefore string // deletes all claims with keys below this one; empty for a transaction
}

// CallOutcome is the outcome of a StoreCall.
type CallOutcome int

// Outcomes of store calls.
const (
	Indeterminate CallOutcome = iota // no answer: the call may have taken effect, or may do so later
	NotApplied                       // the call is known to have had no effect
	Committed                        // all comparisons held
	CompareFailed                    // a comparison failed and the keys were read
)

// KeyState is the state of one key that a transaction read. ModRevision is zero if the
// key does not exist.
type KeyState struct {
	ModRevision int64
	Record      Record
}

// Reply reports the outcome of a StoreCall.
type Reply struct {
	CallID   uint64 // ID of the StoreCall
	Outcome  CallOutcome
	Revision int64      // of the write, if Outcome is Committed
	Current  []KeyState // one for each write in order, if Outcome is CompareFailed
}

// DecisionKind is the kind of a Decision.
type DecisionKind int

// Kinds of decisions.
const (
	Granted        DecisionKind = iota // the job may start here
	OwnedElsewhere                     // another entry owns the open claim
	AlreadyClosed                      // the answer is the recorded outcome of an earlier submission
	Refused                            // the answer is a refusal
)

// Decision is the outcome of one Request.
type Decision struct {
	ID          string
	Kind        DecisionKind
	Owner       string        // entry that owns the claim; for OwnedElsewhere
	Incarnation uint64        // of the owner; for OwnedElsewhere
	Answer      rrtask.Answer // for AlreadyClosed and Refused
}

// Effects collects the store calls to execute and the decisions to carry out.
type Effects struct {
	Calls     []StoreCall
	Decisions []Decision
}

// Request is a submission that needs a claim.
type Request struct {
	ID           string    // request id
	Tenant       string    // that sent the request; other tenants don't get its outcome
	Deadline     time.Time // for the grant
	FirstAttempt bool      // the caller states that it has not submitted this id before
}
