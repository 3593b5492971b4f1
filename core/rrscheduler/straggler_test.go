package rrscheduler

import (
	"testing"
	"time"
)

// Orders without an answer shorten the holds of a pool that can afford the calls, for a
// while.
func TestUnansweredCommandsShortenPolls(t *testing.T) {
	for _, tc := range []struct {
		name    string
		minions int
		lost    bool
		later   time.Duration
		want    time.Duration
	}{
		{"all answered", 4, false, 0, pollWait},
		{"an order unanswered", 4, true, 0, lossyPollWait},
		{"long ago", 4, true, lossyWindow, pollWait},
		{"a large pool", maxLossyMinions + 1, true, 0, pollWait},
	} {
		w := newWorld(t, 1, tc.minions)
		w.run(syncTime)
		if tc.lost {
			w.minions["m00"].unreachable = true
			w.submit(w.newJob("a", 3*tc.minions, 200*time.Millisecond), 200*time.Millisecond)
			w.run(startTimeout)
		}
		now := w.now.Add(tc.later)
		m := w.scheduler.minions["m01"]
		m.pollInFlight, m.nextPollAt = 0, time.Time{}
		w.scheduler.effects = nil
		w.scheduler.pollIfDue(now, m)
		if h, ok := w.scheduler.effects[0].(*PollMinion); !ok || h.MaxWait != tc.want {
			t.Errorf("%s: got %+v, want a hold of %v", tc.name, w.scheduler.effects[0], tc.want)
		}
	}
}

// A minion that runs nothing is asked once a second, and is used as soon as any other.
func TestIdleMinionIsPolledRarely(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.run(idleAfter + 2*time.Second)
	before := w.polls
	w.run(10 * time.Second)
	if got, want := w.polls-before, 4*11; got > want {
		t.Errorf("holds in 10 s: got %d, want at most %d", got, want)
	}
	w.run(700 * time.Millisecond) // into a long hold
	j := w.submit(w.newJob("a", 8, 1500*time.Millisecond), 1500*time.Millisecond)
	w.run(2 * time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if took, maxTook := j.answeredAt.Sub(j.job.ReceivedAt), 1510*time.Millisecond; took > maxTook {
		t.Errorf("took %v, want at most %v", took, maxTook)
	}
	if got, want := w.starts, 8; got != want {
		t.Errorf("starts: got %d, want %d: a lease has lapsed", got, want)
	}
}
