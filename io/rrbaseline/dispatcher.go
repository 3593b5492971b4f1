// Package rrbaseline holds simple dispatchers that the lab measures the product
// against: random with retry, power of two choices with retry, and fixed shares.
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

// Bounds of the wait after a refusal.
const (
	firstBackoff = 5 * time.Millisecond
	lastBackoff  = 200 * time.Millisecond
)

// Counts are the sends of a dispatcher.
type Counts struct {
	Starts  uint64 // sends, resends included
	Refused uint64 // sends that a minion refused
	Resends uint64 // sends of a task that an earlier send did not start
}

// Sender sends tasks to minions and counts them.
type Sender struct {
	Client *rrminion.Client

	starts, refused, resends atomic.Uint64
}

// Counts returns the sends so far.
func (s *Sender) Counts() Counts {
	return Counts{s.starts.Load(), s.refused.Load(), s.resends.Load()}
}

func (s *Sender) send(ctx context.Context, addr string, job *rrwire.Job, task *rrwire.Task, again bool) rrtask.Result {
	s.starts.Add(1)
	if again {
		s.resends.Add(1)
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

// Retry sends each task at once to a minion of its choice and again after a
// refusal, with exponential backoff, until the deadline of its job.
type Retry struct {
	Sender
	Addrs   []string // all minions
	Choices int      // 1 takes a random minion, 2 the less busy of two

	mu   sync.Mutex
	rnd  *rand.Rand
	busy []int // own tasks on each minion
}

// NewRetry returns a dispatcher over the minions at addrs.
func NewRetry(c *rrminion.Client, addrs []string, choices int, seed uint64) *Retry {
	r := &Retry{Addrs: addrs, Choices: choices}
	r.Client = c
	r.rnd = rand.New(rand.NewPCG(seed, 2))
	r.busy = make([]int, len(addrs))
	return r
}

// Submit runs the job and answers when all of its tasks have ended.
func (r *Retry) Submit(ctx context.Context, job *rrwire.Job) (*rrwire.Answer, error) {
	deadline, cancel := context.WithTimeout(ctx, time.Duration(job.Patience)*time.Millisecond)
	defer cancel()
	results := make([]rrtask.Result, len(job.Tasks))
	var wg sync.WaitGroup
	for i, task := range job.Tasks {
		wg.Go(func() { results[i] = r.run(ctx, deadline, job, task) })
	}
	wg.Wait()
	return answer(job, results), nil
}

// run sends one task until it ran; nothing is sent after the deadline.
func (r *Retry) run(ctx, deadline context.Context, job *rrwire.Job, task *rrwire.Task) rrtask.Result {
	backoff := firstBackoff
	for again := false; ; again = true {
		m := r.take()
		res := r.send(ctx, r.Addrs[m], job, task, again)
		r.give(m)
		if res.Code.Class() != rrcode.ClassNotRun {
			return res
		}
		select {
		case <-deadline.Done():
			return rrtask.Result{Code: rrcode.DeadlinePassed}
		case <-time.After(r.jitter(backoff)):
		}
		backoff = min(2*backoff, lastBackoff)
	}
}

// take picks a minion and counts a task on it.
func (r *Retry) take() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.rnd.IntN(len(r.Addrs))
	for range r.Choices - 1 {
		if k := r.rnd.IntN(len(r.Addrs)); r.busy[k] < r.busy[m] {
			m = k
		}
	}
	r.busy[m]++
	return m
}

func (r *Retry) give(m int) {
	r.mu.Lock()
	r.busy[m]--
	r.mu.Unlock()
}

// jitter returns a wait between half of d and d.
func (r *Retry) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.rnd.Int64N(int64(d/2)))
}

// answer makes the answer to a job from the results of all its tasks. Tasks that
// did not run beside tasks that did make the whole job one that may have run.
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
