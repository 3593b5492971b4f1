package rrnode

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrcoord"
	"rattanring/core/rrmembership"
	"rattanring/core/rrtask"
)

// TestPeerWithFailedCallGetsNoWork: a peer whose call failed gets no work until it answers
// a call of this entry, even if others still report its heartbeats.
func TestPeerWithFailedCallGetsNoWork(t *testing.T) {
	now := testEpoch
	n := New(now, Options{Self: testEntry(0, 1), Incarnation: 1, Seed: 1})
	peer := testEntry(1, 1)
	heartbeatSeq := uint64(0)
	receiveHeartbeat := func() {
		heartbeatSeq++
		n.Step(now, &HeartbeatRequest{Members: []rrmembership.Member{{Entry: peer, Incarnation: 1, HeartbeatSeq: heartbeatSeq}}})
	}
	n.Step(now, &MinionsListed{List: testMinions(8, 1)})
	receiveHeartbeat()
	now = now.Add(time.Second)
	n.Step(now, &Tick{})
	offeredWork := func() (offered bool) {
		for _, k := range n.Owners(now, "torri") {
			offered = offered || k.Name == peer.Name
		}
		return offered
	}
	if !offeredWork() {
		t.Fatal("got no work for a live peer, want some")
	}
	n.Step(now, &RunBatchDone{From: peer.Name, Reply: rrcoord.RunBatchResult{Delivery: rrcoord.DeliveryUnknown}})
	receiveHeartbeat()
	if offeredWork() {
		t.Error("got work for a peer whose call failed, want none")
	}
	heartbeats := n.Step(now.Add(time.Millisecond), &Tick{}).Heartbeats
	if len(heartbeats) != 1 || heartbeats[0].To != peer.Name {
		t.Errorf("got heartbeats %v, want one to the peer at once", heartbeats)
	}
	n.Step(now, &HeartbeatDone{To: peer.Name, Delivery: rrcoord.DeliveryAnswered})
	if !offeredWork() {
		t.Error("got no work for a peer that answers again, want some")
	}
}

// TestBatchIsRetriedByRelay: after a failed call, the call for the batch is repeated
// through another entry. The forwarded answer does not count as an answer on the direct
// connection to the owner. This happens when one direction between two zones is cut while
// other entries reach both.
func TestBatchIsRetriedByRelay(t *testing.T) {
	now := testEpoch
	n := testNode(3, 18, 1, 0)
	runs := n.Step(now, &SubmitJob{Caller: 1, Job: rrtask.Job{
		ID: "job", Tenant: "a", Service: "torri", Deadline: now.Add(time.Minute), Tasks: tasksOf(600),
	}}).RunBatches
	if len(runs) != 2 {
		t.Fatalf("got %d batches at other owners, want 2", len(runs))
	}
	first := runs[0]
	runBatchDone := func(r rrcoord.RunBatchCall, reply rrcoord.RunBatchResult) *Effects {
		reply.Seq = r.Batch.Key.Seq
		return n.Step(now, &RunBatchDone{From: r.To, RelayAddr: r.RelayAddr, Reply: reply})
	}
	runBatchDone(first, rrcoord.RunBatchResult{Delivery: rrcoord.DeliveryUnknown})
	var retries []rrcoord.RunBatchCall
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, r := range n.Step(now, &Tick{}).RunBatches {
			if r.Batch.Key == first.Batch.Key {
				retries = append(retries, r)
			}
		}
	}
	if len(retries) != 1 || retries[0].RelayAddr == "" || retries[0].RelayAddr == first.Addr || retries[0].Addr != first.Addr {
		t.Fatalf("got %+v after a failed call, want one through another entry", retries)
	}
	var results []rrtask.Result
	for _, task := range first.Batch.Tasks {
		results = append(results, rrtask.Result{Index: task.Index, Code: rrcode.Complete})
	}
	runBatchDone(retries[0], rrcoord.RunBatchResult{Results: results, Incarnation: first.Incarnation})
	if !n.view.Peer(first.To).CallFailed {
		t.Error("got no failed call after an answer that another entry forwarded, want it still marked as failed")
	}
}
