// Package rrdispatcher decides what a keeper does with its minions: which queued task
// starts next, on which minion, and which minions get nothing.
package rrdispatcher

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// BatchKey identifies a batch over the whole fleet.
type BatchKey struct {
	Coordinator string // the coordinator's name
	Incarnation uint64 // the coordinator's incarnation
	Seq         uint64 // raised by one with every batch of the incarnation
}

// Batch is a part of a job that one keeper runs.
type Batch struct {
	Key           BatchKey
	Job           string // request id
	Tenant        string
	Class         string
	Service       string
	Deadline      time.Time     // no task starts later
	AcceptedAt    time.Time     // when the coordinator took the job
	RemainingWork time.Duration // remaining work of the whole job, as last heard
	Tasks         []rrtask.Task
}

// Dispatch asks for one task to be sent to a minion now.
type Dispatch struct {
	ID         uint64 // identifies the send within the keeper
	Minion     string
	Addr       string
	Key        BatchKey
	Job        string
	Tenant     string
	Class      string
	Deadline   time.Time
	AcceptedAt time.Time // when the coordinator took the job
	DecidedAt  time.Time // when the keeper decided on the send
	Task       *rrtask.Task
}

// DispatchResult reports how one send ended. A code of the class not run means that the
// minion is known not to have started the task.
type DispatchResult struct {
	ID          uint64
	Result      rrtask.Result
	Draining    bool             // the minion said that it takes no more work
	WorkerUsage rrtask.Resources // what the worker reported; zero when it reported nothing
}

// Outcome is the final result of one task of a batch. A result of the class not
// run hands the task back to the coordinator, which may run it elsewhere.
type Outcome struct {
	Key    BatchKey
	Result rrtask.Result
}

// BacklogBuckets is the number of classes of remaining work in a Load.
const BacklogBuckets = 12

// Load is what a keeper tells its peers about its minions.
type Load struct {
	UsableSlots int                           // of minions that take work
	BusySlots   int                           // slots in use
	QueuedTasks int                           // tasks that wait
	Backlog     [BacklogBuckets]time.Duration // queued work of jobs by octave of remaining work
	RunningWork time.Duration                 // estimated remaining work of running tasks
}

// QueuedWork returns the queued work of all octaves.
func (l *Load) QueuedWork() time.Duration {
	var work time.Duration
	for _, w := range l.Backlog {
		work += w
	}
	return work
}

// BacklogBucket returns the index into Load.Backlog for a job with rest work left.
// Octave 0 ends at 125 ms, and each one after it at twice the one before; the
// last is open.
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

// MinionState is a keeper's verdict about one minion.
type MinionState int

// States of a minion.
const (
	Healthy     MinionState = iota // gets work
	Quarantined                    // gets health checks only
	Probation                      // gets one task at a time after a passed health check
	Draining                       // gets nothing
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

// HealthReport is a finding about one minion that is shared with peers.
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

// TaskCommand asks a worker to stop or throttle one running task.
type TaskCommand struct {
	Minion    string
	Addr      string
	Job       string
	TaskIndex int
	Stop      bool // false throttles the task
}

// Stats are totals since the keeper was made.
type Stats struct {
	Dispatches   uint64 // sends to minions, resends included
	Refused      uint64 // sends that a minion refused
	Redispatches uint64 // sends of a task that an earlier send did not start
	Probes       uint64 // health checks
	Outcomes     map[rrcode.Code]uint64
}
