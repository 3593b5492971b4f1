package rrbaseline

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
	"rattanring/io/rrminion"
	"rattanring/io/rrwire"
)

// ShareDispatcher dispatches tasks only to minions that it owns, at most one for each
// slot. It serves the job with the least remaining work first.
type ShareDispatcher struct {
	CountingDispatcher

	mu    sync.Mutex
	free  []string // addresses of owned minions, one for each free slot
	queue jobQueue
}

// NewShareDispatcher returns a dispatcher that owns the minions at addrs.
func NewShareDispatcher(c *rrminion.Client, addrs []string, slots int) *ShareDispatcher {
	s := &ShareDispatcher{}
	s.Client = c
	for range slots {
		s.free = append(s.free, addrs...)
	}
	return s
}

// Submit runs the job and answers when all of its tasks have ended.
func (s *ShareDispatcher) Submit(ctx context.Context, job *rrwire.Job) (*rrwire.Answer, error) {
	deadline := time.Now().Add(time.Duration(job.Patience) * time.Millisecond)
	queued := &queuedJob{ctx: ctx, deadline: deadline, job: job, results: make([]rrtask.Result, len(job.Tasks))}
	for _, task := range job.Tasks {
		queued.remainingWork += time.Duration(task.Expect) * time.Millisecond
	}
	queued.wg.Add(len(job.Tasks))
	s.mu.Lock()
	heap.Push(&s.queue, queued)
	s.fillSlots()
	s.mu.Unlock()
	queued.wg.Wait()
	return answer(job, queued.results), nil
}

// fillSlots starts queued tasks on the free slots. A task whose job's deadline has
// passed is not started; its result is DeadlinePassed. The caller holds mu.
func (s *ShareDispatcher) fillSlots() {
	for len(s.free) > 0 && len(s.queue) > 0 {
		queued := s.queue[0]
		i := queued.next
		queued.next++
		queued.remainingWork -= time.Duration(queued.job.Tasks[i].Expect) * time.Millisecond
		if queued.next == len(queued.job.Tasks) {
			heap.Pop(&s.queue)
		} else {
			heap.Fix(&s.queue, 0)
		}
		if time.Now().After(queued.deadline) {
			queued.results[i].Code = rrcode.DeadlinePassed
			queued.wg.Done()
			continue
		}
		last := len(s.free) - 1
		addr := s.free[last]
		s.free = s.free[:last]
		go s.run(queued, i, addr)
	}
}

func (s *ShareDispatcher) run(queued *queuedJob, i int, addr string) {
	queued.results[i] = s.dispatch(queued.ctx, addr, queued.job, queued.job.Tasks[i], false)
	s.mu.Lock()
	s.free = append(s.free, addr)
	s.fillSlots()
	s.mu.Unlock()
	queued.wg.Done()
}

// queuedJob is a job in the queue of a ShareDispatcher.
type queuedJob struct {
	ctx           context.Context
	deadline      time.Time // no task starts after it
	job           *rrwire.Job
	next          int           // index of the next task to start
	remainingWork time.Duration // declared run time of the tasks from next on
	results       []rrtask.Result
	wg            sync.WaitGroup // counts the tasks that have not ended
}

// jobQueue is a heap of jobs with the least remaining work first.
type jobQueue []*queuedJob

func (q jobQueue) Len() int           { return len(q) }
func (q jobQueue) Less(i, k int) bool { return q[i].remainingWork < q[k].remainingWork }
func (q jobQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *jobQueue) Push(x any)        { *q = append(*q, x.(*queuedJob)) }
func (q *jobQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
