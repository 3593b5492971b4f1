package rrpool

import (
	"slices"
	"time"
)

// abort ends a job at a caller's wish, and says where it stands then. A job that has ended
// stays as it is.
func (p *Pool) abort(now time.Time, ev *Abort) {
	p.abortParked(now, ev.Job)
	if j := p.jobs[ev.Job]; j != nil {
		p.abortNext(now, j)
		if !j.closing {
			p.finish(now, j, Outcome{Kind: Aborted, Reason: Canceled})
		}
	}
	p.emit(&Report{Token: ev.Token, Standing: p.standing(ev.Job)})
}

// abortParked answers hand-ins that came before the minions were listed.
func (p *Pool) abortParked(now time.Time, id string) {
	p.parked = slices.DeleteFunc(p.parked, func(ev *Submit) bool {
		if ev.Job.ID != id {
			return false
		}
		p.abortUntaken(now, ev)
		return true
	})
}

// abortNext answers a hand-in that waits for the runs of a closing job with its ID.
func (p *Pool) abortNext(now time.Time, j *job) {
	if j.next != nil {
		p.abortUntaken(now, j.next)
		j.next = nil
	}
}

// abortUntaken answers a hand-in of which nothing was decided yet, and the next ones of
// the job.
func (p *Pool) abortUntaken(now time.Time, ev *Submit) {
	out := Outcome{Kind: Aborted, Reason: Canceled}
	p.emit(&Reply{Token: ev.Token, Job: ev.Job.ID, Outcome: out})
	p.ended[ev.Job.ID] = finished{outcome: out, print: fingerprint(&ev.Job), at: now}
}

// standing says where a job stands.
func (p *Pool) standing(id string) Standing {
	if j := p.jobs[id]; j != nil && !j.closing {
		return Standing{Known: true, Begun: j.touched}
	}
	if f, ok := p.ended[id]; ok {
		return Standing{Known: true, Kind: f.outcome.Kind}
	}
	waits := func(ev *Submit) bool { return ev.Job.ID == id }
	if j := p.jobs[id]; j != nil && j.next != nil || slices.ContainsFunc(p.parked, waits) {
		return Standing{Known: true}
	}
	return Standing{}
}
