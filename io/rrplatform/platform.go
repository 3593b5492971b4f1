// Package rrplatform is a small stand-in of the platform for tests and the lab:
// the key-value service behind etcd v3's JSON gateway, and the instance list.
// Its faults are set by Go calls or over HTTP.
package rrplatform

import (
	"net/http"
	"sync"
	"time"

	"rattanring/io/rrendpointslice"
	"rattanring/io/rretcd"
)

// Rates that the key-value service carries unless a Platform says otherwise.
const (
	DefaultWrites = 300  // a second
	DefaultReads  = 2000 // a second
)

// Platform is the stand-in. The zero value works and is safe for concurrent use.
type Platform struct {
	Writes int              // writes a second before calls are refused; zero means DefaultWrites
	Reads  int              // reads a second before calls are refused; zero means DefaultReads
	Now    func() time.Time // clock; nil means time.Now

	mu     sync.Mutex
	store  store
	list   list
	faults Faults
	frozen *store // what reads see while they are frozen
	writes int    // writes so far, to pick the ones that a fault hits
	limit  limiter
	change chan struct{} // closed and replaced when watches have to look again
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+rretcd.PathRange, call(p, read, p.get))
	mux.Handle("POST "+rretcd.PathPut, call(p, write, p.put))
	mux.Handle("POST "+rretcd.PathTxn, call(p, write, p.txn))
	mux.Handle("POST "+rretcd.PathDeleteRange, call(p, write, p.deleteRange))
	mux.Handle("POST "+rretcd.PathGrant, call(p, write, p.grant))
	mux.Handle("POST "+rretcd.PathKeepAlive, call(p, write, p.keepAlive))
	mux.Handle("POST "+rretcd.PathRevoke, call(p, write, p.revoke))
	mux.HandleFunc("POST "+rretcd.PathWatch, p.serveWatch)
	mux.HandleFunc("GET "+rrendpointslice.ListPath, p.serveList)
	mux.HandleFunc("POST /instances", p.serveRegister)
	mux.HandleFunc("DELETE /instances/{name}", p.serveRemove)
	mux.HandleFunc("POST /instances/{name}/leave", p.serveLeave)
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

// changed returns a channel that is closed at the next change. The caller holds mu.
func (p *Platform) changed() <-chan struct{} {
	if p.change == nil {
		p.change = make(chan struct{})
	}
	return p.change
}

// wake tells all watches to look again. The caller holds mu.
func (p *Platform) wake() {
	if p.change != nil {
		close(p.change)
		p.change = nil
	}
}
