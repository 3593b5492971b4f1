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

// Shares starts tasks on minions of its own only, as many as they have slots,
// the job with the least remaining work first.
type Shares struct {
	Sender

	mu    sync.Mutex
	free  []string // addresses of own minions, once per free slot
	queue queue
}

// NewShares returns a dispatcher that owns the minions at addrs.
func NewShares(c *rrminion.Client, addrs []string, slots int) *Shares {
	s := &Shares{}
	s.Client = c
	for range slots {
		s.free = append(s.free, addrs...)
	}
	return s
}

// Submit runs the job and answers when all of its tasks have ended.
func (s *Shares) Submit(ctx context.Context, job *rrwire.Job) (*rrwire.Answer, error) {
	deadline := time.Now().Add(time.Duration(job.Patience) * time.Millisecond)
	b := &batch{ctx: ctx, deadline: deadline, job: job, results: make([]rrtask.Result, len(job.Tasks))}
	for _, task := range job.Tasks {
		b.rest += time.Duration(task.Expect) * time.Millisecond
	}
	b.wg.Add(len(job.Tasks))
	s.mu.Lock()
	heap.Push(&s.queue, b)
	s.start()
	s.mu.Unlock()
	b.wg.Wait()
	return answer(job, b.results), nil
}

// start fills the free slots. The mutex must be held.
func (s *Shares) start() {
	for len(s.free) > 0 && len(s.queue) > 0 {
		b := s.queue[0]
		i := b.next
		b.next++
		b.rest -= time.Duration(b.job.Tasks[i].Expect) * time.Millisecond
		if b.next == len(b.job.Tasks) {
			heap.Pop(&s.queue)
		} else {
			heap.Fix(&s.queue, 0)
		}
		if time.Now().After(b.deadline) {
			b.results[i].Code = rrcode.DeadlinePassed
			b.wg.Done()
			continue
		}
		last := len(s.free) - 1
		addr := s.free[last]
		s.free = s.free[:last]
		go s.run(b, i, addr)
	}
}

func (s *Shares) run(b *batch, i int, addr string) {
	b.results[i] = s.send(b.ctx, addr, b.job, b.job.Tasks[i], false)
	s.mu.Lock()
	s.free = append(s.free, addr)
	s.start()
	s.mu.Unlock()
	b.wg.Done()
}

// batch is a job in the queue of a dispatcher.
type batch struct {
	ctx      context.Context
	deadline time.Time // no task starts later
	job      *rrwire.Job
	next     int           // tasks before it were started
	rest     time.Duration // declared run time of the others
	results  []rrtask.Result
	wg       sync.WaitGroup // tasks that have not ended
}

// queue orders jobs by remaining work.
type queue []*batch

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, k int) bool { return q[i].rest < q[k].rest }
func (q queue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*batch)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
