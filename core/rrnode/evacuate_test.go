package rrnode

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// evacuate puts a new version with the given evacuated zones in force at n.
func evacuate(n *Node, now time.Time, zones ...string) *Effects {
	cfg := n.Config()
	cfg.Version, cfg.ChangeID, cfg.Evacuated = cfg.Version+1, fmt.Sprint("change ", cfg.Version+1), zones
	return n.Step(now, &PeerConfig{Config: cfg})
}

func submitTasks(n *Node, now time.Time, id string, tasks int) *Effects {
	return n.Step(now, &SubmitJob{Caller: 1, Job: rrtask.Job{ID: id, Tenant: "a", Service: "torri", Deadline: now.Add(time.Minute), Tasks: tasksOf(tasks)}})
}

func finishTask(n *Node, now time.Time, d rrdispatcher.Dispatch) *Effects {
	r := rrtask.Result{Index: d.Task.Index, Code: rrcode.Complete, RunTime: time.Second}
	return n.Step(now, &DispatchDone{Result: rrdispatcher.DispatchResult{ID: d.ID, Result: r}})
}

// startedNode returns testNode after its first tick, with the time of that tick.
func startedNode(entries, minions, zones int) (*Node, time.Time) {
	now := testEpoch.Add(time.Second)
	n := testNode(entries, minions, zones, 0)
	n.Step(now, &Tick{})
	return n, now
}

// TestOwnerReturnsBatchOfEvacuatedZone evacuates the zone of an owner that runs and queues
// tasks of a peer. A queued task that stays there would wait until its deadline, and a
// running one that is returned would start twice.
func TestOwnerReturnsBatchOfEvacuatedZone(t *testing.T) {
	n, now := startedNode(2, 2, 2)
	batch := rrdispatcher.Batch{Key: rrdispatcher.BatchKey{Coordinator: "entry-001", Incarnation: 1, Seq: 1}, Job: "job", Tenant: "a",
		Service: "torri", Deadline: now.Add(time.Minute), Tasks: tasksOf(20)}
	running := slices.Clone(n.Step(now, &RunBatchRequest{Call: 1, Incarnation: 1, Batch: batch}).Dispatches)
	eff := evacuate(n, now, "zone-0")
	if got := eff.RunBatchResponses; len(running) == 0 || len(got) != 1 || len(got[0].Returned) != 20-len(running) || !got[0].More {
		t.Fatalf("got replies %+v, want one that returns the queued tasks and not the %d that run", got, len(running))
	}
	batch.Tasks = nil
	n.Step(now, &RunBatchRequest{Call: 2, Incarnation: 1, Batch: batch})
	for _, d := range running {
		eff = finishTask(n, now, d)
	}
	if got := eff.RunBatchResponses; len(got) != 1 || len(got[0].Results) != len(running) || got[0].More {
		t.Errorf("got replies %+v, want one with the results of all running tasks", got)
	}
	batch.Key.Seq, batch.Tasks = 2, tasksOf(5) // its coordinator has not heard of the version yet
	eff = n.Step(now, &RunBatchRequest{Call: 3, Incarnation: 1, Batch: batch})
	if got := eff.RunBatchResponses; len(eff.Dispatches) != 0 || len(got) != 1 || len(got[0].Returned) != 5 || got[0].More {
		t.Errorf("got %d starts and replies %+v, want all tasks returned at once", len(eff.Dispatches), got)
	}
}

// TestNothingSentToOwnerOfEvacuatedZone: an owner that has not heard of the version yet
// would start what it gets.
func TestNothingSentToOwnerOfEvacuatedZone(t *testing.T) {
	n, now := startedNode(3, 6, 3)
	evacuate(n, now, "zone-1")
	if got := submitTasks(n, now, "job", 400).RunBatches; len(got) != 1 || got[0].To != "entry-002" {
		t.Errorf("got batches %+v, want one to the owner of the other zone", got)
	}
}

// TestAllZonesEvacuated: jobs must be refused at once and truthfully, whatever became of
// their tasks, while the entry stays ready to say so.
func TestAllZonesEvacuated(t *testing.T) {
	n, now := startedNode(1, 2, 2)
	running := slices.Clone(submitTasks(n, now, "runs", 1).Dispatches) // new minions take four tasks
	running = append(running, submitTasks(n, now, "starts", 6).Dispatches...)
	submitTasks(n, now, "waits", 6)
	if len(running) != 4 {
		t.Fatalf("got %d starts, want 4", len(running))
	}
	evacuate(n, now, "zone-0", "zone-1")
	var answers []rrcoord.JobAnswer
	for range 10 {
		now = now.Add(20 * time.Millisecond)
		answers = append(answers, n.Step(now, &Tick{}).Answers...)
	}
	answers = append(answers, finishTask(n, now, running[0]).Answers...)
	answers = append(answers, submitTasks(n, now, "new", 1).Answers...)
	want := map[string]rrcode.Code{"runs": rrcode.Complete, "starts": rrcode.Partial, "waits": rrcode.ZoneEvacuated, "new": rrcode.ZoneEvacuated}
	if len(answers) != len(want) {
		t.Errorf("got answers %+v, want %d", answers, len(want))
	}
	for _, a := range answers {
		if got := a.Answer; got.Code != want[got.RequestID] || got.Code == rrcode.ZoneEvacuated && got.RetryAfter == 0 {
			t.Errorf("%s: got %v, retry after %v, want %v", got.RequestID, got.Code, got.RetryAfter, want[got.RequestID])
		}
	}
	if !n.Ready() {
		t.Error("got an entry that is not ready, want one that answers")
	}
}

// TestEvacuatedOnly compares minions of two capacities and states. A job that is refused
// although a zone in use has room for it, or accepted although none has, would be answered
// wrongly.
func TestEvacuatedOnly(t *testing.T) {
	n, now := startedNode(1, 4, 2)
	small, large := rrtask.Resources{MilliCores: 1000}, rrtask.Resources{MilliCores: 4000}
	list := testMinions(4, 2)
	list[0].Capacity, list[1].Capacity, list[2].Capacity, list[3].Capacity = small, small, small, large
	for _, tc := range []struct {
		draining     int // index of a draining minion, or -1
		evacuated    []string
		service      string
		none, little bool // for a task without resources, and for one that needs few
		much         bool // for a task that only the large minion has room for
	}{
		{-1, nil, "torri", false, false, false},
		{-1, []string{"zone-1"}, "torri", false, false, true},
		{-1, []string{"zone-0"}, "torri", false, false, false},
		{3, []string{"zone-1"}, "torri", false, false, false},
		{-1, []string{"zone-0", "zone-1"}, "torri", true, true, true},
		{-1, []string{"zone-0", "zone-1"}, "other", false, false, false},
	} {
		listed := slices.Clone(list)
		if tc.draining >= 0 {
			listed[tc.draining].Draining = true
		}
		n.Step(now, &MinionsListed{List: listed})
		evacuate(n, now, tc.evacuated...)
		got := [...]bool{n.EvacuatedOnly(tc.service, rrtask.Resources{}), n.EvacuatedOnly(tc.service, small), n.EvacuatedOnly(tc.service, large)}
		if want := [...]bool{tc.none, tc.little, tc.much}; got != want {
			t.Errorf("%+v: got %v, want %v", tc, got, want)
		}
	}
}

// BenchmarkSubmitWhileEvacuated measures a submission to a fleet of 9000 minions, of which
// the first 3000 are in an evacuated zone.
func BenchmarkSubmitWhileEvacuated(b *testing.B) {
	for _, zones := range [][]string{nil, {"zone-0"}} {
		b.Run(fmt.Sprintf("zones=%d", len(zones)), func(b *testing.B) {
			n, now := startedNode(30, 9000, 3)
			list := testMinions(9000, 3)
			for i := range list {
				list[i].Zone = fmt.Sprintf("zone-%d", i/3000)
			}
			n.Step(now, &MinionsListed{List: list})
			evacuate(n, now, zones...)
			b.ResetTimer()
			for i := range b.N {
				if eff := submitTasks(n, now, fmt.Sprint(i), 1); len(eff.Dispatches) > 0 {
					finishTask(n, now, eff.Dispatches[0])
				}
			}
		})
	}
}

// TestRestoredWhileTasksReturn puts the zone back in use before the returned tasks are
// placed again. None may be lost, start twice or be refused, and none may wait for the end
// of the pause between two placements.
func TestRestoredWhileTasksReturn(t *testing.T) {
	n, now := startedNode(1, 1, 1)
	open := slices.Clone(submitTasks(n, now, "job", 20).Dispatches)
	evacuate(n, now, "zone-0")
	evacuate(n, now)
	started := map[int]int{}
	var answers []rrcoord.JobAnswer
	for range 3 { // one of these ticks scans the jobs
		now = now.Add(20 * time.Millisecond)
		open = append(open, n.Step(now, &Tick{}).Dispatches...)
		for len(open) > 0 {
			started[open[0].Task.Index]++
			eff := finishTask(n, now, open[0])
			open = append(open[1:], eff.Dispatches...)
			answers = append(answers, eff.Answers...)
		}
	}
	if len(answers) != 1 || answers[0].Answer.Code != rrcode.Complete {
		t.Fatalf("got answers %+v, want a complete one", answers)
	}
	for i := range 20 {
		if started[i] != 1 {
			t.Errorf("task %d: got %d starts, want 1", i, started[i])
		}
	}
}

// TestEntryWithoutStoreLearnsEvacuation starts an entry that can't reach the store. It must
// ask a peer for the newer version and act on it.
func TestEntryWithoutStoreLearnsEvacuation(t *testing.T) {
	now := testEpoch
	n := New(now, Options{Self: testEntry(0, 2), Incarnation: 1, Seed: 1})
	n.Step(now, &StoreStatus{Reachable: false})
	n.Step(now, &MinionsListed{List: testMinions(2, 2)})
	peer := rrmembership.Member{Entry: testEntry(1, 2), Incarnation: 1, HeartbeatSeq: 1, ConfigVersion: 1}
	if got := n.Step(now, &HeartbeatRequest{Members: []rrmembership.Member{peer}}).ConfigFetches; len(got) != 1 || got[0].From != peer.Name {
		t.Fatalf("got configuration fetches %+v, want one from the peer", got)
	}
	evacuate(n, now, "zone-0")
	now = now.Add(time.Second)
	n.Step(now, &Tick{})
	if eff := submitTasks(n, now, "job", 4); len(eff.Dispatches) != 0 || len(eff.RunBatches) != 1 {
		t.Errorf("got %d starts and %d batches, want one batch to the peer", len(eff.Dispatches), len(eff.RunBatches))
	}
	if got := n.Status(now).Evacuated; !slices.Equal(got, []string{"zone-0"}) {
		t.Errorf("got evacuated zones %q in the status, want zone-0", got)
	}
}
