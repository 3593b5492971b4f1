package rrscheduler

// Sizes in memory, in bytes. A held task with its share of maps and slices takes up to bytesPerTask.
const (
	bytesPerTask       = 512
	bytesPerPhase      = 192
	bytesPerDependency = 8
)

// ordinaryTasks is the number of held tasks up to which a job may use the whole limit. Ordinary jobs have up
// to 32 tasks. Larger jobs together may use half of it, so that few of them don't keep out ordinary ones.
const ordinaryTasks = 64

// heldTasks returns what a job counts against Options.HeldTasks: its tasks, and what its phases and their
// dependencies take in memory, in tasks.
func heldTasks(j *Job) int {
	n, bytes := 0, len(j.Spec)
	for i := range j.Phases {
		n += max(j.Phases[i].TaskCount, 0)
		bytes += bytesPerPhase + bytesPerDependency*len(j.Phases[i].DependsOn)
	}
	return n + bytes/bytesPerTask
}

// tooManyHeld reports whether a new job that counts as n held tasks exceeds the limit.
func (s *Scheduler) tooManyHeld(n int) bool {
	limit := s.options.HeldTasks
	if limit <= 0 {
		return false
	}
	if n > ordinaryTasks {
		limit /= 2
	}
	return s.Stats.HeldTasks+n > limit
}

// neverHeld answers a submission that alone exceeds the limit, and reports whether it does. Its tasks are not
// created, since another process may send any number of them.
func (s *Scheduler) neverHeld(ev *JobSubmitted) bool {
	limit := s.options.HeldTasks
	if limit <= 0 || heldTasks(&ev.Job) <= limit {
		return false
	}
	out := JobOutcome{Kind: OutcomeRefused, Reason: ReasonQueueFull, RetryAfter: s.retryAfter()}
	if ev.Job.MayHaveRuns || s.jobs[ev.Job.ID] != nil {
		out.Kind = OutcomeAbandoned // a previous owner may have started tasks
	}
	s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: out})
	s.emit(&LogDecision{Message: "turned away", JobID: ev.Job.ID, Detail: string(out.Reason)})
	s.Stats.Refusals++
	return true
}
