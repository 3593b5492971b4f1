package rrchange

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/io/rrplatform"
	"rattanring/io/rrstore"
)

func startPlatform(t *testing.T) (*rrplatform.Platform, string) {
	p := &rrplatform.Platform{WritesPerSecond: 1 << 30, ReadsPerSecond: 1 << 30}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return p, srv.URL
}

// propose makes one change through manager, as an entry does, and waits for its result.
func propose(ctx context.Context, c *rrstore.Client, manager *rrconf.Manager, change rrconf.Change) rrconf.ChangeResult {
	manager.Propose(time.Now(), change)
	for {
		var out rrconf.Effects
		manager.Step(time.Now(), &out)
		if len(out.Results) > 0 {
			return out.Results[0]
		}
		for _, call := range out.Calls {
			manager.HandleReply(time.Now(), Write(ctx, c, call))
		}
		if wait := time.Until(manager.NextWakeup(time.Now())); wait > 0 && len(out.Calls) == 0 {
			time.Sleep(wait)
		}
	}
}

// changeInput is a change that replaces the configuration baseVersion.
type changeInput struct {
	baseVersion uint64
	changeID    string
}

// changeOutput is the result of a change.
type changeOutput struct {
	code           rrcode.Code
	activeVersion  uint64 // active version after a conflict
	activeChangeID string // change ID of that version
}

// configState is the state of the model: the version and change ID of the configuration.
type configState struct {
	version  uint64
	changeID string
}

// configModel is the sequential specification of the configuration.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configState{}} },
	Step: func(s, in, out any) []any {
		st, i, o := s.(configState), in.(changeInput), out.(changeOutput)
		next := configState{i.baseVersion + 1, i.changeID}
		fits := st.version == i.baseVersion
		switch {
		case o.code == rrcode.Applied && fits:
			return []any{next}
		case o.code == rrcode.ApplyUnconfirmed && fits:
			return []any{st, next}
		case o.code == rrcode.ApplyUnconfirmed, o.code == rrcode.StoreUnavailable:
			return []any{st}
		case o.code == rrcode.Conflict && !fits && st == configState{o.activeVersion, o.activeChangeID}:
			return []any{st}
		}
		return nil
	},
	Equal: func(x, y any) bool { return x == y },
}

// TestConcurrentChangesAreLinearizable runs concurrent operators against a store
// that loses requests and responses. It fails if no sequential order of the changes
// explains their results, for example if two operators both replace the same version.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	const operators, changes = 6, 12
	p, url := startPlatform(t)
	p.SetFaults(rrplatform.Faults{LoseAnswerEvery: 3, DropWriteEvery: 7, WriteDelay: time.Millisecond, AnswerDelay: time.Millisecond})
	var mu sync.Mutex
	var ops []porcupine.Operation
	begin := time.Now()
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			c := &rrstore.Client{BaseURL: url}
			defer c.Close()
			var manager rrconf.Manager
			for n := range changes {
				cfg := manager.Active()
				cfg.Preset = rrconf.Presets[n%len(rrconf.Presets)]
				cfg.ChangeID = fmt.Sprintf("%d-%d", o, n)
				in := changeInput{cfg.Version, cfg.ChangeID}
				call := time.Since(begin)
				timeout := time.Duration(1+n%3*200) * time.Millisecond
				result := propose(context.Background(), c, &manager, rrconf.Change{Config: cfg, Deadline: time.Now().Add(timeout), FirstAttempt: true})
				end := time.Since(begin)
				if result.Code == rrcode.ApplyUnconfirmed {
					end = time.Hour // the store may still apply it at any later time
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: o, Input: in, Call: int64(call),
					Output: changeOutput{result.Code, result.Active.Version, result.Active.ChangeID}, Return: int64(end),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	model := configModel.ToModel()
	if got, want := porcupine.CheckOperationsTimeout(model, ops, 20*time.Second), porcupine.Ok; got != want {
		t.Errorf("got history %v, want %v", got, want)
	}
	codes := make(map[rrcode.Code]int)
	for _, op := range ops {
		codes[op.Output.(changeOutput).code]++
	}
	if codes[rrcode.Applied] == 0 || codes[rrcode.Conflict] == 0 {
		t.Errorf("got %v, want applied changes and conflicts", codes)
	}
	t.Logf("results: %v", codes)
}

// TestFollow checks that Follow reports each document and failure, and still works
// after an outage and after a document that does not parse.
func TestFollow(t *testing.T) {
	p, url := startPlatform(t)
	c := &rrstore.Client{BaseURL: url}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	readings := make(chan Reading, 100)
	go Follow(ctx, c, func(s Reading) { readings <- s })
	var manager rrconf.Manager
	set := func(preset rrconf.Preset) {
		cfg := manager.Active()
		cfg.Preset, cfg.ChangeID = preset, string(preset)
		if result := propose(ctx, c, &manager, rrconf.Change{Config: cfg, Deadline: time.Now().Add(10 * time.Second)}); result.Code != rrcode.Applied {
			t.Fatalf("got %v, want applied", result.Code)
		}
	}
	await := func(want string) {
		t.Helper()
		for {
			select {
			case s := <-readings:
				if strings.Contains(fmt.Sprint(s.Config.Preset, s.Err), want) {
					return
				}
			case <-ctx.Done():
				t.Fatalf("got no %s", want)
			}
		}
	}
	// Without a document the store still responds, with no item.
	if got := <-readings; got.Err != nil || got.ModRevision != 0 {
		t.Errorf("got %+v from an empty store, want the zero Reading", got)
	}
	set(rrconf.Peak)
	await("peak")
	p.SetFaults(rrplatform.Faults{Outage: true})
	await("no leader")
	p.SetFaults(rrplatform.Faults{})
	set(rrconf.Maintenance)
	await("maintenance")
	if err := c.Put(ctx, rrstore.Put{Key: ConfigKey, Value: []byte(`{"preset":1}`)}); err != nil {
		t.Fatal(err)
	}
	await("preset: 1 is not allowed")
	set(rrconf.Ordinary) // replaces the document that does not parse
	await("ordinary")
}
