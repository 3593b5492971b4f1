package rrcode

import "slices"

type codeInfo struct {
	class       Class
	name        string
	description string
}

var table = map[Code]codeInfo{
	Complete: {ClassComplete, "complete", "every task ran once and answered"},
	Applied:  {ClassComplete, "applied", "the configuration change is accepted"},

	BadRequest:           {ClassNotRun, "bad-request", "the request does not parse or breaks a limit"},
	TooLarge:             {ClassNotRun, "too-large", "the request has too many bytes or tasks"},
	DeadlineUnreachable:  {ClassNotRun, "deadline-unreachable", "the estimated completion lies past the deadline"},
	QuotaExceeded:        {ClassNotRun, "quota-exceeded", "the tenant holds all that its quota allows"},
	Unschedulable:        {ClassNotRun, "never-runnable", "no worker is large enough for a task of the job"},
	Overloaded:           {ClassNotRun, "overloaded", "the queues of the entry are full"},
	Draining:             {ClassNotRun, "leaving", "the entry is stopping"},
	NoMinions:            {ClassNotRun, "no-minions", "no minion of the service is in reach"},
	DeadlinePassed:       {ClassNotRun, "deadline-passed", "the deadline came before any task started"},
	CanceledBeforeStart:  {ClassNotRun, "canceled-before-start", "the job was canceled before any task started"},
	StoreUnavailable:     {ClassNotRun, "store-away", "the claim could not be written before the deadline"},
	RetryBudgetExhausted: {ClassNotRun, "retry-budget-spent", "the share of retries is used up"},
	MinionRefused:        {ClassNotRun, "minion-refused", "the minion refused the task"},
	Unreachable:          {ClassNotRun, "unreachable", "no byte of the request was written"},
	StaleIncarnation:     {ClassNotRun, "stale", "the request is for another incarnation"},
	UnknownTenant:        {ClassNotRun, "unknown-tenant", "the configuration does not name the tenant"},
	Conflict:             {ClassNotRun, "conflict", "another configuration change won"},
	BadConfig:            {ClassNotRun, "bad-config", "the configuration document is not valid"},
	NotFound:             {ClassNotRun, "not-found", "nothing is known under the given name"},
	ZoneEvacuated:        {ClassNotRun, "zone-evacuated", "all minions that could run a task are in evacuated zones"},

	ConnectionLost:     {ClassMayHaveRun, "connection-lost", "the connection broke after bytes were written"},
	OwnerLost:          {ClassMayHaveRun, "keeper-lost", "an entry died while it held tasks of the job"},
	ClaimHeld:          {ClassMayHaveRun, "claim-held", "an earlier submission with this request id may have run"},
	Expired:            {ClassMayHaveRun, "expired", "the request id is older than claims are kept"},
	TimedOut:           {ClassMayHaveRun, "timed-out", "the deadline came after tasks had started"},
	CanceledAfterStart: {ClassMayHaveRun, "canceled-after-start", "the job was canceled after a task had started"},
	CoordinatorLost:    {ClassMayHaveRun, "coordinator-lost", "the entry that coordinated the job died"},
	OutcomeLost:        {ClassMayHaveRun, "outcome-lost", "the job ended but its answer was not kept"},
	Partial:            {ClassMayHaveRun, "partial", "some tasks started and others could not be"},
	DuplicateUnchecked: {ClassMayHaveRun, "unchecked", "refused before an earlier submission could be looked up"},
	ApplyUnconfirmed:   {ClassMayHaveRun, "apply-unknown", "the store did not confirm the change, which may be in force"},

	TaskFailed:  {ClassFailed, "task-failed", "a task ran and reported a failure"},
	TaskStopped: {ClassFailed, "task-stopped", "a task ran and was stopped by policy"},
}

// All returns every code of the table in ascending order.
func All() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}
