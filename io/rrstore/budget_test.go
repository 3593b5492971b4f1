package rrstore

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetAtOutageEnd drives eight processes with endless work through an
// outage on an injected clock, and counts the calls in each second.
func TestBudgetAtOutageEnd(t *testing.T) {
	const (
		clients = 8
		step    = time.Millisecond
		outage  = 20 * time.Second
		end     = 40 * time.Second
	)
	start := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	var budgets [clients]Budget
	for i := range budgets {
		budgets[i].Rand = rng.Float64
		budgets[i].SetRates(300.0/clients, 2000.0/clients)
	}
	var counts [2]map[int]int
	counts[Read], counts[Write] = make(map[int]int), make(map[int]int)
	for at := time.Duration(0); at < end; at += step {
		now := start.Add(at)
		for i := range budgets {
			for _, k := range []Kind{Write, Read} {
				if budgets[i].Take(now, k) == 0 {
					counts[k][int(at/time.Second)]++
					budgets[i].Note(now, at < outage)
				}
			}
		}
	}
	for s := range int(end / time.Second) {
		if got, want := counts[Write][s], 300; got > want {
			t.Errorf("writes in second %d: got %d, want at most %d", s, got, want)
		}
		if got, want := counts[Read][s], 2000; got > want {
			t.Errorf("reads in second %d: got %d, want at most %d", s, got, want)
		}
	}
	// In an outage a process tries at most every 2.5 s once its pause is long.
	last := int(outage/time.Second) - 1
	if got, want := counts[Write][last]+counts[Read][last], clients; got > want {
		t.Errorf("tries in the last second of the outage: got %d, want at most %d", got, want)
	}
	if got, want := counts[Write][int(end/time.Second)-1], 250; got < want {
		t.Errorf("writes long after the outage: got %d a second, want at least %d", got, want)
	}
}

func TestBudgetWatches(t *testing.T) {
	var b Budget
	b.SetRates(0, 10)
	b.watch(1)
	start := time.Unix(0, 0)
	got := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		if b.Take(start.Add(at), Read) == 0 {
			got++
		}
	}
	if want := 90; got > want || got < want*8/10 {
		t.Errorf("reads in 10 s beside a watch: got %d, want %d or a little less", got, want)
	}
}

// TestFailuresTogether: calls that were under way together count as one failure.
func TestFailuresTogether(t *testing.T) {
	var b Budget
	now := time.Unix(0, 0)
	for range 16 {
		b.Note(now, true)
	}
	if got, want := b.Failures(), 1; got != want {
		t.Errorf("got %d failures, want %d", got, want)
	}
	if got := b.Take(now.Add(minPause), Write); got != 0 {
		t.Errorf("after the pause: got a wait of %v, want none", got)
	}
	if got := b.Take(now.Add(minPause), Write); got == 0 {
		t.Error("beside the probe: got a call, want a wait")
	}
}
