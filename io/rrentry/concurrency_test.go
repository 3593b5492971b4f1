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

// TestNonIdempotentJobAtEveryEntry submits one non-idempotent job to all entries
// concurrently, twice to each, and once more to each afterwards. The job must run once, and
// every submission must get its outcome.
func TestNonIdempotentJobAtEveryEntry(t *testing.T) {
	startFleet(t).checkNonIdempotentJob(t)
}

func (f *fleet) checkNonIdempotentJob(t *testing.T) {
	t.Helper()
	id := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	for i, addr := range append(f.addrs, f.addrs...) {
		wg.Go(func() {
			a := f.submit(t, addr, nonIdempotentJob(id, i > 0))
			if got := rrcode.Code(a.GetCode()); got != rrcode.Complete || len(a.GetResults()) != 1 {
				t.Errorf("entry %d: got %v (%s) with %d results, want complete with 1", i, got, a.GetDetail(), len(a.GetResults()))
			}
		})
	}
	wg.Wait()
	for i, addr := range f.addrs {
		a := f.submit(t, addr, nonIdempotentJob(id, true))
		if got := rrcode.Code(a.GetCode()); got != rrcode.Complete {
			t.Errorf("entry %d afterwards: got %v (%s), want the recorded outcome", i, got, a.GetDetail())
		}
	}
	if got := f.starts(id, 0); got != 1 {
		t.Errorf("got %d starts of the task, want 1", got)
	}
}

func nonIdempotentJob(id string, retry bool) *rrwire.Job {
	return &rrwire.Job{
		Id: id, Tenant: "lanes", Class: "capture", Service: "torri", Patience: 20_000, Once: true, Retry: retry,
		Tasks: []*rrwire.Task{{Body: []byte(`{"run":"200ms"}`)}},
	}
}

// TestRacingOperators applies configuration changes at all entries concurrently. No two
// changes may create the same version, every change reported as applied must have created
// one, no refused change may have created one, and all entries must end with the same,
// latest version active.
func TestRacingOperators(t *testing.T) {
	f := startFleet(t)
	start, err := operatorAt(f.addrs[0]).Config(context.Background(), &rrwire.Empty{})
	if err != nil {
		t.Fatal(err)
	}
	first := start.GetVersion()
	h := &changeHistory{latest: first, created: make(map[uint64]bool), changeIDs: make(map[uint64]string)}
	h.recordVersion(t, start)
	var wg sync.WaitGroup
	for i, addr := range f.addrs {
		wg.Go(func() {
			op := operatorAt(addr)
			for range 5 {
				base, out := applyPreset(t, op, rrconf.Presets[i%3])
				if out == nil {
					continue
				}
				h.recordOutcome(t, base, out)
			}
		})
	}
	wg.Wait()
	if h.applied == 0 {
		t.Fatal("got no change applied, want at least one")
	}
	docs := f.waitForSameVersion(t, h.latest, h.latest+h.unconfirmed)
	for _, d := range docs {
		h.recordVersion(t, d)
	}
	if got, minVersion := docs[0].GetVersion(), first+h.applied; got < minVersion || got > minVersion+h.unconfirmed {
		t.Errorf("got version %d after %d with %d changes applied and %d unconfirmed, want %d to %d",
			got, first, h.applied, h.unconfirmed, minVersion, minVersion+h.unconfirmed)
	}
}

// changeHistory is what the answers say about concurrent configuration changes.
type changeHistory struct {
	mu                   sync.Mutex        // held by recordOutcome
	latest               uint64            // highest version in any answer
	applied, unconfirmed uint64            // changes reported as applied, and as unconfirmed
	created              map[uint64]bool   // versions created by changes reported as applied
	changeIDs            map[uint64]string // version to the ID of the change that created it
}

// recordVersion records which change created the version of a document. It reports an error
// if an earlier document names another change.
func (h *changeHistory) recordVersion(t *testing.T, d *rrwire.Document) {
	t.Helper()
	if by, ok := h.changeIDs[d.GetVersion()]; ok && by != d.GetChange() {
		t.Errorf("version %d was created by both %s and %s", d.GetVersion(), by, d.GetChange())
	}
	h.changeIDs[d.GetVersion()] = d.GetChange()
}

// recordOutcome records the outcome of a change that replaces the version base. It reports
// an error if another applied change replaced the same version, or if the active version is
// lower than the one that the change created.
func (h *changeHistory) recordOutcome(t *testing.T, base uint64, out *rrwire.Outcome) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	active := out.GetWon() // active after the change; another change may have created it
	h.recordVersion(t, active)
	h.latest = max(h.latest, active.GetVersion())
	switch rrcode.Code(out.GetCode()) {
	case rrcode.Applied:
		h.applied++
		version := base + 1
		if h.created[version] {
			t.Errorf("version %d was created by two changes", version)
		}
		h.created[version] = true
		if active.GetVersion() < version {
			t.Errorf("got version %d active after version %d was created", active.GetVersion(), version)
		}
	case rrcode.ApplyUnconfirmed:
		h.unconfirmed++
	}
}

// waitForSameVersion waits until all entries have the same active version, which lies
// between oldest and newest, and returns the configuration of each entry.
func (f *fleet) waitForSameVersion(t *testing.T, oldest, newest uint64) []*rrwire.Document {
	t.Helper()
	var docs []*rrwire.Document
	f.waitFor(t, "the same version at all entries", func() bool {
		docs = nil
		for _, addr := range f.addrs {
			d, err := operatorAt(addr).Config(context.Background(), &rrwire.Empty{})
			if err != nil || d.GetVersion() < oldest || d.GetVersion() > newest {
				return false
			}
			if docs = append(docs, d); d.GetVersion() != docs[0].GetVersion() {
				return false
			}
		}
		return true
	})
	return docs
}

func operatorAt(addr string) rrwire.Operator {
	return rrwire.NewOperatorProtobufClient("http://"+addr, http.DefaultClient)
}

// applyPreset applies the active configuration of an entry with another preset. It returns
// the version that the change replaces and the outcome, or a nil outcome after an error. An
// applied change creates the next version.
func applyPreset(t *testing.T, op rrwire.Operator, p rrconf.Preset) (uint64, *rrwire.Outcome) {
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
