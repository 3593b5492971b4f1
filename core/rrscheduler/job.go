package rrscheduler

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"time"

	"rattanring/core/rrtask"
)

// submitDeferred submits the jobs that arrived before the minions were listed, once they are listed or
// minionListTimeout has passed.
func (s *Scheduler) submitDeferred(now time.Time) {
	if len(s.deferredSubmissions) == 0 || s.mustDefer(now) {
		return
	}
	deferred := s.deferredSubmissions
	s.deferredSubmissions = nil
	for _, ev := range deferred {
		s.submit(now, ev)
	}
}

// mustDefer reports whether the minions or the evacuated zones are not known yet.
func (s *Scheduler) mustDefer(now time.Time) bool {
	return !s.minionsListed && now.Sub(s.firstStepAt) < minionListTimeout || s.awaitsEvacuations(now)
}

// job is one submission and the state of its tasks. The body is the submitted Job; a job without one
// is known only by runs that a previous owner started.
type job struct {
	Job
	bodyHash           uint64
	held               int // what it counts against Options.HeldTasks
	hasBody            bool
	callers            []caller
	tasks              map[TaskID]*task
	orderedTasks       []*task         // by phase and index; empty without a body
	unfinishedByPhase  []int           // tasks of each phase that are not complete
	mayHaveStarted     bool            // a start command may have reached a minion
	firstStartAt       time.Time       // when this owner first sent one; zero if it never did, or if a previous owner may have
	keepUntil          time.Time       // end of the time for which the job runs on without callers; zero while one waits
	knownSince         time.Time       // when this owner first received the job or found a run of it
	criticalPath       time.Duration   // estimated at the submission
	shortestRunTime    []time.Duration // of a task of each phase, observed so far
	work               float64         // of all tasks, in thousandths of a core times nanoseconds
	objectiveAt        time.Time       // end of the latency objective
	valueEndsAt        time.Time       // a later answer has no value
	runMinionsAnswered bool            // all minions that may run tasks started by a previous owner have answered
	startEstimate      startEstimate   // the last one
	feasibilityChecked bool            // refuseIfLate has compared the expected answer with objectiveAt
	takenOver          bool            // runs of a previous owner count for it
	closing            bool            // answered or unwanted; kept until its runs have ended
	removed            bool            // no longer in Scheduler.jobs; the step's end takes it out of jobsByArrival
	nextSubmissions    []*JobSubmitted // submissions that wait until the runs of the closing job have ended
}

var bodyHashSeed = maphash.MakeSeed()

// hashBody returns a hash that distinguishes jobs with the same ID.
func hashBody(j *Job) uint64 {
	var h maphash.Hash
	h.SetSeed(bodyHashSeed)
	h.WriteString(j.Queue)
	h.WriteString(j.Spec)
	for i := range j.Phases {
		ph := &j.Phases[i]
		for _, n := range []uint64{uint64(ph.TaskCount), uint64(ph.Resources.MilliCores), ph.Resources.MemoryBytes, uint64(ph.Resources.Accelerators), uint64(ph.DeclaredRunTime)} {
			maphash.WriteComparable(&h, n)
		}
	}
	return h.Sum64()
}

// newJob returns a job without a body or callers.
func newJob(id string, now, keepUntil time.Time) *job {
	return &job{Job: Job{ID: id}, tasks: make(map[TaskID]*task), knownSince: now, keepUntil: keepUntil}
}

func (j *job) task(id TaskID) *task {
	t := j.tasks[id]
	if t == nil {
		t = &task{id: id}
		j.tasks[id] = t
	}
	return t
}

// hasTask reports whether the body is known and has the task: minions may list runs of another body.
func (j *job) hasTask(id TaskID) bool {
	return j.hasBody && id.Phase >= 0 && id.Phase < len(j.Phases) && id.Index >= 0 && id.Index < j.Phases[id.Phase].TaskCount
}

// knownTasks returns all known tasks, sorted.
func (j *job) knownTasks() []*task {
	if len(j.orderedTasks) == len(j.tasks) {
		return j.orderedTasks
	}
	return slices.SortedFunc(maps.Values(j.tasks), func(a, b *task) int { return compareTaskIDs(a.id, b.id) })
}

// setBody sets the body of a job, and the resources of its known runs.
func (s *Scheduler) setBody(now time.Time, j *job, body Job, bodyHash uint64) {
	j.Job, j.bodyHash, j.hasBody = body, bodyHash, true
	j.unfinishedByPhase = make([]int, len(body.Phases))
	j.shortestRunTime = make([]time.Duration, len(body.Phases))
	j.makeTasks()
	for ph := range body.Phases {
		for i := range body.Phases[ph].TaskCount {
			t := j.tasks[TaskID{Job: body.ID, Phase: ph, Index: i}]
			j.orderedTasks = append(j.orderedTasks, t)
			if !t.done {
				j.unfinishedByPhase[ph]++
			}
			if t.run != nil {
				s.setResources(t.run, body.Phases[ph].Resources)
				t.run.expectedRunTime = s.runTimeOn(j, t, t.run.minion)
			}
		}
	}
	j.criticalPath = s.remainingCriticalPath(j)
	objective := time.Duration(float64(j.criticalPath)*max(j.TargetSlowdown, 1)) + j.TargetLatency
	j.work = j.sumWork(func(*task) bool { return true })
	s.observeMeanWork(j)
	s.observeTaskMeans(j)
	j.objectiveAt = j.ReceivedAt.Add(objective)
	j.valueEndsAt = j.ReceivedAt.Add(valueWindowFactor * objective)
}

// estimateRunTime returns the expected run time of one task of a phase.
func (s *Scheduler) estimateRunTime(j *job, ph int) time.Duration {
	return s.runTimes.Estimate(j.Queue, "", j.Phases[ph].DeclaredRunTime)
}

// remainingCriticalPath returns the longest dependent run time of the phases that are not complete.
func (s *Scheduler) remainingCriticalPath(j *job) time.Duration {
	var longest time.Duration
	finish := make([]time.Duration, len(j.Phases))
	for i := range j.Phases {
		for _, dep := range j.Phases[i].DependsOn {
			finish[i] = max(finish[i], finish[dep])
		}
		if j.unfinishedByPhase[i] > 0 {
			finish[i] += s.estimateRunTime(j, i)
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// phaseReady reports whether the phases that phase ph depends on are complete.
func (j *job) phaseReady(ph int) bool {
	for _, dep := range j.Phases[ph].DependsOn {
		if j.unfinishedByPhase[dep] > 0 {
			return false
		}
	}
	return true
}

// ownerChangedOutcome returns an outcome that lists, for the next owner, the minions that may run
// tasks of the job.
func (j *job) ownerChangedOutcome() JobOutcome {
	out := JobOutcome{Kind: OutcomeOwnerChanged, MayHaveRuns: true, RunMinionsKnown: true}
	if j.MayHaveRuns && !j.runMinionsAnswered {
		out.RunMinionsKnown, out.RunMinions = j.RunMinionsKnown, slices.Clone(j.RunMinions)
	}
	for _, t := range j.knownTasks() {
		if t.run != nil {
			out.RunMinions = append(out.RunMinions, t.run.minion.ID)
		}
	}
	return out
}

// allDoneOrRunning reports whether each task is complete or has a known run.
func (j *job) allDoneOrRunning() bool {
	return !slices.ContainsFunc(j.orderedTasks, func(t *task) bool { return !t.done && t.run == nil })
}

// complete reports whether every task is complete.
func (j *job) complete() bool {
	return j.hasBody && !slices.ContainsFunc(j.unfinishedByPhase, func(n int) bool { return n > 0 })
}

// pendingWork returns the work of the tasks that wait for capacity, in thousandths of a core times
// nanoseconds.
func (j *job) pendingWork() float64 {
	return j.sumWork(func(t *task) bool { return t.run == nil && !t.done })
}

// sumWork returns the cores of the counted tasks times the job's critical path, which stands for the
// run time of each.
func (j *job) sumWork(counts func(*task) bool) float64 {
	var sum float64
	for _, t := range j.orderedTasks {
		if counts(t) {
			sum += float64(j.Phases[t.id.Phase].Resources.MilliCores)
		}
	}
	return sum * float64(j.criticalPath)
}

// submit decides on a new job, or attaches the caller to the known job with its ID.
func (s *Scheduler) submit(now time.Time, ev *JobSubmitted) {
	if s.mustDefer(now) {
		s.deferredSubmissions = append(s.deferredSubmissions, ev)
		return
	}
	bodyHash := hashBody(&ev.Job)
	if f, ok := s.finishedJobs[ev.Job.ID]; ok && f.outcome.Kind != OutcomeAbandoned {
		s.repeatAnswer(ev, f, bodyHash)
		return
	}
	j := s.jobs[ev.Job.ID]
	switch {
	case j == nil:
		s.submitNew(now, ev, bodyHash)
	case j.closing:
		j.nextSubmissions = append(j.nextSubmissions, ev)
	case !j.hasBody:
		s.submitForUnknownRuns(now, j, ev, bodyHash)
	case j.bodyHash != bodyHash:
		s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: j.ID, Outcome: JobOutcome{Kind: OutcomeIDConflict}})
	default:
		j.callers = append(j.callers, ev.caller())
		j.keepUntil = time.Time{}
		j.Deadline = later(j.Deadline, ev.Job.Deadline)
		s.emit(&LogDecision{Message: "joined", JobID: j.ID, Age: now.Sub(j.knownSince)})
	}
}

func (s *Scheduler) repeatAnswer(ev *JobSubmitted, f finishedJob, bodyHash uint64) {
	out := f.outcome
	if f.bodyHash != bodyHash && out.Kind != OutcomeAborted {
		out = JobOutcome{Kind: OutcomeIDConflict}
	}
	s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: out})
}

// submitNew queues, forwards or refuses a new job.
func (s *Scheduler) submitNew(now time.Time, ev *JobSubmitted, bodyHash uint64) {
	if f, ok := s.forwardedJobs[ev.Job.ID]; ok && (!ev.Job.NoForward || f.followedBy(&ev.Job)) {
		s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: JobOutcome{Kind: OutcomeForwarded, Shard: f.shard}})
		return
	}
	if s.neverHeld(ev) {
		return
	}
	j := newJob(ev.Job.ID, now, time.Time{})
	s.setBody(now, j, ev.Job, bodyHash)
	j.held = heldTasks(&ev.Job)
	j.callers = []caller{ev.caller()}
	if out := s.admit(now, j); out.Kind != 0 {
		if ev.Job.MayHaveRuns && out.Kind == OutcomeRefused {
			out.Kind = OutcomeAbandoned // a previous owner may have started tasks
		}
		s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: j.ID, Outcome: out})
		s.emit(&LogDecision{Message: "turned away", JobID: j.ID, Detail: strings.TrimSpace(string(out.Reason) + " " + out.Shard)})
		s.Stats.Refusals++
		return
	}
	if s.forwardedJobs[j.ID].evacuated {
		delete(s.forwardedJobs, j.ID) // it came back: later submissions must not follow it away
	}
	s.addJob(j)
	s.arrivals.add(now, j.work)
	s.queue = append(s.queue, j)
	s.needsPass = true
}

// submitForUnknownRuns attaches a caller and the job's body to runs that a previous owner started.
func (s *Scheduler) submitForUnknownRuns(now time.Time, j *job, ev *JobSubmitted, bodyHash uint64) {
	if s.neverHeld(ev) {
		return
	}
	s.setBody(now, j, ev.Job, bodyHash)
	j.held = heldTasks(&ev.Job)
	s.Stats.HeldTasks += j.held
	j.callers = []caller{ev.caller()}
	j.keepUntil = time.Time{}
	j.mayHaveStarted = true
	s.recordTakeover(now, j)
	if j.complete() {
		s.finish(now, j, JobOutcome{Kind: OutcomeCompleted})
		return
	}
	s.queue = append(s.queue, j)
	s.needsPass = true
}

// recordTakeover logs and counts, once for each job, that runs of a previous owner count for a job
// with a caller. The scheduler can find such runs before the submission or after it.
func (s *Scheduler) recordTakeover(now time.Time, j *job) {
	if j.takenOver || !j.hasBody || j.closing {
		return
	}
	j.takenOver = true
	s.Stats.TakenOverJobs++
	s.emit(&LogDecision{Message: "adopted", JobID: j.ID, Age: now.Sub(j.knownSince)})
}

// refuseOrAbandon answers a job that will not complete: refused if no task can have started,
// abandoned otherwise.
func (s *Scheduler) refuseOrAbandon(now time.Time, j *job, reason Reason) {
	out := JobOutcome{Kind: OutcomeRefused, Reason: reason, RetryAfter: s.retryAfter()}
	if j.mayHaveStarted || j.MayHaveRuns {
		out.Kind = OutcomeAbandoned
	}
	s.finish(now, j, out)
}

// finish answers a job and stops its remaining runs.
func (s *Scheduler) finish(now time.Time, j *job, out JobOutcome) {
	s.replyAll(j, out)
	if out.Kind == OutcomeCompleted || out.Kind == OutcomeFailed || out.Kind == OutcomeAborted {
		s.finishedJobs[j.ID] = finishedJob{outcome: out, bodyHash: j.bodyHash, at: now}
	}
	if out.Kind == OutcomeRefused {
		s.Stats.Refusals++
	}
	s.emit(&LogDecision{Message: "answered", JobID: j.ID, Detail: j.outcomeText(now, out), Age: now.Sub(j.ReceivedAt)})
	s.closeJob(now, j)
}

// startEstimate is an estimate of a job's start.
type startEstimate struct {
	wait       time.Duration // until the work ahead of the job is done
	queuedJobs int           // jobs in the queue, including this one
}

// outcomeText describes an outcome, with the times that decided it, for the log.
func (j *job) outcomeText(now time.Time, out JobOutcome) string {
	text := out.Kind.String()
	if out.Reason != "" {
		text += " " + string(out.Reason)
	}
	if out.Reason == ReasonDeadlineUnreachable {
		text += fmt.Sprintf(" wait=%v needs=%v left=%v useful=%v queue=%d tasks=%d/%d",
			roundToMs(j.startEstimate.wait), roundToMs(j.criticalPath), roundToMs(j.objectiveAt.Sub(now)), roundToMs(j.valueEndsAt.Sub(now)), j.startEstimate.queuedJobs, j.unfinishedTasks(), len(j.orderedTasks))
	}
	return text
}

func roundToMs(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// unfinishedTasks returns the number of tasks that are not complete.
func (j *job) unfinishedTasks() int {
	n := 0
	for _, unfinished := range j.unfinishedByPhase {
		n += unfinished
	}
	return n
}

func (s *Scheduler) replyAll(j *job, out JobOutcome) {
	refusedUnstarted.Assert(out.Kind != OutcomeRefused || !j.mayHaveStarted && !j.MayHaveRuns)
	for _, c := range j.callers {
		s.emit(&ReplyOutcome{CallID: c.callID, JobID: j.ID, Outcome: out})
	}
	j.callers = nil
}

// closeJob stops the runs of a job and removes the job when no run is left.
func (s *Scheduler) closeJob(now time.Time, j *job) {
	callersAnswered.Assert(len(j.callers) == 0)
	j.closing = true
	s.dequeue(j)
	for _, t := range j.knownTasks() {
		if t.run != nil {
			s.stopRun(now, t.run, "unwanted")
		}
	}
	s.removeIfClosed(now, j)
}

// removeIfClosed removes a closing job without runs, and then makes the submissions that waited for this.
func (s *Scheduler) removeIfClosed(now time.Time, j *job) {
	if !j.closing || j.removed {
		return
	}
	for _, t := range j.knownTasks() {
		if t.run != nil {
			return
		}
	}
	delete(s.jobs, j.ID)
	s.Stats.HeldTasks -= j.held
	j.removed, s.jobsRemoved = true, true
	next := j.nextSubmissions
	j.nextSubmissions = nil
	for _, ev := range next {
		s.submit(now, ev)
	}
}

// dropRemovedJobs takes the jobs that a step has removed out of jobsByArrival, all at once: an
// evacuation may remove thousands in one step.
func (s *Scheduler) dropRemovedJobs() {
	if !s.jobsRemoved {
		return
	}
	s.jobsRemoved = false
	s.jobsByArrival = slices.DeleteFunc(s.jobsByArrival, func(j *job) bool { return j.removed })
}

func (s *Scheduler) dequeue(j *job) {
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// tickJob ends a job without callers after its keepUntil, or a job whose deadline has passed.
func (s *Scheduler) tickJob(now time.Time, j *job) {
	switch {
	case j.closing:
		s.removeIfClosed(now, j)
	case !j.keepUntil.IsZero() && now.After(j.keepUntil) && !s.isDeferred(j.ID):
		s.dropOrphan(now, j, "no caller in time")
	case s.abandonStranded(now, j):
	case j.hasBody && len(j.callers) > 0 && now.After(j.Deadline):
		s.refuseOrAbandon(now, j, ReasonDeadlineUnreachable)
	}
}

// setResources records the resources of a run that was found without them.
func (s *Scheduler) setResources(r *run, resources rrtask.Resources) {
	if r.resourcesKnown {
		return
	}
	r.resourcesKnown = true
	r.minion.runsWithoutResources--
	r.resources = resources
	r.minion.allocate(resources)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the kind as one word for the log.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeCompleted:
		return "completed"
	case OutcomeFailed:
		return "failed"
	case OutcomeRefused:
		return "refused"
	case OutcomeAbandoned:
		return "lost"
	case OutcomeForwarded:
		return "forward"
	case OutcomeOwnerChanged:
		return "moved"
	case OutcomeIDConflict:
		return "conflict"
	case OutcomeAborted:
		return "aborted"
	case OutcomeStale:
		return "stale"
	}
	return "none"
}
