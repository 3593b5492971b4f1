// Package rrentry runs one entry: the decision core on one goroutine, one goroutine for
// each service around it, and the servers for callers, operators and peers.
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

// errOwnershipExpired refuses a dispatch that was decided more than rrmembership.MaxPause
// ago. Another entry may own the minion.
var errOwnershipExpired = errors.New("the keepership has lapsed")

// Entry is one running entry. Create it with newEntry.
type Entry struct {
	settings       rrsettings.Settings
	self           rrtask.Entry
	logger         log.Logger
	metrics        *rrmetric.Metrics
	minions        *rrminion.Client
	peers          *rrpeer.Client
	store          *rrstore.Client // nil if the settings name no store
	config         atomic.Pointer[rrconf.Config]
	storeReachable atomic.Bool
	roster         roster
	node           *rrnode.Node // used only by the core's goroutine
	requests       chan coreRequest

	callers           pendingCalls[rrtask.Answer]
	batchCalls        pendingCalls[rrnode.RunBatchResponse]
	recallCalls       pendingCalls[rrnode.RecallResponse]
	cancelBatchCalls  pendingCalls[rrnode.CancelBatchesResponse]
	heartbeatCalls    pendingCalls[rrnode.HeartbeatResponse]
	cancelJobCalls    pendingCalls[rrnode.CancelJobsResponse]
	configChangeCalls pendingCalls[rrconf.ChangeResult]

	isReady       atomic.Bool
	effects       sync.WaitGroup // effects in flight
	effectsCtx    context.Context
	cancelEffects context.CancelFunc
	stopped       chan struct{} // closed when the entry has stopped

	publishedTotals       [8]uint64 // message totals already added to the metrics; used only by the core's goroutine
	publishedControlBytes uint64
	budgetedEntries       int // entries among which the store budget is divided; used only by the core's goroutine
}

// newEntry returns an entry for the listener ln. It starts nothing.
func newEntry(settings rrsettings.Settings, ln net.Listener, logger log.Logger) *Entry {
	now := time.Now()
	e := &Entry{
		settings: settings,
		logger:   logger,
		metrics:  &rrmetric.Metrics{MaxLabelPairs: settings.MaxLabelPairs},
		minions:  &rrminion.Client{MaxConns: settings.DefaultConns},
		peers:    &rrpeer.Client{},
		requests: make(chan coreRequest, requestQueueSize),
		stopped:  make(chan struct{}),
	}
	e.minions.Guard = checkDecisionAge
	if settings.StoreURL != "" {
		e.store = &rrstore.Client{BaseURL: settings.StoreURL, Budget: &rrstore.Budget{}}
		e.setStoreBudget(1 + len(settings.Peers))
	}
	e.self = rrtask.Entry{Name: settings.Name, Addr: settings.Advertise, Zone: settings.Zone, Region: settings.Region}
	if e.self.Addr == "" {
		e.self.Addr = ln.Addr().String()
	}
	incarnation := uint64(now.UnixNano())
	e.node = rrnode.New(now, rrnode.Options{Self: e.self, Incarnation: incarnation, Seed: incarnation})
	e.effectsCtx, e.cancelEffects = context.WithCancel(context.Background())
	return e
}

// Submit implements rrfront.Backend.
func (e *Entry) Submit(ctx context.Context, job rrtask.Job) rrtask.Answer {
	id, ch := e.callers.add()
	defer e.callers.remove(id)
	caller := rrcoord.CallerID(id)
	select {
	case e.requests <- coreRequest{event: &rrnode.SubmitJob{Caller: caller, Job: job}}:
	default:
		return e.refuseOverloaded(job)
	}
	select {
	case a := <-ch:
		return a
	case <-ctx.Done():
		e.report(&rrnode.CallerDisconnected{Caller: caller, ID: job.ID})
	case <-e.stopped:
	}
	return rrtask.Answer{RequestID: job.ID, Code: rrcode.CoordinatorLost, Detail: rrcode.CoordinatorLost.Description(), Coordinator: e.self.Name}
}

// refuseOverloaded refuses a job because the queue of the core is full. Whether an earlier
// submission of a non-idempotent job ran is unknown here, so a retry must not be answered
// with a code of the class "not run".
func (e *Entry) refuseOverloaded(job rrtask.Job) rrtask.Answer {
	code := rrcode.Overloaded
	if job.NonIdempotent && job.IsRetry {
		code = rrcode.DuplicateUnchecked
	}
	return rrtask.Answer{RequestID: job.ID, Code: code, Detail: code.Description(), RetryAfter: time.Second, Coordinator: e.self.Name}
}

// Status implements rrfront.Backend. It returns the zero value once the entry has stopped.
func (e *Entry) Status(ctx context.Context) rrstatus.Status {
	var s rrstatus.Status
	_ = e.query(ctx, func(now time.Time, n *rrnode.Node) { s = n.Status(now) })
	return s
}

// Explain implements rrfront.Backend.
func (e *Entry) Explain(ctx context.Context, id string) (rrstatus.History, bool) {
	var h rrstatus.History
	var ok bool
	_ = e.query(ctx, func(_ time.Time, n *rrnode.Node) {
		h, ok = n.Explain(id)
		h.Events = append([]rrstatus.Event(nil), h.Events...)
	})
	return h, ok
}
