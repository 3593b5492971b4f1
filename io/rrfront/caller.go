package rrfront

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
	"rattanring/io/rrlog"
	"rattanring/io/rrwire"
)

// caller implements rrwire.Caller.
type caller struct {
	*Front
}

// Submit checks and runs one job. Every outcome is an Answer.
func (c caller) Submit(ctx context.Context, m *rrwire.Job) (*rrwire.Answer, error) {
	start := c.Now()
	answer := c.submit(ctx, m, start)
	c.Metrics.CountAnswer(answer.Code)
	c.log(m, answer, c.Now().Sub(start))
	return rrwire.FromAnswer(answer), nil
}

func (c caller) submit(ctx context.Context, m *rrwire.Job, now time.Time) rrtask.Answer {
	if r := c.Limits.checkJob(m); r.code != 0 {
		return rrtask.Answer{RequestID: m.GetId(), Code: r.code, Detail: r.detail}
	}
	job, err := rrwire.ToJob(m, now)
	if err != nil {
		return rrtask.Answer{RequestID: m.GetId(), Code: rrcode.BadRequest, Detail: err.Error()}
	}
	answer := c.whole(job, c.Backend.Submit(ctx, job))
	c.Metrics.ObserveResponse(job.Tenant, job.Class, c.Now().Sub(now))
	return answer
}

// whole returns a if it is complete or failed, and otherwise an answer that says
// that the outcome is lost.
func (c caller) whole(job rrtask.Job, a rrtask.Answer) rrtask.Answer {
	what := partial(job, a)
	if what == "" {
		return a
	}
	c.Metrics.AddViolations("whole-answer", 1)
	c.Violation("whole-answer", what)
	return rrtask.Answer{RequestID: job.ID, Code: rrcode.OutcomeLost, Detail: what, Coordinator: a.Coordinator}
}

// partial says what is wrong with a as the answer of job. It is empty for an
// answer that is either complete or failed.
func partial(job rrtask.Job, a rrtask.Answer) string {
	switch {
	case a.RequestID != job.ID:
		return "the answer is for another request"
	case a.Code == 0:
		return "the answer has no outcome"
	case a.Code != rrcode.Complete && len(a.Results) > 0:
		return "a failed answer has results"
	case a.Code == rrcode.Complete && len(a.Results) != len(job.Tasks):
		return "a complete answer lacks results"
	}
	for i, r := range a.Results {
		if r.Index != i || r.Code != rrcode.Complete {
			return "a complete answer has results out of order or of failed tasks"
		}
	}
	return ""
}

func (c caller) log(m *rrwire.Job, a rrtask.Answer, took time.Duration) {
	logger := rrlog.WithRequestID(c.Logger, printable(m.GetId()))
	leveled := level.Debug(logger)
	if a.Code != rrcode.Complete {
		leveled = level.Info(logger)
	}
	leveled.Log("msg", "answered", "tenant", printable(m.GetTenant()), "class", printable(m.GetClass()),
		"tasks", len(m.GetTasks()), "code", uint32(a.Code), "outcome", a.Code, "took", took, "detail", a.Detail)
}

// printable cuts a name that was not checked.
func printable(s string) string {
	const most = 80 // bytes
	return s[:min(len(s), most)]
}

// Cancel drops the unstarted tasks of jobs.
func (c caller) Cancel(ctx context.Context, m *rrwire.Names) (*rrwire.Count, error) {
	if r := checkNames(m); r.code != 0 {
		return nil, protocolError(r)
	}
	jobs, tasks := c.Backend.Cancel(ctx, m.GetTenant(), m.GetIds())
	level.Info(c.Logger).Log("msg", "canceled", "tenant", m.GetTenant(), "ids", len(m.GetIds()), "jobs", jobs, "tasks", tasks)
	return &rrwire.Count{Jobs: uint32(jobs), Tasks: uint32(tasks)}, nil
}
