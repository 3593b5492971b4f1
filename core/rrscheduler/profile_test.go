package rrscheduler

import (
	"testing"
	"time"

	"rattanring/core/rrtask"
)

// A job is forwarded only to a shard that can run all of its tasks, and is refused as never fitting
// only if no shard can.
func TestForwardingFollowsProfiles(t *testing.T) {
	plain := MinionProfile{Service: "s", Capacity: rrtask.Resources{MilliCores: 64_000, MemoryBytes: 64 << 30}}
	fast := plain
	fast.Labels = []string{"fast"}
	other := plain
	other.Service = "other"
	for _, tc := range []struct {
		name      string
		label     string
		noForward bool
		full      bool // the shard's own minions are busy
		profiles  []MinionProfile
		want      JobOutcome
	}{
		{"label only in the other shard", "fast", false, false, []MinionProfile{plain, fast}, JobOutcome{Kind: OutcomeForwarded, Shard: "b"}},
		{"label in no shard", "slow", false, false, []MinionProfile{plain, fast}, JobOutcome{Kind: OutcomeRefused, Reason: ReasonNeverFits}},
		{"label only in the other shard, which forwarded the job", "fast", true, false, []MinionProfile{fast}, JobOutcome{Kind: OutcomeRefused, Reason: ReasonNoMinion, RetryAfter: minRetryAfter}},
		{"free capacity in the other shard", "", false, true, []MinionProfile{plain}, JobOutcome{Kind: OutcomeForwarded, Shard: "b"}},
		{"does not fit here, profiles of the other shard unknown", "fast", false, false, nil, JobOutcome{Kind: OutcomeForwarded, Shard: "b"}},
		{"busy here, profiles of the other shard unknown", "", false, true, nil, JobOutcome{}},
		{"free capacity in the other shard for another service", "", false, true, []MinionProfile{other}, JobOutcome{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.advance(syncTime)
			w.step(&ShardProfilesReported{ByShard: map[string][]MinionProfile{"b": tc.profiles}})
			w.step(&ShardLoadsReported{ByShard: map[string]Load{"b": {FreeMillicores: 64_000, CapacityMillicores: 64_000}}})
			if tc.full {
				w.submit(w.newJob("before", 2, 200*time.Millisecond), 200*time.Millisecond)
				w.submit(w.newJob("waits", 2, 200*time.Millisecond), 200*time.Millisecond)
			}
			job := w.newJob("a", 2, 200*time.Millisecond)
			job.Phases[0].RequiredLabel, job.NoForward = tc.label, tc.noForward
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
