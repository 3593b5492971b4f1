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

func start(t *testing.T) (*rrplatform.Platform, string) {
	p := &rrplatform.Platform{Writes: 1 << 30, Reads: 1 << 30}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return p, srv.URL
}

// propose carries out one change at a register of its own, as an entry does.
func propose(ctx context.Context, c *rrstore.Client, reg *rrconf.Manager, change rrconf.Change) rrconf.ChangeResult {
	reg.Propose(time.Now(), change)
	for {
		var out rrconf.Effects
		reg.Step(time.Now(), &out)
		if len(out.Results) > 0 {
			return out.Results[0]
		}
		for _, w := range out.Writes {
			reg.HandleReply(time.Now(), Do(ctx, c, w))
		}
		if wait := time.Until(reg.NextWakeup(time.Now())); wait > 0 && len(out.Writes) == 0 {
			time.Sleep(wait)
		}
	}
}

// input is a change of base's successor.
type input struct {
	base   uint64
	change string
}

// output is its verdict.
type output struct {
	code  rrcode.Code
	won   uint64 // version in force after a conflict
	maker string // change id of that version
}

// state is the register: its version and change id.
type state struct {
	version uint64
	change  string
}

// register is the sequential specification of the configuration.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, in, out any) []any {
		st, i, o := s.(state), in.(input), out.(output)
		next := state{i.base + 1, i.change}
		fits := st.version == i.base
		switch {
		case o.code == rrcode.Applied && fits:
			return []any{next}
		case o.code == rrcode.ApplyUnconfirmed && fits:
			return []any{st, next}
		case o.code == rrcode.ApplyUnconfirmed, o.code == rrcode.StoreUnavailable:
			return []any{st}
		case o.code == rrcode.Conflict && !fits && st == state{o.won, o.maker}:
			return []any{st}
		}
		return nil
	},
	Equal: func(x, y any) bool { return x == y },
}

// TestHistory lets operators race through several clients against a store that
// loses requests and answers, and checks that the changes form one history.
func TestHistory(t *testing.T) {
	const operators, changes = 6, 12
	p, url := start(t)
	p.SetFaults(rrplatform.Faults{Lose: 3, Drop: 7, Write: time.Millisecond, Answer: time.Millisecond})
	var mu sync.Mutex
	var ops []porcupine.Operation
	begin := time.Now()
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			c := &rrstore.Client{Base: url}
			defer c.Close()
			var reg rrconf.Manager
			for n := range changes {
				cfg := reg.Active()
				cfg.Preset = rrconf.Presets[n%len(rrconf.Presets)]
				cfg.ChangeID = fmt.Sprintf("%d-%d", o, n)
				in := input{cfg.Version, cfg.ChangeID}
				call := time.Since(begin)
				patience := time.Duration(1+n%3*200) * time.Millisecond
				v := propose(context.Background(), c, &reg, rrconf.Change{Config: cfg, Deadline: time.Now().Add(patience), FirstAttempt: true})
				end := time.Since(begin)
				if v.Code == rrcode.ApplyUnconfirmed {
					end = time.Hour // it may take effect at any later time
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: o, Input: in, Call: int64(call),
					Output: output{v.Code, v.Active.Version, v.Active.ChangeID}, Return: int64(end),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	model := register.ToModel()
	if got, want := porcupine.CheckOperationsTimeout(model, ops, 20*time.Second), porcupine.Ok; got != want {
		t.Errorf("got history %v, want %v", got, want)
	}
	codes := make(map[rrcode.Code]int)
	for _, op := range ops {
		codes[op.Output.(output).code]++
	}
	if codes[rrcode.Applied] == 0 || codes[rrcode.Conflict] == 0 {
		t.Errorf("got %v, want applied changes and conflicts", codes)
	}
	t.Logf("verdicts: %v", codes)
}

// TestFollow follows the key through an outage and a document that does not parse.
func TestFollow(t *testing.T) {
	p, url := start(t)
	c := &rrstore.Client{Base: url}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	seen := make(chan Seen, 100)
	go Follow(ctx, c, func(s Seen) { seen <- s })
	var reg rrconf.Manager
	set := func(preset rrconf.Preset) {
		cfg := reg.Active()
		cfg.Preset, cfg.ChangeID = preset, string(preset)
		if v := propose(ctx, c, &reg, rrconf.Change{Config: cfg, Deadline: time.Now().Add(10 * time.Second)}); v.Code != rrcode.Applied {
			t.Fatalf("got %v, want applied", v.Code)
		}
	}
	await := func(want string) {
		t.Helper()
		for {
			select {
			case s := <-seen:
				if strings.Contains(fmt.Sprint(s.Config.Preset, s.Err), want) {
					return
				}
			case <-ctx.Done():
				t.Fatalf("got no %s", want)
			}
		}
	}
	// A store without a document answers all the same.
	if got := <-seen; got.Err != nil || got.Mod != 0 {
		t.Errorf("got %+v from an empty store, want the zero Seen", got)
	}
	set(rrconf.Peak)
	await("peak")
	p.SetFaults(rrplatform.Faults{Outage: true})
	await("no leader")
	p.SetFaults(rrplatform.Faults{})
	set(rrconf.Maintenance)
	await("maintenance")
	if err := c.Put(ctx, rrstore.Put{Key: Key, Value: []byte(`{"preset":1}`)}); err != nil {
		t.Fatal(err)
	}
	await("preset: 1 is not allowed")
	set(rrconf.Ordinary) // written over what does not parse
	await("ordinary")
}
