package rrscheduler

import (
	"slices"
	"time"
)

// caller is a submission that waits for the outcome of a job.
type caller struct {
	callID     uint64
	process    string
	submission uint64
}

func (ev *JobSubmitted) caller() caller {
	return caller{ev.CallID, ev.Job.CallerProcess, ev.Job.Submission}
}

// withdrawnBy reports whether the submission is the one that an event withdraws.
func (c caller) withdrawnBy(ev *JobCancelRequested) bool {
	return c.process == ev.CallerProcess && c.submission == ev.Submission
}

// callerDisconnected removes a caller whose connection broke. A job that has lost its last caller is
// orphaned.
func (s *Scheduler) callerDisconnected(now time.Time, ev *CallerDisconnected) {
	s.deferredSubmissions = slices.DeleteFunc(s.deferredSubmissions, func(sub *JobSubmitted) bool { return sub.CallID == ev.CallID })
	j := s.jobs[ev.JobID]
	if j == nil {
		return
	}
	callers := len(j.callers)
	j.callers = slices.DeleteFunc(j.callers, func(c caller) bool { return c.callID == ev.CallID })
	j.nextSubmissions = slices.DeleteFunc(j.nextSubmissions, func(sub *JobSubmitted) bool { return sub.CallID == ev.CallID })
	if callers > 0 && len(j.callers) == 0 {
		s.orphanJob(now, j)
	}
}

// abandonJobsOf ends the jobs of an unreachable process. The process may be alive, and its callers
// may submit their jobs to an owner that doesn't know of these runs; the runs are stopped so that no
// task runs twice.
func (s *Scheduler) abandonJobsOf(now time.Time, process string) {
	out := JobOutcome{Kind: OutcomeAbandoned, Reason: ReasonCanceled}
	abandon := func(ev *JobSubmitted) bool {
		if ev.Job.CallerProcess != process {
			return false
		}
		s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: out})
		return true
	}
	s.deferredSubmissions = slices.DeleteFunc(s.deferredSubmissions, abandon)
	for _, j := range s.jobsByArrival {
		j.nextSubmissions = slices.DeleteFunc(j.nextSubmissions, abandon)
		s.dropCallers(now, j, out, func(c caller) bool { return c.process == process })
	}
}

// dropCallers answers the callers of a job that match, and ends the job if no other is left.
func (s *Scheduler) dropCallers(now time.Time, j *job, out JobOutcome, match func(caller) bool) {
	i := 0
	for _, c := range j.callers {
		if match(c) {
			s.emit(&ReplyOutcome{CallID: c.callID, JobID: j.ID, Outcome: out})
			continue
		}
		j.callers[i] = c
		i++
	}
	dropped := i < len(j.callers)
	j.callers = j.callers[:i]
	if dropped && i == 0 {
		s.closeJob(now, j)
	}
}

// cancel withdraws a submission. It ends the job unless others wait for it.
func (s *Scheduler) cancel(now time.Time, ev *JobCancelRequested) {
	out := JobOutcome{Kind: OutcomeAbandoned, Reason: ReasonCanceled}
	withdraw := func(sub *JobSubmitted) bool {
		if sub.Job.ID != ev.JobID || !sub.caller().withdrawnBy(ev) {
			return false
		}
		s.emit(&ReplyOutcome{CallID: sub.CallID, JobID: ev.JobID, Outcome: out})
		return true
	}
	s.deferredSubmissions = slices.DeleteFunc(s.deferredSubmissions, withdraw)
	j := s.jobs[ev.JobID]
	if j == nil {
		return
	}
	j.nextSubmissions = slices.DeleteFunc(j.nextSubmissions, withdraw)
	if j.closing {
		return
	}
	if slices.ContainsFunc(j.callers, func(c caller) bool { return !c.withdrawnBy(ev) }) {
		s.emit(&LogDecision{Message: "withdrawn, others wait", JobID: j.ID, Age: now.Sub(j.knownSince)})
		s.dropCallers(now, j, out, func(c caller) bool { return c.withdrawnBy(ev) })
		return
	}
	s.emit(&LogDecision{Message: "canceled", JobID: j.ID, Age: now.Sub(j.knownSince)})
	s.refuseOrAbandon(now, j, ReasonCanceled)
}
