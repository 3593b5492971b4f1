package rrdispatcher

import "time"

// cureTime is how long a minion that became healthy is reported, so that peers
// drop the verdict that they remember.
const cureTime = time.Minute

// HealthReports returns what the keeper found out about minions that are not healthy,
// or were not until lately.
func (k *Dispatcher) HealthReports() []HealthReport {
	var out []HealthReport
	for _, m := range k.order {
		cured := m.cured && k.now.Sub(m.since) < cureTime
		if m.shown() != Healthy || cured {
			out = append(out, HealthReport{m.Name, m.shown(), m.since})
		}
	}
	return out
}

// MergeHealthReports takes in verdicts of other keepers. One counts when the keeper adopts
// the minion after it; a minion that was bad elsewhere is checked first.
func (k *Dispatcher) MergeHealthReports(now time.Time, vs []HealthReport) {
	for _, v := range vs {
		k.heard.add(v)
	}
}

// maxHeard bounds the verdicts of others that a keeper remembers.
const maxHeard = 2048

// heard remembers the latest verdict of other keepers per minion. The zero value
// remembers nothing.
type heard struct {
	all map[string]HealthReport
}

// add remembers v unless a later one about the minion is known. The least recent
// verdict gives way when there are too many.
func (h *heard) add(v HealthReport) {
	if h.all == nil {
		h.all = make(map[string]HealthReport)
	}
	old, ok := h.all[v.Minion]
	if ok && v.Since.Before(old.Since) {
		return
	}
	h.all[v.Minion] = v
	if len(h.all) > maxHeard {
		h.evict()
	}
}

func (h *heard) evict() {
	var oldest HealthReport
	for _, v := range h.all {
		if oldest.Minion == "" || v.Since.Before(oldest.Since) || v.Since.Equal(oldest.Since) && v.Minion < oldest.Minion {
			oldest = v
		}
	}
	delete(h.all, oldest.Minion)
}

// DueProbes appends the health checks that are due.
func (k *Dispatcher) DueProbes(now time.Time, out []Probe) []Probe {
	for _, m := range k.order {
		if !m.checks() || now.Before(m.check.at) {
			continue
		}
		m.check.at = now.Add(max(checkTime, m.check.period))
		k.counts.Probes++
		out = append(out, Probe{m.Name, m.Addr})
	}
	return out
}

// checks reports whether the minion gets health checks.
func (m *minion) checks() bool {
	return m.kept && !m.Draining && (m.state == Quarantined || m.said)
}

// HandleProbeResult records the answer of a health check.
func (k *Dispatcher) HandleProbeResult(now time.Time, minion string, ok bool) {
	if m := k.minions[minion]; m != nil {
		m.checked(now, ok)
	}
}
