package rrdispatcher

import "slices"

// minionResult counts how the tasks of one batch ended on one minion.
type minionResult struct {
	minion *minion
	passed int
	failed int
}

// maxMinionResults bounds the minions that a batch tells apart.
const maxMinionResults = 8

// recordResult records the end of a task of the batch on a minion.
func (b *batch) recordResult(m *minion, passed bool) {
	i := slices.IndexFunc(b.minionResults, func(t minionResult) bool { return t.minion == m })
	if i < 0 {
		if len(b.minionResults) == maxMinionResults {
			return
		}
		i = len(b.minionResults)
		b.minionResults = append(b.minionResults, minionResult{minion: m})
	}
	if passed {
		b.minionResults[i].passed++
	} else {
		b.minionResults[i].failed++
	}
}

// failureRateElsewhere returns the share of failures of the batch on other healthy minions
// than m: the mean over the minions, with one that fails nothing added.
func (b *batch) failureRateElsewhere(m *minion) float64 {
	sum, n := 0.0, 1.0
	for _, t := range b.minionResults {
		if t.minion != m && t.minion.state == Healthy {
			sum += float64(t.failed) / float64(t.failed+t.passed)
			n++
		}
	}
	return sum / n
}

// peerFailureRate returns the share of like tasks that fail on other minions of the pool:
// the most of the share of all tasks, of the tenant and class, and of the batch.
func (p *pool) peerFailureRate(m *minion, b *batch) float64 {
	ofClass := func(o *minion) (float64, bool) { return o.failureRates.Rate(b.Tenant, b.Class) }
	overall := func(o *minion) (float64, bool) { return o.failureRates.Overall() }
	return max(p.medianRate(m, overall), p.medianRate(m, ofClass), b.failureRateElsewhere(m))
}

// medianRate returns the median of a rate over the minions but m that have one, or
// zero. A few bad peers do not raise it.
func (p *pool) medianRate(m *minion, rate func(*minion) (float64, bool)) float64 {
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
	logOdds := make([]float64, 0, len(p.minions))
	for _, o := range p.minions {
		if o != m && o.state == Healthy {
			logOdds = append(logOdds, o.detector.LogOdds())
		}
	}
	if len(logOdds) == 0 {
		return true
	}
	slices.Sort(logOdds)
	return m.detector.LogOdds() >= logOdds[len(logOdds)/4]+minOutlierLogOdds
}

// minOutlierLogOdds is the evidence by which a bad minion exceeds its lower quarter.
const minOutlierLogOdds = 7
