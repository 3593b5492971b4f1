package rrscheduler

import (
	"testing"
	"time"
)

// After an unanswered start command, polls wait for a shorter time, since the next poll repeats what a
// lost answer listed. This lasts for lossyWindow, and only in shards small enough for the additional
// calls.
func TestUnansweredCommandsShortenPolls(t *testing.T) {
	for _, tc := range []struct {
		name    string
		minions int
		lost    bool
		later   time.Duration
		want    time.Duration
	}{
		{"all answered", 4, false, 0, pollWait},
		{"a start command unanswered", 4, true, 0, lossyPollWait},
		{"long ago", 4, true, lossyWindow, pollWait},
		{"a large shard", maxLossyMinions + 1, true, 0, pollWait},
	} {
		w := newWorld(t, 1, tc.minions)
		w.advance(syncTime)
		if tc.lost {
			w.minions["m00"].unreachable = true
			w.submit(w.newJob("a", 3*tc.minions, 200*time.Millisecond), 200*time.Millisecond)
			w.advance(startTimeout)
		}
		now := w.now.Add(tc.later)
		m := w.scheduler.minions["m01"]
		m.pollInFlight, m.nextPollAt = 0, time.Time{}
		w.scheduler.effects = nil
		w.scheduler.pollIfDue(now, m)
		if p, ok := w.scheduler.effects[0].(*PollMinion); !ok || p.MaxWait != tc.want {
			t.Errorf("%s: got %+v, want a poll of %v", tc.name, w.scheduler.effects[0], tc.want)
		}
	}
}

// An idle minion is polled about once a second, and still starts tasks without delay and renews their
// lease.
func TestIdleMinionIsPolledRarely(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.advance(idleAfter + 2*time.Second)
	before := w.polls
	w.advance(10 * time.Second)
	if got, want := w.polls-before, 4*11; got > want {
		t.Errorf("polls in 10 s: got %d, want at most %d", got, want)
	}
	w.advance(700 * time.Millisecond) // into an idle poll
	j := w.submit(w.newJob("a", 8, 1500*time.Millisecond), 1500*time.Millisecond)
	w.advance(2 * time.Second)
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if took, maxTook := j.answeredAt.Sub(j.job.ReceivedAt), 1510*time.Millisecond; took > maxTook {
		t.Errorf("took %v, want at most %v", took, maxTook)
	}
	if got, want := w.starts, 8; got != want {
		t.Errorf("starts: got %d, want %d: a lease has expired", got, want)
	}
}
