package rrwarmup

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const coldTime = 10 * time.Second

// observe records runs of minions that have just started or have warmed up for a while, at the given
// slowdown of just started ones, with the noise and the outliers of real run times.
func observe(s *Service, slowdown float64, runs int) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range runs {
		remaining := time.Duration((0.3 + 0.7*rnd.Float64()) * float64(coldTime))
		factor := math.Exp(rnd.NormFloat64() * 0.4)
		if rnd.IntN(33) == 0 {
			factor = 7
		}
		warm := 50 * time.Millisecond
		s.ObserveRun(remaining, warm, time.Duration(factor*float64(warm)*(1+(slowdown-1)*s.position(remaining))))
	}
}

// A slowdown must be found within noise, and none where minions aren't slow.
func TestLearnsSlowdown(t *testing.T) {
	for _, slowdown := range []float64{1, 2, 4, 8} {
		s := Service{}
		s.Configure(Settings{ColdTime: coldTime})
		observe(&s, slowdown, 200)
		if got := s.Slowdown(); got < slowdown*0.8 || got > slowdown*1.3 {
			t.Errorf("slowdown: got %.2f, want about %.0f", got, slowdown)
		}
	}
}

// Values of any size must leave the slowdown between 1 and 16, falling to 1 with the cold time, and no
// run time below the warm one.
func TestSlowdownIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Service
		s.Configure(Settings{ColdTime: time.Duration(rapid.Int64().Draw(t, "cold")), StartsPerSecond: rapid.Float64().Draw(t, "rate")})
		for range rapid.IntRange(0, 30).Draw(t, "runs") {
			remaining := time.Duration(rapid.Int64().Draw(t, "remaining"))
			s.ObserveRemaining(remaining)
			s.ObserveRun(Valid(remaining), time.Duration(rapid.Int64().Draw(t, "expected")), time.Duration(rapid.Int64().Draw(t, "run")))
		}
		if got := s.Slowdown(); !(got >= 1 && got <= 16) {
			t.Errorf("slowdown: got %v, want 1 to 16", got)
		}
		last := 1.0
		for d := time.Duration(0); d <= MaxRemaining; d += MaxRemaining / 16 {
			slowdown := s.SlowdownAt(d)
			if slowdown < last || d == 0 && slowdown != 1 {
				t.Errorf("slowdown with %v remaining: got %v, want at least %v, and 1 when warm", d, slowdown, last)
			}
			if got := s.RunTime(d, time.Second); got < time.Second || got > 16*time.Second {
				t.Errorf("run time with %v remaining: got %v, want 1 to 16 s", d, got)
			}
			if got := s.Tolerance(d); !(got >= slowdown) {
				t.Errorf("tolerance with %v remaining: got %v, want at least %v", d, got, slowdown)
			}
			last = slowdown
		}
		if s.StartGap() < 0 {
			t.Errorf("gap between starts: got %v, want none below zero", s.StartGap())
		}
	})
}

// Values out of range must count as zero.
func TestValid(t *testing.T) {
	for _, tc := range []struct{ d, want time.Duration }{{-1, 0}, {0, 0}, {time.Hour, time.Hour}, {time.Hour + 1, 0}} {
		if got := Valid(tc.d); got != tc.want {
			t.Errorf("Valid(%v): got %v, want %v", tc.d, got, tc.want)
		}
	}
	for _, tc := range []struct{ r, want float64 }{{-1, 0}, {math.NaN(), 0}, {0.5, 0.5}, {math.Inf(1), maxStartsPerSecond}} {
		if got := ValidRate(tc.r); got != tc.want {
			t.Errorf("ValidRate(%v): got %v, want %v", tc.r, got, tc.want)
		}
	}
}

// A slowdown that changes all the time must not fill the log.
func TestLogsChangesOnly(t *testing.T) {
	s := Service{}
	s.Configure(Settings{ColdTime: coldTime})
	now := time.Unix(0, 0)
	observe(&s, 1.2, 100)
	if _, _, ok := s.ShouldLog(now); ok {
		t.Error("slowdown of 1.2: got a log line, want none")
	}
	observe(&s, 4, 500)
	before, after, ok := s.ShouldLog(now)
	if !ok || before != 1 || after < 3 {
		t.Errorf("slowdown of 4: got %v to %v, %v, want a line from 1 to about 4", before, after, ok)
	}
	observe(&s, 1, 500)
	if _, _, ok := s.ShouldLog(now.Add(9 * time.Second)); ok {
		t.Error("after 9 s: got a second line, want none")
	}
	if _, _, ok := s.ShouldLog(now.Add(10 * time.Second)); !ok {
		t.Error("after 10 s: got no line, want one")
	}
}
