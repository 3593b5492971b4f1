// Package rrstamp bounds the age of messages between processes whose clocks are not synchronized.
//
// A message can lie in a socket, on a link or in a process that is frozen, and its receiver can't tell from
// when it reads the message. So the sender stamps it with a time of the receiver's clock: one that the receiver
// has passed for certain as the message is sent. The sender knows such times from the receiver's answers. The
// receiver then takes the message for older than it is, by the time that an answer takes, and never for younger.
package rrstamp

import "time"

// maxDrift is the fraction by which the clocks of two machines may differ in speed.
const maxDrift = 0.001

// Peer is what a sender knows of a receiver's clock. The zero value knows nothing. All times are those of clocks
// that run on while a machine is suspended.
type Peer struct {
	remote time.Duration // time that the peer's clock had passed …
	local  time.Duration // … at this time of the sender's clock
	known  bool
}

// Observe records an answer that arrived at a local time, and for which the peer had read its clock.
func (p *Peer) Observe(local, remote time.Duration) {
	if known, ok := p.Stamp(local); !ok || remote > known {
		*p = Peer{remote, local, true}
	}
}

// Stamp returns a time that the peer's clock has passed at a local time. It reports false if none is known.
func (p *Peer) Stamp(local time.Duration) (time.Duration, bool) {
	if !p.known {
		return 0, false
	}
	elapsed := max(local-p.local, 0)
	return p.remote + elapsed - time.Duration(maxDrift*float64(elapsed)), true
}
