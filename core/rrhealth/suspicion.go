// Package rrhealth weighs the evidence about minions: whether one fails more than
// its peers, and whether it is slower.
package rrhealth

import "math"

// Weights of the evidence that a minion is bad.
const (
	Limit     = 11.5 // evidence at which a minion is bad, as a natural logarithm of odds
	badFails  = 0.9  // share of tasks that a bad minion fails
	leastFail = 0.05 // least share of tasks that a good minion is taken to fail
	mostFail  = 0.9  // greatest one: a failure says nothing where all fail
)

// Suspicion is a cumulative sum test of "fails like its peers" against "fails
// nearly everything". The zero value suspects nothing.
type Suspicion struct {
	odds float64
}

// Failed adds a failure. Peers is the share of like tasks that fail elsewhere.
func (s *Suspicion) Failed(peers float64) {
	p := min(max(peers, leastFail), mostFail)
	s.odds = min(s.odds+math.Log(badFails/p), 2*Limit)
}

// Passed adds a task that ran well.
func (s *Suspicion) Passed() {
	s.odds = max(0, s.odds+math.Log((1-badFails)/(1-leastFail)))
}

// Bad reports whether the evidence is enough.
func (s *Suspicion) Bad() bool {
	return s.odds >= Limit
}

// Doubt sets the evidence so that one more clear failure is enough.
func (s *Suspicion) Doubt() {
	s.odds = Limit - math.Log(badFails/leastFail)
}

// Odds returns the evidence so far.
func (s *Suspicion) Odds() float64 {
	return s.odds
}
