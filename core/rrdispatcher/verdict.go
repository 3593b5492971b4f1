package rrdispatcher

import "time"

// recoveryReportTime is how long HealthReports includes a minion that became healthy
// again. Its report replaces the earlier one that peers remember.
const recoveryReportTime = time.Minute

// HealthReports returns the states of the owned minions that are not healthy, or became
// healthy again less than recoveryReportTime ago.
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

// MergeHealthReports records reports of other owners. A report takes effect when this
// Dispatcher later takes over the minion: a bad minion gets a health check before it
// gets tasks.
func (d *Dispatcher) MergeHealthReports(now time.Time, reports []HealthReport) {
	for _, report := range reports {
		d.peerReports.add(report)
	}
}

// maxPeerReports bounds peerReports.
const maxPeerReports = 2048

// peerReports holds the latest report of other owners about each minion. The zero value
// is empty.
type peerReports struct {
	byMinion map[string]HealthReport
}

// add records a report unless a later one about the minion is known. It evicts the oldest
// report if there are too many.
func (p *peerReports) add(report HealthReport) {
	if p.byMinion == nil {
		p.byMinion = make(map[string]HealthReport)
	}
	old, ok := p.byMinion[report.Minion]
	if ok && report.Since.Before(old.Since) {
		return
	}
	p.byMinion[report.Minion] = report
	if len(p.byMinion) > maxPeerReports {
		p.evict()
	}
}

func (p *peerReports) evict() {
	var oldest HealthReport
	for _, report := range p.byMinion {
		if oldest.Minion == "" || report.Since.Before(oldest.Since) || report.Since.Equal(oldest.Since) && report.Minion < oldest.Minion {
			oldest = report
		}
	}
	delete(p.byMinion, oldest.Minion)
}

// DueProbes appends the health checks that are due to out.
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

// needsProbe reports whether the minion needs health checks.
func (m *minion) needsProbe() bool {
	return m.owned && !m.Draining && (m.state == Quarantined || m.drainReported)
}

// HandleProbeResult records whether a minion passed its health check.
func (d *Dispatcher) HandleProbeResult(now time.Time, minion string, ok bool) {
	if m := d.minions[minion]; m != nil {
		m.recordProbe(now, ok)
	}
}
