package rrdispatcher

import "slices"

// minionResult counts the successes and failures of one batch on one minion.
type minionResult struct {
	minion    *minion
	succeeded int
	failed    int
}

// maxMinionResults bounds the minions whose results a batch counts.
const maxMinionResults = 8

// recordResult counts the end of one of the batch's tasks on a minion.
func (b *batch) recordResult(m *minion, succeeded bool) {
	i := slices.IndexFunc(b.minionResults, func(r minionResult) bool { return r.minion == m })
	if i < 0 {
		if len(b.minionResults) == maxMinionResults {
			return
		}
		i = len(b.minionResults)
		b.minionResults = append(b.minionResults, minionResult{minion: m})
	}
	if succeeded {
		b.minionResults[i].succeeded++
	} else {
		b.minionResults[i].failed++
	}
}

// failureRateElsewhere returns the mean share of the batch's tasks that failed on
// healthy minions other than m. One minion without failures is added to the mean.
func (b *batch) failureRateElsewhere(m *minion) float64 {
	sum, n := 0.0, 1.0
	for _, r := range b.minionResults {
		if r.minion != m && r.minion.state == Healthy {
			sum += float64(r.failed) / float64(r.failed+r.succeeded)
			n++
		}
	}
	return sum / n
}

// peerFailureRate returns the share of similar tasks that fail on other minions of the
// pool: the greatest of the shares of all tasks, of the tenant's class and of the batch.
func (p *pool) peerFailureRate(m *minion, b *batch) float64 {
	ofClass := func(o *minion) (float64, bool) { return o.failureRates.Rate(b.Tenant, b.Class) }
	overall := func(o *minion) (float64, bool) { return o.failureRates.Overall() }
	return max(p.medianRate(m, overall), p.medianRate(m, ofClass), b.failureRateElsewhere(m))
}

// medianRate returns the median of a rate over the minions other than m that have one,
// or zero if none has. A few bad peers do not raise it.
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

// outlier reports whether the evidence against m clearly exceeds that against its
// peers. If most minions look as bad, the cause is the tasks.
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

// minOutlierLogOdds is how far a minion's log odds must exceed the lower quartile of its
// healthy peers to make it an outlier.
const minOutlierLogOdds = 7
