// Package rrload submits jobs in an open loop and summarizes the ratio of their
// response times to the ideal, the refusals and the cost in messages.
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

// answerGrace is how long after a job's deadline its answer is still awaited.
const answerGrace = 15 * time.Second

// Submitter takes a job and answers when the job has ended, as a rrwire.Caller does.
type Submitter interface {
	Submit(context.Context, *rrwire.Job) (*rrwire.Answer, error)
}

// Load submits jobs to the entries in turn, as a load balancer would.
type Load struct {
	Entries []Submitter
	Service string
	Jobs    []rrworkload.Job // in order of arrival
}

// Sample is the outcome of one job.
type Sample struct {
	ID            string
	Job           *rrworkload.Job
	ResponseTime  time.Duration // time from the submission to the answer
	Code          rrcode.Code   // zero if the entry gave no answer
	Detail        string
	AnsweredAfter time.Duration // time from the start of the load to the answer
	ResultCount   int           // number of results in the answer
}

// Run submits each job at its arrival time. It returns the samples when each submitted
// job has been answered, has failed or has timed out. It submits no more jobs once ctx
// ends.
func (l *Load) Run(ctx context.Context) []Sample {
	samples := make([]Sample, len(l.Jobs))
	started := time.Now()
	var wg sync.WaitGroup
	for i := range l.Jobs {
		job := &l.Jobs[i]
		if !sleepUntil(ctx, started.Add(job.Arrival)) {
			samples = samples[:i]
			break
		}
		to := l.Entries[i%len(l.Entries)]
		wg.Go(func() { samples[i] = l.submit(ctx, to, job, started) })
	}
	wg.Wait()
	return samples
}

// sleepUntil waits until t. It reports false if ctx ends before.
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

func (l *Load) submit(ctx context.Context, to Submitter, job *rrworkload.Job, started time.Time) Sample {
	ctx, cancel := context.WithTimeout(ctx, job.Timeout+answerGrace)
	defer cancel()
	req := l.request(job)
	at := time.Now()
	answer, err := to.Submit(ctx, req)
	s := Sample{ID: req.Id, Job: job, ResponseTime: time.Since(at), AnsweredAfter: time.Since(started)}
	if err != nil {
		s.Detail = err.Error()
		return s
	}
	s.Code = rrcode.Code(answer.Code)
	s.Detail = answer.Detail
	s.ResultCount = len(answer.Results)
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
			Body:   rrstand.Work{RunTime: t.RunTime}.Marshal(),
			Expect: uint32(t.DeclaredRunTime.Milliseconds()),
		}
	}
	return req
}
