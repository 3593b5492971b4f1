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
	"rattanring/io/rrpeer"
	"rattanring/io/rrsettings"
	"rattanring/io/rrwire"
)

const (
	idleCheck  = 20 * time.Millisecond  // between two looks whether a leaving entry is idle
	lastQuiet  = 300 * time.Millisecond // a leaving entry stays idle this long, so that a peer's repeated call is answered
	lastLinger = time.Second            // a leaving entry refuses at least this long, so that the balancer notices
)

// Run runs an entry until ctx ends, and then stops it gracefully: it refuses new
// jobs, hands its keeperships over and ends when nothing is in flight, or after
// the drain limit. The error is nil after a stop in which nothing was cut off.
func Run(ctx context.Context, set rrsettings.Settings, logger log.Logger) error {
	logBroken(logger)
	ln, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	return Serve(ctx, set, ln, logger)
}

// logBroken logs each broken invariant of the program.
func logBroken(logger log.Logger) {
	rrinvariant.SetViolationHandler(func(v *rrinvariant.Invariant) {
		level.Error(logger).Log("msg", "broken invariant", "invariant", v.Name(), "times", v.Violations())
	})
}

// Serve is Run on a listener that is open already.
func Serve(ctx context.Context, set rrsettings.Settings, ln net.Listener, logger log.Logger) error {
	e := newEntry(set, ln, log.With(logger, "entry", set.Name))
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	root := e.supervisor()
	ended := root.ServeBackground(duties)
	server := rrfront.NewServer(e.handler())
	go server.Serve(ln)
	level.Info(e.logger).Log("msg", "started", "addr", ln.Addr(), "zone", set.Zone)

	<-ctx.Done()
	// A peer that writes into a connection as it closes can't know whether the request
	// arrived, so none is kept open for long before the last one closes.
	server.SetKeepAlivesEnabled(false)
	err := e.drain(set.DrainTimeout)
	stop, cancel := context.WithTimeout(context.Background(), set.DrainTimeout)
	defer cancel()
	err = errors.Join(err, server.Shutdown(stop))
	close(e.stopped)
	e.stopWork()
	stopDuties()
	<-ended
	level.Info(e.logger).Log("msg", "stopped", "cut", err != nil)
	return err
}

// supervisor returns the tree of duties, which are restarted when they fail.
func (e *Entry) supervisor() *suture.Supervisor {
	root := suture.New("entry", suture.Spec{EventHook: e.logEvent})
	root.Add(&coreDuty{e: e})
	if e.set.InstanceListURL != "" {
		root.Add(&listDuty{e: e})
	}
	if e.store != nil {
		root.Add(&configDuty{e: e})
		root.Add(&rosterDuty{e: e})
	}
	return root
}

func (e *Entry) logEvent(ev suture.Event) {
	level.Error(e.logger).Log("msg", "duty", "event", ev)
}

// handler returns the handler of everything that the entry serves.
func (e *Entry) handler() http.Handler {
	front := &rrfront.Front{
		Backend: e,
		Logger:  e.logger,
		Metrics: e.metrics,
		Ready:   e.ready,
		Pprof:   e.set.Pprof,
		Limits: rrfront.Limits{
			Tasks:    e.set.MaxTasks,
			Body:     e.set.MaxBodyBytes,
			Held:     e.set.MaxInFlightBytes,
			Jobs:     e.set.MaxInFlightJobs,
			Patience: e.set.MaxTimeout,
		},
	}
	mux := http.NewServeMux()
	mux.Handle(rrwire.PeerPathPrefix, &rrpeer.Relay{
		Next:   rrwire.NewPeerServer(&rrpeer.Server{Core: e}),
		Known:  e.roster.has,
		Logger: e.logger,
	})
	mux.Handle("/", front.Handler())
	return mux
}

// ready reports whether new jobs are taken.
func (e *Entry) ready() bool {
	return e.isReady.Load()
}

// drain makes the entry leave and waits until nothing is in flight, at most for
// limit.
func (e *Entry) drain(limit time.Duration) error {
	level.Info(e.logger).Log("msg", "leaving", "limit", limit)
	begun := time.Now()
	e.report(&rrnode.Drain{})
	quiet := begun
	for time.Since(begun) < limit {
		if !e.idle() {
			quiet = time.Now()
		}
		if time.Since(begun) > lastLinger && time.Since(quiet) > lastQuiet {
			return nil
		}
		time.Sleep(idleCheck)
	}
	return merry.Errorf("requests were in flight after %s", limit)
}

// idle reports whether no job, no batch and no send is in flight.
func (e *Entry) idle() bool {
	idle := false
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.ask(ctx, func(now time.Time, n *rrnode.Node) { idle = n.Drained(now) })
	return idle
}
