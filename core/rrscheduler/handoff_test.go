package rrscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

// A minion that is being handed off finishes its runs, receives no new ones, and is released only
// then. A new registration cancels the handoff.
func TestMinionHandoff(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	const runTime = 200 * time.Millisecond
	first := w.submit(w.newJob("a", 4, runTime), runTime)
	w.advance(20 * time.Millisecond)
	w.step(&MinionHandoffRequested{MinionID: "m00"})
	if got := w.released; len(got) != 0 {
		t.Fatalf("released while tasks run: got %v, want none", got)
	}
	second := w.submit(w.newJob("b", 2, runTime), runTime)
	w.advance(50 * time.Millisecond)
	for run := range w.minions["m00"].running {
		if run.Task.Job == "b" {
			t.Errorf("%v started on a minion that is being handed off", run)
		}
	}
	w.advance(time.Second)
	if got, want := w.released, []string{"m00"}; !slices.Equal(got, want) {
		t.Errorf("released: got %v, want %v", got, want)
	}
	for _, j := range []*fakeJob{first, second} {
		if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
			t.Errorf("%s: got %v, want %v", j.job.ID, got, want)
		}
	}
	w.step(&MinionHandoffRequested{MinionID: "m01"})
	w.step(&MinionRegistered{Minion: w.minions["m01"].info})
	w.step(&MinionHandoffRequested{MinionID: "unknown"})
	w.advance(syncTime)
	if got, want := w.released[1:], []string{"m01", "unknown"}; !slices.Equal(got, want) {
		t.Errorf("released later: got %v, want %v", got, want)
	}
	third := w.submit(w.newJob("c", 1, runTime), runTime)
	w.advance(time.Second)
	if got, want := third.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("after the minion was registered again: got %v, want %v", got, want)
	}
}

// After the fencing token is raised, commands carry the new token at once, and a lower token is
// ignored.
func TestRaisedTokenAppliesAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.advance(syncTime)
	w.minions["m00"].fencingToken = 20
	w.step(&FencingTokenRaised{FencingToken: 21})
	w.step(&FencingTokenRaised{FencingToken: 9})
	j := w.submit(w.newJob("a", 1, 50*time.Millisecond), 50*time.Millisecond)
	w.advance(time.Second)
	if w.scheduler.Fenced() {
		t.Fatal("fenced off after a token lower than its own")
	}
	if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// The primary shard of a divided zone forwards an even part of the jobs to each peer shard, by their
// IDs, while that shard has free capacity.
func TestJobsAreDividedAmongPeerShards(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.advance(syncTime)
	profiles := []MinionProfile{{Service: "s", Capacity: rrtask.Resources{MilliCores: 64_000, MemoryBytes: 64 << 30}}}
	w.step(&ShardProfilesReported{ByShard: map[string][]MinionProfile{"z/1": profiles, "z/2": profiles}})
	counts := make(map[string]int)
	for i := range 300 {
		w.step(&ShardLoadsReported{PeerShards: []string{"z/1", "z/2"}, ByShard: map[string]Load{
			"z/1": {FreeMillicores: 640_000, CapacityMillicores: 640_000}, "z/2": {FreeMillicores: 640_000, CapacityMillicores: 640_000},
		}})
		job := w.newJob(fmt.Sprint("job", i), 1, 20*time.Millisecond)
		j := w.submit(job, 20*time.Millisecond)
		shard := ""
		if len(j.answers) > 0 {
			shard = j.answers[0].Shard
		}
		counts[shard]++
		w.submit(job, 0)
		if n := len(j.answers); shard != "" && (n != 2 || j.answers[1].Shard != shard) {
			t.Fatalf("%s: a repeated submission was not forwarded to %s like the first: %v", job.ID, shard, j.answers)
		}
		w.advance(25 * time.Millisecond)
	}
	for _, shard := range []string{"", "z/1", "z/2"} {
		if n := counts[shard]; n < 80 || n > 120 {
			t.Errorf("shard %q: got %d of 300 jobs, want 80 to 120", shard, n)
		}
	}
	w.step(&ShardLoadsReported{PeerShards: []string{"z/1", "z/2"}, ByShard: map[string]Load{"z/1": {CapacityMillicores: 640_000}, "z/2": {CapacityMillicores: 640_000}}})
	for i := range 6 {
		if j := w.submit(w.newJob(fmt.Sprint("late", i), 1, 20*time.Millisecond), 20*time.Millisecond); len(j.answers) > 0 {
			t.Errorf("%s was forwarded to a shard without free capacity: %v", j.job.ID, j.answers)
		}
	}
}

// A minion that has seen the raised fencing token refuses commands that the same owner sent before
// with the old token. That must not make the owner step down.
func TestOwnOlderCommandsDoNotFence(t *testing.T) {
	const runTime = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		send func(w *world) // sends a command that is in flight when the token is raised
	}{
		{"poll", func(w *world) {
			m := w.scheduler.minions["m00"]
			w.after(0, func() { w.step(&PollMinionDone{MinionID: m.ID, PollSeq: m.pollInFlight, Status: CommandFenced}) })
		}},
		{"start", func(w *world) { w.submit(w.newJob("a", 1, runTime), runTime) }},
		{"stop", func(w *world) {
			w.submit(w.newJob("a", 1, runTime), runTime)
			w.advance(10 * time.Millisecond)
			w.step(&JobCancelRequested{JobID: "a"})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.advance(syncTime)
			tc.send(w)
			w.now = w.now.Add(time.Microsecond)
			w.minions["m00"].fencingToken = 20
			w.step(&FencingTokenRaised{FencingToken: 20})
			w.advance(time.Second)
			if w.scheduler.Fenced() {
				t.Fatal("fenced off by the refusal of its own older command")
			}
			j := w.submit(w.newJob("b", 1, runTime), runTime)
			w.advance(time.Second)
			if got, want := j.outcome(t).Kind, OutcomeCompleted; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			w.minions["m00"].fencingToken = 21
			w.advance(time.Second)
			if !w.scheduler.Fenced() {
				t.Error("not fenced off by a minion that has seen a higher token")
			}
		})
	}
}
