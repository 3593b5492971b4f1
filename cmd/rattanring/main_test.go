package main

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
	"rattanring/io/rrfront"
)

var update = flag.Bool("update", false, "write the golden files")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

func TestHelp(t *testing.T) {
	commands := []string{
		"", "entry", "node", "trace", "submit", "cancel", "preset", "preset get", "preset set",
		"zone", "zone evacuate", "zone restore", "zone list",
		"config", "config get", "config apply", "status", "explain", "version",
	}
	for _, c := range commands {
		var out, errs bytes.Buffer
		status := run(t.Context(), append(strings.Fields(c), "--help"), &out, &errs)
		if status != exitOK || errs.Len() > 0 {
			t.Errorf("%s: got status %d and %q, want 0 and nothing", c, status, errs.String())
		}
		golden(t, "help-"+strings.ReplaceAll(c, " ", "-")+".txt", out.String())
	}
}

func TestUsageErrors(t *testing.T) {
	tests := []struct {
		args, env, want string
	}{
		{"", "", "a subcommand is missing or unknown"},
		{"sumbit", "", "a subcommand is missing or unknown"},
		{"entry -slots 0", "", `invalid value "0" for flag -slots: want a whole number from 1 to 1000`},
		{"entry -slot 1", "", "flag provided but not defined: -slot"},
		{"entry", "RATTANRING_SLOTS=0", `environment variable "RATTANRING_SLOTS": want a whole number from 1 to 1000, not "0"`},
		{"entry", "", `invalid value "" for flag -name: want 1 to 64 letters`},
		{"entry e1", "", `unexpected argument "e1"`},
		{"submit -patience 0s", "", `invalid value "0s" for flag -patience: want a duration from 1ms to 24h`},
		{"submit -once -id a", "", `invalid value "a" for flag -id: want a version 7 UUID`},
		{"preset set loud", "", `invalid preset "loud": want ordinary|peak|maintenance`},
		{"config apply testdata/unknown.json", "", "testdata/unknown.json: teants: the key is unknown"},
		{"zone evacuate", "", "want one ZONE of 1 to 64 letters"},
		{"zone restore a/b", "", "want one ZONE of 1 to 64 letters"},
		{"zone list a", "", `unexpected argument "a"`},
		{"cancel", "", "a request id is missing"},
		{"explain a/b", "", "want one REQUEST"},
	}
	for _, tt := range tests {
		if name, value, ok := strings.Cut(tt.env, "="); ok {
			t.Setenv(name, value)
		}
		var out, errs bytes.Buffer
		status := run(t.Context(), strings.Fields(tt.args), &out, &errs)
		if status != exitUsage || !strings.Contains(errs.String(), tt.want) || out.Len() > 0 {
			t.Errorf("%s %s: got status %d and %q, want 2 and %q", tt.env, tt.args, status, errs.String(), tt.want)
		}
		os.Unsetenv("RATTANRING_SLOTS")
	}
}

// fakeBackend answers each job with code, and with a result for each task if code
// is complete.
type fakeBackend struct {
	code rrcode.Code
	cfg  rrconf.Config
	jobs []rrtask.Job
}

func (b *fakeBackend) Submit(_ context.Context, job rrtask.Job) rrtask.Answer {
	b.jobs = append(b.jobs, job)
	a := rrtask.Answer{RequestID: job.ID, Code: b.code, Coordinator: "e1"}
	if b.code == rrcode.Complete {
		for i := range job.Tasks {
			a.Results = append(a.Results, rrtask.Result{Index: i, Code: rrcode.Complete, RunTime: time.Second, Minion: "m1"})
		}
	}
	return a
}

func (b *fakeBackend) Cancel(context.Context, string, []string) (int, int) {
	return 1, 7
}

func (b *fakeBackend) Config() rrconf.Config {
	return b.cfg
}

func (b *fakeBackend) Apply(_ context.Context, cfg rrconf.Config) (rrcode.Code, string, rrconf.Config) {
	if cfg.Version != b.cfg.Version {
		return rrcode.Conflict, "", b.cfg
	}
	cfg.Version++
	b.cfg = cfg
	return rrcode.Applied, "", cfg
}

func (b *fakeBackend) Status(context.Context) rrstatus.Status {
	return rrstatus.Status{Entry: "e1", Zone: "bangor", Preset: b.cfg.Preset, StoreReachable: true, Ready: true}
}

func (b *fakeBackend) Explain(_ context.Context, id string) (rrstatus.History, bool) {
	return rrstatus.History{ID: id, Tenant: "ports", Code: rrcode.Complete}, id == "r1"
}

func TestCommands(t *testing.T) {
	b := &fakeBackend{cfg: rrconf.Default()}
	b.cfg.Version = 4
	server := httptest.NewServer((&rrfront.Frontend{Backend: b}).Handler())
	defer server.Close()
	t.Setenv("RATTANRING_ENTRY", strings.TrimPrefix(server.URL, "http://"))
	tests := []struct {
		code rrcode.Code
		args string
		exit int
		want []string // parts of the output
	}{
		{rrcode.Complete, "submit -id r1 -tasks 2", 0, []string{"request r1: 100 complete (complete) by entry e1", "1     complete  1s   m1"}},
		{rrcode.Complete, "submit -json", 0, []string{`"code": 100`}},
		{rrcode.Unschedulable, "submit", 3, []string{"204 never-runnable (not run)"}},
		{rrcode.OwnerLost, "submit", 4, []string{"301 keeper-lost (may have run)"}},
		{rrcode.TaskFailed, "submit -once", 5, []string{"400 task-failed (ran and failed)"}},
		{0, "preset get", 0, []string{"ordinary\n"}},
		{0, "preset set -author ann peak", 0, []string{"101 applied", `in force: version 5, preset peak, author "ann"`}},
		{0, "preset get -json", 0, []string{`{"preset":"peak","version":5}`}},
		{0, "config get", 0, []string{`"version": 5`}},
		{0, "zone evacuate -author ann bangor", 0, []string{"101 applied", "in force: version 6, preset peak", "evacuated zones: bangor\n"}},
		{0, "zone evacuate -json abertawe", 0, []string{`"outcome":"applied"`, `"evacuated":["abertawe","bangor"]`, `"preset":"peak"`}},
		{0, "zone list", 0, []string{"abertawe\nbangor\n"}},
		{0, "zone list -json", 0, []string{`{"evacuated":["abertawe","bangor"],"version":7}`}},
		{0, "zone restore abertawe", 0, []string{"evacuated zones: bangor\n"}},
		{0, "zone restore bangor", 0, []string{"evacuated zones: none\n"}},
		{0, "zone list -json", 0, []string{`{"evacuated":[],"version":9}`}},
		{0, "config apply testdata/old.json", 3, []string{"216 conflict", "in force: version 9", `"preset": "peak"`}},
		{0, "config apply -json testdata/old.json", 3, []string{`"outcome":"conflict"`, `"preset":"peak"`}},
		{0, "status", 0, []string{"entry e1 in bangor", "preset peak"}},
		{0, "status -json", 0, []string{`"preset": "peak"`}},
		{0, "explain r1", 0, []string{"request r1 of ports"}},
		{0, "explain -json r2", 3, []string{`"code": 218`}},
		{0, "cancel r1", 0, []string{"1 jobs canceled, 7 tasks dropped"}},
		{0, "version", 0, []string{"rattanring"}},
	}
	for _, tt := range tests {
		b.code = tt.code
		var out, errs bytes.Buffer
		if got := run(t.Context(), strings.Fields(tt.args), &out, &errs); got != tt.exit {
			t.Errorf("%s: got status %d and %q, want %d", tt.args, got, errs.String(), tt.exit)
		}
		for _, want := range tt.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: got %s, want it to contain %q", tt.args, out.String(), want)
			}
		}
	}
	if got := string(b.jobs[0].Tasks[1].Body); got != `{"run":"250ms"}` {
		t.Errorf("got body %s, want the body for a stand-in minion", got)
	}
}

func TestUnreachableEntry(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	for args, want := range map[string]int{"status": exitFailed, "submit -retries 0": 3} {
		var out, errs bytes.Buffer
		if got := run(t.Context(), append(strings.Fields(args), "-entry", addr), &out, &errs); got != want {
			t.Errorf("%s: got status %d, want %d", args, got, want)
		}
	}
}
