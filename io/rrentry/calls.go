package rrentry

import (
	"context"
	"errors"
	"sync"

	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
)

// errStopped says that the entry has stopped.
var errStopped = errors.New("the entry has stopped")

// calls holds the requests that wait for a reply of the core. The zero value is
// empty.
type calls[T any] struct {
	mu   sync.Mutex
	next uint64
	wait map[uint64]chan T
}

// open registers a request and returns its number, which is never zero.
func (c *calls[T]) open() (uint64, chan T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait == nil {
		c.wait = make(map[uint64]chan T)
	}
	c.next++
	ch := make(chan T, 1)
	c.wait[c.next] = ch
	return c.next, ch
}

// done hands the reply to a request that still waits.
func (c *calls[T]) done(id uint64, v T) {
	c.mu.Lock()
	ch := c.wait[id]
	delete(c.wait, id)
	c.mu.Unlock()
	if ch != nil {
		ch <- v
	}
}

// drop forgets a request whose sender no longer waits.
func (c *calls[T]) drop(id uint64) {
	c.mu.Lock()
	delete(c.wait, id)
	c.mu.Unlock()
}

// call posts the event that start makes and waits for the reply.
func call[T any](ctx context.Context, e *Entry, c *calls[T], start func(id uint64) rrnode.Event) (T, error) {
	var zero T
	id, ch := c.open()
	defer c.drop(id)
	if err := e.post(ctx, start(id)); err != nil {
		return zero, err
	}
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-e.stopped:
		return zero, errStopped
	}
}

// Run implements rrpeer.Core.
func (e *Entry) Run(ctx context.Context, ev rrnode.RunBatchRequest) (rrnode.RunBatchResponse, error) {
	return call(ctx, e, &e.runs, func(id uint64) rrnode.Event {
		ev.Call = rrnode.CallID(id)
		return &ev
	})
}

// Take implements rrpeer.Core.
func (e *Entry) Take(ctx context.Context, ev rrnode.RecallRequest) (rrnode.RecallResponse, error) {
	return call(ctx, e, &e.takes, func(id uint64) rrnode.Event {
		ev.Call = rrnode.CallID(id)
		return &ev
	})
}

// Drop implements rrpeer.Core.
func (e *Entry) Drop(ctx context.Context, ev rrnode.CancelBatchesRequest) (rrnode.CancelBatchesResponse, error) {
	return call(ctx, e, &e.drops, func(id uint64) rrnode.Event {
		ev.Call = rrnode.CallID(id)
		return &ev
	})
}

// Beat implements rrpeer.Core.
func (e *Entry) Beat(ctx context.Context, members []rrmembership.Member) ([]rrmembership.Member, error) {
	r, err := call(ctx, e, &e.beats, func(id uint64) rrnode.Event {
		return &rrnode.HeartbeatRequest{Call: rrnode.CallID(id), Members: members}
	})
	return r.Members, err
}

// Join implements rrpeer.Core. The code of the answer is rrcode.NotFound when no
// such job runs here.
func (e *Entry) Join(ctx context.Context, id, tenant string) (rrtask.Answer, error) {
	return call(ctx, e, &e.callers, func(n uint64) rrnode.Event {
		return &rrnode.AttachRequest{Caller: rrcoord.CallerID(n), ID: id, Tenant: tenant}
	})
}

// Cancel implements rrfront.Backend.
func (e *Entry) Cancel(ctx context.Context, tenant string, ids []string) (jobs, tasks int) {
	r, err := call(ctx, e, &e.cancels, func(id uint64) rrnode.Event {
		return &rrnode.CancelJobs{Call: rrnode.CallID(id), Tenant: tenant, IDs: ids}
	})
	if err != nil {
		return 0, 0
	}
	return r.Jobs, r.Tasks
}
