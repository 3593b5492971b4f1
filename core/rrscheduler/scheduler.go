// Package rrscheduler decides when and where tasks run on minions that it controls with leases
// and a fencing token.
//
// A Scheduler serves the owner of one shard. It tracks the free capacity of the shard's minions
// and the submitted jobs, orders the jobs by the value that an answer still has for their callers,
// and refuses jobs that it can't complete in time. If the outcome of a start command is unknown,
// the Scheduler resolves it before it starts the task again. The Scheduler has no clock, socket or
// goroutine: Step takes an event and its time, and returns effects for the caller to carry out.
package rrscheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"rattanring/core/rrestimator"
	"rattanring/core/rrwarmup"
)

// Timeouts and limits. Those that depend on the platform are in Options.
const (
	startTimeout            = 50 * time.Millisecond   // for the answer to a start command; calls take 1 to 20 ms
	stopTimeout             = 60 * time.Millisecond   // for the answer to a stop command, which is then sent again
	pollTimeout             = 120 * time.Millisecond  // for the answer to a poll, in addition to the poll's MaxWait
	pollWait                = 200 * time.Millisecond  // how long a poll waits at the minion for a run to finish
	idlePollWait            = time.Second             // the same at a minion that has run nothing for idleAfter, where no run needs a lease
	idleAfter               = 3 * time.Second         // a minion that has run nothing for this long is idle; a few times the usual gap between two tasks under low load
	lossyPollWait           = 80 * time.Millisecond   // the same as pollWait, while start commands are left unanswered
	pollRetryDelay          = 30 * time.Millisecond   // after the first failed poll; grows by the same time with each further one
	unresponsivePolls       = 3                       // failed polls in a row after which a minion is logged as unresponsive
	startWindow             = 400 * time.Millisecond  // a minion refuses a start command that arrives later than this
	leaseSlack              = 60 * time.Millisecond   // added to spans on a minion's clock for network delays
	maxClockDrift           = 0.02                    // fraction by which a minion's clock may be slow
	deregisteredGrace       = 2500 * time.Millisecond // a minion without a registration is used for this long if it answers
	tombstoneTTL            = 5 * time.Second         // how long finished runs are remembered
	answerTTL               = 20 * time.Second        // how long outcomes are remembered for repeated submissions
	minCooldown             = 250 * time.Millisecond  // of a minion after a refused command or its first failures
	maxCooldown             = 8 * time.Second         // of a minion that keeps failing
	attemptSkip             = 8                       // added to the attempt number when a minion knows a later attempt
	forwardTTL              = 6 * time.Second         // how long the shard of a forwarded job is remembered
	valueWindowFactor       = 3                       // an answer has value until this many times the latency objective has passed
	feasibilityCheckDivisor = 4                       // a queued job is checked against its latency objective after the objective divided by this
	incompleteListWindow    = 4 * time.Second         // how long the list of minions may lack some that run tasks
	minionListTimeout       = 600 * time.Millisecond  // jobs wait this long for the first list of minions, and for the evacuated zones
	maxJobs                 = 4000                    // in one scheduler
	maxReservedMinions      = 12                      // minions that one pass reserves for tasks that fit nowhere yet
)

// Options are the platform's guarantees about minions and callers, and what is known about the shard
// when its scheduler is created.
type Options struct {
	MaxLease           time.Duration // maximum lease of a minion's runs
	MaxStopTime        time.Duration // maximum time that a minion needs to stop a run
	ResendDelay        time.Duration // a caller whose connection broke submits its job again after this time, not sooner; zero if not known
	HeldTasks          int           // limit on the tasks that the scheduler holds, see heldTasks; zero for none
	AwaitEvacuations   bool          // start nothing before the first EvacuationsReported, for at most minionListTimeout
	FormerOwnerAliveAt time.Time     // last sign of life of a previous owner that had owned the shard for MaxClaimTime; zero if there was none
}

// Scheduler schedules the tasks of one shard. Create it with New.
type Scheduler struct {
	fencingToken          int64
	tokenRaisedAt         time.Time // when fencingToken last increased
	options               Options
	minions               map[string]*minion
	sortedMinions         []*minion // the same, sorted by ID; the order of maps must not affect decisions
	jobs                  map[string]*job
	jobsByArrival         []*job // the same in order of arrival; removed jobs stay until the end of the step, so that loops over it stay valid
	jobsRemoved           bool   // jobsByArrival holds removed jobs
	queue                 []*job // jobs with tasks to place; sorted by each pass
	forwardedJobs         map[string]forwardRecord
	shardLoads            map[string]Load
	evacuated             map[string]evacuation      // evacuated zones
	lastEvacuatedAt       time.Time                  // when a further zone was last reported as evacuated
	evacuatedMinions      int                        // minions in evacuated zones
	evacuationsReported   bool                       // EvacuationsReported has arrived, or is awaited no longer
	shardProfiles         map[string][]MinionProfile // profiles of the other shards' minions
	peerShards            []string                   // other shards of the zone; nil unless this is the primary shard
	runTimes              rrestimator.Estimator
	warmups               map[string]*rrwarmup.Service // models of cold minions by service; nil while no minion was cold
	warmupSettings        map[string]rrwarmup.Settings // by service
	meanWork              map[string]float64           // of a job, by queue
	meanTaskMillicores    float64                      // zero until the first job
	meanTaskCount         float64                      // tasks of the mean job
	lastStepAt            time.Time
	arrivals              arrivalRate // work of recently admitted jobs
	effects               []Effect
	lastUnansweredStartAt time.Time // when a start command last was left unanswered
	lastPollSeq           uint64    // never repeated, so that an answer to an earlier incarnation's poll matches none of a later one's
	lag                   lagMeter
	firstPolls            int // first polls of minions in flight
	fenced                bool
	firstStepAt           time.Time
	minionsListed         bool                   // MinionListSynced has arrived
	minionListComplete    bool                   // … without Incomplete
	deferredSubmissions   []*JobSubmitted        // submissions that arrived before that
	needsPass             bool                   // a pass over the queue may be able to start a task
	finishedJobs          map[string]finishedJob // outcomes for repeated submissions
	Stats                 Stats
}

// forwardRecord is the shard that a job was forwarded to.
type forwardRecord struct {
	shard      string
	at         time.Time
	evacuated  bool   // because of an evacuation
	process    string // of the submission …
	submission uint64 // … that was forwarded
}

// finishedJob is the outcome of an answered job.
type finishedJob struct {
	outcome  JobOutcome
	bodyHash uint64
	at       time.Time
}

// Load is the load of a shard.
type Load struct {
	ExpectedWait       time.Duration // until all tasks of the mean job can start
	FreeMillicores     uint32        // free capacity, including fragments too small for a task
	CapacityMillicores uint32        // total capacity
}

// Stats count what a Scheduler has done since it was created:
//   - Starts: start commands
//   - FinishedRuns: finished runs that minions listed
//   - Refusals: queued jobs that were refused, and new jobs that were not queued
//   - Retries: starts of a task after its first
//   - TakenOverJobs: submitted jobs for which runs of a previous owner count
//   - Stops: runs for which a stop command was sent
//   - UnknownStarts: start commands without an answer
//   - ExpiredRuns: runs that the Scheduler ended with RunLeaseExpired
//   - Forwards: forwarded jobs, new or queued
//   - Orphans: jobs whose last caller's connection broke
type Stats struct {
	Starts, FinishedRuns, Refusals, Retries, TakenOverJobs, Stops, UnknownStarts, ExpiredRuns, Forwards, Orphans uint64
	HeldTasks                                                                                                    int // held now, as Options.HeldTasks counts
}

// New returns a Scheduler that sends its commands with the fencing token.
func New(fencingToken int64, options Options) *Scheduler {
	return &Scheduler{
		fencingToken:  fencingToken,
		options:       options,
		minions:       make(map[string]*minion),
		jobs:          make(map[string]*job),
		meanWork:      make(map[string]float64),
		forwardedJobs: make(map[string]forwardRecord),
		shardLoads:    make(map[string]Load),
		finishedJobs:  make(map[string]finishedJob),
	}
}

// Step handles one event and returns its effects, which are valid until the next call. The caller
// must call Schedule before it waits for further events.
func (s *Scheduler) Step(now time.Time, ev Event) []Effect {
	defer s.dropRemovedJobs()
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
		s.cancel(now, ev)
	case *JobAbortRequested:
		s.abort(now, ev)
	case *JobStatusRequested:
		s.emit(&ReplyJobStatus{CallID: ev.CallID, Status: s.jobStatus(ev.JobID)})
	case *MinionRegistered:
		s.minionRegistered(now, ev.Minion)
	case *MinionDeregistered:
		s.minionDeregistered(now, ev.MinionID)
	case *MinionHandoffRequested:
		s.beginHandoff(now, ev.MinionID)
	case *HeldTasksLimited:
		s.options.HeldTasks = ev.Limit
	case *WarmupConfigured:
		s.configureWarmup(ev.ByService)
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
		s.minionListComplete = s.minionListComplete || !ev.Incomplete
		s.needsPass = true
		s.submitDeferred(now)
	case *EvacuationsReported:
		s.applyEvacuations(now, ev)
	case *OwnershipLost:
		s.stepDown("")
	case *Tick:
		s.lag.observe(now, ev.Lag)
		s.tick(now)
	}
	return s.effects
}

// Schedule starts the tasks that fit and refuses the jobs that can't complete in time. It must be
// called after one or more steps. The effects are valid until the next call.
func (s *Scheduler) Schedule(now time.Time) []Effect {
	defer s.dropRemovedJobs()
	s.effects = s.effects[:0]
	if s.needsPass && !s.fenced && !s.awaitsEvacuations(now) {
		s.needsPass = false
		s.runPass(now)
	}
	return s.effects
}

// stepAfterStepDown refers callers to the new owner. It reports no job status, since the new owner
// may know more.
func (s *Scheduler) stepAfterStepDown(ev Event) {
	if sub, ok := ev.(*JobSubmitted); ok {
		s.emit(&ReplyOutcome{CallID: sub.CallID, JobID: sub.Job.ID, Outcome: JobOutcome{Kind: OutcomeOwnerChanged}})
	}
}

func (s *Scheduler) emit(e Effect) {
	s.effects = append(s.effects, e)
}

// Fenced reports whether the scheduler has stepped down.
func (s *Scheduler) Fenced() bool {
	return s.fenced
}

// Idle reports whether no caller waits for a job.
func (s *Scheduler) Idle() bool {
	for _, j := range s.jobsByArrival {
		if len(j.callers) > 0 {
			return false
		}
	}
	return true
}

// WaitingJobs returns the number of jobs without a started task.
func (s *Scheduler) WaitingJobs() int {
	n := 0
	for _, j := range s.jobsByArrival {
		if !j.mayHaveStarted {
			n++
		}
	}
	return n
}

// stepDown drops all jobs and minions, since another owner has replaced this one or the owner gives up
// the shard.
func (s *Scheduler) stepDown(minion string) {
	if s.fenced {
		return
	}
	s.fenced = true
	s.emit(&StepDown{MinionID: minion})
	for _, j := range s.jobsByArrival {
		out := j.ownerChangedOutcome()
		s.replyAll(j, out)
		for _, ev := range j.nextSubmissions {
			s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: j.ID, Outcome: out})
		}
	}
	for _, ev := range s.deferredSubmissions {
		s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: JobOutcome{Kind: OutcomeOwnerChanged}})
	}
	s.deferredSubmissions = nil
	clear(s.jobs)
	s.jobsByArrival = nil
	clear(s.minions)
	s.sortedMinions = nil
	s.queue = nil
}

// tick does the work that depends on time alone.
func (s *Scheduler) tick(now time.Time) {
	s.submitDeferred(now)
	for _, m := range s.sortedMinions {
		s.tickMinion(now, m)
	}
	s.logWarmups(now)
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

func (s *Scheduler) addMinion(m *minion) {
	s.minions[m.ID] = m
	i, _ := slices.BinarySearchFunc(s.sortedMinions, m.ID, func(m *minion, id string) int { return strings.Compare(m.ID, id) })
	s.sortedMinions = slices.Insert(slices.Clone(s.sortedMinions), i, m)
}

func (s *Scheduler) removeMinion(m *minion) {
	delete(s.minions, m.ID)
	if m.evacuated {
		s.evacuatedMinions--
		m.evacuated = false
	}
	s.endFirstPoll(m)
	s.sortedMinions = without(s.sortedMinions, m)
}

func (s *Scheduler) addJob(j *job) {
	s.jobs[j.ID] = j
	s.Stats.HeldTasks += j.held
	s.jobsByArrival = append(s.jobsByArrival, j)
}

// Load returns the load at the last step.
func (s *Scheduler) Load() Load {
	var l Load
	slots := 0.0
	for _, m := range s.sortedMinions {
		if !m.open() {
			continue
		}
		total, rest := m.Capacity.MilliCores, m.Capacity.MilliCores-min(m.used.MilliCores, m.Capacity.MilliCores)
		if m.cold.active {
			total, rest = s.coldMillicores(m)
		}
		l.CapacityMillicores += total
		l.FreeMillicores += rest
		slots += math.Floor(float64(rest) / max(s.meanTaskMillicores, 1))
	}
	l.ExpectedWait = s.backlogTime()
	if missing := int(s.meanTaskCount - slots); missing > 0 {
		l.ExpectedWait += shorterWait(s.timeUntilRunsEnd(s.lastStepAt, missing), s.coldDelay())
	}
	return l
}

// backlogTime returns how long the open minions need for the queued work.
func (s *Scheduler) backlogTime() time.Duration {
	var work, capacity float64
	for _, m := range s.sortedMinions {
		if m.open() {
			capacity += float64(s.effectiveCapacity(m))
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
