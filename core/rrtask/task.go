// Package rrtask defines the data types that the other packages share: tasks, jobs,
// minions and answers.
package rrtask

import (
	"time"

	"rattanring/core/rrcode"
)

// Resources are the amounts that a task needs of a worker or that a minion offers. A task
// with the zero value needs only a slot.
type Resources struct {
	MilliCores   uint32 // thousandths of a core
	MemoryBytes  uint64
	Accelerators uint32
}

// IsZero reports whether r needs nothing but a slot.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Fits reports whether r is within total.
func (r Resources) Fits(total Resources) bool {
	return r.MilliCores <= total.MilliCores && r.MemoryBytes <= total.MemoryBytes && r.Accelerators <= total.Accelerators
}

// Task is one unit of work of a job. It is started at most once per submission of the job.
type Task struct {
	Index           int           // in its job
	Body            []byte        // sent to the minion unchanged
	DeclaredRunTime time.Duration // zero if not declared
	Resources       Resources
}

// Job is one submission.
type Job struct {
	ID            string    // request id
	Tenant        string    // customer that submitted the job
	Class         string    // kind of job, chosen by the tenant
	Service       string    // whose minions run the tasks
	Deadline      time.Time // no task starts later
	NonIdempotent bool      // at most one run over all retries
	IsRetry       bool      // the caller submits the job again after a failure
	Tasks         []Task    // in the order of the results
}

// Result is the outcome of one task.
type Result struct {
	Index   int
	Code    rrcode.Code
	Body    []byte
	Detail  string        // why the task failed; empty on success
	RunTime time.Duration // on the minion
	Minion  string        // that ran the task
}

// Answer is the outcome of one job. Results holds the results of all tasks in order if
// Code is rrcode.Complete, and is empty otherwise.
type Answer struct {
	RequestID   string
	Code        rrcode.Code
	Detail      string
	Results     []Result
	RetryAfter  time.Duration // suggested delay before a retry, or zero
	Coordinator string        // the entry that coordinated the job
}

// Minion is one endpoint that runs tasks, as the instance list describes it.
type Minion struct {
	Name     string
	Addr     string // host:port
	Zone     string
	Service  string
	Slots    int       // maximum concurrent tasks
	MaxConns int       // maximum concurrent connections
	Draining bool      // gets no new tasks
	Capacity Resources // zero if the minion runs no tasks that need resources
}

// Entry is one instance of the system, as the instance list or a peer describes it.
type Entry struct {
	Name   string
	Addr   string // host:port
	Zone   string
	Region string
}
