package rrpeer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
	"rattanring/io/rrwire"
)

// Backend serves the calls of peers. Each method blocks until the answer is ready or ctx
// ends.
type Backend interface {
	RunBatch(ctx context.Context, ev rrnode.RunBatchRequest) (rrnode.RunBatchResponse, error)
	Recall(ctx context.Context, ev rrnode.RecallRequest) (rrnode.RecallResponse, error)
	CancelBatches(ctx context.Context, ev rrnode.CancelBatchesRequest) (rrnode.CancelBatchesResponse, error)
	Heartbeat(ctx context.Context, members []rrmembership.Member) ([]rrmembership.Member, error)
	Attach(ctx context.Context, id, tenant string) (rrtask.Answer, error)
	LatestConfig(ctx context.Context) (*rrwire.Document, error)
}

// MaxBatchTasks limits the tasks of one batch.
const MaxBatchTasks = 100_000

// Server implements rrwire.Peer.
type Server struct {
	Backend Backend
}

// Run implements rrwire.Peer.
func (s *Server) Run(ctx context.Context, m *rrwire.Batch) (*rrwire.Progress, error) {
	if len(m.GetTasks()) > MaxBatchTasks {
		return &rrwire.Progress{Code: uint32(rrcode.TooLarge)}, nil
	}
	r, err := s.Backend.RunBatch(ctx, rrnode.RunBatchRequest{
		Incarnation: m.GetLife(),
		Batch:       rrwire.ToBatch(m, time.Now()),
		Received:    toIndexes(m.GetHave()),
		Load:        rrwire.ToLoad(m.GetLoad()),
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rrwire.Progress{
		Code:     uint32(r.Code),
		Results:  rrwire.FromResults(r.Results),
		Returned: fromIndexes(r.Returned),
		More:     r.More,
		Life:     r.Incarnation,
		Load:     rrwire.FromLoad(r.Load),
	}, nil
}

// Take implements rrwire.Peer.
func (s *Server) Take(ctx context.Context, m *rrwire.Recall) (*rrwire.Progress, error) {
	r, err := s.Backend.Recall(ctx, rrnode.RecallRequest{Incarnation: m.GetLife(), Key: batchKeyOf(m), MaxTasks: int(m.GetMost())})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rrwire.Progress{
		Code:     uint32(r.Code),
		Returned: fromIndexes(r.Returned),
		Life:     r.Incarnation,
		Load:     rrwire.FromLoad(r.Load),
	}, nil
}

// Drop implements rrwire.Peer. All batches of one message address the same incarnation.
func (s *Server) Drop(ctx context.Context, m *rrwire.Recalls) (*rrwire.Count, error) {
	ev := rrnode.CancelBatchesRequest{Keys: make([]rrdispatcher.BatchKey, 0, len(m.GetRecalls()))}
	for _, r := range m.GetRecalls() {
		ev.Incarnation = r.GetLife()
		ev.Keys = append(ev.Keys, batchKeyOf(r))
	}
	r, err := s.Backend.CancelBatches(ctx, ev)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rrwire.Count{Tasks: uint32(r.Tasks)}, nil
}

// Beat implements rrwire.Peer.
func (s *Server) Beat(ctx context.Context, m *rrwire.Table) (*rrwire.Table, error) {
	members, err := s.Backend.Heartbeat(ctx, toMembers(m.GetMembers()))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &rrwire.Table{Members: fromMembers(members)}, nil
}

// Join implements rrwire.Peer. It returns a NotFound error if the job does not run here.
func (s *Server) Join(ctx context.Context, m *rrwire.Name) (*rrwire.Answer, error) {
	a, err := s.Backend.Attach(ctx, m.GetId(), m.GetTenant())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if a.Code == rrcode.NotFound {
		return nil, twirp.NotFoundError("no such job runs here")
	}
	return rrwire.FromAnswer(a), nil
}

// Latest implements rrwire.Peer.
func (s *Server) Latest(ctx context.Context, _ *rrwire.Empty) (*rrwire.Document, error) {
	d, err := s.Backend.LatestConfig(ctx)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return d, nil
}
