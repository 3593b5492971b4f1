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
	startTimeout            = 50 * time.Millisecond   // wait for the answer to a start; calls take 1 to 20 ms
	stopTimeout             = 60 * time.Millisecond   // wait for the answer to a stop before it is sent again
	pollTimeout             = 120 * time.Millisecond  // wait for the answer to a hold beyond its own waiting time
	pollWait                = 200 * time.Millisecond  // how long a hold waits at the minion for an end
	idlePollWait            = time.Second             // the same at a minion that has run nothing for idleTerm: nothing there needs a lease
	idleAfter               = 3 * time.Second         // a few times the usual gap between two tasks of a minion on a calm day
	lossyPollWait           = 80 * time.Millisecond   // the same while orders go unanswered
	pollRetryDelay          = 30 * time.Millisecond   // pause after a failed hold
	unresponsivePolls       = 3                       // failed holds in a row after which a minion is logged as silent
	startWindow             = 400 * time.Millisecond  // after this a start that was held up is too late to be carried out
	leaseSlack              = 60 * time.Millisecond   // added to the lease for delays on the way
	maxClockDrift           = 0.02                    // share by which a minion's clock may be slow
	deregisteredGrace       = 2500 * time.Millisecond // a minion that lost its entry is used as long as it answers
	orphanTTL               = 2500 * time.Millisecond // how long runs without a caller are kept for the caller's next try
	tombstoneTTL            = 5 * time.Second         // how long ended runs are remembered
	answerTTL               = 20 * time.Second        // how long answers are remembered for a repeated submission
	minCooldown             = 250 * time.Millisecond  // pause of a minion after a refusal, or after its first failures
	maxCooldown             = 8 * time.Second         // longest pause of a minion that goes on failing
	attemptSkip             = 8                       // attempts that are skipped when a minion knows a later one
	forwardTTL              = 6 * time.Second         // how long a job is known to be with another keeper
	valueWindowFactor       = 3                       // answers up to this many objectives are of some use
	feasibilityCheckDivisor = 4                       // a job that waits is decided on after this part of its objective
	incompleteListWindow    = 4 * time.Second         // how long the list of minions may lack some that run tasks
	minionListTimeout       = 600 * time.Millisecond  // jobs wait this long for the first list of minions
	maxJobs                 = 4000                    // jobs in one pool
	maxReservedMinions      = 12                      // minions that one pass keeps free for tasks that fit nowhere yet
)

// MinionGuarantees are what the platform promises about minions, and what is known of them.
type MinionGuarantees struct {
	MaxLease             time.Duration // longest lease of what runs
	MaxStopTime          time.Duration // a stop takes at most this long
	MinionListIncomplete bool          // not all minions may be known when the pool begins
}

// Scheduler is the state of one keeper. Create it with New.
type Scheduler struct {
	fencingToken       int64
	tokenRaisedAt      time.Time // when the token last rose
	guarantees         MinionGuarantees
	minions            map[string]*minion
	sortedMinions      []*minion // the same, by ID: decisions do not depend on the order of maps
	jobs               map[string]*job
	jobsByArrival      []*job // the same in the order of their arrival; replaced, never changed, when one goes
	queue              []*job // jobs with tasks to place, in order after a pass
	forwardedJobs      map[string]forwardRecord
	shardLoads         map[string]Load
	shardProfiles      map[string][]MinionProfile // of the other keepers' minions, by seat
	peerShards         []string                   // seats among which the jobs of a divided zone go; nil unless this is its first
	runTimes           rrestimator.Estimator
	meanWork           map[string]float64 // work of the mean job of each queue
	meanTaskMillicores float64            // thousandths of cores of the mean task; zero when none was seen
	meanTaskCount      float64            // of the mean job
	lastStepAt         time.Time          // of the last step
	arrivals           arrivalRate        // work that was handed in lately
	effects            []Effect
	lastUnansweredAt   time.Time // when an order last had no answer
	fenced             bool
	firstStepAt        time.Time              // first step
	minionsListed      bool                   // all minions were told once
	earlySubmissions   []*JobSubmitted        // jobs that came before that
	needsPass          bool                   // a pass over the queue may place something
	finishedJobs       map[string]finishedJob // answered jobs
	Stats              Stats
}

// forwardRecord remembers a job that another keeper was given.
type forwardRecord struct {
	shard string
	at    time.Time
}

// finishedJob remembers the answer of a job.
type finishedJob struct {
	outcome  JobOutcome
	bodyHash uint64 // of the job's body
	at       time.Time
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
func New(fencingToken int64, guarantees MinionGuarantees) *Scheduler {
	return &Scheduler{
		fencingToken:  fencingToken,
		guarantees:    guarantees,
		minions:       make(map[string]*minion),
		jobs:          make(map[string]*job),
		meanWork:      make(map[string]float64),
		forwardedJobs: make(map[string]forwardRecord),
		shardLoads:    make(map[string]Load),
		finishedJobs:  make(map[string]finishedJob),
	}
}

// Step handles one event and returns the effects, which are valid until the next
// call. Schedule has to be called before the next wait for events.
func (s *Scheduler) Step(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	s.lastStepAt = now
	if s.firstStepAt.IsZero() {
		s.firstStepAt = now
	}
	if s.fenced {
		s.stepAfterStepDown(ev)
		return s.effects
	}
	switch ev := ev.(type) {
	case *JobSubmitted:
		s.submit(now, ev)
	case *CallerDisconnected:
		s.callerDisconnected(now, ev)
	case *CallerProcessLost:
		s.abandonJobsOf(now, ev.CallerProcess)
	case *JobCancelRequested:
		s.cancel(now, ev.JobID)
	case *JobAbortRequested:
		s.abort(now, ev)
	case *JobStatusRequested:
		s.emit(&ReplyJobStatus{CallID: ev.CallID, Status: s.jobStatus(ev.JobID)})
	case *MinionReported:
		s.minionReported(now, ev.Minion)
	case *MinionDeregistered:
		s.minionDeregistered(now, ev.MinionID)
	case *MinionHandoffRequested:
		s.beginHandoff(now, ev.MinionID)
	case *FencingTokenRaised:
		s.raiseToken(now, ev.FencingToken)
	case *PollMinionDone:
		s.pollDone(now, ev)
	case *StartRunDone:
		s.startDone(now, ev)
	case *StopRunDone:
		s.stopDone(now, ev)
	case *ShardLoadsReported:
		s.shardLoads, s.peerShards = ev.ByShard, ev.PeerShards
	case *ShardProfilesReported:
		s.shardProfiles = ev.ByShard
	case *MinionListSynced:
		s.minionsListed = true
		s.submitEarly(now)
	case *OwnershipLost:
		s.stepDown("")
	case *Tick:
		s.tick(now)
	}
	return s.effects
}

// Schedule starts what fits and refuses what can't be served in time. It is due after one
// or more steps. The effects are valid until the next call.
func (s *Scheduler) Schedule(now time.Time) []Effect {
	s.effects = s.effects[:0]
	if s.needsPass && !s.fenced {
		s.needsPass = false
		s.schedule(now)
	}
	return s.effects
}

// stepAfterStepDown answers callers of a pool that another keeper has replaced. It reports no
// standing, since that keeper may know more.
func (s *Scheduler) stepAfterStepDown(ev Event) {
	if sub, ok := ev.(*JobSubmitted); ok {
		s.emit(&ReplyOutcome{CallID: sub.CallID, JobID: sub.Job.ID, Outcome: JobOutcome{Kind: OutcomeOwnerChanged}})
	}
}

func (s *Scheduler) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// Fenced reports whether a minion has seen a higher token.
func (s *Scheduler) Fenced() bool {
	return s.fenced
}

// Idle reports whether no job is left.
func (s *Scheduler) Idle() bool {
	for _, j := range s.jobsByArrival {
		if len(j.callIDs) > 0 {
			return false
		}
	}
	return true
}

// WaitingJobs returns the number of jobs of which no task has started.
func (s *Scheduler) WaitingJobs() int {
	n := 0
	for _, j := range s.jobsByArrival {
		if !j.mayHaveStarted {
			n++
		}
	}
	return n
}

// stepDown gives everything up: another keeper has a higher token.
func (s *Scheduler) stepDown(minion string) {
	if s.fenced {
		return
	}
	s.fenced = true
	s.emit(&StepDown{MinionID: minion})
	for _, j := range s.jobsByArrival {
		s.replyAll(j, j.ownerChangedOutcome())
	}
	for _, ev := range s.earlySubmissions {
		s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: JobOutcome{Kind: OutcomeOwnerChanged}})
	}
	s.earlySubmissions = nil
	clear(s.jobs)
	s.jobsByArrival = nil
	clear(s.minions)
	s.sortedMinions = nil
	s.queue = nil
}

// tick looks at everything that depends on time alone.
func (s *Scheduler) tick(now time.Time) {
	s.submitEarly(now)
	for _, m := range s.sortedMinions {
		s.tickMinion(now, m)
	}
	for _, j := range s.jobsByArrival {
		s.tickJob(now, j)
	}
	for id, f := range s.forwardedJobs {
		if now.Sub(f.at) > forwardTTL {
			delete(s.forwardedJobs, id)
		}
	}
	for id, f := range s.finishedJobs {
		if now.Sub(f.at) > answerTTL {
			delete(s.finishedJobs, id)
		}
	}
	s.needsPass = s.needsPass || len(s.queue) > 0
}

// addMinion notes a minion.
func (s *Scheduler) addMinion(m *minion) {
	s.minions[m.ID] = m
	i, _ := slices.BinarySearchFunc(s.sortedMinions, m.ID, func(m *minion, id string) int { return strings.Compare(m.ID, id) })
	s.sortedMinions = slices.Insert(slices.Clone(s.sortedMinions), i, m)
}

// removeMinion forgets a minion.
func (s *Scheduler) removeMinion(m *minion) {
	delete(s.minions, m.ID)
	s.sortedMinions = without(s.sortedMinions, m)
}

// addJob notes a job.
func (s *Scheduler) addJob(j *job) {
	s.jobs[j.ID] = j
	s.jobsByArrival = append(s.jobsByArrival, j)
}

// Load returns how busy the pool was at the last step.
func (s *Scheduler) Load() Load {
	var l Load
	slots := 0.0
	for _, m := range s.sortedMinions {
		if !m.usable {
			continue
		}
		rest := m.Capacity.MilliCores - min(m.used.MilliCores, m.Capacity.MilliCores)
		l.CapacityMillicores += m.Capacity.MilliCores
		l.FreeMillicores += rest
		slots += math.Floor(float64(rest) / max(s.meanTaskMillicores, 1))
	}
	l.ExpectedWait = s.backlogTime() + s.timeUntilRunsEnd(s.lastStepAt, int(s.meanTaskCount-slots))
	return l
}

// backlogTime returns how long the work that waits for room keeps the pool busy.
func (s *Scheduler) backlogTime() time.Duration {
	var work, capacity float64
	for _, m := range s.sortedMinions {
		if m.usable {
			capacity += float64(m.Capacity.MilliCores)
		}
	}
	for _, j := range s.queue {
		work += j.pendingWork()
	}
	if capacity == 0 {
		return 0
	}
	return time.Duration(work / capacity)
}
