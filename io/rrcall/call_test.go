package rrcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrtask"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrwire"
)

// fakeEntry answers submissions with code. If dropConnection is set, it closes the
// connection after it has read the request.
type fakeEntry struct {
	rrwire.Operator
	code           rrcode.Code
	retryAfterMs   uint32
	dropConnection bool
	seen           []string // request IDs of the submissions
	retry          bool     // whether the last submission was marked as a retry
	cfg            rrconf.Config
	conflicts      int // how many further changes are refused because a colleague has evacuated zone bangor
}

func (e *fakeEntry) Submit(_ context.Context, m *rrwire.Job) (*rrwire.Answer, error) {
	e.seen = append(e.seen, m.Id)
	e.retry = m.Retry
	if e.dropConnection {
		panic(http.ErrAbortHandler)
	}
	return &rrwire.Answer{Id: m.Id, Code: uint32(e.code), After: e.retryAfterMs}, nil
}

func (e *fakeEntry) Cancel(context.Context, *rrwire.Names) (*rrwire.Count, error) {
	return &rrwire.Count{Jobs: 1, Tasks: 2}, nil
}

func (e *fakeEntry) Config(context.Context, *rrwire.Empty) (*rrwire.Document, error) {
	return rrconfigdoc.ToWire(e.cfg), nil
}

func (e *fakeEntry) Apply(_ context.Context, m *rrwire.Document) (*rrwire.Outcome, error) {
	cfg, err := rrconfigdoc.FromWire(m)
	if err != nil {
		return nil, err
	}
	if e.conflicts > 0 {
		e.conflicts--
		e.cfg.Version++
		e.cfg = e.cfg.WithZone("bangor", true)
		return &rrwire.Outcome{Code: uint32(rrcode.Conflict), Won: rrconfigdoc.ToWire(e.cfg)}, nil
	}
	cfg.Version++
	e.cfg = cfg
	if e.dropConnection {
		panic(http.ErrAbortHandler)
	}
	return &rrwire.Outcome{Code: uint32(rrcode.Applied), Won: rrconfigdoc.ToWire(cfg)}, nil
}

func serve(t *testing.T, e *fakeEntry) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(rrwire.CallerPathPrefix, rrwire.NewCallerServer(e))
	mux.Handle(rrwire.OperatorPathPrefix, rrwire.NewOperatorServer(e))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func closedPort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

func TestSubmitRetries(t *testing.T) {
	tests := []struct {
		name          string
		first, second fakeEntry
		nonIdempotent bool
		want          rrcode.Code
		tries         int  // at the second entry
		retry         bool // the second attempt counts as a retry
	}{
		{name: "complete", first: fakeEntry{code: rrcode.Complete}, want: rrcode.Complete},
		{name: "draining", first: fakeEntry{code: rrcode.Draining}, second: fakeEntry{code: rrcode.Complete}, want: rrcode.Complete, tries: 1},
		{name: "bad request", first: fakeEntry{code: rrcode.BadRequest}, want: rrcode.BadRequest},
		{name: "failed", first: fakeEntry{code: rrcode.TaskFailed}, want: rrcode.TaskFailed},
		{name: "may have run", first: fakeEntry{code: rrcode.OwnerLost}, want: rrcode.OwnerLost},
		{name: "broken connection", first: fakeEntry{dropConnection: true}, second: fakeEntry{code: rrcode.Complete}, nonIdempotent: true, want: rrcode.Complete, tries: 1, retry: true},
		{name: "refused after a broken connection", first: fakeEntry{dropConnection: true}, second: fakeEntry{code: rrcode.Overloaded}, want: rrcode.ConnectionLost, tries: 1, retry: true},
		{name: "duplicate unchecked, non-idempotent", first: fakeEntry{code: rrcode.DuplicateUnchecked}, second: fakeEntry{code: rrcode.Complete}, nonIdempotent: true, want: rrcode.Complete, tries: 1, retry: true},
		{name: "delay past the deadline", first: fakeEntry{code: rrcode.Overloaded, retryAfterMs: 120_000}, want: rrcode.Overloaded},
	}
	for _, tt := range tests {
		var waits []time.Duration
		c := &Client{
			Entries:    []string{serve(t, &tt.first), serve(t, &tt.second)},
			MaxRetries: 1,
			sleepFunc:  func(_ context.Context, d time.Duration) { waits = append(waits, d) },
		}
		job := rrtask.Job{ID: "r1", NonIdempotent: tt.nonIdempotent, Deadline: time.Now().Add(time.Minute)}
		if got := c.Submit(t.Context(), job); got.Code != tt.want || got.RequestID != "r1" {
			t.Errorf("%s: got %v, want %v", tt.name, got.Code, tt.want)
		}
		if len(tt.first.seen) != 1 || len(tt.second.seen) != tt.tries || len(waits) != tt.tries {
			t.Errorf("%s: got tries %q and %q, want 1 and %d", tt.name, tt.first.seen, tt.second.seen, tt.tries)
		}
		if tt.first.retry || tt.second.retry != tt.retry {
			t.Errorf("%s: got retry marks %v and %v, want false and %v", tt.name, tt.first.retry, tt.second.retry, tt.retry)
		}
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	c := &Client{Entries: []string{closedPort(t)}}
	got := c.Submit(t.Context(), rrtask.Job{ID: "r1", Deadline: time.Now().Add(time.Minute)})
	if got.Code != rrcode.Unreachable {
		t.Errorf("got %v %s, want unreachable", got.Code, got.Detail)
	}
}

func TestApplyResolvesLostAnswer(t *testing.T) {
	e := &fakeEntry{cfg: rrconf.Default(), dropConnection: true}
	c := &Client{Entries: []string{closedPort(t), serve(t, e)}}
	out, err := c.SetPreset(t.Context(), rrconf.Peak, "ann")
	if err != nil || out.Code != rrcode.Applied || out.Active.Preset != rrconf.Peak {
		t.Errorf("got %+v, %v, want peak applied", out, err)
	}
}

func TestSetPresetStartsAgainAfterConflict(t *testing.T) {
	e := &fakeEntry{cfg: rrconf.Default(), conflicts: 2}
	c := &Client{Entries: []string{serve(t, e)}}
	out, err := c.SetPreset(t.Context(), rrconf.Peak, "ann")
	if err != nil || out.Code != rrcode.Applied || out.Active.Version != 3 {
		t.Errorf("got %+v, %v, want version 3 applied", out, err)
	}
	e.conflicts = 100
	if out, err = c.SetPreset(t.Context(), rrconf.Ordinary, "ann"); err != nil || out.Code != rrcode.Conflict {
		t.Errorf("got %+v, %v, want a conflict", out, err)
	}
}

// TestEvacuateZoneKeepsOtherChanges: a colleague's change at the same time must stay.
func TestEvacuateZoneKeepsOtherChanges(t *testing.T) {
	e := &fakeEntry{cfg: rrconf.Default(), conflicts: 1}
	e.cfg.Tenants = []rrconf.Tenant{{Name: "ports", Weight: 2}}
	c := &Client{Entries: []string{serve(t, e)}}
	for _, tc := range []struct {
		zone      string
		evacuated bool
		want      []string
	}{{"abertawe", true, []string{"abertawe", "bangor"}}, {"abertawe", true, []string{"abertawe", "bangor"}}, {"abertawe", false, []string{"bangor"}}, {"bangor", false, nil}} {
		out, err := c.EvacuateZone(t.Context(), tc.zone, tc.evacuated, "ann")
		if err != nil || out.Code != rrcode.Applied || !slices.Equal(out.Active.Evacuated, tc.want) || len(out.Active.Tenants) != 1 {
			t.Errorf("%s %v: got %+v, %v, want %q applied and the tenant kept", tc.zone, tc.evacuated, out, err, tc.want)
		}
	}
}

func TestCancelAsksEveryEntry(t *testing.T) {
	c := &Client{Entries: []string{serve(t, &fakeEntry{}), closedPort(t), serve(t, &fakeEntry{})}}
	jobs, tasks, err := c.Cancel(t.Context(), "ports", []string{"r1"})
	if err != nil || jobs != 2 || tasks != 4 {
		t.Errorf("got %d jobs, %d tasks, %v, want 2, 4 and nil", jobs, tasks, err)
	}
}
