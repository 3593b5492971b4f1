package rrdispatcher

import "slices"

// tally counts how the tasks of one batch ended on one minion.
type tally struct {
	on     *minion
	passed int
	failed int
}

// maxTallies bounds the minions that a batch tells apart.
const maxTallies = 8

// tell records the end of a task of the batch on a minion.
func (b *batch) tell(m *minion, passed bool) {
	i := slices.IndexFunc(b.tallies, func(t tally) bool { return t.on == m })
	if i < 0 {
		if len(b.tallies) == maxTallies {
			return
		}
		i = len(b.tallies)
		b.tallies = append(b.tallies, tally{on: m})
	}
	if passed {
		b.tallies[i].passed++
	} else {
		b.tallies[i].failed++
	}
}

// elsewhere returns the share of failures of the batch on other healthy minions
// than m: the mean over the minions, with one that fails nothing added.
func (b *batch) elsewhere(m *minion) float64 {
	sum, n := 0.0, 1.0
	for _, t := range b.tallies {
		if t.on != m && t.on.state == Healthy {
			sum += float64(t.failed) / float64(t.failed+t.passed)
			n++
		}
	}
	return sum / n
}

// peers returns the share of like tasks that fail on other minions of the pool:
// the most of the share of all tasks, of the tenant and class, and of the batch.
func (p *pool) peers(m *minion, b *batch) float64 {
	alike := func(o *minion) (float64, bool) { return o.rates.Rate(b.Tenant, b.Class) }
	overall := func(o *minion) (float64, bool) { return o.rates.Overall() }
	return max(p.median(m, overall), p.median(m, alike), b.elsewhere(m))
}

// median returns the median of a rate over the minions but m that have one, or
// zero. A few bad peers do not raise it.
func (p *pool) median(m *minion, rate func(*minion) (float64, bool)) float64 {
	rates := make([]float64, 0, len(p.minions))
	for _, o := range p.minions {
		if r, ok := rate(o); ok && o != m {
			rates = append(rates, r)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// outlier reports whether the evidence against m stands out. Where most minions
// look as bad, the tasks are.
func (p *pool) outlier(m *minion) bool {
	odds := make([]float64, 0, len(p.minions))
	for _, o := range p.minions {
		if o != m && o.state == Healthy {
			odds = append(odds, o.suspect.LogOdds())
		}
	}
	if len(odds) == 0 {
		return true
	}
	slices.Sort(odds)
	return m.suspect.LogOdds() >= odds[len(odds)/4]+standOut
}

// standOut is the evidence by which a bad minion exceeds its lower quarter.
const standOut = 7
