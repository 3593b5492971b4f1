package rrhealth

import (
	"math"
	"time"
)

// Speed learns how much longer tasks take on one minion than expected. The zero
// value is as fast as expected.
type Speed struct {
	octaves float64
	runs    float64
}

const (
	speedMemory  = 24 // tasks that the average looks back on
	speedPrior   = 2  // tasks that count as run at the expected speed
	speedOutlier = 4  // octaves by which one task may differ
)

// Observe records one task.
func (s *Speed) Observe(expected, run time.Duration) {
	if expected <= 0 || run <= 0 {
		return
	}
	o := math.Log2(float64(run) / float64(expected))
	o = min(max(o, -speedOutlier), speedOutlier)
	s.runs = min(s.runs+1, speedMemory)
	s.octaves += (o - s.octaves) / (s.runs + speedPrior)
}

// Factor returns how many times as long as expected tasks take.
func (s *Speed) Factor() float64 {
	return math.Exp2(s.octaves)
}

// Octaves returns the binary logarithm of Factor.
func (s *Speed) Octaves() float64 {
	return s.octaves
}

// Rank returns a coarse rank for choosing among minions: zero for all that are
// nearly as fast as expected, more for slower ones.
func (s *Speed) Rank() int {
	return max(0, int(math.Round(s.octaves)))
}
