package rrpool

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

// Run names one run of a task.
type Run struct {
	Task    TaskID
	Attempt int // rises with each run of the task
}

// Phase is a set of equal tasks of a job.
type Phase struct {
	Count  int
	Size   rrtask.Size
	Expect time.Duration // declared run time of a task; zero when not declared
	After  []int         // earlier phases that must be done first
	Label  string        // label that a minion must have; empty for any
	Rack   string        // rack where the data is; empty for none
	Spread int           // most tasks of the phase on one minion; zero for any number
}

// Job is one submission.
type Job struct {
	ID       string
	Queue    string
	Service  string // whose minions run the tasks
	Spec     string
	Phases   []Phase
	Attempts int           // runs of a task that may fail
	Stretch  float64       // the objective is this many times the longest chain of work …
	Latency  time.Duration // … and this much more
	Arrived  time.Time     // when the first entry received it
	Deadline time.Time     // when the caller stops waiting
	Again    bool          // an earlier keeper may have started tasks of it
	Told     bool          // the earlier keeper said on which minions …
	Where    []string      // … namely these
	Bound    bool          // may not go to another keeper
	Priority int           // zero comes first
	Caller   string        // process that waits for the outcome
}

// Tasks returns the number of tasks of a job.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Phases {
		n += j.Phases[i].Count
	}
	return n
}

// Minion is one life of an endpoint that runs tasks, as it reports about itself.
type Minion struct {
	ID       string
	Born     int64 // start of this life, milliseconds since 1970; tells lives with one ID apart
	Addr     string
	Zone     string
	Service  string
	Rack     string
	Labels   []string
	Capacity rrtask.Size
	Leaving  bool // gets no new tasks
}

// End says how a run ended.
type End int

// Ends of runs.
const (
	Done    End = iota + 1 // the task is done
	Failed                 // by its own fault or the minion's
	Halted                 // stopped by an order
	Expired                // the lease lapsed
)

// Outcome is the answer to a submission.
type Outcome struct {
	Kind   Kind
	Reason Reason
	After  time.Duration // when a refused job is worth submitting again
	Seat   string        // where a forwarded job belongs
	Again  bool          // of a moved job: tasks of it may run …
	Told   bool          // … on no other minions than those in Where
	Where  []string
}

// Kind is the kind of an Outcome.
type Kind int

// Kinds of outcomes.
const (
	Completed Kind = iota + 1 // every task is done
	Broken                    // a task failed as often as it may
	Refused                   // no task has run, and none will
	Lost                      // given up after tasks have run
	Forward                   // another keeper has more room
	Moved                     // this keeper was replaced
	Conflict                  // another job has this ID
	Aborted                   // a caller asked for its end
)

// Reason says why a job was refused or given up.
type Reason string

// Reasons.
const (
	TooLate  Reason = "too-late"  // could not be answered in time
	NeverFit Reason = "never-fit" // a task is larger than every minion
	NoMinion Reason = "no-minion" // no minion of the service is in reach
	NoKeeper Reason = "no-keeper" // no keeper is in reach
	Full     Reason = "full"      // too many jobs wait
	Canceled Reason = "canceled"  // by the caller
	Unheard  Reason = "unheard"   // minions that may run it do not answer
	BadTask  Reason = "bad-task"  // a minion can't read the task
	Spent    Reason = "attempts"  // a task failed as often as it may
)

// Event is what a Pool is told.
type Event interface{ event() }

// Submit hands a job in. A job with a known ID joins the running one.
type Submit struct {
	Token uint64 // names the caller's line; the Reply carries it
	Job   Job
}

// Gone says that a caller's line broke. The job may be handed in again.
type Gone struct {
	Token uint64
	Job   string
}

// Absent says that a process which waits for jobs can't be reached. Its jobs end.
type Absent struct{ Caller string }

// Cancel says that nobody wants the job any more.
type Cancel struct{ Job string }

// Abort says that a caller asks for the end of a job. A Report answers it.
type Abort struct {
	Token uint64 // names the question
	Job   string
}

// Ask asks where a job stands. A Report answers it.
type Ask struct {
	Token uint64 // names the question
	Job   string
}

// Standing says where a job stands. The zero value says that the job is not known.
type Standing struct {
	Known bool
	Kind  Kind // of its outcome; zero while it has none
	Begun bool // a task may have started; told while there is no outcome
}

// Seen says that a minion reported about itself.
type Seen struct{ Minion Minion }

// Missing says that a minion's report was removed.
type Missing struct{ Minion string }

// Yield says that a minion is to go to another keeper once it runs nothing. Seen takes
// that back.
type Yield struct{ Minion string }

// Raise says that the keeper has a higher token for the orders to come.
type Raise struct{ Token int64 }

// Listed says that all minions with a report were told by Seen.
type Listed struct{}

// Row is a run that a minion lists as running.
type Row struct {
	Run     Run
	Percent int // of the work that is done
}

// EndRow is an end that a minion lists.
type EndRow struct {
	N   int64 // rises within one life of the minion
	Run Run
	End End
}

// Held is the outcome of a Hold.
type Held struct {
	Minion  string
	Seq     uint64 // of the Hold
	Verdict Verdict
	Born    int64 // life that answered; zero when not told
	Clock   int64 // milliseconds on the minion's clock
	Running []Row
	Ended   []EndRow
}

// Started is the outcome of a Start.
type Started struct {
	Minion  string
	Run     Run
	Verdict Verdict
	Clock   int64 // zero when not told
}

// Stopped is the outcome of a Stop.
type Stopped struct {
	Minion  string
	Run     Run
	Verdict Verdict
}

// Replaced says that another keeper has the seat.
type Replaced struct{}

// Loads carries the loads of the other keepers, by seat. Siblings are the seats among
// which jobs are divided evenly with this one.
type Loads struct {
	Seats    map[string]Load
	Siblings []string
}

// Shapes carries what the minions of the other keepers can run, by seat.
type Shapes struct{ Seats map[string][]Shape }

// Tick lets time pass. It is due about every TickEvery.
type Tick struct{}

// TickEvery is the time between two ticks.
const TickEvery = 20 * time.Millisecond

func (*Submit) event()   {}
func (*Gone) event()     {}
func (*Cancel) event()   {}
func (*Abort) event()    {}
func (*Ask) event()      {}
func (*Absent) event()   {}
func (*Seen) event()     {}
func (*Missing) event()  {}
func (*Listed) event()   {}
func (*Held) event()     {}
func (*Started) event()  {}
func (*Stopped) event()  {}
func (*Loads) event()    {}
func (*Yield) event()    {}
func (*Raise) event()    {}
func (*Shapes) event()   {}
func (*Replaced) event() {}
func (*Tick) event()     {}

// Verdict classifies the answer to an order.
type Verdict int

// Verdicts. Unsure stands for orders that may have been carried out, or may be later.
const (
	OK       Verdict = iota + 1
	Unsure           // no answer
	NotSent          // the minion could not be reached, no byte left
	Fence            // the minion has seen a higher token
	Old              // a later run of the task is known there
	Overdue          // the order arrived after its deadline
	NoRoom           // the minion has no room
	Busy             // the minion is not healthy and did nothing
	Bad              // the minion can't read the order
	OtherOne         // another life of the minion answered
)

// Effect is what a Pool wants done.
type Effect interface{ effect() }

// Start orders a minion to run a task.
type Start struct {
	Minion   string
	Born     int64
	Addr     string
	Run      Run
	Spec     string
	Token    int64
	Deadline int64 // on the minion's clock, milliseconds
	Patience time.Duration
}

// Stop orders a minion to end a run.
type Stop struct {
	Minion   string
	Addr     string
	Run      Run
	Token    int64
	Patience time.Duration
}

// Hold renews the lease of a minion and asks what runs and what has ended.
type Hold struct {
	Minion   string
	Addr     string
	Seq      uint64
	Token    int64
	Noted    int64 // ends up to this one are noted
	Deadline int64 // of the lease, on the minion's clock; zero renews nothing
	Wait     time.Duration
	Patience time.Duration
}

// Reply answers a caller.
type Reply struct {
	Token   uint64
	Job     string
	Outcome Outcome
}

// Report answers an Ask or an Abort.
type Report struct {
	Token    uint64
	Standing Standing
}

// Resign says that another keeper has replaced this one.
type Resign struct{ Minion string }

// Yielded says that the pool holds a minion no more.
type Yielded struct{ Minion string }

// Note is a decision for the log.
type Note struct {
	What   string
	Job    string
	Minion string
	Detail string
	Age    time.Duration // of the job, or of what is known about the minion
}

// Timing is a time to be measured: how long a task waited for its first start, or how
// long it ran until it was done. The other one is zero.
type Timing struct {
	Service, Queue string
	Wait, Run      time.Duration
}

func (*Timing) effect()  {}
func (*Start) effect()   {}
func (*Stop) effect()    {}
func (*Hold) effect()    {}
func (*Reply) effect()   {}
func (*Report) effect()  {}
func (*Resign) effect()  {}
func (*Yielded) effect() {}
func (*Note) effect()    {}
