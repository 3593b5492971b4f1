package rrnode

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// TestBrokenPeerIsNoKeeper: a peer whose call broke is offered no work, though others
// tell of its heartbeats, until it answers a call of this entry.
func TestBrokenPeerIsNoKeeper(t *testing.T) {
	now := benchEpoch
	n := New(now, Options{Self: benchEntry(0, 1), Incarnation: 1, Seed: 1})
	peer := benchEntry(1, 1)
	beat := uint64(0)
	heard := func() {
		beat++
		n.Step(now, &HeartbeatRequest{Members: []rrmembership.Member{{Entry: peer, Incarnation: 1, HeartbeatSeq: beat}}})
	}
	n.Step(now, &MinionsListed{List: benchMinions(8, 1)})
	heard()
	now = now.Add(time.Second)
	n.Step(now, &Tick{})
	remote := func() (kept bool) {
		for _, k := range n.Owners(now, "torri") {
			kept = kept || k.Name == peer.Name
		}
		return kept
	}
	if !remote() {
		t.Fatal("got no work for a live peer, want some")
	}
	n.Step(now, &RunBatchDone{From: peer.Name, Reply: rrcoord.RunBatchResult{Delivery: rrcoord.DeliveryUnknown}})
	heard()
	if remote() {
		t.Error("got work for a peer whose call broke, want none")
	}
	beats := n.Step(now.Add(time.Millisecond), &Tick{}).Heartbeats
	if len(beats) != 1 || beats[0].To != peer.Name {
		t.Errorf("got heartbeats %v, want one to the peer at once", beats)
	}
	n.Step(now, &HeartbeatDone{To: peer.Name, Delivery: rrcoord.DeliveryAnswered})
	if !remote() {
		t.Error("got no work for a peer that answers again, want some")
	}
}

// TestBatchGoesByRelay: a batch whose call broke is asked for by way of another entry,
// and its answer does not count as one of the keeper's own line. Pattern: one direction
// between two zones is cut while others reach both.
func TestBatchGoesByRelay(t *testing.T) {
	now := benchEpoch
	n := benchNode(3, 18, 1, 0)
	runs := n.Step(now, &SubmitJob{Token: 1, Job: rrtask.Job{
		ID: "job", Tenant: "a", Service: "torri", Deadline: now.Add(time.Minute), Tasks: tasksOf(600),
	}}).RunBatches
	if len(runs) != 2 {
		t.Fatalf("got %d batches at other keepers, want 2", len(runs))
	}
	first := runs[0]
	back := func(r rrcoord.RunBatchCall, reply rrcoord.RunBatchResult) *Effects {
		reply.Seq = r.Batch.Key.Seq
		return n.Step(now, &RunBatchDone{From: r.To, RelayAddr: r.RelayAddr, Reply: reply})
	}
	back(first, rrcoord.RunBatchResult{Delivery: rrcoord.DeliveryUnknown})
	var again []rrcoord.RunBatchCall
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, r := range n.Step(now, &Tick{}).RunBatches {
			if r.Batch.Key == first.Batch.Key {
				again = append(again, r)
			}
		}
	}
	if len(again) != 1 || again[0].RelayAddr == "" || again[0].RelayAddr == first.Addr || again[0].Addr != first.Addr {
		t.Fatalf("got %+v after a broken call, want one by way of another entry", again)
	}
	var results []rrtask.Result
	for _, task := range first.Batch.Tasks {
		results = append(results, rrtask.Result{Index: task.Index, Code: rrcode.Complete})
	}
	back(again[0], rrcoord.RunBatchResult{Results: results, Incarnation: first.Incarnation})
	if !n.view.Peer(first.To).CallFailed {
		t.Error("got a keeper that is in reach after an answer that another entry passed on, want it still left out")
	}
}
