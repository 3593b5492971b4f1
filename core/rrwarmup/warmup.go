// Package rrwarmup learns how much longer tasks run on minions that have just started, and how
// often such a cold minion may get one.
//
// The slowdown, the factor by which run times are longer, is modeled as a line over the remaining cold
// time: it has its full value on a minion that has just started and falls to one when the minion is warm.
// The full value is learned as a mean of logarithms, which single long runs move little.
package rrwarmup

import (
	"math"
	"time"
)

// MaxRemaining is the longest cold time. Longer ones are taken for errors; see Valid.
const MaxRemaining = time.Hour

const (
	maxLog2             = 4                // bound of the slowdown in log2 units: 16 times the run time
	window              = 64               // runs that the line is fitted to
	minRuns             = 8                // runs on just started minions before which no slowdown is assumed: one run in thirty takes seven times as long by itself
	unlearnedTolerance  = 4                // Tolerance while the slowdown is not known
	toleranceFactor     = 2                // Tolerance in multiples of the learned slowdown
	logFactor           = 1.5              // change of the slowdown that is worth a log line
	logInterval         = 10 * time.Second // minimum time between two log lines
	maxStartsPerSecond  = 1e6              // higher rates count as this one
	minObservedPosition = 0.2              // runs on a minion that is nearly warm say little about the full slowdown
)

// Valid returns a cold time, or zero if it is negative or longer than MaxRemaining.
func Valid(d time.Duration) time.Duration {
	if d < 0 || d > MaxRemaining {
		return 0
	}
	return d
}

// ValidRate returns a number of starts per second, or zero, which stands for no limit, if it is
// negative or not a number.
func ValidRate(perSecond float64) float64 {
	if !(perSecond > 0) {
		return 0
	}
	return min(perSecond, maxStartsPerSecond)
}

// Settings are what the configuration says about the cold minions of a service. The zero value says
// nothing.
type Settings struct {
	ColdTime        time.Duration // for which a started minion is slow; zero if not known
	StartsPerSecond float64       // most starts on one cold minion; zero for no limit
}

// Service is what is known about the cold minions of one service. The zero value has no settings and
// no observations, and assumes no slowdown.
type Service struct {
	settings Settings
	longest  time.Duration // longest remaining cold time seen
	runs     float64       // observed runs, weighted by the square of their position on the line, and decaying
	log2Sum  float64       // sum of the log2 of the full slowdown by each of the same runs, with the same weights
	logged   float64       // slowdown in the last log line; zero before the first
	loggedAt time.Time
}

// Configure sets the settings.
func (s *Service) Configure(settings Settings) {
	s.settings = Settings{ColdTime: Valid(settings.ColdTime), StartsPerSecond: ValidRate(settings.StartsPerSecond)}
}

// ObserveRemaining records the remaining cold time of a minion. Without a configured cold time, the
// longest one counts as the cold time of a minion that has just started.
func (s *Service) ObserveRemaining(remaining time.Duration) {
	s.longest = max(s.longest, Valid(remaining))
}

// ColdTime returns how long a minion that has just started is expected to be cold, or zero if that is
// not known.
func (s *Service) ColdTime() time.Duration {
	if s.settings.ColdTime > 0 {
		return s.settings.ColdTime
	}
	return s.longest
}

// position returns the place on the line of a minion with the given remaining cold time: one if it has
// just started, zero if it is warm.
func (s *Service) position(remaining time.Duration) float64 {
	cold := s.ColdTime()
	if remaining <= 0 || cold <= 0 {
		return 0
	}
	return min(float64(remaining)/float64(cold), 1)
}

// ObserveRun records a run on a minion that had the given remaining cold time when the run started, and
// the run time that was expected on a warm minion.
func (s *Service) ObserveRun(remaining, expected, run time.Duration) {
	x := s.position(remaining - run/2) // the slowdown falls during the run; its middle stands for all of it
	if expected <= 0 || run <= 0 || x < minObservedPosition {
		return
	}
	ratio := min(float64(run)/float64(expected), 1<<maxLog2)
	full := min(max(1+(ratio-1)/x, 1.0/(1<<maxLog2)), 1<<maxLog2)
	weight := x * x
	keep := 1 - weight/window
	s.runs = s.runs*keep + weight
	s.log2Sum = s.log2Sum*keep + weight*math.Log2(full)
}

func (s *Service) learned() bool { return s.runs >= minRuns }

// Slowdown returns the learned slowdown of a minion that has just started, 1 to 16; 1 while too few
// runs are known.
func (s *Service) Slowdown() float64 {
	if !s.learned() {
		return 1
	}
	return math.Exp2(min(max(s.log2Sum/s.runs, 0), maxLog2))
}

// SlowdownAt returns the slowdown of a minion with the given remaining cold time, 1 to 16.
func (s *Service) SlowdownAt(remaining time.Duration) float64 {
	return 1 + (s.Slowdown()-1)*s.position(remaining)
}

// RunTime returns the expected run time of a task that starts on a minion with the given remaining cold
// time, from the one on a warm minion.
func (s *Service) RunTime(remaining, warm time.Duration) time.Duration {
	middle := remaining - time.Duration(float64(warm)*s.SlowdownAt(remaining)/2)
	return time.Duration(float64(warm) * s.SlowdownAt(middle))
}

// Tolerance returns the factor by which a run on a minion with the given remaining cold time may take
// longer than on a warm one before it counts as faulty. It is above the expected slowdown.
func (s *Service) Tolerance(remaining time.Duration) float64 {
	if remaining <= 0 {
		return 1
	}
	if !s.learned() {
		return unlearnedTolerance
	}
	return toleranceFactor * s.SlowdownAt(remaining)
}

// StartGap returns the least time between two starts on one cold minion, zero if there is no limit.
func (s *Service) StartGap() time.Duration {
	if s.settings.StartsPerSecond == 0 {
		return 0
	}
	return time.Duration(min(math.Ceil(float64(time.Second)/s.settings.StartsPerSecond), float64(MaxRemaining)))
}

// ShouldLog reports whether the learned slowdown has changed by half since it last reported so, at most
// once every ten seconds, and returns the slowdowns before and after.
func (s *Service) ShouldLog(now time.Time) (before, after float64, ok bool) {
	before, after = max(s.logged, 1), s.Slowdown()
	if ratio := after / before; ratio < logFactor && ratio > 1/logFactor {
		return before, after, false
	}
	if !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < logInterval {
		return before, after, false
	}
	s.logged, s.loggedAt = after, now
	return before, after, true
}
