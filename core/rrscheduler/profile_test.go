package rrscheduler

import (
	"testing"
	"time"

	"rattanring/core/rrtask"
)

// A job is forwarded only to a shard that can run all of its tasks, and is refused as never fitting
// only if no shard can.
func TestProfilesDecideWhereJobGoes(t *testing.T) {
	plain := MinionProfile{Service: "s", Capacity: rrtask.Resources{MilliCores: 64_000, MemoryBytes: 64 << 30}}
	fast := plain
	fast.Labels = []string{"fast"}
	other := plain
	other.Service = "other"
	for _, tc := range []struct {
		name     string
		label    string
		bound    bool
		full     bool // the shard's own minions are busy
		profiles []MinionProfile
		want     JobOutcome
	}{
		{"label is there only", "fast", false, false, []MinionProfile{plain, fast}, JobOutcome{Kind: OutcomeForwarded, Shard: "b"}},
		{"label is nowhere", "slow", false, false, []MinionProfile{plain, fast}, JobOutcome{Kind: OutcomeRefused, Reason: ReasonNeverFits}},
		{"label is there, but the job came from there", "fast", true, false, []MinionProfile{fast}, JobOutcome{Kind: OutcomeRefused, Reason: ReasonNoMinion, RetryAfter: minRetryAfter}},
		{"room is there", "", false, true, []MinionProfile{plain}, JobOutcome{Kind: OutcomeForwarded, Shard: "b"}},
		{"no place here, minions there are not known", "fast", false, false, nil, JobOutcome{Kind: OutcomeForwarded, Shard: "b"}},
		{"busy here, minions there are not known", "", false, true, nil, JobOutcome{}},
		{"room is there for another service", "", false, true, []MinionProfile{other}, JobOutcome{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.run(syncTime)
			w.step(&ShardProfilesReported{ByShard: map[string][]MinionProfile{"b": tc.profiles}})
			w.step(&ShardLoadsReported{ByShard: map[string]Load{"b": {FreeMillicores: 64_000, CapacityMillicores: 64_000}}})
			if tc.full {
				w.submit(w.newJob("before", 2, 200*time.Millisecond), 200*time.Millisecond)
				w.submit(w.newJob("waits", 2, 200*time.Millisecond), 200*time.Millisecond)
			}
			job := w.newJob("a", 2, 200*time.Millisecond)
			job.Phases[0].RequiredLabel, job.NoForward = tc.label, tc.bound
			j := w.submit(job, 200*time.Millisecond)
			got := JobOutcome{}
			if len(j.answers) > 0 {
				got = j.answers[0]
			}
			if got.Kind != tc.want.Kind || got.Reason != tc.want.Reason || got.Shard != tc.want.Shard || got.RetryAfter != tc.want.RetryAfter {
				t.Errorf("outcome: got %+v, want %+v", got, tc.want)
			}
		})
	}
}
