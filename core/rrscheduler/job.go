package rrscheduler

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// unpark decides on the jobs that came before the minions were listed.
func (p *Scheduler) unpark(now time.Time) {
	if len(p.parked) == 0 || !p.listed && now.Sub(p.begun) < listPatience {
		return
	}
	waiting := p.parked
	p.parked = nil
	for _, ev := range waiting {
		p.submit(now, ev)
	}
}

// task is one task of a job.
type task struct {
	id      TaskID
	run     *run // that holds room; nil when none
	done    bool
	fails   int    // runs that ended failed
	attempt int    // highest one that is known
	avoid   string // minion on which the last run ended badly
	slowed  bool   // a run of it was ended for being slow
}

// job is one submission and the state of its tasks. A job without a body is known
// only by runs that an earlier keeper started.
type job struct {
	Job
	print   uint64 // of the body
	body    bool
	callers []uint64
	tasks   map[TaskID]*task
	order   []*task // in the order of the phases; empty without a body
	left    []int   // tasks of each phase that are not done
	touched bool    // a start may have reached a minion
	orphan  time.Time
	since   time.Time       // when this keeper heard of it
	chain   time.Duration   // longest chain of work, estimated at the hand-in
	fastest []time.Duration // of each phase: shortest time that a task takes, from what ran so far
	work    float64         // of all tasks, in thousandths of a core times nanoseconds
	aim     time.Time       // objective
	late    time.Time       // after this an answer is of no use
	cleared bool            // all minions that may run tasks of an earlier keeper have answered
	basis   basis           // of the last estimate of its start
	decided bool            // passed the check of a job that waits
	adopted bool            // an earlier keeper's runs count for it
	closing bool            // answered or unwanted; kept until its runs have ended
	next    *JobSubmitted   // hand-in that waits for the runs of a closing job
}

var printSeed = maphash.MakeSeed()

// fingerprint tells bodies with one ID apart.
func fingerprint(j *Job) uint64 {
	var h maphash.Hash
	h.SetSeed(printSeed)
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

// newJob returns a job that is known by its runs only.
func newJob(id string, now time.Time) *job {
	return &job{Job: Job{ID: id}, tasks: make(map[TaskID]*task), since: now, orphan: now}
}

func (j *job) task(id TaskID) *task {
	t := j.tasks[id]
	if t == nil {
		t = &task{id: id}
		j.tasks[id] = t
	}
	return t
}

// known returns all tasks that are known, in order.
func (j *job) known() []*task {
	if len(j.order) == len(j.tasks) {
		return j.order
	}
	return slices.SortedFunc(maps.Values(j.tasks), func(a, b *task) int { return compareTasks(a.id, b.id) })
}

// fill gives the job its body and joins runs that are known already.
func (p *Scheduler) fill(now time.Time, j *job, body Job, print uint64) {
	j.Job, j.print, j.body = body, print, true
	j.left = make([]int, len(body.Phases))
	j.fastest = make([]time.Duration, len(body.Phases))
	for ph := range body.Phases {
		for i := range body.Phases[ph].TaskCount {
			t := j.task(TaskID{Job: body.ID, Phase: ph, Index: i})
			j.order = append(j.order, t)
			if !t.done {
				j.left[ph]++
			}
			if t.run != nil {
				p.size(t.run, body.Phases[ph].Resources)
				t.run.expect = p.onMinion(j, t, t.run.minion)
			}
		}
	}
	j.chain = p.longest(j)
	objective := time.Duration(float64(j.chain)*max(j.TargetSlowdown, 1)) + j.TargetLatency
	j.work = j.sum(func(*task) bool { return true })
	p.observeWork(j)
	p.observeSize(j)
	j.aim = j.ReceivedAt.Add(objective)
	j.late = j.ReceivedAt.Add(lateFactor * objective)
}

// estimate returns the expected run time of a task of a phase.
func (p *Scheduler) estimate(j *job, ph int) time.Duration {
	return p.learned.Estimate(j.Queue, "", j.Phases[ph].DeclaredRunTime)
}

// longest returns the time of the longest chain of phases that are not done.
func (p *Scheduler) longest(j *job) time.Duration {
	var whole time.Duration
	ends := make([]time.Duration, len(j.Phases))
	for i := range j.Phases {
		for _, a := range j.Phases[i].DependsOn {
			ends[i] = max(ends[i], ends[a])
		}
		if j.left[i] > 0 {
			ends[i] += p.estimate(j, i)
		}
		whole = max(whole, ends[i])
	}
	return whole
}

// ready reports whether the phases that phase ph waits for are done.
func (j *job) ready(ph int) bool {
	for _, a := range j.Phases[ph].DependsOn {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

// moved returns what the next keeper has to know of the job: on which minions tasks
// of it may run.
func (j *job) moved() JobOutcome {
	out := JobOutcome{Kind: OutcomeOwnerChanged, MayHaveRuns: true, RunMinionsKnown: true}
	if j.MayHaveRuns && !j.cleared {
		out.RunMinionsKnown, out.RunMinions = j.RunMinionsKnown, slices.Clone(j.RunMinions)
	}
	for _, t := range j.known() {
		if t.run != nil {
			out.RunMinions = append(out.RunMinions, t.run.minion.ID)
		}
	}
	return out
}

// allFound reports whether each task is done or known to run.
func (j *job) allFound() bool {
	return !slices.ContainsFunc(j.order, func(t *task) bool { return !t.done && t.run == nil })
}

// complete reports whether every task is done.
func (j *job) complete() bool {
	return j.body && !slices.ContainsFunc(j.left, func(n int) bool { return n > 0 })
}

// pendingWork returns the work that waits for room, in thousandths of a core times
// nanoseconds.
func (j *job) pendingWork() float64 {
	return j.sum(func(t *task) bool { return t.run == nil && !t.done })
}

func (j *job) sum(counts func(*task) bool) float64 {
	var sum float64
	for _, t := range j.order {
		if counts(t) {
			sum += float64(j.Phases[t.id.Phase].Resources.MilliCores)
		}
	}
	return sum * float64(j.chain)
}

// submit takes a job or joins a caller to the one with its ID.
func (p *Scheduler) submit(now time.Time, ev *JobSubmitted) {
	if !p.listed && now.Sub(p.begun) < listPatience {
		p.parked = append(p.parked, ev)
		return
	}
	print := fingerprint(&ev.Job)
	if f, ok := p.ended[ev.Job.ID]; ok && f.outcome.Kind != OutcomeAbandoned {
		p.answerAgain(ev, f, print)
		return
	}
	j := p.jobs[ev.Job.ID]
	switch {
	case j == nil:
		p.take(now, ev, print)
	case j.closing:
		j.next = ev
	case !j.body:
		p.adopt(now, j, ev, print)
	case j.print != print:
		p.emit(&ReplyOutcome{CallID: ev.CallID, JobID: j.ID, Outcome: JobOutcome{Kind: OutcomeIDConflict}})
	default:
		j.callers = append(j.callers, ev.CallID)
		j.orphan, j.CallerProcess = time.Time{}, ev.Job.CallerProcess
		j.Deadline = later(j.Deadline, ev.Job.Deadline)
		p.emit(&LogDecision{Message: "joined", JobID: j.ID, Age: now.Sub(j.since)})
	}
}

func (p *Scheduler) answerAgain(ev *JobSubmitted, f finished, print uint64) {
	out := f.outcome
	if f.print != print && out.Kind != OutcomeAborted {
		out = JobOutcome{Kind: OutcomeIDConflict}
	}
	p.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: out})
}

// take decides on a new job.
func (p *Scheduler) take(now time.Time, ev *JobSubmitted, print uint64) {
	if f, ok := p.away[ev.Job.ID]; ok && !ev.Job.NoForward {
		p.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: JobOutcome{Kind: OutcomeForwarded, Shard: f.seat}})
		return
	}
	j := newJob(ev.Job.ID, now)
	p.fill(now, j, ev.Job, print)
	j.callers = []uint64{ev.CallID}
	j.orphan = time.Time{}
	if out := p.admit(now, j); out.Kind != 0 {
		if ev.Job.MayHaveRuns && out.Kind == OutcomeRefused {
			out.Kind = OutcomeAbandoned // an earlier keeper may have run some of it
		}
		p.emit(&ReplyOutcome{CallID: ev.CallID, JobID: j.ID, Outcome: out})
		p.emit(&LogDecision{Message: "turned away", JobID: j.ID, Detail: string(out.Reason) + out.Shard})
		p.Stats.Refusals++
		return
	}
	p.enter(j)
	p.inflow.add(now, j.work)
	p.queue = append(p.queue, j)
	p.dirty = true
}

// adopt joins a caller to runs that an earlier keeper started.
func (p *Scheduler) adopt(now time.Time, j *job, ev *JobSubmitted, print uint64) {
	p.fill(now, j, ev.Job, print)
	j.callers = []uint64{ev.CallID}
	j.orphan = time.Time{}
	j.touched = true
	p.inherit(now, j)
	if j.complete() {
		p.finish(now, j, JobOutcome{Kind: OutcomeCompleted})
		return
	}
	p.queue = append(p.queue, j)
	p.dirty = true
}

// inherit notes once that runs of an earlier keeper count for a job that has a caller.
// They can be found before the hand-in or after it.
func (p *Scheduler) inherit(now time.Time, j *job) {
	if j.adopted || !j.body || j.closing {
		return
	}
	j.adopted = true
	p.Stats.AdoptedJobs++
	p.emit(&LogDecision{Message: "adopted", JobID: j.ID, Age: now.Sub(j.since)})
}

// gone notes that a line broke. The job runs on for the caller's next try.
func (p *Scheduler) gone(now time.Time, ev *CallerDisconnected) {
	p.parked = slices.DeleteFunc(p.parked, func(s *JobSubmitted) bool { return s.CallID == ev.CallID })
	j := p.jobs[ev.JobID]
	if j == nil {
		return
	}
	j.callers = slices.DeleteFunc(j.callers, func(t uint64) bool { return t == ev.CallID })
	if j.next != nil && j.next.CallID == ev.CallID {
		j.next = nil
	}
	if len(j.callers) == 0 {
		p.orphaned(now, j)
	}
}

// orphaned keeps a job without callers for their next try. That comes to the keeper
// of the caller's zone, so a job of another zone is of no use.
func (p *Scheduler) orphaned(now time.Time, j *job) {
	if j.closing {
		return
	}
	j.orphan = now
	if j.NoForward || !j.touched {
		p.close(now, j)
	}
}

// absentCaller ends the jobs of a process that can't be reached. It may be alive, and
// its callers may hand their jobs in to a keeper that does not know of these runs.
func (p *Scheduler) absentCaller(now time.Time, name string) {
	for _, j := range p.list {
		if j.CallerProcess == name && len(j.callers) > 0 {
			p.replyAll(j, JobOutcome{Kind: OutcomeAbandoned, Reason: ReasonCanceled})
			p.close(now, j)
		}
	}
}

// cancel drops a job that nobody wants.
func (p *Scheduler) cancel(now time.Time, id string) {
	j := p.jobs[id]
	if j == nil || j.closing {
		return
	}
	p.emit(&LogDecision{Message: "canceled", JobID: id, Age: now.Sub(j.since)})
	p.giveUp(now, j, ReasonCanceled)
}

// giveUp answers a job that is not going to be completed.
func (p *Scheduler) giveUp(now time.Time, j *job, r Reason) {
	out := JobOutcome{Kind: OutcomeRefused, Reason: r, RetryAfter: p.retryAfter()}
	if j.touched || j.MayHaveRuns {
		out.Kind = OutcomeAbandoned
	}
	p.finish(now, j, out)
}

// finish answers a job and ends what still runs of it.
func (p *Scheduler) finish(now time.Time, j *job, out JobOutcome) {
	p.replyAll(j, out)
	if out.Kind == OutcomeCompleted || out.Kind == OutcomeFailed || out.Kind == OutcomeAborted {
		p.ended[j.ID] = finished{outcome: out, print: j.print, at: now}
	}
	if out.Kind == OutcomeRefused {
		p.Stats.Refusals++
	}
	p.emit(&LogDecision{Message: "answered", JobID: j.ID, Detail: j.verdict(now, out), Age: now.Sub(j.ReceivedAt)})
	p.close(now, j)
}

// basis is what the last estimate of a job's start was made of.
type basis struct {
	wait  time.Duration // for the work before it
	queue int           // jobs that waited
}

// verdict puts an outcome and what decided it into words.
func (j *job) verdict(now time.Time, out JobOutcome) string {
	text := out.Kind.String()
	if out.Reason != "" {
		text += " " + string(out.Reason)
	}
	if out.Reason == ReasonDeadlineUnreachable {
		text += fmt.Sprintf(" wait=%v needs=%v left=%v useful=%v queue=%d tasks=%d/%d",
			round(j.basis.wait), round(j.chain), round(j.aim.Sub(now)), round(j.late.Sub(now)), j.basis.queue, j.openTasks(), len(j.order))
	}
	return text
}

func round(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}

// openTasks returns the number of tasks that are not done.
func (j *job) openTasks() int {
	n := 0
	for _, left := range j.left {
		n += left
	}
	return n
}

func (p *Scheduler) replyAll(j *job, out JobOutcome) {
	refusedTruly.Assert(out.Kind != OutcomeRefused || !j.touched && !j.MayHaveRuns)
	for _, token := range j.callers {
		p.emit(&ReplyOutcome{CallID: token, JobID: j.ID, Outcome: out})
	}
	j.callers = nil
}

// close stops the runs of a job and forgets it when none is left.
func (p *Scheduler) close(now time.Time, j *job) {
	answered.Assert(len(j.callers) == 0)
	j.closing = true
	p.unqueue(j)
	for _, t := range j.known() {
		if t.run != nil {
			p.stop(now, t.run, "unwanted")
		}
	}
	p.forget(now, j)
}

// forget removes a closing job whose runs have ended.
func (p *Scheduler) forget(now time.Time, j *job) {
	if !j.closing {
		return
	}
	for _, t := range j.known() {
		if t.run != nil {
			return
		}
	}
	delete(p.jobs, j.ID)
	p.list = without(p.list, j)
	if next := j.next; next != nil {
		j.next = nil
		p.submit(now, next)
	}
}

func (p *Scheduler) unqueue(j *job) {
	if i := slices.Index(p.queue, j); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// tickJob ends jobs whose time is over.
func (p *Scheduler) tickJob(now time.Time, j *job) {
	switch {
	case j.closing:
		p.forget(now, j)
	case !j.orphan.IsZero() && now.Sub(j.orphan) > orphanTerm:
		p.emit(&LogDecision{Message: "orphan dropped", JobID: j.ID, Age: now.Sub(j.orphan)})
		p.close(now, j)
	case j.body && len(j.callers) > 0 && now.After(j.Deadline):
		p.giveUp(now, j, ReasonDeadlineUnreachable)
	}
}

// size sets the room that a run holds.
func (p *Scheduler) size(r *run, s rrtask.Resources) {
	if r.sized {
		return
	}
	r.sized = true
	r.minion.blind--
	r.size = s
	r.minion.use(s)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the kind in a word.
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
	}
	return "none"
}
