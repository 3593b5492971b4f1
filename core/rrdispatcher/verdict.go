package rrdispatcher

import "time"

// recoveryReportTime is how long a minion that became healthy is reported, so that peers
// drop the verdict that they remember.
const recoveryReportTime = time.Minute

// HealthReports returns what the keeper found out about minions that are not healthy,
// or were not until lately.
func (d *Dispatcher) HealthReports() []HealthReport {
	var out []HealthReport
	for _, m := range d.owned {
		recovered := m.recovered && d.now.Sub(m.stateSince) < recoveryReportTime
		if m.reportedState() != Healthy || recovered {
			out = append(out, HealthReport{m.Name, m.reportedState(), m.stateSince})
		}
	}
	return out
}

// MergeHealthReports takes in verdicts of other keepers. One counts when the keeper adopts
// the minion after it; a minion that was bad elsewhere is checked first.
func (d *Dispatcher) MergeHealthReports(now time.Time, reports []HealthReport) {
	for _, v := range reports {
		d.peerReports.add(v)
	}
}

// maxPeerReports bounds the verdicts of others that a keeper remembers.
const maxPeerReports = 2048

// peerReports remembers the latest verdict of other keepers per minion. The zero value
// remembers nothing.
type peerReports struct {
	byMinion map[string]HealthReport
}

// add remembers v unless a later one about the minion is known. The least recent
// verdict gives way when there are too many.
func (h *peerReports) add(v HealthReport) {
	if h.byMinion == nil {
		h.byMinion = make(map[string]HealthReport)
	}
	old, ok := h.byMinion[v.Minion]
	if ok && v.Since.Before(old.Since) {
		return
	}
	h.byMinion[v.Minion] = v
	if len(h.byMinion) > maxPeerReports {
		h.evict()
	}
}

func (h *peerReports) evict() {
	var oldest HealthReport
	for _, v := range h.byMinion {
		if oldest.Minion == "" || v.Since.Before(oldest.Since) || v.Since.Equal(oldest.Since) && v.Minion < oldest.Minion {
			oldest = v
		}
	}
	delete(h.byMinion, oldest.Minion)
}

// DueProbes appends the health checks that are due.
func (d *Dispatcher) DueProbes(now time.Time, out []Probe) []Probe {
	for _, m := range d.owned {
		if !m.needsProbe() || now.Before(m.probe.next) {
			continue
		}
		m.probe.next = now.Add(max(probeTimeout, m.probe.interval))
		d.stats.Probes++
		out = append(out, Probe{m.Name, m.Addr})
	}
	return out
}

// needsProbe reports whether the minion gets health checks.
func (m *minion) needsProbe() bool {
	return m.owned && !m.Draining && (m.state == Quarantined || m.drainReported)
}

// HandleProbeResult records the answer of a health check.
func (d *Dispatcher) HandleProbeResult(now time.Time, minion string, ok bool) {
	if m := d.minions[minion]; m != nil {
		m.recordProbe(now, ok)
	}
}
