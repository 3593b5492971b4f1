package rrhost

import (
	"sync"
	"time"

	"rattanring/core/rrstamp"
	"rattanring/io/rrclock"
)

// A submission or a heartbeat may be handled long after it was sent: it lay on a link or in a socket, or a
// process was frozen. It carries a stamp, from which the receiver tells its age (package rrstamp).

// Values of a stamp that is none.
const (
	stampUnsaid  = 0  // by a process of an earlier version
	stampUnknown = -1 // the sender knows nothing of the receiver's clock
)

// maxStaleTries is the number of hand-ins of one submission that may be stale in a row.
const maxStaleTries = 3

// peerClocks are what this process knows of the clocks of other processes. The zero value is ready for use.
type peerClocks struct {
	mu     sync.Mutex
	byAddr map[string]peerClock
}

type peerClock struct {
	incarnation int64 // of the process at the address
	peer        rrstamp.Peer
}

// observe records a reading of a process's clock, in microseconds, from an answer that has just arrived.
func (p *peerClocks) observe(addr string, incarnation, clock int64) {
	if clock == 0 {
		return // of a process of an earlier version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byAddr[addr]
	if c.incarnation != incarnation {
		c = peerClock{incarnation: incarnation}
	}
	c.peer.Observe(rrclock.SinceBoot(), microseconds(clock))
	if p.byAddr == nil {
		p.byAddr = make(map[string]peerClock)
	}
	p.byAddr[addr] = c
}

// stamp returns the stamp of a message that is sent now. A zero incarnation is any.
func (p *peerClocks) stamp(addr string, incarnation int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byAddr[addr]
	if incarnation != 0 && c.incarnation != incarnation {
		return stampUnknown
	}
	stamp, ok := c.peer.Stamp(rrclock.SinceBoot())
	if !ok {
		return stampUnknown
	}
	return stamp.Microseconds()
}

// clockReading returns this process's clock for its answers, in microseconds.
func clockReading() int64 {
	return rrclock.SinceBoot().Microseconds()
}

// messageAge returns how old a message with a stamp is at most. It reports false if that is not known. A message
// of an earlier version counts as new.
func messageAge(stamp int64) (time.Duration, bool) {
	now := clockReading()
	switch {
	case stamp == stampUnsaid:
		return 0, true
	case stamp < 0 || stamp > now:
		return 0, false
	}
	return microseconds(now - stamp), true
}
