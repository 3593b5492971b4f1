// Package rrplatform is a small stand-in for the platform, for tests and the lab. It
// serves a key-value store with the API of etcd v3's JSON gateway, and the instance
// list. Faults are set by Go calls or over HTTP.
package rrplatform

import (
	"net/http"
	"sync"
	"time"

	"rattanring/io/rrendpointslice"
	"rattanring/io/rretcd"
)

// Default rate limits of the key-value service.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// Platform is the stand-in. The zero value works and is safe for concurrent use.
type Platform struct {
	WritesPerSecond int              // rate limit of writes; further writes are refused; zero means DefaultWritesPerSecond
	ReadsPerSecond  int              // rate limit of reads; further reads are refused; zero means DefaultReadsPerSecond
	Now             func() time.Time // clock; nil means time.Now

	mu         sync.Mutex
	store      store
	instances  instanceList
	faults     Faults
	frozen     *store // copy that reads see while FreezeReads is set
	writeCount int    // writes so far, to select every nth for a fault
	limit      limiter
	watchWake  chan struct{} // closed and replaced when watches have to check for changes
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+rretcd.PathRange, handle(p, readCall, p.get))
	mux.Handle("POST "+rretcd.PathPut, handle(p, writeCall, p.put))
	mux.Handle("POST "+rretcd.PathTxn, handle(p, writeCall, p.txn))
	mux.Handle("POST "+rretcd.PathDeleteRange, handle(p, writeCall, p.deleteRange))
	mux.Handle("POST "+rretcd.PathGrant, handle(p, writeCall, p.grant))
	mux.Handle("POST "+rretcd.PathKeepAlive, handle(p, writeCall, p.keepAlive))
	mux.Handle("POST "+rretcd.PathRevoke, handle(p, writeCall, p.revoke))
	mux.HandleFunc("POST "+rretcd.PathWatch, p.serveWatch)
	mux.HandleFunc("GET "+rrendpointslice.ListPath, p.serveList)
	mux.HandleFunc("POST /instances", p.serveRegister)
	mux.HandleFunc("DELETE /instances/{name}", p.serveRemove)
	mux.HandleFunc("POST /instances/{name}/leave", p.serveDrain)
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc("GET /stats", p.serveStats)
	return mux
}

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// nextWake returns a channel that the next call of wakeWatches closes. The caller
// holds mu.
func (p *Platform) nextWake() <-chan struct{} {
	if p.watchWake == nil {
		p.watchWake = make(chan struct{})
	}
	return p.watchWake
}

// wakeWatches makes all watches check for changes. The caller holds mu.
func (p *Platform) wakeWatches() {
	if p.watchWake != nil {
		close(p.watchWake)
		p.watchWake = nil
	}
}
