package rrcompare

import (
	"context"

	"rattanring/io/rrbaseline"
	"rattanring/io/rrload"
	"rattanring/io/rrminion"
	"rattanring/io/rrstand"
)

// Environment describes the minions that a strategy uses and the entries that it
// starts.
type Environment struct {
	Fleet   *rrstand.Fleet
	Listing rrstand.Listing
	Slots   int // of each minion
	Entries int
	Seed    uint64
}

// Deployment is a strategy that has been started.
type Deployment struct {
	Entries []rrload.Submitter
	Cost    func(context.Context) (rrload.Cost, error) // returns the total cost so far
	Stop    func()
}

// Strategy is one way to dispatch.
type Strategy struct {
	Name  string
	Start func(context.Context, *Environment) (*Deployment, error)
}

// Baselines returns the simple dispatchers that the product is compared with.
func Baselines() []Strategy {
	return []Strategy{
		{"random", func(_ context.Context, e *Environment) (*Deployment, error) { return retries(e, 1), nil }},
		{"choices", func(_ context.Context, e *Environment) (*Deployment, error) { return retries(e, 2), nil }},
		{"shares", func(_ context.Context, e *Environment) (*Deployment, error) { return shares(e), nil }},
	}
}

// retries returns dispatchers that dispatch to any minion and again after a refusal.
func retries(e *Environment, choices int) *Deployment {
	var b baselineSet
	for i := range e.Entries {
		c := &rrminion.Client{Conns: max(e.Listing.Conns/e.Entries, 1)} // all dispatchers use the same minions
		r := rrbaseline.NewRetryDispatcher(c, e.Fleet.Addrs(), choices, e.Seed+uint64(i))
		b.add(c, r, &r.CountingDispatcher)
	}
	return b.deployment()
}

// shares returns dispatchers that each own an equal share of the minions.
func shares(e *Environment) *Deployment {
	var b baselineSet
	addrs := e.Fleet.Addrs()
	for i := range e.Entries {
		var own []string
		for n := i; n < len(addrs); n += e.Entries {
			own = append(own, addrs[n])
		}
		c := &rrminion.Client{Conns: e.Listing.Conns}
		s := rrbaseline.NewShareDispatcher(c, own, e.Slots)
		b.add(c, s, &s.CountingDispatcher)
	}
	return b.deployment()
}

// baselineSet collects the dispatchers of one strategy.
type baselineSet struct {
	clients []*rrminion.Client
	entries []rrload.Submitter
	senders []*rrbaseline.CountingDispatcher
}

func (b *baselineSet) add(c *rrminion.Client, entry rrload.Submitter, sender *rrbaseline.CountingDispatcher) {
	b.clients = append(b.clients, c)
	b.entries = append(b.entries, entry)
	b.senders = append(b.senders, sender)
}

func (b *baselineSet) deployment() *Deployment {
	return &Deployment{Entries: b.entries, Cost: b.cost, Stop: b.stop}
}

func (b *baselineSet) cost(context.Context) (rrload.Cost, error) {
	var sum rrload.Cost
	for _, s := range b.senders {
		n := s.Counts()
		sum.Dispatches += float64(n.Dispatches)
		sum.Refused += float64(n.Refused)
		sum.Redispatches += float64(n.Redispatches)
	}
	return sum, nil
}

func (b *baselineSet) stop() {
	for _, c := range b.clients {
		c.Close()
	}
}
