package rrhost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protowire"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/io/rrconn"
	"rattanring/io/rrdial"
	"rattanring/io/rrwire"
)

// peerClients calls other hosts.
type peerClients struct {
	http    *http.Client
	clients sync.Map // address → rrwire.Keeper
}

func newPeerClients() *peerClients {
	return &peerClients{http: &http.Client{Transport: &headerFilter{rrdial.NewTransport(0)}}}
}

// headerFilter removes request headers that hosts do not read. They make up a sixth of the
// bytes of hundreds of small calls a second.
type headerFilter struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *headerFilter) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header["User-Agent"] = nil // the transport fills in an absent one
	return t.next.RoundTrip(r)
}

func (p *peerClients) client(addr string) rrwire.Keeper {
	if c, ok := p.clients.Load(addr); ok {
		return c.(rrwire.Keeper)
	}
	c, _ := p.clients.LoadOrStore(addr, rrwire.NewKeeperProtobufClient("http://"+addr, p.http))
	return c.(rrwire.Keeper)
}

// submit submits a job to the owner of a shard and returns its outcome. The stamp is older than the check for the
// job's caller if the process is frozen in between.
func (p *peerClients) submit(ctx context.Context, shard string, owner rrelection.Owner, job rrscheduler.Job, clocks *peerClocks) (rrscheduler.JobOutcome, error) {
	wireJob := toWireJob(job, time.Now())
	wireJob.Seat, wireJob.Holder = shard, toWireShard(shard, owner)
	wireJob.Sent = clocks.stamp(owner.Addr, owner.Incarnation)
	if !rrconn.Open(ctx) {
		return rrscheduler.JobOutcome{Kind: rrscheduler.OutcomeStale}, nil
	}
	outcome, err := p.client(owner.Addr).Hand(ctx, wireJob)
	if err != nil {
		return rrscheduler.JobOutcome{}, err
	}
	if outcome.GetKind() == uint32(rrscheduler.OutcomeStale) {
		clocks.observe(owner.Addr, owner.Incarnation, outcome.GetClock())
	}
	return rrscheduler.JobOutcome{
		Kind:            rrscheduler.OutcomeKind(outcome.GetKind()),
		Reason:          rrscheduler.Reason(outcome.GetReason()),
		RetryAfter:      microseconds(outcome.GetAfter()),
		Shard:           outcome.GetSeat(),
		MayHaveRuns:     outcome.GetAgain(),
		RunMinionsKnown: outcome.GetTold(),
		RunMinions:      outcome.GetWhere(),
	}, nil
}

func (p *peerClients) withdraw(ctx context.Context, addr string, w *rrwire.Withdrawal) error {
	_, err := p.client(addr).Withdraw(ctx, w)
	return err
}

// fetchState returns the fleet's state as a peer knows it.
func (p *peerClients) fetchState(ctx context.Context, addr string) (*rrwire.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return p.client(addr).Sheet(ctx, &rrwire.Empty{})
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func toWireJob(job rrscheduler.Job, now time.Time) *rrwire.Order {
	wireJob := &rrwire.Order{
		Id: job.ID, Queue: job.Queue, Service: job.Service, Spec: job.Spec,
		Attempts: uint32(job.MaxAttempts), Stretch: job.TargetSlowdown, Latency: job.TargetLatency.Microseconds(),
		Age: now.Sub(job.ReceivedAt).Microseconds(), Left: job.Deadline.Sub(now).Microseconds(),
		Again: job.MayHaveRuns, Bound: job.NoForward, Priority: uint32(job.Priority), Caller: job.CallerProcess,
		Told: job.RunMinionsKnown, Where: job.RunMinions, Submission: job.Submission,
	}
	for i := range job.Phases {
		wireJob.Phases = append(wireJob.Phases, toWirePhase(&job.Phases[i]))
	}
	return wireJob
}

func toWirePhase(ph *rrscheduler.Phase) *rrwire.Phase {
	w := &rrwire.Phase{
		Count: uint32(ph.TaskCount), Cores: ph.Resources.MilliCores, Memory: ph.Resources.MemoryBytes, Accels: ph.Resources.Accelerators,
		Expect: ph.DeclaredRunTime.Microseconds(), Label: ph.RequiredLabel, Rack: ph.DataRack, Spread: uint32(ph.MaxPerMinion),
	}
	for _, a := range ph.DependsOn {
		w.After = append(w.After, uint32(a))
	}
	return w
}

func fromWireJob(wireJob *rrwire.Order, now time.Time) rrscheduler.Job {
	job := rrscheduler.Job{
		ID: wireJob.GetId(), Queue: wireJob.GetQueue(), Service: wireJob.GetService(), Spec: wireJob.GetSpec(),
		MaxAttempts: int(wireJob.GetAttempts()), TargetSlowdown: wireJob.GetStretch(), TargetLatency: microseconds(wireJob.GetLatency()),
		ReceivedAt: now.Add(-microseconds(wireJob.GetAge())), Deadline: now.Add(microseconds(wireJob.GetLeft())),
		MayHaveRuns: wireJob.GetAgain(), NoForward: wireJob.GetBound(), Priority: int(wireJob.GetPriority()), CallerProcess: wireJob.GetCaller(),
		RunMinionsKnown: wireJob.GetTold(), RunMinions: wireJob.GetWhere(), Submission: wireJob.GetSubmission(),
	}
	for _, ph := range wireJob.GetPhases() {
		job.Phases = append(job.Phases, fromWirePhase(ph))
	}
	return job
}

func fromWirePhase(w *rrwire.Phase) rrscheduler.Phase {
	ph := rrscheduler.Phase{
		TaskCount:       int(w.GetCount()),
		Resources:       rrtask.Resources{MilliCores: w.GetCores(), MemoryBytes: w.GetMemory(), Accelerators: w.GetAccels()},
		DeclaredRunTime: microseconds(w.GetExpect()), RequiredLabel: w.GetLabel(), DataRack: w.GetRack(), MaxPerMinion: int(w.GetSpread()),
	}
	for _, a := range w.GetAfter() {
		ph.DependsOn = append(ph.DependsOn, int(a))
	}
	return ph
}

// peerServer implements rrwire.Keeper, the calls of other hosts.
type peerServer struct {
	h *Host
}

// maxFields is the number of fields of a call of another host. An order has at most 4,096 phases, and the
// minions that may run tasks of it.
const maxFields = 16 << 10

// TooManyFields reports whether the encoded call of another host has more than maxFields fields. It is meant to
// run before the call is decoded: an empty phase has two bytes, and far more when it is decoded.
func TooManyFields(body []byte) bool {
	for n := 0; len(body) > 0; n++ {
		_, _, size := protowire.ConsumeField(body)
		if size < 0 {
			return false // the decoder reports the error
		}
		if n >= maxFields {
			return true
		}
		body = body[size:]
	}
	return false
}

// PeerHandler returns the handler of the calls of other hosts.
func (h *Host) PeerHandler() http.Handler {
	calls := rrwire.NewKeeperServer(&peerServer{h})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // hosts do not read it
		calls.ServeHTTP(w, r)
	})
}

// Hand implements rrwire.Keeper. It submits a job to a local executor. If the order may have been on its way for
// so long that the calling host would count as lost, it asks that host to send the order again.
func (s *peerServer) Hand(ctx context.Context, o *rrwire.Order) (*rrwire.Ending, error) {
	age, known := messageAge(o.GetSent())
	s.h.mu.Lock()
	ex := s.h.executors[o.GetSeat()]
	if ex == nil {
		// The calling process may know before this process does that this process owns the shard.
		s.h.updateOwner(o.GetSeat(), fromWireShard(o.GetHolder()))
		ex = s.h.executors[o.GetSeat()]
	}
	if !known || age > s.h.callerProcessTimeout() {
		s.h.mu.Unlock()
		level.Info(s.h.Logger).Log("msg", "stale order", "id", o.GetId(), "host", o.GetCaller(), "age", age, "known", known)
		return &rrwire.Ending{Kind: uint32(rrscheduler.OutcomeStale), Clock: clockReading()}, nil
	}
	c := s.h.addCallerProcessJob(o.GetCaller(), age)
	s.h.mu.Unlock()
	defer s.h.removeCallerProcessJob(o.GetCaller(), c)
	if ex == nil {
		return &rrwire.Ending{Kind: uint32(rrscheduler.OutcomeOwnerChanged)}, nil
	}
	if !rrconn.Open(ctx) { // this process may have been frozen since the call arrived
		level.Info(s.h.Logger).Log("msg", "calling host gone", "id", o.GetId(), "host", o.GetCaller())
		return nil, twirp.NewError(twirp.Canceled, "the caller has gone")
	}
	out := ex.Submit(ctx, fromWireJob(o, time.Now()))
	if ctx.Err() != nil {
		return nil, twirp.NewError(twirp.Canceled, "the caller has gone")
	}
	return &rrwire.Ending{
		Kind: uint32(out.Kind), Reason: string(out.Reason), After: out.RetryAfter.Microseconds(), Seat: out.Shard,
		Again: out.MayHaveRuns, Told: out.RunMinionsKnown, Where: out.RunMinions,
	}, nil
}

// Withdraw implements rrwire.Keeper. It withdraws a submission from the local executors.
func (s *peerServer) Withdraw(_ context.Context, w *rrwire.Withdrawal) (*rrwire.Empty, error) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	for _, ex := range s.h.executors {
		ex.Post(&rrscheduler.JobCancelRequested{JobID: w.GetId(), CallerProcess: w.GetCaller(), Submission: w.GetSubmission()})
	}
	return &rrwire.Empty{}, nil
}

// Pulse implements rrwire.Keeper. It answers a heartbeat.
func (s *peerServer) Pulse(ctx context.Context, ping *rrwire.Ping) (*rrwire.Pong, error) {
	return s.h.answerHeartbeat(ping), nil
}

// Follow implements rrwire.Keeper. It records the owner of a shard. A draining process refuses to become the
// owner without the store: it may have stopped looking for successors, and the calling owner has others to try.
func (s *peerServer) Follow(ctx context.Context, shard *rrwire.Seat) (*rrwire.Empty, error) {
	h := s.h
	h.mu.Lock()
	defer h.mu.Unlock()
	if owner := fromWireShard(shard); h.draining.Load() && owner.Name == h.Self.Name && owner.Epoch > 0 {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this process drains")
	}
	h.updateOwner(shard.GetName(), fromWireShard(shard))
	return &rrwire.Empty{}, nil
}

// Sheet implements rrwire.Keeper. It returns the fleet's state.
func (s *peerServer) Sheet(context.Context, *rrwire.Empty) (*rrwire.Page, error) {
	return s.h.state(), nil
}
