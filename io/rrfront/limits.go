package rrfront

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/io/rrflag"
	"rattanring/io/rrwire"
)

// Limits bound what comes from outside. Zero fields stand for the defaults.
type Limits struct {
	Body     int64         // bytes of one request; zero means 8 MiB
	Held     int64         // bytes of all requests in flight; zero means 128 MiB
	Jobs     int           // jobs in flight; zero means 10,000
	Tasks    int           // tasks of one job; zero means 1,700
	Patience time.Duration // from receipt to the deadline; zero means 10 minutes
	Upload   time.Duration // in which a request body must arrive; zero means 10 seconds
}

func (l Limits) withDefaults() Limits {
	return Limits{
		Body:     or(l.Body, 8<<20),
		Held:     or(l.Held, 128<<20),
		Jobs:     or(l.Jobs, 10_000),
		Tasks:    or(l.Tasks, 1700),
		Patience: or(l.Patience, 10*time.Minute),
		Upload:   or(l.Upload, 10*time.Second),
	}
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

const (
	maxNames  = 10_000    // request ids of one Cancel
	maxExpect = time.Hour // declared run time of a task
	maxAuthor = 64        // bytes
)

// refusal is why a request is turned away. The zero value lets it pass.
type refusal struct {
	code   rrcode.Code
	detail string
}

func bad(field string, value any, want string) refusal {
	return refusal{rrcode.BadRequest, fmt.Sprintf("%s: %v is not allowed, want %s", field, value, want)}
}

func checkName(field, s string) refusal {
	if rrflag.IsName(s) {
		return refusal{}
	}
	return bad(field, fmt.Sprintf("%.80q", s), rrflag.NameWant)
}

// checkJob returns why m is refused. It reads a bounded part of m.
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
		return bad("id", m.GetId(), "a version 7 UUID in lower case where once is set")
	}
	patience := time.Duration(m.GetPatience()) * time.Millisecond
	if patience < time.Millisecond || patience > l.Patience {
		return bad("patience", patience, fmt.Sprintf("1ms to %s", l.Patience))
	}
	return l.checkTasks(m.GetTasks())
}

// isClaimID reports whether s is a version 7 UUID in the one spelling that names
// a claim: two spellings of one id would make two claims.
func isClaimID(s string) bool {
	id, err := uuid.Parse(s)
	return err == nil && id.Version() == 7 && id.String() == s
}

func (l Limits) checkTasks(tasks []*rrwire.Task) refusal {
	if len(tasks) == 0 {
		return bad("tasks", 0, fmt.Sprintf("1 to %d", l.Tasks))
	}
	if len(tasks) > l.Tasks {
		return refusal{rrcode.TooLarge, fmt.Sprintf("tasks: %d, want 1 to %d", len(tasks), l.Tasks)}
	}
	for i, t := range tasks {
		expect := time.Duration(t.GetExpect()) * time.Millisecond
		if expect > maxExpect {
			return bad(fmt.Sprintf("tasks[%d].expect", i), expect, fmt.Sprintf("0s to %s", maxExpect))
		}
	}
	return refusal{}
}

func checkNames(m *rrwire.Names) refusal {
	if r := checkName("tenant", m.GetTenant()); r.code != 0 {
		return r
	}
	if n := len(m.GetIds()); n == 0 || n > maxNames {
		return bad("ids", n, fmt.Sprintf("1 to %d", maxNames))
	}
	for i, id := range m.GetIds() {
		if r := checkName(fmt.Sprintf("ids[%d]", i), id); r.code != 0 {
			return r
		}
	}
	return refusal{}
}
