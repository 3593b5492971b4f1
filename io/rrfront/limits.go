package rrfront

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/io/rrflag"
	"rattanring/io/rrwire"
)

// Limits are the limits on requests. A zero field means its default. Submissions and other
// requests in flight are counted separately, each up to the limits.
type Limits struct {
	MaxBodyBytes        int64         // body of one submission; zero means 8 MiB
	MaxInFlightBytes    int64         // bodies of requests in flight; zero means 128 MiB
	MaxInFlightRequests int           // requests in flight; zero means 10,000
	MaxTasks            int           // tasks of one job; zero means 1,700
	MaxTimeout          time.Duration // of one job, from its receipt to its deadline; zero means 10 minutes
	UploadTimeout       time.Duration // until the request body must have arrived; zero means 10 seconds
}

func (l Limits) withDefaults() Limits {
	return Limits{
		MaxBodyBytes:        orDefault(l.MaxBodyBytes, 8<<20),
		MaxInFlightBytes:    orDefault(l.MaxInFlightBytes, 128<<20),
		MaxInFlightRequests: orDefault(l.MaxInFlightRequests, 10_000),
		MaxTasks:            orDefault(l.MaxTasks, 1700),
		MaxTimeout:          orDefault(l.MaxTimeout, 10*time.Minute),
		UploadTimeout:       orDefault(l.UploadTimeout, 10*time.Second),
	}
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

const (
	maxCancelIDs   = 10_000    // request IDs of one Cancel
	maxTaskRunTime = time.Hour // declared run time of a task
	maxAuthorBytes = 64        // author of a configuration change
)

// refusal is the reason why a request is refused. The zero value means that it is accepted.
type refusal struct {
	code   rrcode.Code
	detail string
}

func badField(field string, value any, want string) refusal {
	return refusal{rrcode.BadRequest, fmt.Sprintf("%s: %v is not allowed, want %s", field, value, want)}
}

func checkName(field, s string) refusal {
	if rrflag.IsName(s) {
		return refusal{}
	}
	return badField(field, fmt.Sprintf("%.80q", s), rrflag.NameFormat)
}

// checkJob returns the reason to refuse m, if any. Its run time is bounded even for a very
// large m.
func (l Limits) checkJob(m *rrwire.Job) refusal {
	names := []struct{ field, value string }{
		{"id", m.GetId()},
		{"tenant", m.GetTenant()},
		{"class", m.GetClass()},
		{"service", m.GetService()},
	}
	for _, n := range names {
		if r := checkName(n.field, n.value); r.code != 0 {
			return r
		}
	}
	if m.GetOnce() && !isClaimID(m.GetId()) {
		return badField("id", m.GetId(), "a version 7 UUID in lower case where once is set")
	}
	timeout := time.Duration(m.GetPatience()) * time.Millisecond
	if timeout < time.Millisecond || timeout > l.MaxTimeout {
		return badField("patience", timeout, fmt.Sprintf("1ms to %s", l.MaxTimeout))
	}
	return l.checkTasks(m.GetTasks())
}

// isClaimID reports whether s is a version 7 UUID in its canonical spelling. Two spellings
// of one ID would be two different claims.
func isClaimID(s string) bool {
	id, err := uuid.Parse(s)
	return err == nil && id.Version() == 7 && id.String() == s
}

func (l Limits) checkTasks(tasks []*rrwire.Task) refusal {
	if len(tasks) == 0 {
		return badField("tasks", 0, fmt.Sprintf("1 to %d", l.MaxTasks))
	}
	if len(tasks) > l.MaxTasks {
		return refusal{rrcode.TooLarge, fmt.Sprintf("tasks: %d, want 1 to %d", len(tasks), l.MaxTasks)}
	}
	for i, t := range tasks {
		runTime := time.Duration(t.GetExpect()) * time.Millisecond
		if runTime > maxTaskRunTime {
			return badField(fmt.Sprintf("tasks[%d].expect", i), runTime, fmt.Sprintf("0s to %s", maxTaskRunTime))
		}
	}
	return refusal{}
}

func checkNames(m *rrwire.Names) refusal {
	if r := checkName("tenant", m.GetTenant()); r.code != 0 {
		return r
	}
	if n := len(m.GetIds()); n == 0 || n > maxCancelIDs {
		return badField("ids", n, fmt.Sprintf("1 to %d", maxCancelIDs))
	}
	for i, id := range m.GetIds() {
		if r := checkName(fmt.Sprintf("ids[%d]", i), id); r.code != 0 {
			return r
		}
	}
	return refusal{}
}
