package rrscheduler

import (
	"testing"
	"time"
)

// The only minion with free capacity fails all runs. A task must not use up its attempts there, but
// wait for another minion. If no other minion can run the task, it makes all attempts there.
func TestFaultyMinionDoesNotUseUpAttempts(t *testing.T) {
	for _, tc := range []struct {
		name    string
		minions int
		want    OutcomeKind
	}{
		{"another one is full for a while", 2, OutcomeCompleted},
		{"there is no other", 1, OutcomeFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, tc.minions)
			w.advance(syncTime)
			for _, id := range w.minionIDs()[1:] {
				w.minions["m00"].unreachable = true // so that the other minions are filled
				w.advance(time.Second)
				w.submit(w.newJob("fills "+id, 2, 700*time.Millisecond), 700*time.Millisecond)
				w.advance(50 * time.Millisecond)
				w.minions["m00"].unreachable = false
				w.advance(200 * time.Millisecond)
			}
			w.minions["m00"].failsAll = true
			job := w.newJob("a", 1, 150*time.Millisecond)
			job.MaxAttempts = 3
			j := w.submit(job, 150*time.Millisecond)
			w.advance(2 * time.Second)
			if got := j.outcome(t); got.Kind != tc.want {
				t.Errorf("outcome: got %v %v, want %v", got.Kind, got.Reason, tc.want)
			}
		})
	}
}
