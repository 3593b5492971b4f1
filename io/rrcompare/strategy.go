package rrcompare

import (
	"context"

	"rattanring/io/rrbaseline"
	"rattanring/io/rrload"
	"rattanring/io/rrminion"
	"rattanring/io/rrstand"
)

// Env is the fleet that a strategy works on.
type Env struct {
	Fleet   *rrstand.Fleet
	Place   rrstand.Place
	Slots   int // of each minion
	Entries int
	Seed    uint64
}

// Dispatch is a running strategy.
type Dispatch struct {
	Entries []rrload.Submitter
	Cost    func(context.Context) (rrload.Cost, error) // total so far
	Stop    func()
}

// Strategy is one way to dispatch.
type Strategy struct {
	Name  string
	Start func(context.Context, *Env) (*Dispatch, error)
}

// Baselines returns the simple dispatchers that the product is held against.
func Baselines() []Strategy {
	return []Strategy{
		{"random", func(_ context.Context, e *Env) (*Dispatch, error) { return retries(e, 1), nil }},
		{"choices", func(_ context.Context, e *Env) (*Dispatch, error) { return retries(e, 2), nil }},
		{"shares", func(_ context.Context, e *Env) (*Dispatch, error) { return shares(e), nil }},
	}
}

// retries returns dispatchers that send to any minion and again after a refusal.
func retries(e *Env, choices int) *Dispatch {
	var b baseline
	for i := range e.Entries {
		c := &rrminion.Client{Conns: max(e.Place.Conns/e.Entries, 1)} // all share the minions
		r := rrbaseline.NewRetry(c, e.Fleet.Addrs(), choices, e.Seed+uint64(i))
		b.add(c, r, &r.Sender)
	}
	return b.dispatch()
}

// shares returns dispatchers that each own a part of the minions.
func shares(e *Env) *Dispatch {
	var b baseline
	addrs := e.Fleet.Addrs()
	for i := range e.Entries {
		var own []string
		for n := i; n < len(addrs); n += e.Entries {
			own = append(own, addrs[n])
		}
		c := &rrminion.Client{Conns: e.Place.Conns}
		s := rrbaseline.NewShares(c, own, e.Slots)
		b.add(c, s, &s.Sender)
	}
	return b.dispatch()
}

// baseline collects the dispatchers of one strategy.
type baseline struct {
	clients []*rrminion.Client
	entries []rrload.Submitter
	senders []*rrbaseline.Sender
}

func (b *baseline) add(c *rrminion.Client, entry rrload.Submitter, s *rrbaseline.Sender) {
	b.clients = append(b.clients, c)
	b.entries = append(b.entries, entry)
	b.senders = append(b.senders, s)
}

func (b *baseline) dispatch() *Dispatch {
	return &Dispatch{Entries: b.entries, Cost: b.cost, Stop: b.stop}
}

func (b *baseline) cost(context.Context) (rrload.Cost, error) {
	var sum rrload.Cost
	for _, s := range b.senders {
		n := s.Counts()
		sum.Starts += float64(n.Starts)
		sum.Refused += float64(n.Refused)
		sum.Resends += float64(n.Resends)
	}
	return sum, nil
}

func (b *baseline) stop() {
	for _, c := range b.clients {
		c.Close()
	}
}
