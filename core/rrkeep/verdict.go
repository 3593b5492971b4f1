package rrkeep

import "time"

// cureTime is how long a minion that became healthy is reported, so that peers
// drop the verdict that they remember.
const cureTime = time.Minute

// Verdicts returns what the keeper found out about minions that are not healthy,
// or were not until lately.
func (k *Keeper) Verdicts() []Verdict {
	var out []Verdict
	for _, m := range k.order {
		cured := m.cured && k.now.Sub(m.since) < cureTime
		if m.shown() != Healthy || cured {
			out = append(out, Verdict{m.Name, m.shown(), m.since})
		}
	}
	return out
}

// Learned takes in verdicts of other keepers. One counts when the keeper adopts
// the minion after it; a minion that was bad elsewhere is checked first.
func (k *Keeper) Learned(now time.Time, vs []Verdict) {
	for _, v := range vs {
		k.heard.add(v)
	}
}

// maxHeard bounds the verdicts of others that a keeper remembers.
const maxHeard = 2048

// heard remembers the latest verdict of other keepers per minion. The zero value
// remembers nothing.
type heard struct {
	all map[string]Verdict
}

// add remembers v unless a later one about the minion is known. The least recent
// verdict gives way when there are too many.
func (h *heard) add(v Verdict) {
	if h.all == nil {
		h.all = make(map[string]Verdict)
	}
	old, ok := h.all[v.Minion]
	if ok && v.At.Before(old.At) {
		return
	}
	h.all[v.Minion] = v
	if len(h.all) > maxHeard {
		h.evict()
	}
}

func (h *heard) evict() {
	var oldest Verdict
	for _, v := range h.all {
		if oldest.Minion == "" || v.At.Before(oldest.At) || v.At.Equal(oldest.At) && v.Minion < oldest.Minion {
			oldest = v
		}
	}
	delete(h.all, oldest.Minion)
}

// Probes appends the health checks that are due.
func (k *Keeper) Probes(now time.Time, out []Probe) []Probe {
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
	return m.kept && !m.Leaving && (m.state == Quarantined || m.said)
}

// Probed records the answer of a health check.
func (k *Keeper) Probed(now time.Time, minion string, ok bool) {
	if m := k.minions[minion]; m != nil {
		m.checked(now, ok)
	}
}
