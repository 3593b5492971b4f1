package rrkeep

import "time"

// Verdicts returns what the keeper found out about minions that are not healthy.
func (k *Keeper) Verdicts() []Verdict {
	var out []Verdict
	for _, m := range k.order {
		if m.shown() != Healthy {
			out = append(out, Verdict{m.Name, m.shown(), m.since})
		}
	}
	return out
}

// Learned takes in verdicts of other keepers. They count when the keeper adopts
// the minion.
func (k *Keeper) Learned(now time.Time, vs []Verdict) {
	for _, v := range vs {
		k.heard.add(now, v)
	}
}

// Bounds of the verdicts that a keeper remembers of others.
const (
	maxHeard  = 2048
	heardTime = 5 * time.Minute
)

// heard remembers the latest verdict of other keepers per minion. The zero value
// remembers nothing.
type heard struct {
	all map[string]heardVerdict
}

type heardVerdict struct {
	Verdict
	when time.Time
}

func (h *heard) add(now time.Time, v Verdict) {
	if h.all == nil {
		h.all = make(map[string]heardVerdict)
	}
	old, ok := h.all[v.Minion]
	if ok && v.At.Before(old.At) {
		return
	}
	if !ok && len(h.all) >= maxHeard {
		h.prune(now)
	}
	if ok || len(h.all) < maxHeard {
		h.all[v.Minion] = heardVerdict{v, now}
	}
}

func (h *heard) prune(now time.Time) {
	for name, v := range h.all {
		if now.Sub(v.when) > heardTime {
			delete(h.all, name)
		}
	}
}

// state returns the last verdict about a minion, Healthy when there is none.
func (h *heard) state(minion string) State {
	return h.all[minion].State
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

// Orders appends requests to stop or throttle tasks on overfull workers.
func (k *Keeper) Orders(now time.Time, out []Order) []Order {
	return out
}
