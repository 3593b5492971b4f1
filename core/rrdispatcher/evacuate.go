package rrdispatcher

import "rattanring/core/rrtask"

// updateEvacuated applies a changed list of evacuated zones to all minions. A minion that
// is back in use and needs a health check gets it at once: its checks may have failed for
// as long as the zone was out of use, and the next one may be maxProbeInterval away.
func (d *Dispatcher) updateEvacuated() {
	for _, m := range d.minions {
		before := m.evacuated
		m.evacuated = d.cfg.IsEvacuated(m.Zone)
		if before && !m.evacuated {
			m.probe.next = d.now
		}
	}
	d.rebuildPools()
}

// allEvacuated reports whether the pool has minions and the zones of all of them are
// evacuated.
func (p *pool) allEvacuated() bool {
	for _, m := range p.minions {
		if !m.evacuated {
			return false
		}
	}
	return len(p.minions) > 0
}

// hasEvacuated reports whether a minion of an evacuated zone is large enough for a task.
func (p *pool) hasEvacuated(declared rrtask.Resources) bool {
	for _, m := range p.minions {
		if m.evacuated && m.largeEnough(declared) {
			return true
		}
	}
	return false
}
