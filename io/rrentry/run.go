package rrentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/thejerf/suture/v4"

	"rattanring/core/rrinvariant"
	"rattanring/core/rrnode"
	"rattanring/io/rrfront"
	"rattanring/io/rrintake"
	"rattanring/io/rrpeer"
	"rattanring/io/rrsettings"
	"rattanring/io/rrwire"
)

const (
	idleCheckInterval = 20 * time.Millisecond  // between two checks whether a draining entry is idle
	minIdleTime       = 300 * time.Millisecond // idle time before a draining entry stops; peers may repeat a call within it
	minDrainTime      = time.Second            // minimum time that a draining entry refuses jobs, so that the load balancer notices
)

// Run runs an entry until ctx ends, and then drains it: the entry refuses new jobs,
// hands its minions over to other entries, and stops when nothing is in flight or the
// drain timeout has passed. The error is nil if no request was cut off.
func Run(ctx context.Context, settings rrsettings.Settings, logger log.Logger) error {
	logViolations(logger)
	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	return Serve(ctx, settings, ln, logger)
}

// logViolations logs each violation of an invariant in this process.
func logViolations(logger log.Logger) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) {
		level.Error(logger).Log("msg", "broken invariant", "invariant", v.Name(), "times", v.Violations())
	})
}

// Serve is Run on a listener that is already open.
func Serve(ctx context.Context, settings rrsettings.Settings, ln net.Listener, logger log.Logger) error {
	e := newEntry(settings, ln, log.With(logger, "entry", settings.Name))
	intake := rrintake.New("entry", rrintake.Limits{Connections: settings.MaxConns}, e.logger, e.metrics)
	server := rrfront.NewServer(intake.Handler(rrintake.ProtectReadBodies(e.handler())))
	server.ConnContext, server.ConnState = rrintake.Context, rrintake.ConnState
	limited, err := intake.Listen(ln)
	if err != nil {
		return err
	}
	serviceCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	supervisor := e.newSupervisor()
	supervisorDone := supervisor.ServeBackground(serviceCtx)
	go server.Serve(limited)
	level.Info(e.logger).Log("msg", "started", "addr", ln.Addr(), "zone", settings.Zone)

	<-ctx.Done()
	// A peer that sends a request on a connection that is being closed can't tell whether
	// the request arrived. Idle connections are therefore closed well before Shutdown.
	server.SetKeepAlivesEnabled(false)
	err = e.drain(settings.DrainTimeout)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	err = errors.Join(err, server.Shutdown(shutdownCtx))
	close(e.stopped)
	e.cancelEffects()
	stopServices()
	<-supervisorDone
	level.Info(e.logger).Log("msg", "stopped", "cut", err != nil)
	return err
}

// newSupervisor returns the supervisor of the services, which restarts failed ones.
func (e *Entry) newSupervisor() *suture.Supervisor {
	supervisor := suture.New("entry", suture.Spec{EventHook: e.logServiceEvent})
	supervisor.Add(&coreService{e: e})
	if e.settings.InstanceListURL != "" {
		supervisor.Add(&instanceListService{e: e})
	}
	if e.store != nil {
		supervisor.Add(&configService{e: e})
		supervisor.Add(&rosterService{e: e})
	}
	return supervisor
}

func (e *Entry) logServiceEvent(ev suture.Event) {
	level.Error(e.logger).Log("msg", "duty", "event", ev)
}

// handler returns the HTTP handler for callers, operators, probes and peers.
func (e *Entry) handler() http.Handler {
	frontend := &rrfront.Frontend{
		Backend: e,
		Logger:  e.logger,
		Metrics: e.metrics,
		Ready:   e.acceptsJobs,
		Pprof:   e.settings.Pprof,
		Limits: rrfront.Limits{
			MaxTasks:            e.settings.MaxTasks,
			MaxBodyBytes:        e.settings.MaxBodyBytes,
			MaxInFlightBytes:    e.settings.MaxInFlightBytes,
			MaxInFlightRequests: e.settings.MaxInFlightJobs,
			MaxTimeout:          e.settings.MaxTimeout,
		},
	}
	mux := http.NewServeMux()
	mux.Handle(rrwire.PeerPathPrefix, &rrpeer.Relay{
		Next:   rrwire.NewPeerServer(&rrpeer.Server{Backend: e}),
		Known:  e.roster.knowsAddr,
		Logger: e.logger,
	})
	mux.Handle("/", frontend.Handler())
	return mux
}

// acceptsJobs reports whether the entry accepts new jobs.
func (e *Entry) acceptsJobs() bool {
	return e.isReady.Load()
}

// drain starts draining the entry and waits until nothing is in flight, or until limit
// has passed.
func (e *Entry) drain(limit time.Duration) error {
	level.Info(e.logger).Log("msg", "leaving", "limit", limit)
	startedAt := time.Now()
	e.report(&rrnode.Drain{})
	lastBusy := startedAt
	for time.Since(startedAt) < limit {
		if !e.idle() {
			lastBusy = time.Now()
		}
		if time.Since(startedAt) > minDrainTime && time.Since(lastBusy) > minIdleTime {
			return nil
		}
		time.Sleep(idleCheckInterval)
	}
	return merry.Errorf("requests were in flight after %s", limit)
}

// idle reports whether no job, batch or dispatch is in flight.
func (e *Entry) idle() bool {
	idle := false
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.query(ctx, func(now time.Time, n *rrnode.Node) { idle = n.Drained(now) })
	return idle
}
