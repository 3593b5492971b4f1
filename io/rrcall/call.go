// Package rrcall is the client of callers and operators: it picks entries and
// retries what is known not to have run.
package rrcall

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

// Client talks to the entries of a fleet. Entries is required; the zero value of
// every other field works. All methods are safe for concurrent use.
type Client struct {
	Entries    []string          // HOST:PORT; calls start at the first one
	HTTP       rrwire.HTTPClient // nil means http.DefaultClient
	MaxRetries int               // further tries of one job; zero means none
	Grace      time.Duration     // past the deadline, until an entry counts as lost; zero means 5 seconds
	OnRetry    func(Attempt)     // called before each retry; nil means nothing

	sleepFunc func(ctx context.Context, d time.Duration) // nil means wait
}

// Attempt is one submission that did not end the job.
type Attempt struct {
	Entry string
	Code  rrcode.Code
	Err   error // what broke; nil when the entry answered
	Wait  time.Duration
}

const (
	defaultGrace   = 5 * time.Second
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

func (c *Client) http() rrwire.HTTPClient {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// Submit sends job to the first entry, and to the next one after an outcome that
// another entry may better, or a connection that broke. All tries carry the same
// request id. Every outcome is an Answer; one of the class not run means that no
// try started a task.
func (c *Client) Submit(ctx context.Context, job rrtask.Job) rrtask.Answer {
	var uncertain *rrtask.Answer // the first try that may have run
	for n := 0; ; n++ {
		entry := c.Entries[n%len(c.Entries)]
		a, err := c.submit(ctx, entry, job)
		if a.Code.Class() == rrcode.ClassMayHaveRun && uncertain == nil {
			uncertain = &a
		}
		wait := backoff(n, a.RetryAfter)
		if n >= c.MaxRetries || !retryable(a.Code, job.NonIdempotent) || time.Now().Add(wait).After(job.Deadline) || ctx.Err() != nil {
			return resolveAnswer(a, uncertain)
		}
		if c.OnRetry != nil {
			c.OnRetry(Attempt{Entry: entry, Code: a.Code, Err: err, Wait: wait})
		}
		c.wait(ctx, wait)
		job.IsRetry = job.IsRetry || countsAsRetry(a.Code)
	}
}

// resolveAnswer returns a, unless it says that nothing ran while an earlier try may have.
func resolveAnswer(a rrtask.Answer, uncertain *rrtask.Answer) rrtask.Answer {
	if uncertain != nil && a.Code.Class() == rrcode.ClassNotRun {
		uncertain.Detail += "; a retry was refused: " + a.Code.String()
		return *uncertain
	}
	return a
}

// retryable reports whether another entry may do better. A job that may have run
// is sent again only when its connection broke: an idempotent one may run twice,
// and the claim of any other tells the second entry of the first try.
func retryable(c rrcode.Code, nonIdempotent bool) bool {
	switch c {
	case rrcode.Draining, rrcode.Overloaded, rrcode.NoMinions, rrcode.Unreachable, rrcode.ConnectionLost:
		return true
	case rrcode.DuplicateUnchecked:
		return nonIdempotent
	}
	return false
}

// countsAsRetry reports whether the next try counts as a retry. One after an entry that
// is leaving or out of reach does not: it had no part in the work, and a planned
// stop must not use up the share of retries.
func countsAsRetry(c rrcode.Code) bool {
	return c != rrcode.Draining && c != rrcode.Unreachable
}

// backoff returns the wait before try n+1: what the entry asked for, or twice as
// long with every try, and half of it at random.
func backoff(n int, after time.Duration) time.Duration {
	d := min(initialBackoff<<min(n, 10), maxBackoff)
	d = d/2 + rand.N(d/2)
	if after > 0 {
		return after + d/2
	}
	return d
}

func (c *Client) wait(ctx context.Context, d time.Duration) {
	if c.sleepFunc != nil {
		c.sleepFunc(ctx, d)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// submit sends job once. The answer has a code even when err says what broke.
func (c *Client) submit(ctx context.Context, entry string, job rrtask.Job) (rrtask.Answer, error) {
	grace := c.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline.Add(grace))
	defer cancel()
	m, err := c.caller(entry).Submit(ctx, rrwire.FromJob(job, time.Now()))
	if err == nil {
		return rrwire.ToAnswer(m), nil
	}
	a := rrtask.Answer{RequestID: job.ID, Code: failureCode(err), Detail: err.Error()}
	return a, merry.Prependf(err, "entry %s", entry)
}

// failureCode returns the code of a call that ended without an answer. Only a failure
// to connect shows that no byte of the request was written.
func failureCode(err error) rrcode.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return rrcode.Unreachable
	}
	return rrcode.ConnectionLost
}

func (c *Client) caller(entry string) rrwire.Caller {
	return rrwire.NewCallerProtobufClient("http://"+entry, c.http())
}

// Cancel drops the unstarted tasks of the tenant's jobs at every entry, since any
// may coordinate them, and returns the sums. It fails only if no entry answers.
func (c *Client) Cancel(ctx context.Context, tenant string, ids []string) (jobs, tasks int, err error) {
	var answered bool
	var errs []error
	for _, entry := range c.Entries {
		n, err := c.caller(entry).Cancel(ctx, &rrwire.Names{Tenant: tenant, Ids: ids})
		if err != nil {
			errs = append(errs, merry.Prependf(err, "entry %s", entry))
			continue
		}
		answered = true
		jobs += int(n.GetJobs())
		tasks += int(n.GetTasks())
	}
	if !answered {
		return 0, 0, errors.Join(errs...)
	}
	return jobs, tasks, nil
}
