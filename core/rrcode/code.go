// Package rrcode numbers every outcome that rattanring reports.
//
// The number is part of the protocol and is never reused. docs/CODES.md holds
// the same table for readers.
package rrcode

import "strconv"

// Code is the numbered outcome of a job, a task or an operator's request.
// The zero value means that no outcome is known yet.
type Code uint32

// Outcomes of jobs and tasks.
const (
	// Complete means that every task ran and answered.
	Complete Code = 100

	// BadRequest means that the request does not parse or breaks a limit.
	BadRequest Code = 200
	// TooLarge means that the request has too many bytes or tasks.
	TooLarge Code = 201
	// DeadlineUnreachable means that the estimated completion lies past the deadline.
	DeadlineUnreachable Code = 202
	// QuotaExceeded means that the tenant holds all that its quota allows.
	QuotaExceeded Code = 203
	// NeverRunnable means that no worker is large enough for a task of the job.
	NeverRunnable Code = 204
	// Overloaded means that the entry's queues are full.
	Overloaded Code = 205
	// Draining means that the entry is stopping.
	Draining Code = 206
	// NoMinions means that no minion of the service is in reach.
	NoMinions Code = 207
	// DeadlinePassed means that the deadline came before any task started.
	DeadlinePassed Code = 208
	// CanceledBeforeStart means that the job was canceled before any task started.
	CanceledBeforeStart Code = 209
	// StoreUnavailable means that the claim of a non-idempotent job could not be written before its deadline.
	StoreUnavailable Code = 210
	// RetryBudgetExhausted means that the tenant's share of retries is used up.
	RetryBudgetExhausted Code = 211
	// MinionRefused means that the minion explicitly refused the task.
	MinionRefused Code = 212
	// Unreachable means that no byte of the request was written.
	Unreachable Code = 213
	// StaleIncarnation means that the request is for another incarnation.
	StaleIncarnation Code = 214
	// UnknownTenant means that the configuration does not name the tenant.
	UnknownTenant Code = 215

	// ConnectionLost means that the connection broke after bytes were written.
	ConnectionLost Code = 300
	// OwnerLost means that an entry died while it held tasks of the job.
	OwnerLost Code = 301
	// ClaimHeld means that an earlier submission with this request id may have run.
	ClaimHeld Code = 302
	// Expired means that the request id is older than claims are kept.
	Expired Code = 303
	// TimedOut means that the deadline came after tasks had started.
	TimedOut Code = 304
	// CanceledAfterStart means that the job was canceled after a task had started.
	CanceledAfterStart Code = 305
	// CoordinatorLost means that the entry that coordinated the job died.
	CoordinatorLost Code = 306
	// OutcomeLost means that the job ended but its answer was not kept.
	OutcomeLost Code = 307
	// Partial means that some tasks of the job started and others could not be.
	Partial Code = 309
	// DuplicateUnchecked means that an entry refused a non-idempotent job before it could
	// look up whether an earlier submission ran.
	DuplicateUnchecked Code = 310

	// TaskFailed means that a task ran and reported a failure.
	TaskFailed Code = 400
	// TaskStopped means that a task ran and was stopped by policy.
	TaskStopped Code = 401
)

// Outcomes of operators' requests. They belong to the classes of jobs too: an
// applied change is complete, a refused one did not run.
const (
	// Applied means that the configuration change is accepted.
	Applied Code = 101
	// Conflict means that another change won.
	Conflict Code = 216
	// BadConfig means that the configuration document is not valid.
	BadConfig Code = 217
	// NotFound means that nothing is known under the given name.
	NotFound Code = 218
	// ApplyUnconfirmed means that the store did not confirm the change, which may be in force.
	ApplyUnconfirmed Code = 308
)

// Class groups codes by what the caller may conclude about starts.
type Class int

// Classes of outcomes.
const (
	ClassNone       Class = iota // no outcome yet
	ClassComplete                // everything ran
	ClassNotRun                  // nothing started, and nothing of this request will
	ClassMayHaveRun              // tasks may have started
	ClassFailed                  // tasks ran and failed
)

// Class returns the class of c. Codes outside the table count as may have run,
// which is the only safe reading of an unknown code.
func (c Code) Class() Class {
	if c == 0 {
		return ClassNone
	}
	info, ok := table[c]
	if !ok {
		return ClassMayHaveRun
	}
	return info.class
}

// String returns the name of c, or its number when the table lacks it.
func (c Code) String() string {
	if info, ok := table[c]; ok {
		return info.name
	}
	return strconv.FormatUint(uint64(c), 10)
}

// Description returns the sentence that explains c to a caller.
func (c Code) Description() string {
	return table[c].description
}

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case ClassComplete:
		return "complete"
	case ClassNotRun:
		return "not run"
	case ClassMayHaveRun:
		return "may have run"
	case ClassFailed:
		return "ran and failed"
	}
	return "none"
}

// ExitStatus returns the exit status of a command that ends with an outcome of c.
func (c Class) ExitStatus() int {
	switch c {
	case ClassComplete:
		return 0
	case ClassNotRun:
		return 3
	case ClassMayHaveRun:
		return 4
	case ClassFailed:
		return 5
	}
	return 1
}
