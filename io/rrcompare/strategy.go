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
		{"random", func(_ context.Context, e *Environment) (*Deployment, error) { return retryDeployment(e, 1), nil }},
		{"choices", func(_ context.Context, e *Environment) (*Deployment, error) { return retryDeployment(e, 2), nil }},
		{"shares", func(_ context.Context, e *Environment) (*Deployment, error) { return shareDeployment(e), nil }},
	}
}

// retryDeployment returns a deployment of dispatchers that share all minions and retry
// after a dispatch that did not start the task.
func retryDeployment(e *Environment, choices int) *Deployment {
	var b baselineSet
	for i := range e.Entries {
		c := &rrminion.Client{MaxConns: max(e.Listing.Conns/e.Entries, 1)} // the dispatchers share the connections of each minion
		r := rrbaseline.NewRetryDispatcher(c, e.Fleet.Addrs(), choices, e.Seed+uint64(i))
		b.add(c, r, &r.CountingDispatcher)
	}
	return b.deployment()
}

// shareDeployment returns a deployment of dispatchers that each own an equal share of
// the minions.
func shareDeployment(e *Environment) *Deployment {
	var b baselineSet
	addrs := e.Fleet.Addrs()
	for i := range e.Entries {
		var own []string
		for n := i; n < len(addrs); n += e.Entries {
			own = append(own, addrs[n])
		}
		c := &rrminion.Client{MaxConns: e.Listing.Conns}
		s := rrbaseline.NewShareDispatcher(c, own, e.Slots)
		b.add(c, s, &s.CountingDispatcher)
	}
	return b.deployment()
}

// baselineSet collects the dispatchers of one strategy.
type baselineSet struct {
	clients     []*rrminion.Client
	entries     []rrload.Submitter
	dispatchers []*rrbaseline.CountingDispatcher
}

func (b *baselineSet) add(c *rrminion.Client, entry rrload.Submitter, dispatcher *rrbaseline.CountingDispatcher) {
	b.clients = append(b.clients, c)
	b.entries = append(b.entries, entry)
	b.dispatchers = append(b.dispatchers, dispatcher)
}

func (b *baselineSet) deployment() *Deployment {
	return &Deployment{Entries: b.entries, Cost: b.cost, Stop: b.stop}
}

func (b *baselineSet) cost(context.Context) (rrload.Cost, error) {
	var sum rrload.Cost
	for _, s := range b.dispatchers {
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
