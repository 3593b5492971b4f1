package rrhealth

import (
	"math"
	"time"
)

// Slowdown learns how much longer tasks take on one minion than expected. The zero
// value is a minion as fast as expected.
type Slowdown struct {
	log2 float64 // moving average of log2(run time ÷ expected run time)
	runs float64 // tasks observed, decaying and at most slowdownWindow
}

const (
	slowdownWindow   = 24              // tasks that the moving average covers
	slowdownPrior    = 2               // tasks as fast as expected that the average starts with
	slowdownHalfLife = 3 * time.Minute // time after which Decay halves the slowdown
	maxLog2Deviation = 4               // bound of log2(run time ÷ expected run time) of one task; greater deviations are clamped
)

// Observe records one task.
func (s *Slowdown) Observe(expected, run time.Duration) {
	if expected <= 0 || run <= 0 {
		return
	}
	log2 := math.Log2(float64(run) / float64(expected))
	log2 = min(max(log2, -maxLog2Deviation), maxLog2Deviation)
	s.runs = min(s.runs+1, slowdownWindow)
	s.log2 += (log2 - s.log2) / (s.runs + slowdownPrior)
}

// Decay moves the slowdown towards zero as time passes. A slow minion then gets tasks
// again and is measured again.
func (s *Slowdown) Decay(d time.Duration) {
	decay := math.Exp2(-float64(d) / float64(slowdownHalfLife))
	s.log2 *= decay
	s.runs *= decay
}

// Log2 returns the moving average of log2(run time ÷ expected run time).
func (s *Slowdown) Log2() float64 {
	return s.log2
}
