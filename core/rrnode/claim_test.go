package rrnode

import (
	"testing"
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrtask"
)

// TestAttachToClaimOwner submits a job whose claim another entry owns. The owner must be
// asked unless that incarnation is known to be dead, and asked at most once more if it no
// longer runs the job.
func TestAttachToClaimOwner(t *testing.T) {
	tests := []struct {
		name     string
		setup    func(n *Node, now time.Time)
		attaches int
	}{
		{"unknown", func(*Node, time.Time) {}, 0},
		{"listed, no heartbeat yet", func(n *Node, now time.Time) {
			n.Step(now, &EntriesListed{List: []rrtask.Entry{testEntry(1, 1)}})
		}, 2},
		{"heartbeat received", func(n *Node, now time.Time) { n.Step(now, &HeartbeatRequest{Members: testMembers(2, 1, 1)}) }, 2},
		{"new incarnation", func(n *Node, now time.Time) {
			members := testMembers(2, 1, 1)
			members[0].Incarnation = 9
			n.Step(now, &HeartbeatRequest{Members: members})
		}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			now := testEpoch
			n := New(now, Options{Self: testEntry(0, 1), Incarnation: 5, Seed: 1})
			tc.setup(n, now)
			job := rrtask.Job{
				ID: "01a3185c-5000-7000-8000-000000000001", Tenant: "lanes", Service: "torri",
				NonIdempotent: true, IsRetry: true, Deadline: now.Add(time.Minute), Tasks: make([]rrtask.Task, 1),
			}
			eff := n.Step(now, &SubmitJob{Caller: 1, Job: job})
			attaches := 0
			for range 8 {
				switch {
				case len(eff.Answers) > 0:
					if got := eff.Answers[0].Answer.Code; got != rrcode.ClaimHeld || attaches != tc.attaches {
						t.Errorf("got %v after %d attach calls, want claim-held after %d", got, attaches, tc.attaches)
					}
					return
				case len(eff.Attaches) > 0:
					attaches++
					eff = n.Step(now, &AttachDone{ID: job.ID, Delivery: rrcoord.DeliveryAnswered, Answer: rrtask.Answer{Code: rrcode.NotFound}})
				case len(eff.ClaimCalls) > 0:
					eff = n.Step(now, &ClaimCallDone{Reply: claimHeldBy(eff.ClaimCalls[0], "entry-001", 1)})
				default:
					now = now.Add(20 * time.Millisecond)
					eff = n.Step(now, &Tick{})
				}
			}
			t.Error("got no answer")
		})
	}
}

// claimHeldBy answers a transaction with open claims of the entry.
func claimHeldBy(c rrclaim.StoreCall, entry string, incarnation uint64) rrclaim.Reply {
	r := rrclaim.Reply{CallID: c.ID, Outcome: rrclaim.CompareFailed}
	for range c.Writes {
		r.Current = append(r.Current, rrclaim.KeyState{ModRevision: 3, Record: rrclaim.Record{Entry: entry, Tenant: "lanes", Incarnation: incarnation, State: rrclaim.Open}})
	}
	return r
}
