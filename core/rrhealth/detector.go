// Package rrhealth measures whether a minion fails more tasks than its peers, and how
// much slower than expected it runs them.
package rrhealth

import "math"

// Parameters of the test whether a minion is bad.
const (
	BadThreshold       = 11.5 // natural logarithm of the odds from which a minion counts as bad
	badFailureRate     = 0.9  // assumed share of tasks that a bad minion fails
	minPeerFailureRate = 0.05 // least assumed share of tasks that fail on peers
	maxPeerFailureRate = 0.9  // greatest assumed share; where all minions fail, a failure is no evidence
)

// FailureDetector is a cumulative sum test of the hypothesis "fails like its peers"
// against "fails nearly all tasks". The zero value has no evidence.
type FailureDetector struct {
	logOdds float64
}

// RecordFailure adds a failure. The argument peerRate is the share of similar tasks that
// fail on other minions.
func (d *FailureDetector) RecordFailure(peerRate float64) {
	p := min(max(peerRate, minPeerFailureRate), maxPeerFailureRate)
	d.logOdds = min(d.logOdds+math.Log(badFailureRate/p), 2*BadThreshold)
}

// RecordSuccess adds a success.
func (d *FailureDetector) RecordSuccess() {
	d.logOdds = max(0, d.logOdds+math.Log((1-badFailureRate)/(1-minPeerFailureRate)))
}

// Bad reports whether the evidence reaches BadThreshold.
func (d *FailureDetector) Bad() bool {
	return d.logOdds >= BadThreshold
}

// SetProbation sets the evidence to a value at which one failure of a task that rarely
// fails on peers makes the minion bad.
func (d *FailureDetector) SetProbation() {
	d.logOdds = BadThreshold - math.Log(badFailureRate/minPeerFailureRate)
}

// LogOdds returns the natural logarithm of the odds that the minion is bad.
func (d *FailureDetector) LogOdds() float64 {
	return d.logOdds
}
