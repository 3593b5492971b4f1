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

// errStopped ends calls and queries that wait for the core when the entry stops.
var errStopped = errors.New("the entry has stopped")

// pendingCalls holds the calls that wait for a response from the core. The zero value is
// empty.
type pendingCalls[T any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan T
}

// add registers a call and returns its ID, which is never zero.
func (c *pendingCalls[T]) add() (uint64, chan T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting == nil {
		c.waiting = make(map[uint64]chan T)
	}
	c.lastID++
	ch := make(chan T, 1)
	c.waiting[c.lastID] = ch
	return c.lastID, ch
}

// complete passes the response to the call if it still waits.
func (c *pendingCalls[T]) complete(id uint64, v T) {
	c.mu.Lock()
	ch := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if ch != nil {
		ch <- v
	}
}

// remove removes a call whose sender no longer waits.
func (c *pendingCalls[T]) remove(id uint64) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// call posts the event that newEvent returns for a call ID and waits for the response.
func call[T any](ctx context.Context, e *Entry, pending *pendingCalls[T], newEvent func(id uint64) rrnode.Event) (T, error) {
	var zero T
	id, ch := pending.add()
	defer pending.remove(id)
	if err := e.post(ctx, newEvent(id)); err != nil {
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

// RunBatch implements rrpeer.Backend.
func (e *Entry) RunBatch(ctx context.Context, ev rrnode.RunBatchRequest) (rrnode.RunBatchResponse, error) {
	return call(ctx, e, &e.batchCalls, func(id uint64) rrnode.Event {
		ev.Call = rrnode.CallID(id)
		return &ev
	})
}

// Recall implements rrpeer.Backend.
func (e *Entry) Recall(ctx context.Context, ev rrnode.RecallRequest) (rrnode.RecallResponse, error) {
	return call(ctx, e, &e.recallCalls, func(id uint64) rrnode.Event {
		ev.Call = rrnode.CallID(id)
		return &ev
	})
}

// CancelBatches implements rrpeer.Backend.
func (e *Entry) CancelBatches(ctx context.Context, ev rrnode.CancelBatchesRequest) (rrnode.CancelBatchesResponse, error) {
	return call(ctx, e, &e.cancelBatchCalls, func(id uint64) rrnode.Event {
		ev.Call = rrnode.CallID(id)
		return &ev
	})
}

// Heartbeat implements rrpeer.Backend.
func (e *Entry) Heartbeat(ctx context.Context, members []rrmembership.Member) ([]rrmembership.Member, error) {
	r, err := call(ctx, e, &e.heartbeatCalls, func(id uint64) rrnode.Event {
		return &rrnode.HeartbeatRequest{Call: rrnode.CallID(id), Members: members}
	})
	return r.Members, err
}

// Attach implements rrpeer.Backend. The answer has the code rrcode.NotFound if the job does
// not run on this entry.
func (e *Entry) Attach(ctx context.Context, id, tenant string) (rrtask.Answer, error) {
	return call(ctx, e, &e.callers, func(caller uint64) rrnode.Event {
		return &rrnode.AttachRequest{Caller: rrcoord.CallerID(caller), ID: id, Tenant: tenant}
	})
}

// Cancel implements rrfront.Backend.
func (e *Entry) Cancel(ctx context.Context, tenant string, ids []string) (jobs, tasks int) {
	r, err := call(ctx, e, &e.cancelJobCalls, func(id uint64) rrnode.Event {
		return &rrnode.CancelJobs{Call: rrnode.CallID(id), Tenant: tenant, IDs: ids}
	})
	if err != nil {
		return 0, 0
	}
	return r.Jobs, r.Tasks
}
