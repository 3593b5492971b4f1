// Package rrdispatcher decides which queued task an entry starts next, on which of
// the minions that it owns, and which minions get no tasks.
package rrdispatcher

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// BatchKey identifies a batch in the whole fleet.
type BatchKey struct {
	Coordinator string // the coordinator's name
	Incarnation uint64 // the coordinator's incarnation
	Seq         uint64 // at least 1; increases with each batch of the incarnation
}

// Batch holds the tasks of a job that one owner of minions runs.
type Batch struct {
	Key           BatchKey
	Job           string // request ID
	Tenant        string
	Class         string
	Service       string
	Deadline      time.Time     // no task starts at or after it; zero for none
	AcceptedAt    time.Time     // when the coordinator accepted the job
	RemainingWork time.Duration // expected run time left in the whole job: the coordinator's last report, less the tasks started here since
	Tasks         []rrtask.Task
}

// Dispatch asks the caller to send one task to a minion now.
type Dispatch struct {
	ID         uint64 // identifies the dispatch within its Dispatcher
	Minion     string
	Addr       string
	Key        BatchKey
	Job        string // request ID
	Tenant     string
	Class      string
	Deadline   time.Time
	AcceptedAt time.Time // when the coordinator accepted the job
	DecidedAt  time.Time // when the Dispatcher chose the task and the minion
	Task       *rrtask.Task
}

// DispatchResult reports how one dispatch ended. A code of rrcode.ClassNotRun means
// that the minion certainly did not start the task.
type DispatchResult struct {
	ID          uint64
	Result      rrtask.Result
	Draining    bool             // the minion answered that it accepts no more tasks
	WorkerUsage rrtask.Resources // resources in use on the worker, as it reported; zero without a report
}

// Outcome is the final result of one task of a batch. A result of rrcode.ClassNotRun
// returns the task to the coordinator, which may run it elsewhere.
type Outcome struct {
	Key    BatchKey
	Result rrtask.Result
}

// BacklogBuckets is the number of buckets of remaining work in a Load.
const BacklogBuckets = 12

// Load is the load of an owner's minions, which it reports to the other owners.
type Load struct {
	UsableSlots int                           // slots of the minions that get tasks
	BusySlots   int                           // slots in use
	QueuedTasks int                           // tasks not yet dispatched
	Backlog     [BacklogBuckets]time.Duration // queued work, by the BacklogBucket of the job's remaining work
	RunningWork time.Duration                 // estimated remaining work of running tasks
}

// QueuedWork returns the queued work of all buckets.
func (l *Load) QueuedWork() time.Duration {
	var work time.Duration
	for _, w := range l.Backlog {
		work += w
	}
	return work
}

// BacklogBucket returns the index into Load.Backlog for a job's remaining work.
// Bucket 0 ends at 125 ms and each later one at twice the end of the one before it;
// the last bucket has no upper bound.
func BacklogBucket(remaining time.Duration) int {
	limit := 125 * time.Millisecond
	for i := range BacklogBuckets - 1 {
		if remaining <= limit {
			return i
		}
		limit *= 2
	}
	return BacklogBuckets - 1
}

// MinionState says whether and how a minion gets tasks.
type MinionState int

// States of a minion.
const (
	Healthy     MinionState = iota // gets tasks
	Quarantined                    // gets only health checks
	Probation                      // has passed a health check and gets one task at a time
	Draining                       // gets no tasks
)

// String returns the name of the state.
func (s MinionState) String() string {
	switch s {
	case Healthy:
		return "healthy"
	case Quarantined:
		return "quarantined"
	case Probation:
		return "probation"
	case Draining:
		return "leaving"
	}
	return "unknown"
}

// HealthReport is the state of one minion, which the owner shares with the other owners.
type HealthReport struct {
	Minion string
	State  MinionState
	Since  time.Time
}

// Probe asks for one health check of a minion.
type Probe struct {
	Minion string
	Addr   string
}

// TaskCommand asks a minion to stop or throttle one running task.
type TaskCommand struct {
	Minion    string
	Addr      string
	Job       string // request ID
	TaskIndex int
	Stop      bool // false throttles the task
}

// Stats are totals since the Dispatcher was created.
type Stats struct {
	Dispatches   uint64 // attempts to run a task on a minion, redispatches included
	Refused      uint64 // dispatches that did not start their task
	Redispatches uint64 // dispatches of a task that an earlier dispatch did not start
	Probes       uint64 // health checks
	Outcomes     map[rrcode.Code]uint64
}
