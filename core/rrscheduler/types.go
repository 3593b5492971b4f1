package rrscheduler

import (
	"time"

	"rattanring/core/rrtask"
)

// TaskID names a task over all its runs.
type TaskID struct {
	Job   string
	Phase int
	Index int // within the phase
}

// RunID names one run of a task.
type RunID struct {
	Task    TaskID
	Attempt int // rises with each run of the task
}

// Phase is a set of equal tasks of a job.
type Phase struct {
	TaskCount       int
	Resources       rrtask.Resources
	DeclaredRunTime time.Duration // declared run time of a task; zero when not declared
	DependsOn       []int         // earlier phases that must be done first
	RequiredLabel   string        // label that a minion must have; empty for any
	DataRack        string        // rack where the data is; empty for none
	MaxPerMinion    int           // most tasks of the phase on one minion; zero for any number
}

// Job is one submission.
type Job struct {
	ID              string
	Queue           string
	Service         string // whose minions run the tasks
	Spec            string
	Phases          []Phase
	MaxAttempts     int           // runs of a task that may fail
	TargetSlowdown  float64       // the objective is this many times the longest chain of work …
	TargetLatency   time.Duration // … and this much more
	ReceivedAt      time.Time     // when the first entry received it
	Deadline        time.Time     // when the caller stops waiting
	MayHaveRuns     bool          // an earlier keeper may have started tasks of it
	RunMinionsKnown bool          // the earlier keeper said on which minions …
	RunMinions      []string      // … namely these
	NoForward       bool          // may not go to another keeper
	Priority        int           // zero comes first
	CallerProcess   string        // process that waits for the outcome
}

// TaskCount returns the number of tasks of a job.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Phases {
		n += j.Phases[i].TaskCount
	}
	return n
}

// Minion is one life of an endpoint that runs tasks, as it reports about itself.
type Minion struct {
	ID          string
	Incarnation int64 // start of this life, milliseconds since 1970; tells lives with one ID apart
	Addr        string
	Zone        string
	Service     string
	Rack        string
	Labels      []string
	Capacity    rrtask.Resources
	Draining    bool // gets no new tasks
}

// RunOutcome says how a run ended.
type RunOutcome int

// Ends of runs.
const (
	RunSucceeded    RunOutcome = iota + 1 // the task is done
	RunFailed                             // by its own fault or the minion's
	RunStopped                            // stopped by an order
	RunLeaseExpired                       // the lease lapsed
)

// JobOutcome is the answer to a submission.
type JobOutcome struct {
	Kind            OutcomeKind
	Reason          Reason
	RetryAfter      time.Duration // when a refused job is worth submitting again
	Shard           string        // where a forwarded job belongs
	MayHaveRuns     bool          // of a moved job: tasks of it may run …
	RunMinionsKnown bool          // … on no other minions than those in RunMinions
	RunMinions      []string
}

// OutcomeKind is the kind of a JobOutcome.
type OutcomeKind int

// Kinds of outcomes.
const (
	OutcomeCompleted    OutcomeKind = iota + 1 // every task is done
	OutcomeFailed                              // a task failed as often as it may
	OutcomeRefused                             // no task has run, and none will
	OutcomeAbandoned                           // given up after tasks have run
	OutcomeForwarded                           // another keeper has more room
	OutcomeOwnerChanged                        // this keeper was replaced
	OutcomeIDConflict                          // another job has this ID
	OutcomeAborted                             // a caller asked for its end
)

// Reason says why a job was refused or given up.
type Reason string

// Reasons.
const (
	ReasonDeadlineUnreachable Reason = "too-late"  // could not be answered in time
	ReasonNeverFits           Reason = "never-fit" // a task is larger than every minion
	ReasonNoMinion            Reason = "no-minion" // no minion of the service is in reach
	ReasonNoOwner             Reason = "no-keeper" // no keeper is in reach
	ReasonQueueFull           Reason = "full"      // too many jobs wait
	ReasonCanceled            Reason = "canceled"  // by the caller
	ReasonMinionsUnresponsive Reason = "unheard"   // minions that may run it do not answer
	ReasonMalformedTask       Reason = "bad-task"  // a minion can't read the task
	ReasonAttemptsExhausted   Reason = "attempts"  // a task failed as often as it may
)

// Event is what a Scheduler is told.
type Event interface{ event() }

// JobSubmitted hands a job in. A job with a known ID joins the running one.
type JobSubmitted struct {
	CallID uint64 // names the caller's line; the ReplyOutcome carries it
	Job    Job
}

// CallerDisconnected says that a caller's line broke. The job may be handed in again.
type CallerDisconnected struct {
	CallID uint64
	JobID  string
}

// CallerProcessLost says that a process which waits for jobs can't be reached. Its jobs end.
type CallerProcessLost struct{ CallerProcess string }

// JobCancelRequested says that nobody wants the job any more.
type JobCancelRequested struct{ JobID string }

// JobAbortRequested says that a caller asks for the end of a job. A ReplyJobStatus answers it.
type JobAbortRequested struct {
	CallID uint64 // names the question
	JobID  string
}

// JobStatusRequested asks where a job stands. A ReplyJobStatus answers it.
type JobStatusRequested struct {
	CallID uint64 // names the question
	JobID  string
}

// JobStatus says where a job stands. The zero value says that the job is not known.
type JobStatus struct {
	Known          bool
	Outcome        OutcomeKind // of its outcome; zero while it has none
	MayHaveStarted bool        // a task may have started; told while there is no outcome
}

// MinionReported says that a minion reported about itself.
type MinionReported struct{ Minion Minion }

// MinionDeregistered says that a minion's report was removed.
type MinionDeregistered struct{ MinionID string }

// MinionHandoffRequested says that a minion is to go to another keeper once it runs nothing. MinionReported takes
// that back.
type MinionHandoffRequested struct{ MinionID string }

// FencingTokenRaised says that the keeper has a higher token for the orders to come.
type FencingTokenRaised struct{ FencingToken int64 }

// MinionListSynced says that all minions with a report were told by MinionReported.
type MinionListSynced struct{}

// RunProgress is a run that a minion lists as running.
type RunProgress struct {
	Run     RunID
	Percent int // of the work that is done
}

// FinishedRun is an end that a minion lists.
type FinishedRun struct {
	EndSeq  int64 // rises within one life of the minion
	Run     RunID
	Outcome RunOutcome
}

// PollMinionDone is the outcome of a PollMinion.
type PollMinionDone struct {
	MinionID      string
	PollSeq       uint64 // of the PollMinion
	Status        CommandStatus
	Incarnation   int64 // life that answered; zero when not told
	MinionClockMs int64 // milliseconds on the minion's clock
	RunningRuns   []RunProgress
	FinishedRuns  []FinishedRun
}

// StartRunDone is the outcome of a StartRun.
type StartRunDone struct {
	MinionID      string
	Run           RunID
	Status        CommandStatus
	MinionClockMs int64 // zero when not told
}

// StopRunDone is the outcome of a StopRun.
type StopRunDone struct {
	MinionID string
	Run      RunID
	Status   CommandStatus
}

// OwnershipLost says that another keeper has the seat.
type OwnershipLost struct{}

// ShardLoadsReported carries the loads of the other keepers, by seat. Siblings are the seats among
// which jobs are divided evenly with this one.
type ShardLoadsReported struct {
	ByShard    map[string]Load
	PeerShards []string
}

// ShardProfilesReported carries what the minions of the other keepers can run, by seat.
type ShardProfilesReported struct{ ByShard map[string][]MinionProfile }

// Tick lets time pass. It is due about every TickInterval.
type Tick struct{}

// TickInterval is the time between two ticks.
const TickInterval = 20 * time.Millisecond

func (*JobSubmitted) event()           {}
func (*CallerDisconnected) event()     {}
func (*JobCancelRequested) event()     {}
func (*JobAbortRequested) event()      {}
func (*JobStatusRequested) event()     {}
func (*CallerProcessLost) event()      {}
func (*MinionReported) event()         {}
func (*MinionDeregistered) event()     {}
func (*MinionListSynced) event()       {}
func (*PollMinionDone) event()         {}
func (*StartRunDone) event()           {}
func (*StopRunDone) event()            {}
func (*ShardLoadsReported) event()     {}
func (*MinionHandoffRequested) event() {}
func (*FencingTokenRaised) event()     {}
func (*ShardProfilesReported) event()  {}
func (*OwnershipLost) event()          {}
func (*Tick) event()                   {}

// CommandStatus classifies the answer to an order.
type CommandStatus int

// Verdicts. CommandOutcomeUnknown stands for orders that may have been carried out, or may be later.
const (
	CommandOK               CommandStatus = iota + 1
	CommandOutcomeUnknown                 // no answer
	CommandNotSent                        // the minion could not be reached, no byte left
	CommandFenced                         // the minion has seen a higher token
	CommandStaleAttempt                   // a later run of the task is known there
	CommandDeadlineExceeded               // the order arrived after its deadline
	CommandNoCapacity                     // the minion has no room
	CommandUnhealthy                      // the minion is not healthy and did nothing
	CommandMalformed                      // the minion can't read the order
	CommandWrongIncarnation               // another life of the minion answered
)

// Effect is what a Scheduler wants done.
type Effect interface{ effect() }

// StartRun orders a minion to run a task.
type StartRun struct {
	MinionID     string
	Incarnation  int64
	Addr         string
	Run          RunID
	Spec         string
	FencingToken int64
	StartByMs    int64 // on the minion's clock, milliseconds
	Timeout      time.Duration
}

// StopRun orders a minion to end a run.
type StopRun struct {
	MinionID     string
	Addr         string
	Run          RunID
	FencingToken int64
	Timeout      time.Duration
}

// PollMinion renews the lease of a minion and asks what runs and what has ended.
type PollMinion struct {
	MinionID     string
	Addr         string
	PollSeq      uint64
	FencingToken int64
	AckedEndSeq  int64 // ends up to this one are noted
	LeaseUntilMs int64 // of the lease, on the minion's clock; zero renews nothing
	MaxWait      time.Duration
	Timeout      time.Duration
}

// ReplyOutcome answers a caller.
type ReplyOutcome struct {
	CallID  uint64
	JobID   string
	Outcome JobOutcome
}

// ReplyJobStatus answers a JobStatusRequested or a JobAbortRequested.
type ReplyJobStatus struct {
	CallID uint64
	Status JobStatus
}

// StepDown says that another keeper has replaced this one.
type StepDown struct{ MinionID string }

// ReleaseMinion says that the pool holds a minion no more.
type ReleaseMinion struct{ MinionID string }

// LogDecision is a decision for the log.
type LogDecision struct {
	Message  string
	JobID    string
	MinionID string
	Detail   string
	Age      time.Duration // of the job, or of what is known about the minion
}

// RecordTiming is a time to be measured: how long a task waited for its first start, or how
// long it ran until it was done. The other one is zero.
type RecordTiming struct {
	Service, Queue     string
	QueueTime, RunTime time.Duration
}

func (*RecordTiming) effect()   {}
func (*StartRun) effect()       {}
func (*StopRun) effect()        {}
func (*PollMinion) effect()     {}
func (*ReplyOutcome) effect()   {}
func (*ReplyJobStatus) effect() {}
func (*StepDown) effect()       {}
func (*ReleaseMinion) effect()  {}
func (*LogDecision) effect()    {}
