// Package rrcall is the client library of callers and operators. It chooses the entry to
// call and retries submissions at other entries.
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

// Client calls the entries of a fleet. Entries is required; the zero value of every other
// field works. All methods are safe for concurrent use.
type Client struct {
	Entries    []string          // HOST:PORT; each call tries the first one first
	HTTP       rrwire.HTTPClient // nil means http.DefaultClient
	MaxRetries int               // further attempts per job; zero means none
	Grace      time.Duration     // wait for the answer past the deadline of the job; zero means 5 seconds
	OnRetry    func(Attempt)     // called before each retry; nil means nothing

	sleepFunc func(ctx context.Context, d time.Duration) // replaces the wait between attempts in tests; nil means a timer
}

// Attempt is one submission of a job that will be retried.
type Attempt struct {
	Entry string
	Code  rrcode.Code
	Err   error         // error of the call; nil if the entry answered
	Wait  time.Duration // until the next attempt
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

// Submit sends job to the first entry. If the connection breaks, or another entry may
// answer better, it sends the job to the next entry. All attempts carry the same request
// ID. Submit reports every outcome as an Answer; a code of the class "not run" means that
// no attempt started a task.
func (c *Client) Submit(ctx context.Context, job rrtask.Job) rrtask.Answer {
	var uncertain *rrtask.Answer // answer of the first attempt that may have run
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

// resolveAnswer returns the answer for the caller: a, the answer of the last attempt, or
// uncertain if a says that nothing ran although an earlier attempt may have run.
func resolveAnswer(a rrtask.Answer, uncertain *rrtask.Answer) rrtask.Answer {
	if uncertain != nil && a.Code.Class() == rrcode.ClassNotRun {
		uncertain.Detail += "; a retry was refused: " + a.Code.String()
		return *uncertain
	}
	return a
}

// retryable reports whether another attempt may have a better outcome. A job that may have
// run is sent again only if its connection broke: an idempotent job may run twice, and for
// a non-idempotent one the second entry finds the claim of the first attempt.
func retryable(c rrcode.Code, nonIdempotent bool) bool {
	switch c {
	case rrcode.Draining, rrcode.Overloaded, rrcode.NoMinions, rrcode.ZoneEvacuated, rrcode.Unreachable, rrcode.ConnectionLost:
		return true
	case rrcode.DuplicateUnchecked:
		return nonIdempotent
	}
	return false
}

// countsAsRetry reports whether the attempt after one with code c counts as a retry. After
// a draining or unreachable entry it does not: that entry did not work on the job, and a
// planned stop must not use up the retry budget.
func countsAsRetry(c rrcode.Code) bool {
	return c != rrcode.Draining && c != rrcode.Unreachable
}

// backoff returns the wait after attempt n. It doubles with each attempt, up to maxBackoff,
// and up to half of it is random. If the entry asked for a delay, the wait is that delay
// plus half of the exponential one.
func backoff(n int, retryAfter time.Duration) time.Duration {
	d := min(initialBackoff<<min(n, 10), maxBackoff)
	d = d/2 + rand.N(d/2)
	if retryAfter > 0 {
		return retryAfter + d/2
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

// submit sends job to one entry. The answer has a code even if the call failed with an
// error.
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

// failureCode returns the code of a call that failed without an answer. Only a failed dial
// proves that no byte of the request was written.
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

// Cancel drops the unstarted tasks of the tenant's jobs at every entry, since any entry may
// coordinate them. It returns the sums over all entries, and an error only if no entry
// answers.
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
