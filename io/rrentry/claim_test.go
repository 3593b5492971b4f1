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

// TestRacingOperators applies changes at all entries concurrently. Each version must be
// accepted only once, and the last one must become active at all entries.
func TestRacingOperators(t *testing.T) {
	f := startFleet(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := make(map[uint64]string)
	for i, addr := range f.addrs {
		wg.Go(func() {
			op := rrwire.NewOperatorProtobufClient("http://"+addr, http.DefaultClient)
			for range 5 {
				out := change(t, op, rrconf.Presets[i%3])
				if rrcode.Code(out.GetCode()) != rrcode.Applied {
					continue
				}
				mu.Lock()
				won := out.GetWon()
				if by, ok := accepted[won.GetVersion()]; ok {
					t.Errorf("version %d is accepted for %s and %s", won.GetVersion(), by, won.GetChange())
				}
				accepted[won.GetVersion()] = won.GetChange()
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	last := uint64(0)
	for v := range accepted {
		last = max(last, v)
	}
	if last == 0 {
		t.Fatal("got no accepted change, want at least one")
	}
	f.waitFor(t, "the last version everywhere", func() bool {
		for _, addr := range f.addrs {
			op := rrwire.NewOperatorProtobufClient("http://"+addr, http.DefaultClient)
			d, err := op.Config(context.Background(), &rrwire.Empty{})
			if err != nil || d.GetVersion() != last {
				return false
			}
		}
		return true
	})
}

// change reads the configuration of an entry and applies it with another preset.
func change(t *testing.T, op rrwire.Operator, p rrconf.Preset) *rrwire.Outcome {
	t.Helper()
	d, err := op.Config(context.Background(), &rrwire.Empty{})
	if err != nil {
		t.Error(err)
		return nil
	}
	out, err := op.Apply(context.Background(), presetDocument(t, d, p))
	if err != nil {
		t.Error(err)
		return nil
	}
	return out
}
