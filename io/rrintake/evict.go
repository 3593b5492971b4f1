package rrintake

import (
	"cmp"
	"io"
	"slices"
	"time"
)

// Limits on connections that are closed in favor of others.
const (
	slowTime           = time.Second            // after which a connection that is in a header, a body or a write counts as slow
	evictionsPerAccept = 2                      // more than one so that the connections become fewer after the limit is lowered
	maxRefusing        = 32                     // connections that are told at a time that they are closed
	refuseTime         = 500 * time.Millisecond // for a client to read that
	refuseBytes        = 64 << 10               // that are read meanwhile, since a connection that is closed with unread data loses what was written to it
)

// refusalText answers a request on a connection that is closed in favor of another one. No such request was passed
// to the handler.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rank orders the connections that may be closed in favor of others. The first is closed first.
type rank int

const (
	rankEnded rank = iota // the last response is written
	rankSlow              // the client is slow to send a request or to read a response
	rankBusy              // it waits for a reader slot, or for the rest of a large body
	rankIdle              // between two requests
	rankNew               // a request has just begun, or is about to
	rankKept              // must not be closed
)

// victim is a connection that may be closed, in the state in which it was found.
type victim struct {
	*conn
	rank  rank
	phase phase
	since int64
}

// victimOf returns the present state of a connection.
func victimOf(c *conn, now int64) victim {
	v := victim{conn: c, rank: rankKept, phase: phase(c.state.Load()), since: c.since.Load()}
	switch v.phase {
	case phaseEnding:
		v.rank = rankEnded
	case phaseServing:
		if blocked := c.blockedSince.Load(); blocked != 0 && now-blocked >= int64(slowTime) {
			v.rank, v.since = rankSlow, blocked
		}
	case phaseTurn:
		v.rank = rankBusy
	case phaseWaiting, phaseBody:
		switch {
		case v.phase == phaseWaiting && c.served.Load():
			v.rank = rankIdle
		case now-v.since >= int64(slowTime):
			v.rank = rankSlow
		case c.inBody.Load():
			v.rank = rankBusy
		default:
			v.rank = rankNew
		}
	}
	return v
}

// admit adds a connection and reports whether there is room for it.
func (in *Intake) admit(c *conn) bool {
	for {
		limit := in.Limits().Connections
		var victims []victim
		in.mu.Lock()
		for range evictionsPerAccept {
			if limit <= 0 || len(in.conns) < limit {
				break
			}
			v, ok := in.evict()
			if !ok {
				break
			}
			victims = append(victims, v)
		}
		admitted := limit <= 0 || len(in.conns) < limit || len(victims) > 0
		if admitted {
			in.conns[c] = struct{}{}
		}
		retry := !admitted && in.unread > 0
		in.mu.Unlock()
		for _, v := range victims {
			in.report.add("connections")
			v.close()
		}
		if !admitted && !retry {
			in.report.add("connections")
		}
		if !retry {
			return admitted
		}
		time.Sleep(fullWait) // requests have arrived that are not read yet
	}
}

// evict removes the connection that is to be closed next, and returns it. It reports false if there is none, and
// then sets in.unread. The caller holds in.mu and closes the connection.
func (in *Intake) evict() (victim, bool) {
	now := time.Now().UnixNano()
	in.unread = 0
	for scanned := false; ; scanned = true {
		for len(in.victims) > 0 {
			v := in.victims[0]
			in.victims = in.victims[1:]
			if _, open := in.conns[v.conn]; !open || victimOf(v.conn, now) != v {
				continue
			}
			if v.phase == phaseWaiting && v.hasUnreadData() {
				in.unread++ // its request must be read first
				continue
			}
			if v.state.CompareAndSwap(int32(v.phase), int32(phaseClosed)) {
				delete(in.conns, v.conn)
				return v, true
			}
		}
		if scanned {
			return victim{}, false
		}
		in.findVictims(now)
	}
}

// findVictims fills in.victims. The caller holds in.mu.
func (in *Intake) findVictims(now int64) {
	found := in.victims[:0]
	for c := range in.conns {
		if v := victimOf(c, now); v.rank != rankKept {
			found = append(found, v)
		}
	}
	slices.SortFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since))
	})
	in.victims = found
}

// close closes a connection that evict has removed. If it was in a request or between two, its client is told.
func (v victim) close() {
	if v.phase == phaseServing || v.phase == phaseEnding {
		_ = v.TCPConn.Close() // the client learns of it by the end of the connection
		return
	}
	v.in.mu.Lock()
	v.interrupt()
	v.in.mu.Unlock()
	v.refuse()
}

// refuse tells the client that its request is not run, and closes the connection when it has read that. If too many
// are being told, it closes the connection at once.
func (c *conn) refuse() {
	c.state.Store(int32(phaseClosed))
	if c.in.refusing.Add(1) > maxRefusing {
		c.in.refusing.Add(-1)
		_ = c.TCPConn.Close()
		return
	}
	go func() {
		defer c.in.refusing.Add(-1)
		defer c.TCPConn.Close()
		deadline := time.Now().Add(refuseTime)
		if c.SetDeadline(deadline) != nil {
			return
		}
		if _, err := io.WriteString(c.TCPConn, refusalText); err != nil || c.TCPConn.CloseWrite() != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c.TCPConn, refuseBytes) // ends when the client closes the connection
	}()
}
