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

// callerServer implements rrwire.Caller.
type callerServer struct {
	*Frontend
}

// Submit validates and runs one job. It reports every outcome as an Answer, not an error.
func (c callerServer) Submit(ctx context.Context, m *rrwire.Job) (*rrwire.Answer, error) {
	start := c.Now()
	answer := c.submit(ctx, m, start)
	c.Metrics.CountAnswer(answer.Code)
	c.logAnswer(m, answer, c.Now().Sub(start))
	return rrwire.FromAnswer(answer), nil
}

func (c callerServer) submit(ctx context.Context, m *rrwire.Job, now time.Time) rrtask.Answer {
	if r := c.Limits.checkJob(m); r.code != 0 {
		return rrtask.Answer{RequestID: m.GetId(), Code: r.code, Detail: r.detail}
	}
	job, err := rrwire.ToJob(m, now)
	if err != nil {
		return rrtask.Answer{RequestID: m.GetId(), Code: rrcode.BadRequest, Detail: err.Error()}
	}
	answer := c.checkAnswer(job, c.Backend.Submit(ctx, job))
	c.Metrics.ObserveResponse(job.Tenant, job.Class, c.Now().Sub(now))
	return answer
}

// checkAnswer returns a if it is a consistent answer to job, and otherwise an answer with
// the code rrcode.OutcomeLost.
func (c callerServer) checkAnswer(job rrtask.Job, a rrtask.Answer) rrtask.Answer {
	problem := answerProblem(job, a)
	if problem == "" {
		return a
	}
	c.Metrics.AddViolations("whole-answer", 1)
	c.OnViolation("whole-answer", problem)
	return rrtask.Answer{RequestID: job.ID, Code: rrcode.OutcomeLost, Detail: problem, Coordinator: a.Coordinator}
}

// answerProblem describes why a is not a consistent answer to job. It is empty if a is
// either complete, with the result of every task, or failed, without results.
func answerProblem(job rrtask.Job, a rrtask.Answer) string {
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

func (c callerServer) logAnswer(m *rrwire.Job, a rrtask.Answer, elapsed time.Duration) {
	logger := rrlog.WithRequestID(c.Logger, truncate(m.GetId()))
	leveled := level.Debug(logger)
	if a.Code != rrcode.Complete {
		leveled = level.Info(logger)
	}
	leveled.Log("msg", "answered", "tenant", truncate(m.GetTenant()), "class", truncate(m.GetClass()),
		"tasks", len(m.GetTasks()), "code", uint32(a.Code), "outcome", a.Code, "took", elapsed, "detail", a.Detail)
}

// truncate shortens a name that has not been validated, for the log.
func truncate(s string) string {
	const maxBytes = 80
	return s[:min(len(s), maxBytes)]
}

// Cancel drops the unstarted tasks of a tenant's jobs.
func (c callerServer) Cancel(ctx context.Context, m *rrwire.Names) (*rrwire.Count, error) {
	if r := checkNames(m); r.code != 0 {
		return nil, twirpError(r)
	}
	jobs, tasks := c.Backend.Cancel(ctx, m.GetTenant(), m.GetIds())
	level.Info(c.Logger).Log("msg", "canceled", "tenant", m.GetTenant(), "ids", len(m.GetIds()), "jobs", jobs, "tasks", tasks)
	return &rrwire.Count{Jobs: uint32(jobs), Tasks: uint32(tasks)}, nil
}
