package rrnode

import (
	"time"

	"rattanring/core/rrconf"
	"rattanring/core/rrview"
)

// Config is a configuration that a peer has shown.
type Config struct {
	Config rrconf.Config
}

// Held is the configuration that the store holds.
type Held struct {
	Config rrconf.Config
	Mod    int64 // revision of the key
}

// Propose is an operator's change.
type Propose struct {
	Change rrconf.Change
}

// Wrote is the end of a write of the configuration.
type Wrote struct {
	Reply rrconf.Reply
}

func (*Config) event()  {}
func (*Held) event()    {}
func (*Propose) event() {}
func (*Wrote) event()   {}

// configure moves operators' changes on and puts a newer configuration in force.
func (n *Node) configure(now time.Time) {
	n.changes.Writes = n.changes.Writes[:0]
	n.changes.Verdicts = n.changes.Verdicts[:0]
	n.register.Step(now, &n.changes)
	n.eff.Writes = n.changes.Writes
	n.eff.Verdicts = n.changes.Verdicts
	if cfg := n.register.InForce(); cfg.Version > n.cfg.Version {
		n.enforce(now, cfg)
		for _, p := range n.view.Behind(now, cfg.Version) {
			n.beat(now, p)
		}
	}
}

// enforce makes every part follow a configuration.
func (n *Node) enforce(now time.Time, cfg rrconf.Config) {
	n.cfg = cfg
	n.view.Self().Version = cfg.Version
	n.coord.Split.Batch = cfg.InForce().Batch
	n.coord.Split.Gain = splitGain
	n.rekeep(now)
}

// splitGain is the smallest cut of a job's completion time that is worth the two
// messages of a batch.
const splitGain = 0.1

// Config returns the configuration in force.
func (n *Node) Config() rrconf.Config {
	return n.cfg
}

// Watches reports whether this entry watches the configuration at the store.
func (n *Node) Watches(now time.Time) bool {
	return n.view.Watches(now)
}

// Entries returns the number of entries that share the store's budget: those that
// are alive or listed, this one included.
func (n *Node) Entries(now time.Time) int {
	return n.countEntries(func(p *rrview.Peer) bool { return p.Listed || n.view.Live(now, p) })
}

// Known returns the number of entries that this one believes to be alive, itself
// included.
func (n *Node) Known(now time.Time) int {
	return n.countEntries(func(p *rrview.Peer) bool { return n.view.Live(now, p) })
}

// countEntries returns the number of peers that count, and one for this entry.
func (n *Node) countEntries(counts func(*rrview.Peer) bool) int {
	count := 1
	for _, p := range n.view.Peers() {
		if counts(p) {
			count++
		}
	}
	return count
}
