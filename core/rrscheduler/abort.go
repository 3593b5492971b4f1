package rrscheduler

import (
	"slices"
	"time"
)

// abort ends a job at a caller's request and replies with the job's status. It does not change a job
// that has already ended.
func (s *Scheduler) abort(now time.Time, ev *JobAbortRequested) {
	s.abortDeferred(now, ev.JobID)
	if j := s.jobs[ev.JobID]; j != nil {
		s.abortNextSubmissions(now, j)
		if !j.closing {
			s.finish(now, j, JobOutcome{Kind: OutcomeAborted, Reason: ReasonCanceled})
		}
	}
	s.emit(&ReplyJobStatus{CallID: ev.CallID, Status: s.jobStatus(ev.JobID)})
}

// abortDeferred aborts submissions that arrived before the minions were listed.
func (s *Scheduler) abortDeferred(now time.Time, id string) {
	s.deferredSubmissions = slices.DeleteFunc(s.deferredSubmissions, func(ev *JobSubmitted) bool {
		if ev.Job.ID != id {
			return false
		}
		s.replyAborted(now, ev)
		return true
	})
}

// abortNextSubmissions aborts the submissions that wait until the runs of a closing job with the same ID
// have ended.
func (s *Scheduler) abortNextSubmissions(now time.Time, j *job) {
	for _, ev := range j.nextSubmissions {
		s.replyAborted(now, ev)
	}
	j.nextSubmissions = nil
}

// replyAborted answers a submission that has not been decided on, and remembers the outcome for
// repeated submissions of the job.
func (s *Scheduler) replyAborted(now time.Time, ev *JobSubmitted) {
	out := JobOutcome{Kind: OutcomeAborted, Reason: ReasonCanceled}
	s.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: out})
	s.finishedJobs[ev.Job.ID] = finishedJob{outcome: out, bodyHash: hashBody(&ev.Job), at: now}
}

func (s *Scheduler) jobStatus(id string) JobStatus {
	if j := s.jobs[id]; j != nil && !j.closing {
		return JobStatus{Known: true, MayHaveStarted: j.mayHaveStarted}
	}
	if f, ok := s.finishedJobs[id]; ok {
		return JobStatus{Known: true, Outcome: f.outcome.Kind}
	}
	if j := s.jobs[id]; j != nil && len(j.nextSubmissions) > 0 || s.isDeferred(id) {
		return JobStatus{Known: true}
	}
	return JobStatus{}
}

// isDeferred reports whether a job was submitted before the minions were listed.
func (s *Scheduler) isDeferred(id string) bool {
	return slices.ContainsFunc(s.deferredSubmissions, func(ev *JobSubmitted) bool { return ev.Job.ID == id })
}
