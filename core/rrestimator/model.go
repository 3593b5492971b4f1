package rrestimator

import (
	"math"
	"time"
)

const (
	window           = 48 // observations that the moving averages cover
	maxLog2Deviation = 3  // bound of log2(run time ÷ predicted or mean run time); greater deviations are clamped
	priorVariance    = 1  // initially assumed variance of the log2 of declared run times
)

// runTimeModel predicts the run times of one class. It predicts their logarithm by a
// line over the logarithm of the declared ones. The line has slope one if these are wrong
// by a constant factor, and is flat if they are unrelated.
type runTimeModel struct {
	lastSeen   uint64  // Estimator.observations at the last observation of the class
	runs       float64 // observations, at most window
	mean       float64 // of the run times, in seconds
	regression regression
	bias       bias
}

// regression is a moving linear regression between binary logarithms of seconds.
type regression struct {
	n      float64 // observations, at most window
	x, y   float64 // means of the logarithms of declared and of true run times
	xx, xy float64 // variance of x, and covariance of x and y
}

// bias is the ratio of the mean run time to the mean prediction. They differ because
// the regression predicts the logarithm.
type bias struct {
	ran, predicted float64 // seconds
}

func (m *runTimeModel) observe(declared, run time.Duration) {
	seconds := run.Seconds()
	if declared > 0 {
		m.observeDeclared(math.Log2(clampEstimate(declared).Seconds()), math.Log2(seconds))
	}
	if m.runs > 0 {
		seconds = clampFloat(seconds, m.mean/(1<<maxLog2Deviation), m.mean*(1<<maxLog2Deviation))
	}
	m.runs = min(m.runs+1, window)
	m.mean += (seconds - m.mean) / m.runs
}

// observeDeclared updates the regression by the logarithms of a declared run time (x) and
// the true one (y).
func (m *runTimeModel) observeDeclared(x, y float64) {
	if m.regression.n > 0 {
		predicted := m.regression.predict(x)
		y = clampFloat(y, predicted-maxLog2Deviation, predicted+maxLog2Deviation)
		m.bias.add(math.Exp2(y), math.Exp2(predicted), 1/m.regression.n)
	}
	m.regression.add(x, y)
}

func (b *bias) add(ran, predicted, weight float64) {
	b.ran += (ran - b.ran) * weight
	b.predicted += (predicted - b.predicted) * weight
}

// factor returns the ratio, or one without observations.
func (b *bias) factor() float64 {
	if b.predicted == 0 {
		return 1
	}
	return b.ran / b.predicted
}

func (r *regression) add(x, y float64) {
	r.n = min(r.n+1, window)
	dx, dy := x-r.x, y-r.y
	r.x += dx / r.n
	r.y += dy / r.n
	r.xx += (dx*(x-r.x) - r.xx) / r.n
	r.xy += (dx*(y-r.y) - r.xy) / r.n
}

// predict returns the logarithm of the predicted run time for that of a declared one.
// With few observations the slope is near one.
func (r *regression) predict(x float64) float64 {
	slope := (r.xy*r.n + priorVariance) / (r.xx*r.n + priorVariance)
	return r.y + clampFloat(slope, 0, 1)*(x-r.x)
}

func (m *runTimeModel) estimate(declared time.Duration) time.Duration {
	switch {
	case declared > 0 && m.regression.n > 0:
		log2 := m.regression.predict(math.Log2(clampEstimate(declared).Seconds()))
		return fromSeconds(math.Exp2(log2) * m.bias.factor())
	case m.runs > 0:
		return fromSeconds(m.mean)
	case declared > 0:
		return clampEstimate(declared)
	}
	return DefaultEstimate
}

func fromSeconds(s float64) time.Duration {
	return clampEstimate(time.Duration(min(s, MaxEstimate.Seconds()) * float64(time.Second)))
}
