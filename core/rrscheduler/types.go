package rrscheduler

import (
	"slices"
	"time"

	"rattanring/core/rrtask"
	"rattanring/core/rrwarmup"
)

// TaskID identifies a task. All runs of the task share it.
type TaskID struct {
	Job   string
	Phase int
	Index int // within the phase
}

// RunID identifies one run of a task.
type RunID struct {
	Task    TaskID
	Attempt int // increases with each run of the task
}

// Phase is a set of equal tasks of a job.
type Phase struct {
	TaskCount       int
	Resources       rrtask.Resources
	DeclaredRunTime time.Duration // of one task; zero if not declared
	DependsOn       []int         // indexes of earlier phases that must complete first
	RequiredLabel   string        // label that the minion must have; empty for any minion
	DataRack        string        // rack that holds the input data; empty for none
	MaxPerMinion    int           // maximum tasks of the phase on one minion at a time; zero for no limit
}

// Job is one submission.
type Job struct {
	ID              string
	Queue           string
	Service         string // whose minions run the tasks
	Spec            string
	Phases          []Phase
	MaxAttempts     int           // a task fails the job when this many of its runs have failed
	TargetSlowdown  float64       // the latency objective is this factor times the critical path …
	TargetLatency   time.Duration // … plus this time
	ReceivedAt      time.Time     // when the first entry received it
	Deadline        time.Time     // when the caller stops waiting
	MayHaveRuns     bool          // a previous owner may have started tasks of the job …
	RunMinionsKnown bool          // … but only on the minions in RunMinions
	RunMinions      []string      // reported by the previous owner
	NoForward       bool          // must not be forwarded to another shard
	Priority        int           // zero is the highest priority
	CallerProcess   string        // process that waits for the outcome
	Submission      uint64        // number of the submission in that process; all its hand-ins to owners share it
}

// TaskCount returns the number of tasks of a job.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Phases {
		n += j.Phases[i].TaskCount
	}
	return n
}

// Minion is the registration of one incarnation of an endpoint that runs tasks.
type Minion struct {
	ID          string
	Incarnation int64 // start time in milliseconds since 1970; distinguishes incarnations with the same ID
	Addr        string
	Zone        string
	Service     string
	Rack        string
	Labels      []string
	Capacity    rrtask.Resources
	Draining    bool      // receives no new tasks
	ColdUntil   time.Time // it is slow after its start until then, by the local clock; zero or past when warm
}

// Equal reports whether two registrations say the same. It ignores ColdUntil, which each repeated
// registration moves a little.
func (m *Minion) Equal(o *Minion) bool {
	return m.ID == o.ID && m.Incarnation == o.Incarnation && m.Addr == o.Addr && m.Zone == o.Zone && m.Service == o.Service &&
		m.Rack == o.Rack && slices.Equal(m.Labels, o.Labels) && m.Capacity == o.Capacity && m.Draining == o.Draining
}

// RunOutcome is the terminal state of a run.
type RunOutcome int

// Terminal states of runs.
const (
	RunSucceeded    RunOutcome = iota + 1 // the task is complete
	RunFailed                             // through a fault of the task or of the minion
	RunStopped                            // ended by a stop command
	RunLeaseExpired                       // the minion's lease expired, or its incarnation ended
)

// JobOutcome is the answer to a submission.
type JobOutcome struct {
	Kind            OutcomeKind
	Reason          Reason
	RetryAfter      time.Duration // delay after which the caller may submit a refused job again
	Shard           string        // shard that a forwarded job must be submitted to
	MayHaveRuns     bool          // with OutcomeOwnerChanged: tasks of the job may run …
	RunMinionsKnown bool          // … but only on the minions in RunMinions
	RunMinions      []string
}

// OutcomeKind is the kind of a JobOutcome.
type OutcomeKind int

// Kinds of outcomes.
const (
	OutcomeCompleted    OutcomeKind = iota + 1 // every task is complete
	OutcomeFailed                              // a task has failed MaxAttempts times or is malformed
	OutcomeRefused                             // no task of the job has run or will run
	OutcomeAbandoned                           // abandoned after tasks may have started
	OutcomeForwarded                           // another shard is expected to start the job sooner
	OutcomeOwnerChanged                        // another process now owns the shard
	OutcomeIDConflict                          // the ID belongs to a job with another body
	OutcomeAborted                             // a caller asked to end the job
	OutcomeStale                               // the submission was on its way for too long; no owner has it, and it may be submitted again
)

// Reason is why a job was refused, failed or abandoned.
type Reason string

// Reasons.
const (
	ReasonDeadlineUnreachable Reason = "too-late"  // the answer would come too late
	ReasonNeverFits           Reason = "never-fit" // a task fits no minion of any shard
	ReasonNoMinion            Reason = "no-minion" // the shard has no minion of the service, or only another shard's minions fit the job
	ReasonNoOwner             Reason = "no-keeper" // no owner of a shard is reachable
	ReasonQueueFull           Reason = "full"      // too many jobs are queued
	ReasonCanceled            Reason = "canceled"  // the caller canceled or aborted the job, disconnected, or is unreachable
	ReasonMinionsUnresponsive Reason = "unheard"   // minions that may run the job do not answer
	ReasonMalformedTask       Reason = "bad-task"  // a minion can't parse the task
	ReasonAttemptsExhausted   Reason = "attempts"  // a task has failed MaxAttempts times
	ReasonEvacuated           Reason = "evacuated" // the minions that fit are in evacuated zones; also given when a job is forwarded because of that
)

// Event is an input of a Scheduler.
type Event interface{ event() }

// JobSubmitted submits a job. If a job with this ID is known, the caller is attached to it.
type JobSubmitted struct {
	CallID uint64 // identifies the pending call; the ReplyOutcome repeats it
	Job    Job
}

// CallerDisconnected reports that a caller's connection broke. The caller may submit the job again.
type CallerDisconnected struct {
	CallID uint64
	JobID  string
}

// CallerProcessLost reports that a process that waits for jobs is unreachable. The scheduler ends
// its jobs.
type CallerProcessLost struct{ CallerProcess string }

// JobCancelRequested withdraws a submission, whose caller wants the job no longer. It may arrive late, when
// others have submitted the job again: these keep it.
type JobCancelRequested struct {
	JobID         string
	CallerProcess string // as in the Job
	Submission    uint64
}

// JobAbortRequested asks to end a job on behalf of a caller. A ReplyJobStatus answers it.
type JobAbortRequested struct {
	CallID uint64 // identifies the request
	JobID  string
}

// JobStatusRequested asks for the status of a job. A ReplyJobStatus answers it.
type JobStatusRequested struct {
	CallID uint64 // identifies the request
	JobID  string
}

// JobStatus is the status of a job. The zero value means that the job is unknown.
type JobStatus struct {
	Known          bool
	Outcome        OutcomeKind // kind of the job's outcome; zero until the job has one
	MayHaveStarted bool        // a task may have started; set only while the job has no outcome
}

// MinionRegistered carries a minion's registration from the store.
type MinionRegistered struct{ Minion Minion }

// MinionDeregistered reports that a minion's registration was removed from the store.
type MinionDeregistered struct{ MinionID string }

// MinionHandoffRequested asks to hand a minion off to another shard once it runs nothing. A later
// MinionRegistered cancels the handoff.
type MinionHandoffRequested struct{ MinionID string }

// HeldTasksLimited replaces Options.HeldTasks. Held jobs stay.
type HeldTasksLimited struct{ Limit int }

// WarmupConfigured carries what the configuration says about cold minions, by service.
type WarmupConfigured struct{ ByService map[string]rrwarmup.Settings }

// FencingTokenRaised carries a higher fencing token for the owner's later commands.
type FencingTokenRaised struct{ FencingToken int64 }

// MinionListSynced reports that a MinionRegistered was sent for every registered minion.
type MinionListSynced struct {
	Incomplete bool // a previous owner may have used minions that this owner has not been told of
}

// RunProgress is a run that a minion lists as running.
type RunProgress struct {
	Run     RunID
	Percent int // of the work that is complete
}

// FinishedRun is a finished run that a minion lists.
type FinishedRun struct {
	EndSeq  int64 // increases within one incarnation of the minion
	Run     RunID
	Outcome RunOutcome
}

// PollMinionDone is the outcome of a PollMinion.
type PollMinionDone struct {
	MinionID      string
	PollSeq       uint64 // copied from the PollMinion
	Status        CommandStatus
	Incarnation   int64 // incarnation that answered; zero if not reported
	MinionClockMs int64 // time on the minion's clock, in milliseconds
	RunningRuns   []RunProgress
	FinishedRuns  []FinishedRun
}

// StartRunDone is the outcome of a StartRun.
type StartRunDone struct {
	MinionID      string
	Run           RunID
	Status        CommandStatus
	Incarnation   int64 // incarnation that answered; zero if not reported
	MinionClockMs int64 // zero if not reported
}

// StopRunDone is the outcome of a StopRun.
type StopRunDone struct {
	MinionID    string
	Run         RunID
	Status      CommandStatus
	Incarnation int64 // incarnation that answered; zero if not reported
}

// OwnershipLost reports that another process owns the shard, or that the owner gives it up.
type OwnershipLost struct{}

// ShardLoadsReported carries the loads of the other shards. The scheduler divides its jobs evenly
// among its own shard and PeerShards.
type ShardLoadsReported struct {
	ByShard    map[string]Load
	PeerShards []string
}

// ShardProfilesReported carries the profiles of the other shards' minions.
type ShardProfilesReported struct{ ByShard map[string][]MinionProfile }

// EvacuationsReported carries the zones that operators have evacuated. It must come before the first
// minion of such a zone. From the event on, jobs that have not started start nothing there. Started
// jobs start tasks there until StartsUntil; the zero value permits none. A zone that the previous
// event named already keeps its time.
type EvacuationsReported struct {
	Evacuated   map[string]bool // by zone
	StartsUntil time.Time       // of the zones that the previous event did not name
}

// Tick triggers the work that depends on time alone. The caller sends it about every TickInterval.
type Tick struct {
	Lag time.Duration // how much later than due this process came to send it
}

// TickInterval is the time between two ticks.
const TickInterval = 20 * time.Millisecond

func (*JobSubmitted) event()           {}
func (*CallerDisconnected) event()     {}
func (*JobCancelRequested) event()     {}
func (*JobAbortRequested) event()      {}
func (*JobStatusRequested) event()     {}
func (*CallerProcessLost) event()      {}
func (*MinionRegistered) event()       {}
func (*MinionDeregistered) event()     {}
func (*MinionListSynced) event()       {}
func (*PollMinionDone) event()         {}
func (*StartRunDone) event()           {}
func (*StopRunDone) event()            {}
func (*ShardLoadsReported) event()     {}
func (*MinionHandoffRequested) event() {}
func (*WarmupConfigured) event()       {}
func (*FencingTokenRaised) event()     {}
func (*HeldTasksLimited) event()       {}
func (*ShardProfilesReported) event()  {}
func (*OwnershipLost) event()          {}
func (*EvacuationsReported) event()    {}
func (*Tick) event()                   {}

// CommandStatus classifies the result of a command to a minion.
type CommandStatus int

// Command statuses. After CommandOutcomeUnknown the minion may have carried out the command, or may
// still do so.
const (
	CommandOK               CommandStatus = iota + 1
	CommandOutcomeUnknown                 // no answer
	CommandNotSent                        // the minion was unreachable and no byte was sent
	CommandFenced                         // the minion has seen a higher fencing token
	CommandStaleAttempt                   // the minion knows this or a later attempt of the task
	CommandDeadlineExceeded               // the command arrived after its deadline
	CommandNoCapacity                     // the minion lacks free capacity
	CommandUnhealthy                      // the minion is unhealthy and did nothing
	CommandMalformed                      // the minion can't parse the command
	CommandWrongIncarnation               // another incarnation of the minion answered
)

// Effect is an action that a Scheduler requests.
type Effect interface{ effect() }

// StartRun commands a minion to run a task.
type StartRun struct {
	MinionID     string
	Incarnation  int64
	Addr         string
	Run          RunID
	Spec         string
	FencingToken int64
	StartByMs    int64 // latest start time on the minion's clock, in milliseconds
	Timeout      time.Duration
}

// StopRun commands a minion to stop a run.
type StopRun struct {
	MinionID     string
	Addr         string
	Run          RunID
	FencingToken int64
	Timeout      time.Duration
}

// PollMinion renews a minion's lease and asks for its running and finished runs.
type PollMinion struct {
	MinionID     string
	Addr         string
	PollSeq      uint64
	FencingToken int64
	AckedEndSeq  int64 // the scheduler has processed finished runs up to this EndSeq
	LeaseUntilMs int64 // end of the lease on the minion's clock, in milliseconds; zero does not renew it
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

// StepDown reports that this scheduler stops, since another owner has replaced it or the owner gives up
// the shard.
type StepDown struct {
	MinionID string // minion that refused the fencing token; empty after OwnershipLost
}

// ReleaseMinion reports that the scheduler no longer owns a minion: it was handed off, or it was
// deregistered and nothing runs there any longer.
type ReleaseMinion struct{ MinionID string }

// LogDecision requests a log line about a decision.
type LogDecision struct {
	Message  string
	JobID    string
	MinionID string
	Detail   string
	Age      time.Duration // of the job, or since the minion's last answer
}

// RecordTiming requests a metric: the time that a task waited for its first start, or the run time
// of a completed task. The other field is zero.
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
