package rrnode

import (
	"slices"
	"time"

	"rattanring/core/rrconf"
	"rattanring/core/rrmembership"
)

// PeerConfig reports the configuration of a peer.
type PeerConfig struct {
	Config rrconf.Config
}

// StoredConfig reports the configuration in the store.
type StoredConfig struct {
	Config      rrconf.Config
	ModRevision int64 // revision of the key
}

// ProposeConfig is a change proposed by an operator.
type ProposeConfig struct {
	Change rrconf.Change
}

// ConfigWriteDone reports the result of a configuration write to the store.
type ConfigWriteDone struct {
	Reply rrconf.Reply
}

func (*PeerConfig) event()      {}
func (*StoredConfig) event()    {}
func (*ProposeConfig) event()   {}
func (*ConfigWriteDone) event() {}

// updateConfig advances operators' changes and activates a newer configuration.
func (n *Node) updateConfig(now time.Time) {
	n.configEffects.Calls = n.configEffects.Calls[:0]
	n.configEffects.Results = n.configEffects.Results[:0]
	n.configManager.Step(now, &n.configEffects)
	n.effects.ConfigWrites = n.configEffects.Calls
	n.effects.ConfigResults = n.configEffects.Results
	if cfg := n.configManager.Active(); cfg.Version > n.cfg.Version {
		n.activateConfig(now, cfg)
		for _, p := range n.view.OutdatedPeers(now, cfg.Version) {
			n.sendHeartbeat(now, p)
		}
	}
}

// activateConfig applies a configuration to all components.
func (n *Node) activateConfig(now time.Time, cfg rrconf.Config) {
	if !slices.Equal(n.cfg.Evacuated, cfg.Evacuated) {
		n.coordinator.ZonesChanged(now)
	}
	n.cfg = cfg
	n.view.Self().ConfigVersion = cfg.Version
	n.coordinator.SplitParams.MinBatchTasks = cfg.ActiveThresholds().MinBatchTasks
	n.coordinator.SplitParams.MinReduction = minSplitReduction
	n.updateOwners(now)
}

// minSplitReduction is the smallest reduction of a job's completion time, as a fraction,
// that justifies the two messages of a batch.
const minSplitReduction = 0.1

// Config returns the active configuration.
func (n *Node) Config() rrconf.Config {
	return n.cfg
}

// WatchesConfig reports whether this entry watches the configuration in the store.
func (n *Node) WatchesConfig(now time.Time) bool {
	return n.view.WatchesConfig(now)
}

// StoreClients returns the number of entries that share the store's budget: all that are
// live or listed, including this one.
func (n *Node) StoreClients(now time.Time) int {
	return n.countEntries(func(p *rrmembership.Peer) bool { return p.Listed || n.view.Live(now, p) })
}

// LiveEntries returns the number of peers that are live as defined by
// rrmembership.View.Live, plus one for this entry.
func (n *Node) LiveEntries(now time.Time) int {
	return n.countEntries(func(p *rrmembership.Peer) bool { return n.view.Live(now, p) })
}

// countEntries returns the number of peers for which include reports true, plus one for
// this entry.
func (n *Node) countEntries(include func(*rrmembership.Peer) bool) int {
	count := 1
	for _, p := range n.view.Peers() {
		if include(p) {
			count++
		}
	}
	return count
}
