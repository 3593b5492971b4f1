// Package rrfront serves callers and operators: it validates their requests, converts them
// to domain types and passes them to a Backend.
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

// Backend serves the validated requests. All methods are safe for concurrent use.
type Backend interface {
	// Submit runs job and returns when it is complete or has failed. If ctx ends, the
	// caller has disconnected and the answer is dropped.
	Submit(ctx context.Context, job rrtask.Job) rrtask.Answer

	// Cancel drops the unstarted tasks of the tenant's jobs. It returns how many of the
	// jobs it knew and how many tasks it dropped.
	Cancel(ctx context.Context, tenant string, ids []string) (jobs, tasks int)

	// Config returns the active configuration.
	Config() rrconf.Config

	// Apply replaces the configuration if cfg.Version is still the active version. It
	// returns the outcome, a detail and the configuration that is active afterwards.
	Apply(ctx context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config)

	// Status returns the fleet as this entry sees it.
	Status(ctx context.Context) rrstatus.Status

	// Explain returns the history of a job, and whether the entry knows the job.
	Explain(ctx context.Context, id string) (rrstatus.History, bool)
}

// Frontend serves one entry. Backend is required; the zero value of every other field works.
// The fields must not be changed after the call of Handler.
type Frontend struct {
	Backend     Backend
	Limits      Limits
	Logger      log.Logger                 // nil logs nothing
	Metrics     *rrmetric.Metrics          // nil discards the metrics
	Ready       func() bool                // reports whether the entry accepts new jobs; nil means always
	OnViolation func(name, problem string) // called when an answer violates an invariant; nil means that it is only counted
	Pprof       bool                       // serve /debug/pprof
	Now         func() time.Time           // nil means time.Now

	submissions inFlight
	others      inFlight // all other requests
}

// Handler returns the HTTP handler for callers, operators and probes.
func (f *Frontend) Handler() http.Handler {
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

func (f *Frontend) setDefaults() {
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

func (f *Frontend) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}

func (f *Frontend) serveMetrics(w http.ResponseWriter, _ *http.Request) {
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

// Limits on the connections of a server.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server for h. It sets no timeout for a whole request, since a job may
// take minutes; Frontend limits how long a request body may take to arrive.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
