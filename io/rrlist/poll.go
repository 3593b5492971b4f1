package rrlist

import (
	"context"
	"time"
)

// DefaultInterval is the default time between two polls.
const DefaultInterval = 500 * time.Millisecond

// Reading is the result of one poll.
type Reading struct {
	Snapshot Snapshot // of the last successful poll; zero before the first
	Err      error    // why this poll failed; nil if it succeeded
}

// Poller polls the instance list and keeps the last successfully read snapshot.
type Poller struct {
	Client   *Client
	Interval time.Duration // zero means DefaultInterval

	last Snapshot
}

// Run polls until ctx ends and calls handle after each poll. handle must not block
// for long.
func (p *Poller) Run(ctx context.Context, handle func(Reading)) error {
	interval := p.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		handle(p.read(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (p *Poller) read(ctx context.Context) Reading {
	s, err := p.Client.Read(ctx)
	if err == nil {
		p.last = s
	}
	return Reading{Snapshot: p.last, Err: err}
}
