package rrestimator

import (
	"math"
	"time"
)

const (
	memory  = 48 // observations that the averages look back on
	outlier = 3  // octaves by which one observation may differ from the estimate
	prior   = 1  // square octaves of noise in declared run times that are assumed at first
)

// cell holds what is known of one label. It predicts the logarithm of the run time
// by a line through the declared ones: of slope one where they are off by a steady
// factor, flat where they say nothing.
type cell struct {
	seen   uint64  // number of the last observation
	runs   float64 // observations, up to memory
	mean   float64 // run time, seconds
	line   line
	biased bias
}

// line is a moving linear regression between binary logarithms of seconds.
type line struct {
	n      float64 // observations, up to memory
	x, y   float64 // mean of declared and of true run times
	xx, xy float64 // variance and covariance
}

// bias is the ratio of the mean of run times to the mean of predictions, which
// differ since the line predicts the logarithm.
type bias struct {
	ran, predicted float64 // seconds
}

func (c *cell) observe(declared, run time.Duration) {
	seconds := run.Seconds()
	if declared > 0 {
		c.compare(math.Log2(clamp(declared).Seconds()), math.Log2(seconds))
	}
	if c.runs > 0 {
		seconds = clip(seconds, c.mean/(1<<outlier), c.mean*(1<<outlier))
	}
	c.runs = min(c.runs+1, memory)
	c.mean += (seconds - c.mean) / c.runs
}

// compare learns from a declared run time and the true one, in octaves.
func (c *cell) compare(x, y float64) {
	if c.line.n > 0 {
		guess := c.line.at(x)
		y = clip(y, guess-outlier, guess+outlier)
		c.biased.add(math.Exp2(y), math.Exp2(guess), 1/c.line.n)
	}
	c.line.add(x, y)
}

func (b *bias) add(ran, predicted, weight float64) {
	b.ran += (ran - b.ran) * weight
	b.predicted += (predicted - b.predicted) * weight
}

// factor returns the ratio, or one when nothing is known.
func (b *bias) factor() float64 {
	if b.predicted == 0 {
		return 1
	}
	return b.ran / b.predicted
}

func (l *line) add(x, y float64) {
	l.n = min(l.n+1, memory)
	dx, dy := x-l.x, y-l.y
	l.x += dx / l.n
	l.y += dy / l.n
	l.xx += (dx*(x-l.x) - l.xx) / l.n
	l.xy += (dx*(y-l.y) - l.xy) / l.n
}

// at returns the prediction for a declared run time, both in octaves. A few
// observations count as a line of slope one.
func (l *line) at(x float64) float64 {
	slope := (l.xy*l.n + prior) / (l.xx*l.n + prior)
	return l.y + clip(slope, 0, 1)*(x-l.x)
}

func (c *cell) estimate(declared time.Duration) time.Duration {
	switch {
	case declared > 0 && c.line.n > 0:
		octaves := c.line.at(math.Log2(clamp(declared).Seconds()))
		return seconds(math.Exp2(octaves) * c.biased.factor())
	case c.runs > 0:
		return seconds(c.mean)
	case declared > 0:
		return clamp(declared)
	}
	return DefaultEstimate
}

func seconds(s float64) time.Duration {
	return clamp(time.Duration(min(s, MaxEstimate.Seconds()) * float64(time.Second)))
}
