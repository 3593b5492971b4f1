// Package rrcode defines the numeric code of every outcome that rattanring reports.
//
// The numbers are part of the protocol and are never reused. docs/CODES.md documents
// the same table.
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
	// DeadlineUnreachable means that the estimated completion is after the deadline.
	DeadlineUnreachable Code = 202
	// QuotaExceeded means that the tenant uses its whole quota.
	QuotaExceeded Code = 203
	// Unschedulable means that no worker is large enough for a task of the job.
	Unschedulable Code = 204
	// Overloaded means that the entry's queues are full.
	Overloaded Code = 205
	// Draining means that the entry is stopping.
	Draining Code = 206
	// NoMinions means that no minion of the service is reachable.
	NoMinions Code = 207
	// DeadlinePassed means that the deadline passed before any task started.
	DeadlinePassed Code = 208
	// CanceledBeforeStart means that the job was canceled before any task started.
	CanceledBeforeStart Code = 209
	// StoreUnavailable means that the claim of a non-idempotent job could not be written before
	// the job's deadline.
	StoreUnavailable Code = 210
	// RetryBudgetExhausted means that the retry budget of the tenant or the entry is used up.
	RetryBudgetExhausted Code = 211
	// MinionRefused means that the minion explicitly refused the task.
	MinionRefused Code = 212
	// Unreachable means that the connection failed before any byte of the request was written.
	Unreachable Code = 213
	// StaleIncarnation means that the request addresses another incarnation.
	StaleIncarnation Code = 214
	// UnknownTenant means that the configuration does not list the tenant.
	UnknownTenant Code = 215
	// ZoneEvacuated means that all minions that could run a task are in evacuated zones.
	ZoneEvacuated Code = 219

	// ConnectionLost means that the connection broke after bytes were written.
	ConnectionLost Code = 300
	// OwnerLost means that an entry died while it owned tasks of the job.
	OwnerLost Code = 301
	// ClaimHeld means that an earlier submission with this request id may have run.
	ClaimHeld Code = 302
	// Expired means that the request id is too old for its claim to be known.
	Expired Code = 303
	// TimedOut means that the deadline passed after tasks had started.
	TimedOut Code = 304
	// CanceledAfterStart means that the job was canceled after a task had started.
	CanceledAfterStart Code = 305
	// CoordinatorLost means that the entry that coordinated the job died.
	CoordinatorLost Code = 306
	// OutcomeLost means that the job ended but its answer was not stored.
	OutcomeLost Code = 307
	// Partial means that some tasks of the job started and others could not start.
	Partial Code = 309
	// DuplicateUnchecked means that an entry refused a non-idempotent job before it could
	// look up whether an earlier submission ran.
	DuplicateUnchecked Code = 310

	// TaskFailed means that a task ran and reported a failure.
	TaskFailed Code = 400
	// TaskStopped means that a task ran and a policy stopped it.
	TaskStopped Code = 401
)

// Outcomes of operators' requests. They use the same classes as jobs: an applied
// change is complete, a refused one did not run.
const (
	// Applied means that the configuration change is accepted.
	Applied Code = 101
	// Conflict means that another change was accepted instead.
	Conflict Code = 216
	// BadConfig means that the configuration document is not valid.
	BadConfig Code = 217
	// NotFound means that nothing has the given name.
	NotFound Code = 218
	// ApplyUnconfirmed means that the store did not confirm the change, which may be active.
	ApplyUnconfirmed Code = 308
)

// Class groups codes by what a caller may conclude about task starts.
type Class int

// Classes of outcomes.
const (
	ClassNone       Class = iota // no outcome yet
	ClassComplete                // all tasks ran
	ClassNotRun                  // no task of this request has started or will start
	ClassMayHaveRun              // tasks may have started
	ClassFailed                  // tasks ran and failed
)

// Class returns the class of c. An unknown code has the class ClassMayHaveRun, which
// is the only safe assumption.
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

// String returns the name of c, or its number if the code is unknown.
func (c Code) String() string {
	if info, ok := table[c]; ok {
		return info.name
	}
	return strconv.FormatUint(uint64(c), 10)
}

// Description returns a phrase that explains c to a caller.
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

// ExitStatus returns the exit status of a command whose outcome has class c.
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
