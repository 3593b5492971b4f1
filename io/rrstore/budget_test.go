package rrstore

import (
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rattanring/io/rretcd"
	"rattanring/io/rrplatform"
)

// TestBudgetAtOutageEnd counts the calls of eight processes that always have calls to
// make, during and after an outage of the simulated store, on an injected clock. It
// fails if the processes together exceed the store's rates when the outage ends, if
// they call too often during the outage, or if they use too little of the rates.
func TestBudgetAtOutageEnd(t *testing.T) {
	const (
		clients = 8
		step    = time.Millisecond
		outage  = 12 * time.Second
		end     = 18 * time.Second
	)
	start := time.Unix(1_000_000, 0)
	now := start
	p := &rrplatform.Platform{Now: func() time.Time { return now }}
	p.SetFaults(rrplatform.Faults{Outage: true})
	h := p.Handler()
	paths := [2]string{Write: rretcd.PathPut, Read: rretcd.PathRange}
	rng := rand.New(rand.NewPCG(1, 2))
	var budgets [clients]Budget
	for i := range budgets {
		budgets[i].Rand = rng.Float64
		budgets[i].SetRates(300.0/clients, 2000.0/clients)
	}
	var before, last rrplatform.Stats
	for ; now.Sub(start) < end; now = now.Add(step) {
		switch now.Sub(start) {
		case outage - time.Second:
			before = p.Stats()
		case outage:
			last = p.Stats()
			p.SetFaults(rrplatform.Faults{})
		}
		for i := range budgets {
			for k, path := range paths {
				if budgets[i].TryTake(now, CallKind(k)) > 0 {
					continue
				}
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(`{"key":"YQ=="}`)))
				budgets[i].RecordResult(now, w.Code != 200)
			}
		}
	}
	got := p.Stats()
	t.Logf("peak writes %d, peak reads %d a second", got.PeakWrites, got.PeakReads)
	if got.PeakWrites > 300 || got.PeakReads > 2000 || got.Refused > 0 {
		t.Errorf("got at most %d writes and %d reads a second, %d refused, want 300, 2000 and none", got.PeakWrites, got.PeakReads, got.Refused)
	}
	// A process tries at most every 2.5 s once its backoff has reached the maximum.
	if tries := last.Writes + last.Reads - before.Writes - before.Reads; tries > clients {
		t.Errorf("got %d tries in the last second of the outage, want at most %d", tries, clients)
	}
	if got.PeakWrites < 250 || got.PeakReads < 1700 {
		t.Errorf("got at most %d writes and %d reads a second, want most of the rates used", got.PeakWrites, got.PeakReads)
	}
}

func TestBudgetWatches(t *testing.T) {
	var b Budget
	b.SetRates(0, 10)
	b.addWatches(1)
	start := time.Unix(0, 0)
	got := 0
	for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
		if b.TryTake(start.Add(at), Read) == 0 {
			got++
		}
	}
	if want := 90; got > want || got < want*8/10 {
		t.Errorf("reads in 10 s with one open watch: got %d, want %d or a little less", got, want)
	}
}

// TestBudgetWaitTimesOut: a call must not wait for its budget longer than its timeout, even
// if the backoff after an outage is longer.
func TestBudgetWaitTimesOut(t *testing.T) {
	_, c := startPlatform(t)
	c.Timeout = time.Millisecond
	c.Budget = new(Budget)
	for range 20 { // gives a backoff of seconds
		c.Budget.RecordResult(time.Now().Add(-time.Minute), true)
	}
	c.Budget.RecordResult(time.Now(), true)
	if err := c.Put(t.Context(), Put{Key: "k"}); !NotApplied(err) {
		t.Errorf("got %v, want not applied", err)
	}
}

// TestConcurrentFailuresCountOnce: concurrent calls that fail together count as one
// failure. Otherwise a single outage would give the longest backoff at once.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	var b Budget
	now := time.Unix(0, 0)
	for range 16 {
		b.RecordResult(now, true)
	}
	if got, want := b.Failures(), 1; got != want {
		t.Errorf("got %d failures, want %d", got, want)
	}
	if got := b.TryTake(now.Add(minBackoff), Write); got != 0 {
		t.Errorf("after the backoff: got a wait of %v, want none", got)
	}
	if got := b.TryTake(now.Add(minBackoff), Write); got == 0 {
		t.Error("while another call probes the store: got no wait, want one")
	}
}
