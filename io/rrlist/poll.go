package rrlist

import (
	"context"
	"time"
)

// DefaultInterval is the time between two readings.
const DefaultInterval = 500 * time.Millisecond

// Reading is one try to read the list.
type Reading struct {
	Snapshot Snapshot // the last good one when Err is set; zero before the first
	Err      error    // nil when the list answered
}

// Poller reads the list again and again and keeps the last good reading.
type Poller struct {
	Client   *Client
	Interval time.Duration // zero means DefaultEvery

	last Snapshot
}

// Run calls f after each reading until ctx ends. f must not block for long.
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
