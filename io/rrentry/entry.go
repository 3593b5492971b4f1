// Package rrentry runs one entry: the decision core on one goroutine, a
// goroutine for each duty around it, and the servers for callers, operators and
// peers.
package rrentry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrnode"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
	"rattanring/io/rrmetric"
	"rattanring/io/rrminion"
	"rattanring/io/rrpeer"
	"rattanring/io/rrsettings"
	"rattanring/io/rrstore"
)

// errLapsed says that a send was decided on too long ago.
var errLapsed = errors.New("the keepership has lapsed")

// Entry is one running entry. Create it with newEntry.
type Entry struct {
	set     rrsettings.Settings
	self    rrtask.Entry
	logger  log.Logger
	metrics *rrmetric.Metrics
	minions *rrminion.Client
	peers   *rrpeer.Client
	store   *rrstore.Client // nil when the settings name none
	cfg     atomic.Pointer[rrconf.Config]
	storeOK atomic.Bool
	roster  roster
	node    *rrnode.Node // used by the core's goroutine only
	ring    chan item

	callers calls[rrtask.Answer]
	runs    calls[rrnode.RunBatchResponse]
	takes   calls[rrnode.RecallResponse]
	drops   calls[rrnode.CancelBatchesResponse]
	beats   calls[rrnode.HeartbeatResponse]
	cancels calls[rrnode.CancelJobsResponse]
	changes calls[rrconf.ChangeResult]

	isReady  atomic.Bool
	work     sync.WaitGroup // effects in flight
	workCtx  context.Context
	stopWork context.CancelFunc
	stopped  chan struct{} // closed when the core has ended

	shown      [8]uint64 // totals that the metrics show; used by the core's goroutine only
	shownBytes uint64
	sharers    int // entries that share the store's rates; the same
}

// newEntry returns an entry that listens on ln and does nothing yet.
func newEntry(set rrsettings.Settings, ln net.Listener, logger log.Logger) *Entry {
	now := time.Now()
	e := &Entry{
		set:     set,
		logger:  logger,
		metrics: &rrmetric.Metrics{MaxLabelPairs: set.MaxMetricClasses},
		minions: &rrminion.Client{Conns: set.DefaultConns},
		peers:   &rrpeer.Client{},
		ring:    make(chan item, ringSize),
		stopped: make(chan struct{}),
	}
	e.minions.Guard = guard
	if set.StoreURL != "" {
		e.store = &rrstore.Client{Base: set.StoreURL, Budget: &rrstore.Budget{}}
		e.budget(1 + len(set.Peers))
	}
	e.self = rrtask.Entry{Name: set.Name, Addr: set.Advertise, Zone: set.Zone, Region: set.Region}
	if e.self.Addr == "" {
		e.self.Addr = ln.Addr().String()
	}
	life := uint64(now.UnixNano())
	e.node = rrnode.New(now, rrnode.Options{Self: e.self, Incarnation: life, Seed: life})
	e.workCtx, e.stopWork = context.WithCancel(context.Background())
	return e
}

// Submit implements rrfront.Backend.
func (e *Entry) Submit(ctx context.Context, job rrtask.Job) rrtask.Answer {
	id, ch := e.callers.open()
	defer e.callers.drop(id)
	token := rrcoord.CallerID(id)
	select {
	case e.ring <- item{ev: &rrnode.SubmitJob{Caller: token, Job: job}}:
	default:
		return e.full(job)
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		e.report(&rrnode.CallerDisconnected{Caller: token, ID: job.ID})
	case <-e.stopped:
	}
	return rrtask.Answer{RequestID: job.ID, Code: rrcode.CoordinatorLost, Detail: rrcode.CoordinatorLost.Description(), Coordinator: e.self.Name}
}

// full refuses a job that the ring has no room for. Whether an earlier submission
// of a non-idempotent job ran is not known here, so a retry must not hear "not run".
func (e *Entry) full(job rrtask.Job) rrtask.Answer {
	code := rrcode.Overloaded
	if job.NonIdempotent && job.IsRetry {
		code = rrcode.DuplicateUnchecked
	}
	return rrtask.Answer{RequestID: job.ID, Code: code, Detail: code.Description(), RetryAfter: time.Second, Coordinator: e.self.Name}
}

// Status implements rrfront.Backend. It is zero when the entry has stopped.
func (e *Entry) Status(ctx context.Context) rrstatus.Status {
	var s rrstatus.Status
	_ = e.ask(ctx, func(now time.Time, n *rrnode.Node) { s = n.Status(now) })
	return s
}

// Explain implements rrfront.Backend.
func (e *Entry) Explain(ctx context.Context, id string) (rrstatus.History, bool) {
	var h rrstatus.History
	var ok bool
	_ = e.ask(ctx, func(_ time.Time, n *rrnode.Node) {
		h, ok = n.Explain(id)
		h.Events = append([]rrstatus.Event(nil), h.Events...)
	})
	return h, ok
}
