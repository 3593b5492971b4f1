package rrentry

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/io/rrwire"
)

// TestOnceAtEveryEntry submits one non-idempotent job to all entries concurrently, twice
// to each, and once more to each afterwards. The job must run once, and every submission
// must get its outcome.
func TestOnceAtEveryEntry(t *testing.T) {
	startFleet(t).onceAtEveryEntry(t)
}

func (f *fleet) onceAtEveryEntry(t *testing.T) {
	t.Helper()
	id := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	for i, addr := range append(f.addrs, f.addrs...) {
		wg.Go(func() {
			a := f.submit(t, addr, onceJob(id, i > 0))
			if got := rrcode.Code(a.GetCode()); got != rrcode.Complete || len(a.GetResults()) != 1 {
				t.Errorf("entry %d: got %v (%s) with %d results, want complete with 1", i, got, a.GetDetail(), len(a.GetResults()))
			}
		})
	}
	wg.Wait()
	for i, addr := range f.addrs {
		a := f.submit(t, addr, onceJob(id, true))
		if got := rrcode.Code(a.GetCode()); got != rrcode.Complete {
			t.Errorf("entry %d afterwards: got %v (%s), want the recorded outcome", i, got, a.GetDetail())
		}
	}
	if got := f.starts(id, 0); got != 1 {
		t.Errorf("got %d starts of the task, want 1", got)
	}
}

func onceJob(id string, retry bool) *rrwire.Job {
	return &rrwire.Job{
		Id: id, Tenant: "lanes", Class: "capture", Service: "torri", Patience: 20_000, Once: true, Retry: retry,
		Tasks: []*rrwire.Task{{Body: []byte(`{"run":"200ms"}`)}},
	}
}

// TestRacingOperators applies changes at all entries together: each version is
// made by one change, every change that is answered as applied made one, a refused
// one made none, and all entries have the last version in force at the end.
func TestRacingOperators(t *testing.T) {
	f := startFleet(t)
	start, err := operatorAt(f.addrs[0]).Config(context.Background(), &rrwire.Empty{})
	if err != nil {
		t.Fatal(err)
	}
	first := start.GetVersion()
	last := first                     // highest version that an answer told of
	var applied, unknown uint64       // changes answered as applied, and as perhaps applied
	accepted := make(map[uint64]bool) // versions that changes answered as applied made
	makers := make(map[uint64]string) // change id of each version
	see := func(d *rrwire.Document) {
		if by, ok := makers[d.GetVersion()]; ok && by != d.GetChange() {
			t.Errorf("version %d is accepted for %s and %s", d.GetVersion(), by, d.GetChange())
		}
		makers[d.GetVersion()] = d.GetChange()
	}
	see(start)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, addr := range f.addrs {
		wg.Go(func() {
			op := operatorAt(addr)
			for range 5 {
				base, out := change(t, op, rrconf.Presets[i%3])
				if out == nil {
					continue
				}
				mu.Lock()
				won := out.GetWon() // in force after the change, and so perhaps a later one
				see(won)
				last = max(last, won.GetVersion())
				switch rrcode.Code(out.GetCode()) {
				case rrcode.Applied:
					applied++
					own := base + 1
					if accepted[own] {
						t.Errorf("version %d is accepted for two changes", own)
					}
					accepted[own] = true
					if won.GetVersion() < own {
						t.Errorf("got version %d in force after version %d is accepted", won.GetVersion(), own)
					}
				case rrcode.ApplyUnconfirmed:
					unknown++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if applied == 0 {
		t.Fatal("got no accepted change, want at least one")
	}
	var docs []*rrwire.Document
	f.waitFor(t, "the last version everywhere", func() bool {
		docs = nil
		for _, addr := range f.addrs {
			d, err := operatorAt(addr).Config(context.Background(), &rrwire.Empty{})
			if err != nil || d.GetVersion() < last || d.GetVersion() > last+unknown {
				return false
			}
			if docs = append(docs, d); d.GetVersion() != docs[0].GetVersion() {
				return false
			}
		}
		return true
	})
	for _, d := range docs {
		see(d)
	}
	if got, least := docs[0].GetVersion(), first+applied; got < least || got > least+unknown {
		t.Errorf("got version %d after %d with %d changes applied and %d perhaps applied, want %d to %d",
			got, first, applied, unknown, least, least+unknown)
	}
}

func operatorAt(addr string) rrwire.Operator {
	return rrwire.NewOperatorProtobufClient("http://"+addr, http.DefaultClient)
}

// change reads the configuration at an entry and applies it with another preset. It
// returns the version that it read, whose successor the change makes if it is applied,
// and the outcome, which is nil after an error.
func change(t *testing.T, op rrwire.Operator, p rrconf.Preset) (uint64, *rrwire.Outcome) {
	t.Helper()
	d, err := op.Config(context.Background(), &rrwire.Empty{})
	if err != nil {
		t.Error(err)
		return 0, nil
	}
	out, err := op.Apply(context.Background(), presetDocument(t, d, p))
	if err != nil {
		t.Error(err)
		return 0, nil
	}
	return d.GetVersion(), out
}
