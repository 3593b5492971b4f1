// Package rrintake receives requests of callers that the process does not control. It bounds their
// connections, the memory that their bodies and jobs hold, the time for a body and for a response, and the
// processor time that bodies in many pieces take.
package rrintake

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrbudget"
	"rattanring/io/rrmetric"
)

// Limits are the limits on all callers of one port. A field that is zero sets no limit.
type Limits struct {
	BodyBytes   int64         // that bodies being received and the jobs of unanswered requests hold together
	BodyTime    time.Duration // for the whole body of a request
	BodyIdle    time.Duration // between two pieces of a body
	WriteTime   time.Duration // for each write of a response
	Connections int           // open at a time
	Backlog     int           // connections of each listener that wait to be accepted
	Readers     int           // connections that are processed at a time which sent a large body or several requests at once
}

// Intake applies the limits of one port. Create it with New. A nil Intake sets no limits.
type Intake struct {
	// DecodedBytes estimates how many bytes a body of n bytes takes while it is decoded, in addition to the
	// body. Nil means none. It must not be set after the first request.
	DecodedBytes func(n int64) int64

	limits   atomic.Pointer[Limits]
	readers  readers
	report   report
	lastConn atomic.Uint64
	refusing atomic.Int32 // connections that are told that they are closed

	mu        sync.Mutex
	budget    *rrbudget.Budget
	lastID    rrbudget.ID
	requests  map[rrbudget.ID]*Body
	conns     map[*conn]struct{}
	victims   []victim // connections to close next, as they were at the last search
	unread    int      // connections that the last search spared because their requests are not read
	listeners []*listener
}

// New returns an Intake for the named port. The name is in its metrics and log lines.
func New(port string, limits Limits, logger log.Logger, metrics *rrmetric.Metrics) *Intake {
	in := &Intake{
		budget:   rrbudget.New(limits.BodyBytes),
		requests: make(map[rrbudget.ID]*Body),
		conns:    make(map[*conn]struct{}),
		report:   report{port: port, logger: logger, metrics: metrics, kinds: make(map[string]*reported)},
	}
	in.readers.init(limits.Readers)
	in.limits.Store(&limits)
	in.registerMetrics(port, metrics)
	return in
}

// Limits returns the limits in force.
func (in *Intake) Limits() Limits { return *in.limits.Load() }

// SetLimits replaces the limits. It closes no connection: if there are more than the new limit, each new
// connection replaces two. Requests being received may be refused if they hold more than the new limit.
func (in *Intake) SetLimits(limits Limits) {
	in.limits.Store(&limits)
	in.readers.setLimit(limits.Readers)
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, l := range in.listeners {
		l.setBacklog(limits.Backlog)
	}
	in.apply(in.budget.SetLimit(time.Now(), limits.BodyBytes))
}

// apply wakes the granted and the stopped requests, and interrupts the reads of the latter. The caller holds
// in.mu.
func (in *Intake) apply(e rrbudget.Effects) {
	for _, id := range e.Granted {
		if b := in.requests[id]; b != nil {
			b.granted = true
			b.signal()
		}
	}
	for _, id := range e.Stopped {
		if b := in.requests[id]; b != nil {
			b.stopped = true
			b.signal()
			b.conn.interrupt()
		}
	}
}

func (in *Intake) registerMetrics(port string, m *rrmetric.Metrics) {
	gauge := func(name string, f func() float64) {
		m.RegisterGauge(name+`{port="`+port+`"}`, f)
	}
	locked := func(f func() float64) func() float64 {
		return func() float64 {
			in.mu.Lock()
			defer in.mu.Unlock()
			return f()
		}
	}
	gauge("intake_body_bytes", locked(func() float64 { return float64(in.budget.Used()) }))
	gauge("intake_body_bytes_limit", func() float64 { return float64(in.Limits().BodyBytes) })
	gauge("intake_connections", locked(func() float64 { return float64(len(in.conns)) }))
	gauge("intake_connections_limit", func() float64 { return float64(in.Limits().Connections) })
	gauge("intake_backlog", locked(func() float64 {
		n := 0
		for _, l := range in.listeners {
			n += l.backlog()
		}
		return float64(n)
	}))
	gauge("intake_backlog_limit", locked(func() float64 { return float64(in.Limits().Backlog * len(in.listeners)) }))
	gauge("intake_readers", func() float64 { return float64(in.readers.inUse()) })
	gauge("intake_readers_waiting", func() float64 { return float64(in.readers.waitingCount()) })
	gauge("intake_readers_limit", func() float64 { return float64(in.Limits().Readers) })
	gauge("intake_body_seconds_limit", func() float64 { return in.Limits().BodyTime.Seconds() })
	gauge("intake_body_idle_seconds_limit", func() float64 { return in.Limits().BodyIdle.Seconds() })
	gauge("intake_write_seconds_limit", func() float64 { return in.Limits().WriteTime.Seconds() })
}

// Handler returns a handler that protects the connection of a request that next serves from being closed
// in favor of another one, except until ReadBody has read its body. It sets the time limit for the body. It does
// not call next on a connection that was closed before. A request that its client sent before it had the response to
// the one before is served in a reader slot, until next calls Release or the methods of Body do.
func (in *Intake) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c.sendsAtOnce() {
			if !c.enter(phaseTurn) || !c.acquireSlot() {
				panic(http.ErrAbortHandler) // the client was told that the connection is closed
			}
			defer c.releaseSlot()
		}
		p := phaseServing
		if r.ContentLength != 0 {
			p = phaseBody
			c.setBodyDeadline()
		}
		if !c.enter(p) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r) // the server writes the end of the response later, and then reports the connection idle
	})
}

// Release gives up the reader slot of a request, if it has one. A handler calls it before it waits for anything but
// the body.
func Release(ctx context.Context) {
	connOf(ctx).releaseSlot()
}
