// Package rrkeep decides what a keeper does with its minions: which queued task
// starts next, on which minion, and which minions get nothing.
package rrkeep

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// Key identifies a batch over the whole fleet.
type Key struct {
	Entry string // the coordinator's name
	Life  uint64 // the coordinator's incarnation
	Seq   uint64 // raised by one with every batch of the incarnation
}

// Batch is a part of a job that one keeper runs.
type Batch struct {
	Key      Key
	Job      string // request id
	Tenant   string
	Class    string
	Service  string
	Deadline time.Time     // no task starts later
	Accepted time.Time     // when the coordinator took the job
	Rest     time.Duration // remaining work of the whole job, as last heard
	Tasks    []rrtask.Task
}

// Start asks for one task to be sent to a minion now.
type Start struct {
	ID       uint64 // identifies the send within the keeper
	Minion   string
	Addr     string
	Key      Key
	Job      string
	Tenant   string
	Class    string
	Deadline time.Time
	Accepted time.Time // when the coordinator took the job
	At       time.Time // when the keeper decided on the send
	Task     *rrtask.Task
}

// Finish reports how one send ended. A code of the class not run means that the
// minion is known not to have started the task.
type Finish struct {
	ID      uint64
	Result  rrtask.Result
	Leaving bool        // the minion said that it takes no more work
	Usage   rrtask.Size // what the worker reported; zero when it reported nothing
}

// Outcome is the final result of one task of a batch. A result of the class not
// run hands the task back to the coordinator, which may run it elsewhere.
type Outcome struct {
	Key    Key
	Result rrtask.Result
}

// Octaves is the number of classes of remaining work in a Load.
const Octaves = 12

// Load is what a keeper tells its peers about its minions.
type Load struct {
	Slots   int                    // of minions that take work
	Busy    int                    // slots in use
	Queued  int                    // tasks that wait
	Backlog [Octaves]time.Duration // queued work of jobs by octave of remaining work
	Running time.Duration          // estimated remaining work of running tasks
}

// Waiting returns the queued work of all octaves.
func (l *Load) Waiting() time.Duration {
	var work time.Duration
	for _, w := range l.Backlog {
		work += w
	}
	return work
}

// Octave returns the index into Load.Backlog for a job with rest work left.
// Octave 0 ends at 125 ms, and each one after it at twice the one before; the
// last is open.
func Octave(rest time.Duration) int {
	limit := 125 * time.Millisecond
	for i := range Octaves - 1 {
		if rest <= limit {
			return i
		}
		limit *= 2
	}
	return Octaves - 1
}

// State is a keeper's verdict about one minion.
type State int

// States of a minion.
const (
	Healthy     State = iota // gets work
	Quarantined              // gets health checks only
	Probation                // gets one task at a time after a passed health check
	Leaving                  // gets nothing
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Quarantined:
		return "quarantined"
	case Probation:
		return "probation"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

// Verdict is a finding about one minion that is shared with peers.
type Verdict struct {
	Minion string
	State  State
	At     time.Time
}

// Probe asks for one health check of a minion.
type Probe struct {
	Minion string
	Addr   string
}

// Order asks a worker to stop or throttle one running task.
type Order struct {
	Minion string
	Addr   string
	Job    string
	Index  int
	Stop   bool // false throttles the task
}

// Counts are totals since the keeper was made.
type Counts struct {
	Starts   uint64 // sends to minions, resends included
	Refused  uint64 // sends that a minion refused
	Resends  uint64 // sends of a task that an earlier send did not start
	Probes   uint64 // health checks
	Finished map[rrcode.Code]uint64
}
