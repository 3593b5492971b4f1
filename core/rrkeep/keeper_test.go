package rrkeep

import (
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet returns n minions with slots each.
func fleet(n, slots int) []rrtask.Minion {
	ms := make([]rrtask.Minion, n)
	for i := range ms {
		name := "m" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		ms[i] = rrtask.Minion{Name: name, Addr: name, Service: "torri", Slots: slots}
	}
	return ms
}

// work returns a batch of n tasks that are expected to run for each.
func work(seq uint64, tenant string, n int, each time.Duration) Batch {
	b := Batch{
		Key: Key{"e1", 1, seq}, Job: "j", Tenant: tenant, Class: "proof", Service: "torri",
		Deadline: epoch.Add(time.Hour), Accepted: epoch, Rest: time.Duration(n) * each,
	}
	for i := range n {
		b.Tasks = append(b.Tasks, rrtask.Task{Index: i, Expect: each})
	}
	return b
}

func TestShortestFirst(t *testing.T) {
	k := New(nil)
	k.SetMinions(epoch, fleet(1, 1))
	k.Add(epoch, work(1, "a", 3, time.Second))
	k.Add(epoch, work(2, "a", 1, time.Second))
	got := k.Next(epoch, nil)
	if len(got) != 1 || got[0].Key.Seq != 2 {
		t.Fatalf("got %v, want the shorter job alone", got)
	}
	k.Finish(epoch, Finish{ID: got[0].ID, Result: rrtask.Result{Code: rrcode.Complete}})
	if got := k.Next(epoch, nil); len(got) != 1 || got[0].Key.Seq != 1 {
		t.Fatalf("got %v, want one task of the longer job", got)
	}
	if got := len(k.Outcomes(nil)); got != 1 {
		t.Errorf("got %d outcomes, want 1", got)
	}
	if k.Add(epoch, work(2, "a", 1, time.Second)) {
		t.Errorf("an ended batch was taken again")
	}
}
