package rrhost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"rattanring/core/rrelection"
	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
	"rattanring/io/rrdial"
	"rattanring/io/rrwire"
)

// peers calls other hosts.
type peers struct {
	http    *http.Client
	clients sync.Map // address → rrwire.Keeper
}

func newPeers() *peers {
	return &peers{http: &http.Client{Transport: &lean{rrdial.NewTransport(0)}}}
}

// lean sends requests without the headers that hosts do not read: a sixth of what hundreds
// of small calls a second carry.
type lean struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *lean) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header["User-Agent"] = nil // an absent one is filled in
	return t.next.RoundTrip(r)
}

func (p *peers) at(addr string) rrwire.Keeper {
	if c, ok := p.clients.Load(addr); ok {
		return c.(rrwire.Keeper)
	}
	c, _ := p.clients.LoadOrStore(addr, rrwire.NewKeeperProtobufClient("http://"+addr, p.http))
	return c.(rrwire.Keeper)
}

// hand gives a job to the holder of a seat.
func (p *peers) hand(ctx context.Context, seat string, holder rrelection.Owner, job rrscheduler.Job) (rrscheduler.JobOutcome, error) {
	o := toOrder(job, time.Now())
	o.Seat, o.Holder = seat, toSeat(seat, holder)
	e, err := p.at(holder.Addr).Hand(ctx, o)
	if err != nil {
		return rrscheduler.JobOutcome{}, err
	}
	return rrscheduler.JobOutcome{
		Kind:            rrscheduler.OutcomeKind(e.GetKind()),
		Reason:          rrscheduler.Reason(e.GetReason()),
		RetryAfter:      micros(e.GetAfter()),
		Shard:           e.GetSeat(),
		MayHaveRuns:     e.GetAgain(),
		RunMinionsKnown: e.GetTold(),
		RunMinions:      e.GetWhere(),
	}, nil
}

func (p *peers) withdraw(ctx context.Context, addr, id string) error {
	_, err := p.at(addr).Withdraw(ctx, &rrwire.Name{Id: id})
	return err
}

// sheet returns what a peer knows.
func (p *peers) sheet(ctx context.Context, addr string) (*rrwire.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	return p.at(addr).Sheet(ctx, &rrwire.Empty{})
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func toOrder(job rrscheduler.Job, now time.Time) *rrwire.Order {
	o := &rrwire.Order{
		Id: job.ID, Queue: job.Queue, Service: job.Service, Spec: job.Spec,
		Attempts: uint32(job.MaxAttempts), Stretch: job.TargetSlowdown, Latency: job.TargetLatency.Microseconds(),
		Age: now.Sub(job.ReceivedAt).Microseconds(), Left: job.Deadline.Sub(now).Microseconds(),
		Again: job.MayHaveRuns, Bound: job.NoForward, Priority: uint32(job.Priority), Caller: job.CallerProcess,
		Told: job.RunMinionsKnown, Where: job.RunMinions,
	}
	for i := range job.Phases {
		o.Phases = append(o.Phases, toPhase(&job.Phases[i]))
	}
	return o
}

func toPhase(ph *rrscheduler.Phase) *rrwire.Phase {
	w := &rrwire.Phase{
		Count: uint32(ph.TaskCount), Cores: ph.Resources.MilliCores, Memory: ph.Resources.MemoryBytes, Accels: ph.Resources.Accelerators,
		Expect: ph.DeclaredRunTime.Microseconds(), Label: ph.RequiredLabel, Rack: ph.DataRack, Spread: uint32(ph.MaxPerMinion),
	}
	for _, a := range ph.DependsOn {
		w.After = append(w.After, uint32(a))
	}
	return w
}

func fromOrder(o *rrwire.Order, now time.Time) rrscheduler.Job {
	job := rrscheduler.Job{
		ID: o.GetId(), Queue: o.GetQueue(), Service: o.GetService(), Spec: o.GetSpec(),
		MaxAttempts: int(o.GetAttempts()), TargetSlowdown: o.GetStretch(), TargetLatency: micros(o.GetLatency()),
		ReceivedAt: now.Add(-micros(o.GetAge())), Deadline: now.Add(micros(o.GetLeft())),
		MayHaveRuns: o.GetAgain(), NoForward: o.GetBound(), Priority: int(o.GetPriority()), CallerProcess: o.GetCaller(),
		RunMinionsKnown: o.GetTold(), RunMinions: o.GetWhere(),
	}
	for _, ph := range o.GetPhases() {
		job.Phases = append(job.Phases, fromPhase(ph))
	}
	return job
}

func fromPhase(w *rrwire.Phase) rrscheduler.Phase {
	ph := rrscheduler.Phase{
		TaskCount:       int(w.GetCount()),
		Resources:       rrtask.Resources{MilliCores: w.GetCores(), MemoryBytes: w.GetMemory(), Accelerators: w.GetAccels()},
		DeclaredRunTime: micros(w.GetExpect()), RequiredLabel: w.GetLabel(), DataRack: w.GetRack(), MaxPerMinion: int(w.GetSpread()),
	}
	for _, a := range w.GetAfter() {
		ph.DependsOn = append(ph.DependsOn, int(a))
	}
	return ph
}

// server serves the calls of other hosts.
type server struct {
	h *Host
}

// PeerHandler serves the calls of other hosts.
func (h *Host) PeerHandler() http.Handler {
	calls := rrwire.NewKeeperServer(&server{h})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // hosts do not read it
		calls.ServeHTTP(w, r)
	})
}

// Hand implements rrwire.Keeper.
func (s *server) Hand(ctx context.Context, o *rrwire.Order) (*rrwire.Ending, error) {
	s.h.mu.Lock()
	k := s.h.keepers[o.GetSeat()]
	if k == nil {
		// The caller may know of this process's seat before the process does.
		s.h.hearHolder(o.GetSeat(), fromSeat(o.GetHolder()))
		k = s.h.keepers[o.GetSeat()]
	}
	c := s.h.enter(o.GetCaller())
	s.h.mu.Unlock()
	defer s.h.exit(o.GetCaller(), c)
	if k == nil {
		return &rrwire.Ending{Kind: uint32(rrscheduler.OutcomeOwnerChanged)}, nil
	}
	out := k.Submit(ctx, fromOrder(o, time.Now()))
	if ctx.Err() != nil {
		return nil, twirp.NewError(twirp.Canceled, "the caller has gone")
	}
	return &rrwire.Ending{
		Kind: uint32(out.Kind), Reason: string(out.Reason), After: out.RetryAfter.Microseconds(), Seat: out.Shard,
		Again: out.MayHaveRuns, Told: out.RunMinionsKnown, Where: out.RunMinions,
	}, nil
}

// Withdraw implements rrwire.Keeper.
func (s *server) Withdraw(_ context.Context, n *rrwire.Name) (*rrwire.Empty, error) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	for _, k := range s.h.keepers {
		k.Post(&rrscheduler.JobCancelRequested{JobID: n.GetId()})
	}
	return &rrwire.Empty{}, nil
}

// Pulse implements rrwire.Keeper.
func (s *server) Pulse(ctx context.Context, p *rrwire.Ping) (*rrwire.Pong, error) {
	return s.h.pong(p), nil
}

// Follow implements rrwire.Keeper.
func (s *server) Follow(ctx context.Context, seat *rrwire.Seat) (*rrwire.Empty, error) {
	h := s.h
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hearHolder(seat.GetName(), fromSeat(seat))
	return &rrwire.Empty{}, nil
}

// Sheet implements rrwire.Keeper.
func (s *server) Sheet(context.Context, *rrwire.Empty) (*rrwire.Page, error) {
	return s.h.page(), nil
}
