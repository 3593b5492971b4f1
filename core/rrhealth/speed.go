package rrhealth

import (
	"math"
	"time"
)

// Slowdown learns how much longer tasks take on one minion than expected. The zero
// value is as fast as expected.
type Slowdown struct {
	octaves float64
	runs    float64
}

const (
	speedMemory  = 24              // tasks that the average looks back on
	speedPrior   = 2               // tasks that count as run at the expected speed
	speedHalf    = 3 * time.Minute // the speed fades by half
	speedOutlier = 4               // octaves by which one task may differ
)

// Observe records one task.
func (s *Slowdown) Observe(expected, run time.Duration) {
	if expected <= 0 || run <= 0 {
		return
	}
	o := math.Log2(float64(run) / float64(expected))
	o = min(max(o, -speedOutlier), speedOutlier)
	s.runs = min(s.runs+1, speedMemory)
	s.octaves += (o - s.octaves) / (s.runs + speedPrior)
}

// Decay lets the speed return to the expected one over time, so that a minion that
// was slow is tried again.
func (s *Slowdown) Decay(d time.Duration) {
	part := math.Exp2(-float64(d) / float64(speedHalf))
	s.octaves *= part
	s.runs *= part
}

// Log2 returns how much longer than expected tasks take, as a binary logarithm.
func (s *Slowdown) Log2() float64 {
	return s.octaves
}
