package rrdispatcher

import "time"

// recoveryReportWindow is how long HealthReports includes a minion that became healthy
// again. Its report replaces the earlier one that other owners remember.
const recoveryReportWindow = time.Minute

// HealthReports returns the states of the owned minions that are not healthy, or became
// healthy again less than recoveryReportWindow ago.
func (d *Dispatcher) HealthReports() []HealthReport {
	var out []HealthReport
	for _, m := range d.owned {
		recovered := m.recovered && d.now.Sub(m.stateSince) < recoveryReportWindow
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
		d.ownerReports.add(report)
	}
}

// maxOwnerReports bounds ownerReports.
const maxOwnerReports = 2048

// ownerReports holds the latest report of other owners about each minion. The zero value
// is empty.
type ownerReports struct {
	byMinion map[string]HealthReport
}

// add records a report unless a later one about the minion is known. It evicts the oldest
// report if there are too many.
func (r *ownerReports) add(report HealthReport) {
	if r.byMinion == nil {
		r.byMinion = make(map[string]HealthReport)
	}
	old, ok := r.byMinion[report.Minion]
	if ok && report.Since.Before(old.Since) {
		return
	}
	r.byMinion[report.Minion] = report
	if len(r.byMinion) > maxOwnerReports {
		r.evict()
	}
}

func (r *ownerReports) evict() {
	var oldest HealthReport
	for _, report := range r.byMinion {
		if oldest.Minion == "" || report.Since.Before(oldest.Since) || report.Since.Equal(oldest.Since) && report.Minion < oldest.Minion {
			oldest = report
		}
	}
	delete(r.byMinion, oldest.Minion)
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
