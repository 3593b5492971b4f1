// Package rrclaim decides the claims of non-idempotent submissions.
//
// The entry that takes such a job claims its request id in the platform's store
// before the first task starts, so that a retry at any other entry finds it. The
// request id is a version 7 UUID, and its time says how old the submission is.
// One key holds one claim. Every write compares the revision of its key, with
// zero for an absent key, and writes of many claims share one transaction (group
// commit). When a comparison fails, the transaction reads all its keys instead:
// the claims that are taken are settled by what was read, the others go into the
// next group.
//
// A write whose answer is lost is sent again as it was. Either it takes effect
// now, or the comparison fails and the answer shows what is there. Since the
// revision of a key only rises, a late write is dead as soon as the key has
// another revision than the one that it compares.
//
// An open claim belongs to one attempt: the entry, its incarnation and a nonce.
// Nobody else takes it over, also when its owner is dead: the job may have run.
// The owner closes it with the outcome of the job. A claim that is closed with an
// outcome of the class "not run" can be taken again, but only by a submission that
// came after it was closed: one that came before is a try of the same request,
// whose caller may have the answer "not run" already. Clocks of entries may differ
// by MaxClockSkew for this rule; no start depends on it.
//
// When the deadline of a submission comes first, the book answers StoreUnavailable,
// which is true because the job starts only after a grant, and the book gives up
// the attempt for good. If a write of it may still take effect, the book goes on
// until it has closed the claim as not run, or has seen that the write is dead. A
// retry that comes here meanwhile begins a new attempt with another nonce; one at
// another entry finds the open claim and hears "may have run" until then.
//
// StoreUnavailable is in the class "not run" and therefore only for the first
// submission of a request id. A retry that can't see the claim hears ClaimHeld,
// because the submission before it may have run.
package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// Limits and times of claims.
const (
	MaxRequestAge   = 24 * time.Hour         // older request ids are answered with Expired
	Retention       = 48 * time.Hour         // age at which claims are deleted
	MaxFutureOffset = 5 * time.Minute        // ids from further in the future are refused
	MaxClockSkew    = time.Second            // difference between the clocks of two entries
	MaxResultBytes  = 4 << 10                // bytes of results that a claim keeps
	MaxTxnClaims    = 100                    // claims in one transaction
	MaxTxnBytes     = 512 << 10              // estimated bytes of one transaction
	MaxInFlightTxns = 4                      // transactions under way at a time
	MaxClaims       = 20_000                 // claims in a book
	closeGroupDelay = 100 * time.Millisecond // an outcome waits this long for a group
	closeGroupSize  = MaxTxnClaims / 2       // outcomes that a group takes while submissions wait
	deleteInterval  = time.Minute            // between two deletions of old claims
)

// DefaultTxnRate is the number of transactions a second until SetRate is called.
const DefaultTxnRate = 30

// State says how far a claim is.
type State int

// States of claims.
const (
	Malformed State = iota // the record does not parse
	Open                   // the job may be running
	Closed                 // the job has ended
)

// Record is the value of a claim in the store.
type Record struct {
	Tenant      string // whose request it is
	Entry       string // the entry that holds the claim
	Incarnation uint64 // its incarnation
	Nonce       uint64 // number of the attempt within the incarnation
	State       State
	ClosedAt    time.Time       // when the claim was closed
	Code        rrcode.Code     // outcome of a closed claim
	Detail      string          // of the outcome
	HasResults  bool            // Results holds the results of a complete job
	Results     []rrtask.Result // in order
}

// Write is one write of a transaction.
type Write struct {
	Key              string
	ExpectedRevision int64 // revision that the key must have; zero when it must not exist
	Record           Record
}

// StoreCall asks for one call of the store: either a transaction that writes all of
// Writes if all comparisons hold and reads all their keys otherwise, or a deletion.
type StoreCall struct {
	ID           uint64
	Writes       []Write
	DeleteBefore string // deletes all claims with keys below this one; empty for a transaction
}

// CallOutcome says how a call ended.
type CallOutcome int

// Endings of calls.
const (
	Indeterminate CallOutcome = iota // no answer: the call may have had its effect, or may have it later
	NotApplied                       // the call is known to have had no effect
	Committed                        // all comparisons held
	CompareFailed                    // a comparison failed and the keys were read
)

// KeyState is what a transaction read of one key. ModRevision is zero when it does not exist.
type KeyState struct {
	ModRevision int64
	Record      Record
}

// Reply is the end of a call.
type Reply struct {
	Call     uint64
	Outcome  CallOutcome
	Revision int64      // of the write, when Outcome is Committed
	Current  []KeyState // one for each write in order, when Outcome is CompareFailed
}

// DecisionKind says what a decision is.
type DecisionKind int

// Kinds of decisions.
const (
	Granted          DecisionKind = iota // the job may start here
	HeldElsewhere                        // another entry holds the claim
	AlreadyCompleted                     // the answer is the outcome of an earlier submission
	Refused                              // the answer is a refusal
)

// Decision ends one Request.
type Decision struct {
	ID          string
	Kind        DecisionKind
	Owner       string        // holder of the claim; for HeldElsewhere
	Incarnation uint64        // incarnation of the holder; for HeldElsewhere
	Answer      rrtask.Answer // for AlreadyCompleted and Refused
}

// Effects collects what the book wants done.
type Effects struct {
	Calls     []StoreCall
	Decisions []Decision
}

// Request is a submission that needs a claim.
type Request struct {
	ID           string    // request id
	Tenant       string    // whose request it is; others don't get its outcome
	Deadline     time.Time // of the grant
	FirstAttempt bool      // the caller says that it never submitted this id before
}
