// Package rrhealth weighs the evidence about minions: whether one fails more than
// its peers, and whether it is slower.
package rrhealth

import "math"

// Weights of the evidence that a minion is bad.
const (
	BadThreshold = 11.5 // evidence at which a minion is bad, as a natural logarithm of odds
	badFails     = 0.9  // share of tasks that a bad minion fails
	leastFail    = 0.05 // least share of tasks that a good minion is taken to fail
	mostFail     = 0.9  // greatest one: a failure says nothing where all fail
)

// FailureDetector is a cumulative sum test of "fails like its peers" against "fails
// nearly everything". The zero value suspects nothing.
type FailureDetector struct {
	odds float64
}

// RecordFailure adds a failure. Peers is the share of like tasks that fail elsewhere.
func (s *FailureDetector) RecordFailure(peers float64) {
	p := min(max(peers, leastFail), mostFail)
	s.odds = min(s.odds+math.Log(badFails/p), 2*BadThreshold)
}

// RecordSuccess adds a task that ran well.
func (s *FailureDetector) RecordSuccess() {
	s.odds = max(0, s.odds+math.Log((1-badFails)/(1-leastFail)))
}

// Bad reports whether the evidence is enough.
func (s *FailureDetector) Bad() bool {
	return s.odds >= BadThreshold
}

// SetProbation sets the evidence so that one more clear failure is enough.
func (s *FailureDetector) SetProbation() {
	s.odds = BadThreshold - math.Log(badFails/leastFail)
}

// LogOdds returns the evidence so far.
func (s *FailureDetector) LogOdds() float64 {
	return s.odds
}
