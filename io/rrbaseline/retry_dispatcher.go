// Package rrbaseline provides simple dispatchers that the lab compares the product
// with: random choice with retry, power of two choices with retry, and a fixed share
// of the minions for each dispatcher.
package rrbaseline

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
	"rattanring/io/rrminion"
	"rattanring/io/rrwire"
)

// Bounds of the backoff after a dispatch that did not start the task.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Counts are the numbers of dispatches of a dispatcher.
type Counts struct {
	Dispatches   uint64 // including redispatches
	Refused      uint64 // dispatches that a minion refused
	Redispatches uint64 // dispatches of a task after an earlier dispatch that did not start it
}

// CountingDispatcher dispatches tasks to minions and counts the dispatches.
type CountingDispatcher struct {
	Client *rrminion.Client

	dispatches, refused, redispatches atomic.Uint64
}

// Counts returns the numbers of dispatches so far.
func (s *CountingDispatcher) Counts() Counts {
	return Counts{s.dispatches.Load(), s.refused.Load(), s.redispatches.Load()}
}

func (s *CountingDispatcher) dispatch(ctx context.Context, addr string, job *rrwire.Job, task *rrwire.Task, redispatch bool) rrtask.Result {
	s.dispatches.Add(1)
	if redispatch {
		s.redispatches.Add(1)
	}
	fin := s.Client.Run(ctx, rrdispatcher.Dispatch{
		Minion: addr,
		Addr:   addr,
		Job:    job.Id,
		Tenant: job.Tenant,
		Class:  job.Class,
		Task:   &rrtask.Task{Index: int(task.Index), Body: task.Body},
	})
	if fin.Result.Code == rrcode.MinionRefused {
		s.refused.Add(1)
	}
	return fin.Result
}

// RetryDispatcher dispatches each task immediately to the least loaded of Choices
// randomly chosen minions. After a dispatch that did not start the task it dispatches
// the task again, with exponential backoff, until the job's deadline.
type RetryDispatcher struct {
	CountingDispatcher
	Addrs   []string // all minions
	Choices int      // number of minions chosen at random for each dispatch; values below 2 choose one

	mu      sync.Mutex
	random  *rand.Rand
	running []int // tasks of this dispatcher on each minion
}

// NewRetryDispatcher returns a dispatcher that uses the minions at addrs.
func NewRetryDispatcher(c *rrminion.Client, addrs []string, choices int, seed uint64) *RetryDispatcher {
	r := &RetryDispatcher{Addrs: addrs, Choices: choices}
	r.Client = c
	r.random = rand.New(rand.NewPCG(seed, 2))
	r.running = make([]int, len(addrs))
	return r
}

// Submit runs the job and answers when all of its tasks have ended.
func (r *RetryDispatcher) Submit(ctx context.Context, job *rrwire.Job) (*rrwire.Answer, error) {
	deadlineCtx, cancel := context.WithTimeout(ctx, time.Duration(job.Patience)*time.Millisecond)
	defer cancel()
	results := make([]rrtask.Result, len(job.Tasks))
	var wg sync.WaitGroup
	for i, task := range job.Tasks {
		wg.Go(func() { results[i] = r.run(ctx, deadlineCtx, job, task) })
	}
	wg.Wait()
	return answer(job, results), nil
}

// run dispatches one task until it may have run or the deadline passes.
func (r *RetryDispatcher) run(ctx, deadlineCtx context.Context, job *rrwire.Job, task *rrwire.Task) rrtask.Result {
	backoff := minBackoff
	for redispatch := false; ; redispatch = true {
		m := r.chooseMinion()
		res := r.dispatch(ctx, r.Addrs[m], job, task, redispatch)
		r.taskEnded(m)
		if res.Code.Class() != rrcode.ClassNotRun {
			return res
		}
		select {
		case <-deadlineCtx.Done():
			return rrtask.Result{Code: rrcode.DeadlinePassed}
		case <-time.After(r.jitter(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// chooseMinion chooses a minion, counts a task on it and returns its index.
func (r *RetryDispatcher) chooseMinion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.random.IntN(len(r.Addrs))
	for range r.Choices - 1 {
		if k := r.random.IntN(len(r.Addrs)); r.running[k] < r.running[m] {
			m = k
		}
	}
	r.running[m]++
	return m
}

func (r *RetryDispatcher) taskEnded(m int) {
	r.mu.Lock()
	r.running[m]--
	r.mu.Unlock()
}

// jitter returns a random duration between half of d and d.
func (r *RetryDispatcher) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.random.Int64N(int64(d/2)))
}

// answer returns the answer to a job from the results of all its tasks. If some tasks
// ran and others did not, the answer says that the job may have run.
func answer(job *rrwire.Job, results []rrtask.Result) *rrwire.Answer {
	a := &rrwire.Answer{Id: job.Id, Code: uint32(rrcode.Complete), Results: make([]*rrwire.Result, len(results))}
	ran := 0
	for _, res := range results {
		if res.Code.Class() != rrcode.ClassNotRun {
			ran++
		}
	}
	for _, res := range results {
		switch res.Code.Class() {
		case rrcode.ClassComplete:
		case rrcode.ClassNotRun:
			a.Code = uint32(res.Code)
			if ran > 0 {
				a.Code = uint32(rrcode.TimedOut)
			}
			return a
		default:
			a.Code = uint32(res.Code)
			return a
		}
	}
	return a
}
