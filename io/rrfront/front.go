// Package rrfront serves callers and operators: it checks what comes from
// outside, maps it to the domain and hands it to a Backend.
package rrfront

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
	"rattanring/io/rrmetric"
	"rattanring/io/rrwire"
)

// Backend is what serves the checked requests. All methods are safe for
// concurrent use.
type Backend interface {
	// Submit runs job and returns when it is complete or has failed. When ctx ends,
	// the caller is gone and the answer is dropped.
	Submit(ctx context.Context, job rrtask.Job) rrtask.Answer

	// Cancel drops the unstarted tasks of the tenant's jobs, and returns how many
	// jobs it knew and tasks it dropped.
	Cancel(ctx context.Context, tenant string, ids []string) (jobs, tasks int)

	// Config returns the configuration in force.
	Config() rrconf.Config

	// Apply replaces the configuration if cfg.Version is still the one in force. It
	// returns the outcome, a detail and the configuration in force afterwards.
	Apply(ctx context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config)

	// Status returns the fleet as this entry sees it.
	Status(ctx context.Context) rrstatus.Status

	// Explain returns what was decided for a job, and whether the entry knows it.
	Explain(ctx context.Context, id string) (rrstatus.History, bool)
}

// Front serves one entry. Backend is required; the zero value of every other
// field works. A Front must not be changed after Handler.
type Front struct {
	Backend     Backend
	Limits      Limits
	Logger      log.Logger              // nil logs nothing
	Metrics     *rrmetric.Metrics       // nil measures nothing
	Ready       func() bool             // whether new jobs are taken; nil means always
	OnViolation func(name, what string) // called when an answer breaks an invariant; nil only counts it
	Pprof       bool                    // serve /debug/pprof
	Now         func() time.Time        // nil means time.Now

	submissions inFlight // submissions
	others      inFlight // everything else
}

// Handler returns the handler of all paths that callers, operators and probes use.
func (f *Front) Handler() http.Handler {
	f.setDefaults()
	mux := http.NewServeMux()
	mux.Handle(rrwire.CallerPathPrefix, f.limitRequests(rrwire.NewCallerServer(callerServer{f})))
	mux.Handle(rrwire.OperatorPathPrefix, f.limitRequests(rrwire.NewOperatorServer(operatorServer{f})))
	mux.HandleFunc("GET /healthz", serveHealthz)
	mux.HandleFunc("GET /readyz", f.serveReadyz)
	mux.HandleFunc("GET /metrics", f.serveMetrics)
	if f.Pprof {
		handlePprof(mux)
	}
	return mux
}

func (f *Front) setDefaults() {
	f.Limits = f.Limits.withDefaults()
	if f.Logger == nil {
		f.Logger = log.NewNopLogger()
	}
	if f.Metrics == nil {
		f.Metrics = new(rrmetric.Metrics)
	}
	if f.Ready == nil {
		f.Ready = func() bool { return true }
	}
	if f.OnViolation == nil {
		f.OnViolation = func(string, string) {}
	}
	if f.Now == nil {
		f.Now = time.Now
	}
}

func serveHealthz(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

func (f *Front) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}

func (f *Front) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	f.Metrics.Write(w)
}

func handlePprof(mux *http.ServeMux) {
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

// Limits of the connections of a Server.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server for h. It has no timeout for a whole request, since
// a job may take minutes; Front bounds the time in which a body arrives.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
