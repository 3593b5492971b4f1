package rrnode

import (
	"time"

	"rattanring/core/rrconf"
	"rattanring/core/rrmembership"
)

// PeerConfig is a configuration that a peer has shown.
type PeerConfig struct {
	Config rrconf.Config
}

// StoredConfig is the configuration that the store holds.
type StoredConfig struct {
	Config      rrconf.Config
	ModRevision int64 // revision of the key
}

// ProposeConfig is an operator's change.
type ProposeConfig struct {
	Change rrconf.Change
}

// ConfigWriteDone is the end of a write of the configuration.
type ConfigWriteDone struct {
	Reply rrconf.Reply
}

func (*PeerConfig) event()      {}
func (*StoredConfig) event()    {}
func (*ProposeConfig) event()   {}
func (*ConfigWriteDone) event() {}

// updateConfig moves operators' changes on and puts a newer configuration in force.
func (n *Node) updateConfig(now time.Time) {
	n.configEffects.Writes = n.configEffects.Writes[:0]
	n.configEffects.Results = n.configEffects.Results[:0]
	n.configManager.Step(now, &n.configEffects)
	n.effects.ConfigWrites = n.configEffects.Writes
	n.effects.ConfigResults = n.configEffects.Results
	if cfg := n.configManager.Active(); cfg.Version > n.cfg.Version {
		n.activateConfig(now, cfg)
		for _, p := range n.view.OutdatedPeers(now, cfg.Version) {
			n.sendHeartbeat(now, p)
		}
	}
}

// activateConfig makes every part follow a configuration.
func (n *Node) activateConfig(now time.Time, cfg rrconf.Config) {
	n.cfg = cfg
	n.view.Self().ConfigVersion = cfg.Version
	n.coordinator.SplitParams.MinBatchTasks = cfg.ActiveThresholds().MinBatchTasks
	n.coordinator.SplitParams.MinGain = splitGain
	n.updateOwners(now)
}

// splitGain is the smallest cut of a job's completion time that is worth the two
// messages of a batch.
const splitGain = 0.1

// Config returns the configuration in force.
func (n *Node) Config() rrconf.Config {
	return n.cfg
}

// WatchesConfig reports whether this entry watches the configuration at the store.
func (n *Node) WatchesConfig(now time.Time) bool {
	return n.view.WatchesConfig(now)
}

// StoreClients returns the number of entries that share the store's budget: those that
// are alive or listed, this one included.
func (n *Node) StoreClients(now time.Time) int {
	return n.countEntries(func(p *rrmembership.Peer) bool { return p.Listed || n.view.Live(now, p) })
}

// LiveEntries returns the number of entries that this one believes to be alive, itself
// included.
func (n *Node) LiveEntries(now time.Time) int {
	return n.countEntries(func(p *rrmembership.Peer) bool { return n.view.Live(now, p) })
}

// countEntries returns the number of peers that count, and one for this entry.
func (n *Node) countEntries(counts func(*rrmembership.Peer) bool) int {
	count := 1
	for _, p := range n.view.Peers() {
		if counts(p) {
			count++
		}
	}
	return count
}
