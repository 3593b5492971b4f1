// Package rrload submits jobs in an open loop and sums up how long their answers
// took against the ideal, what was refused and what messages it cost.
package rrload

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrworkload"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

// answerGrace is how long after its deadline a job may still be answered.
const answerGrace = 15 * time.Second

// Submitter takes a job and answers when it has ended. A rrwire.Caller is one.
type Submitter interface {
	Submit(context.Context, *rrwire.Job) (*rrwire.Answer, error)
}

// Load submits jobs to entries, one after the other as a balancer would.
type Load struct {
	Entries []Submitter
	Service string
	Jobs    []rrworkload.Job // in order of arrival
}

// Sample is the outcome of one job.
type Sample struct {
	ID       string
	Job      *rrworkload.Job
	Response time.Duration
	Code     rrcode.Code // zero when the entry gave no answer
	Detail   string
	End      time.Duration // when it was answered, from the start of the load
	Results  int           // results in the answer
}

// Run submits all jobs at their time and returns when all have been answered.
func (l *Load) Run(ctx context.Context) []Sample {
	samples := make([]Sample, len(l.Jobs))
	began := time.Now()
	var wg sync.WaitGroup
	for i := range l.Jobs {
		job := &l.Jobs[i]
		if !sleepUntil(ctx, began.Add(job.Arrival)) {
			samples = samples[:i]
			break
		}
		to := l.Entries[i%len(l.Entries)]
		wg.Go(func() { samples[i] = l.submit(ctx, to, job, began) })
	}
	wg.Wait()
	return samples
}

// sleepUntil reports false when ctx ends before t.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (l *Load) submit(ctx context.Context, to Submitter, job *rrworkload.Job, began time.Time) Sample {
	ctx, cancel := context.WithTimeout(ctx, job.Timeout+answerGrace)
	defer cancel()
	req := l.request(job)
	at := time.Now()
	answer, err := to.Submit(ctx, req)
	s := Sample{ID: req.Id, Job: job, Response: time.Since(at), End: time.Since(began)}
	if err != nil {
		s.Detail = err.Error()
		return s
	}
	s.Code = rrcode.Code(answer.Code)
	s.Detail = answer.Detail
	s.Results = len(answer.Results)
	return s
}

func (l *Load) request(job *rrworkload.Job) *rrwire.Job {
	req := &rrwire.Job{
		Id:       uuid.Must(uuid.NewV7()).String(),
		Tenant:   job.Tenant,
		Class:    job.Class,
		Service:  l.Service,
		Patience: uint32(job.Timeout.Milliseconds()),
		Once:     job.NonIdempotent,
		Tasks:    make([]*rrwire.Task, len(job.Tasks)),
	}
	for i, t := range job.Tasks {
		req.Tasks[i] = &rrwire.Task{
			Index:  uint32(i),
			Body:   rrstand.Work{Run: t.Run}.Marshal(),
			Expect: uint32(t.DeclaredRunTime.Milliseconds()),
		}
	}
	return req
}
