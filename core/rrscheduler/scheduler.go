// Package rrscheduler decides where and when tasks run on minions that are held under
// leases and a fencing token.
//
// A Scheduler belongs to one keeper. It holds the room of its minions and the jobs
// that were handed to it, orders the jobs by what their callers can still gain,
// refuses what can't be served in time, and settles every start whose outcome is
// unknown before the task is started again. It has no clock, socket or goroutine:
// Step takes an event with its time and returns what to do.
package rrscheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"rattanring/core/rrestimator"
)

// Times that the pool works with. Those that depend on the platform are in MinionGuarantees.
const (
	startPatience   = 50 * time.Millisecond   // wait for the answer to a start; calls take 1 to 20 ms
	stopPatience    = 60 * time.Millisecond   // wait for the answer to a stop before it is sent again
	holdPatience    = 120 * time.Millisecond  // wait for the answer to a hold beyond its own waiting time
	holdWait        = 200 * time.Millisecond  // how long a hold waits at the minion for an end
	idleWait        = time.Second             // the same at a minion that has run nothing for idleTerm: nothing there needs a lease
	idleTerm        = 3 * time.Second         // a few times the usual gap between two tasks of a minion on a calm day
	lossyWait       = 80 * time.Millisecond   // the same while orders go unanswered
	holdRetry       = 30 * time.Millisecond   // pause after a failed hold
	holdFails       = 3                       // failed holds in a row after which a minion is logged as silent
	startTerm       = 400 * time.Millisecond  // after this a start that was held up is too late to be carried out
	leaseSlack      = 60 * time.Millisecond   // added to the lease for delays on the way
	clockDrift      = 0.02                    // share by which a minion's clock may be slow
	missingGrace    = 2500 * time.Millisecond // a minion that lost its entry is used as long as it answers
	orphanTerm      = 2500 * time.Millisecond // how long runs without a caller are kept for the caller's next try
	tombstoneTerm   = 5 * time.Second         // how long ended runs are remembered
	endedTerm       = 20 * time.Second        // how long answers are remembered for a repeated submission
	firstCool       = 250 * time.Millisecond  // pause of a minion after a refusal, or after its first failures
	longestCool     = 8 * time.Second         // longest pause of a minion that goes on failing
	attemptSkip     = 8                       // attempts that are skipped when a minion knows a later one
	forwardMemory   = 6 * time.Second         // how long a job is known to be with another keeper
	lateFactor      = 3                       // answers up to this many objectives are of some use
	decisionShare   = 4                       // a job that waits is decided on after this part of its objective
	vagueTerm       = 4 * time.Second         // how long the list of minions may lack some that run tasks
	listPatience    = 600 * time.Millisecond  // jobs wait this long for the first list of minions
	maxHeldJobs     = 4000                    // jobs in one pool
	reservedMinions = 12                      // minions that one pass keeps free for tasks that fit nowhere yet
)

// MinionGuarantees are what the platform promises about minions, and what is known of them.
type MinionGuarantees struct {
	MaxLease             time.Duration // longest lease of what runs
	MaxStopTime          time.Duration // a stop takes at most this long
	MinionListIncomplete bool          // not all minions may be known when the pool begins
}

// Scheduler is the state of one keeper. Create it with New.
type Scheduler struct {
	token    int64
	raised   time.Time // when the token last rose
	terms    MinionGuarantees
	minions  map[string]*minion
	order    []*minion // the same, by ID: decisions do not depend on the order of maps
	jobs     map[string]*job
	list     []*job // the same in the order of their arrival; replaced, never changed, when one goes
	queue    []*job // jobs with tasks to place, in order after a pass
	away     map[string]forward
	loads    map[string]Load
	shapes   map[string][]MinionProfile // of the other keepers' minions, by seat
	siblings []string                   // seats among which the jobs of a divided zone go; nil unless this is its first
	learned  rrestimator.Estimator
	means    map[string]float64 // work of the mean job of each queue
	usual    float64            // thousandths of cores of the mean task; zero when none was seen
	tasks    float64            // of the mean job
	at       time.Time          // of the last step
	inflow   inflow             // work that was handed in lately
	out      []Effect
	lossAt   time.Time // when an order last had no answer
	fenced   bool
	begun    time.Time           // first step
	listed   bool                // all minions were told once
	parked   []*JobSubmitted     // jobs that came before that
	dirty    bool                // a pass over the queue may place something
	ended    map[string]finished // answered jobs
	Stats    Stats
}

// forward remembers a job that another keeper was given.
type forward struct {
	seat string
	at   time.Time
}

// finished remembers the answer of a job.
type finished struct {
	outcome JobOutcome
	print   uint64 // of the job's body
	at      time.Time
}

// Load is how busy a pool is.
type Load struct {
	ExpectedWait       time.Duration // until all tasks of a usual job can expect room
	FreeMillicores     uint32        // thousandths of cores that are free, also in pieces too small for a task
	CapacityMillicores uint32        // thousandths of cores in all
}

// Stats count what a pool did since it was made.
type Stats struct {
	Starts, Ends, Refusals, Retries, AdoptedJobs, Stops, UnknownStarts, ExpiredRuns, Forwards uint64
}

// New returns a pool that holds its minions under the fencing token.
func New(token int64, terms MinionGuarantees) *Scheduler {
	return &Scheduler{
		token:   token,
		terms:   terms,
		minions: make(map[string]*minion),
		jobs:    make(map[string]*job),
		means:   make(map[string]float64),
		away:    make(map[string]forward),
		loads:   make(map[string]Load),
		ended:   make(map[string]finished),
	}
}

// Step handles one event and returns the effects, which are valid until the next
// call. Schedule has to be called before the next wait for events.
func (p *Scheduler) Step(now time.Time, ev Event) []Effect {
	p.out = p.out[:0]
	p.at = now
	if p.begun.IsZero() {
		p.begun = now
	}
	if p.fenced {
		p.stepFenced(ev)
		return p.out
	}
	switch ev := ev.(type) {
	case *JobSubmitted:
		p.submit(now, ev)
	case *CallerDisconnected:
		p.gone(now, ev)
	case *CallerProcessLost:
		p.absentCaller(now, ev.CallerProcess)
	case *JobCancelRequested:
		p.cancel(now, ev.JobID)
	case *JobAbortRequested:
		p.abort(now, ev)
	case *JobStatusRequested:
		p.emit(&ReplyJobStatus{CallID: ev.CallID, Status: p.standing(ev.JobID)})
	case *MinionReported:
		p.seen(now, ev.Minion)
	case *MinionDeregistered:
		p.missing(now, ev.MinionID)
	case *MinionHandoffRequested:
		p.yield(now, ev.MinionID)
	case *FencingTokenRaised:
		p.raise(now, ev.FencingToken)
	case *PollMinionDone:
		p.held(now, ev)
	case *StartRunDone:
		p.started(now, ev)
	case *StopRunDone:
		p.stopped(now, ev)
	case *ShardLoadsReported:
		p.loads, p.siblings = ev.ByShard, ev.PeerShards
	case *ShardProfilesReported:
		p.shapes = ev.ByShard
	case *MinionListSynced:
		p.listed = true
		p.unpark(now)
	case *OwnershipLost:
		p.fence("")
	case *Tick:
		p.tick(now)
	}
	return p.out
}

// Schedule starts what fits and refuses what can't be served in time. It is due after one
// or more steps. The effects are valid until the next call.
func (p *Scheduler) Schedule(now time.Time) []Effect {
	p.out = p.out[:0]
	if p.dirty && !p.fenced {
		p.dirty = false
		p.schedule(now)
	}
	return p.out
}

// stepFenced answers callers of a pool that another keeper has replaced. It reports no
// standing, since that keeper may know more.
func (p *Scheduler) stepFenced(ev Event) {
	if s, ok := ev.(*JobSubmitted); ok {
		p.emit(&ReplyOutcome{CallID: s.CallID, JobID: s.Job.ID, Outcome: JobOutcome{Kind: OutcomeOwnerChanged}})
	}
}

func (p *Scheduler) emit(e Effect) {
	p.out = append(p.out, e)
}

// Fenced reports whether a minion has seen a higher token.
func (p *Scheduler) Fenced() bool {
	return p.fenced
}

// Idle reports whether no job is left.
func (p *Scheduler) Idle() bool {
	for _, j := range p.list {
		if len(j.callers) > 0 {
			return false
		}
	}
	return true
}

// WaitingJobs returns the number of jobs of which no task has started.
func (p *Scheduler) WaitingJobs() int {
	n := 0
	for _, j := range p.list {
		if !j.touched {
			n++
		}
	}
	return n
}

// fence gives everything up: another keeper has a higher token.
func (p *Scheduler) fence(minion string) {
	if p.fenced {
		return
	}
	p.fenced = true
	p.emit(&StepDown{MinionID: minion})
	for _, j := range p.list {
		p.replyAll(j, j.moved())
	}
	for _, ev := range p.parked {
		p.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: JobOutcome{Kind: OutcomeOwnerChanged}})
	}
	p.parked = nil
	clear(p.jobs)
	p.list = nil
	clear(p.minions)
	p.order = nil
	p.queue = nil
}

// tick looks at everything that depends on time alone.
func (p *Scheduler) tick(now time.Time) {
	p.unpark(now)
	for _, m := range p.order {
		p.tickMinion(now, m)
	}
	for _, j := range p.list {
		p.tickJob(now, j)
	}
	for id, f := range p.away {
		if now.Sub(f.at) > forwardMemory {
			delete(p.away, id)
		}
	}
	for id, f := range p.ended {
		if now.Sub(f.at) > endedTerm {
			delete(p.ended, id)
		}
	}
	p.dirty = p.dirty || len(p.queue) > 0
}

// add notes a minion.
func (p *Scheduler) add(m *minion) {
	p.minions[m.ID] = m
	i, _ := slices.BinarySearchFunc(p.order, m.ID, func(m *minion, id string) int { return strings.Compare(m.ID, id) })
	p.order = slices.Insert(slices.Clone(p.order), i, m)
}

// remove forgets a minion.
func (p *Scheduler) remove(m *minion) {
	delete(p.minions, m.ID)
	p.order = without(p.order, m)
}

// enter notes a job.
func (p *Scheduler) enter(j *job) {
	p.jobs[j.ID] = j
	p.list = append(p.list, j)
}

// Load returns how busy the pool was at the last step.
func (p *Scheduler) Load() Load {
	var l Load
	pieces := 0.0
	for _, m := range p.order {
		if !m.usable {
			continue
		}
		rest := m.Capacity.MilliCores - min(m.used.MilliCores, m.Capacity.MilliCores)
		l.CapacityMillicores += m.Capacity.MilliCores
		l.FreeMillicores += rest
		pieces += math.Floor(float64(rest) / max(p.usual, 1))
	}
	l.ExpectedWait = p.queueTime() + p.frees(p.at, int(p.tasks-pieces))
	return l
}

// queueTime returns how long the work that waits for room keeps the pool busy.
func (p *Scheduler) queueTime() time.Duration {
	var work, capacity float64
	for _, m := range p.order {
		if m.usable {
			capacity += float64(m.Capacity.MilliCores)
		}
	}
	for _, j := range p.queue {
		work += j.pendingWork()
	}
	if capacity == 0 {
		return 0
	}
	return time.Duration(work / capacity)
}
