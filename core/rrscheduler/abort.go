package rrscheduler

import (
	"slices"
	"time"
)

// abort ends a job at a caller's wish, and says where it stands then. A job that has ended
// stays as it is.
func (p *Scheduler) abort(now time.Time, ev *JobAbortRequested) {
	p.abortParked(now, ev.JobID)
	if j := p.jobs[ev.JobID]; j != nil {
		p.abortNext(now, j)
		if !j.closing {
			p.finish(now, j, JobOutcome{Kind: OutcomeAborted, Reason: ReasonCanceled})
		}
	}
	p.emit(&ReplyJobStatus{CallID: ev.CallID, Status: p.standing(ev.JobID)})
}

// abortParked answers hand-ins that came before the minions were listed.
func (p *Scheduler) abortParked(now time.Time, id string) {
	p.parked = slices.DeleteFunc(p.parked, func(ev *JobSubmitted) bool {
		if ev.Job.ID != id {
			return false
		}
		p.abortUntaken(now, ev)
		return true
	})
}

// abortNext answers a hand-in that waits for the runs of a closing job with its ID.
func (p *Scheduler) abortNext(now time.Time, j *job) {
	if j.next != nil {
		p.abortUntaken(now, j.next)
		j.next = nil
	}
}

// abortUntaken answers a hand-in of which nothing was decided yet, and the next ones of
// the job.
func (p *Scheduler) abortUntaken(now time.Time, ev *JobSubmitted) {
	out := JobOutcome{Kind: OutcomeAborted, Reason: ReasonCanceled}
	p.emit(&ReplyOutcome{CallID: ev.CallID, JobID: ev.Job.ID, Outcome: out})
	p.ended[ev.Job.ID] = finished{outcome: out, print: fingerprint(&ev.Job), at: now}
}

// standing says where a job stands.
func (p *Scheduler) standing(id string) JobStatus {
	if j := p.jobs[id]; j != nil && !j.closing {
		return JobStatus{Known: true, MayHaveStarted: j.touched}
	}
	if f, ok := p.ended[id]; ok {
		return JobStatus{Known: true, Outcome: f.outcome.Kind}
	}
	waits := func(ev *JobSubmitted) bool { return ev.Job.ID == id }
	if j := p.jobs[id]; j != nil && j.next != nil || slices.ContainsFunc(p.parked, waits) {
		return JobStatus{Known: true}
	}
	return JobStatus{}
}
