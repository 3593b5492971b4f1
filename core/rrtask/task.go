// Package rrtask holds the plain data that all decisions are about: tasks,
// jobs, minions and answers.
package rrtask

import (
	"time"

	"rattanring/core/rrcode"
)

// Resources is what one task needs of a worker. The zero value needs a slot only.
type Resources struct {
	MilliCores   uint32 // thousandths of a core
	MemoryBytes  uint64 // bytes
	Accelerators uint32 // accelerators
}

// IsZero reports whether s asks for nothing but a slot.
func (s Resources) IsZero() bool {
	return s == Resources{}
}

// Fits reports whether s is within total.
func (s Resources) Fits(total Resources) bool {
	return s.MilliCores <= total.MilliCores && s.MemoryBytes <= total.MemoryBytes && s.Accelerators <= total.Accelerators
}

// Task is one unit of work, started at most once.
type Task struct {
	Index           int           // position in its job
	Body            []byte        // handed to the minion unchanged
	DeclaredRunTime time.Duration // declared run time; zero when not declared
	Resources       Resources     // what the task needs of a worker
}

// Job is one submission.
type Job struct {
	ID            string    // request id
	Tenant        string    // who pays
	Class         string    // kind of job within the tenant
	Service       string    // the service whose minions run the tasks
	Deadline      time.Time // no task starts later
	NonIdempotent bool      // non-idempotent: at most one run over all retries
	IsRetry       bool      // the caller submits the job again after a failure
	Tasks         []Task    // in the order of the answer
}

// Result is the outcome of one task.
type Result struct {
	Index   int
	Code    rrcode.Code
	Body    []byte
	Detail  string        // why the task failed; empty on success
	RunTime time.Duration // time on the minion
	Minion  string        // the minion that ran it
}

// Answer is the outcome of one job. Results holds every task in order when Code
// is complete and is empty otherwise.
type Answer struct {
	RequestID   string
	Code        rrcode.Code
	Detail      string
	Results     []Result
	RetryAfter  time.Duration // zero when a retry has no suggested delay
	Coordinator string        // the entry that coordinated the job
}

// Minion is one endpoint that runs tasks, as the instance list shows it.
type Minion struct {
	Name     string
	Addr     string // host:port
	Zone     string
	Service  string
	Slots    int       // tasks at a time
	MaxConns int       // connections at a time
	Draining bool      // gets no new work
	Capacity Resources // zero when the minion does not run sized tasks
}

// Entry is one instance of the system, as the instance list or a peer shows it.
type Entry struct {
	Name   string
	Addr   string // host:port
	Zone   string
	Region string
}
