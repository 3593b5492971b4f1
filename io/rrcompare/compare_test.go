package rrcompare

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrworkload"
	"rattanring/io/rrload"
	"rattanring/io/rrstand"
)

var update = flag.Bool("update", false, "write the golden files")

func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		jobs := s.Jobs(1, 400, 20*time.Second)
		if len(jobs) == 0 {
			t.Errorf("%s: got no jobs", s.Name)
		}
		for _, job := range jobs {
			if job.Timeout == 0 || job.Arrival >= 20*time.Second {
				t.Errorf("%s: got a job with timeout %v at %v", s.Name, job.Timeout, job.Arrival)
			}
		}
		if w := s.window(20 * time.Second); w.To <= w.From {
			t.Errorf("%s: got window %v", s.Name, w)
		}
	}
}

// TestRun runs two short jobs with each baseline, with one slow minion.
func TestRun(t *testing.T) {
	short := newScenario("short", "", func(uint64, int, time.Duration) []rrworkload.Job {
		tasks := make([]rrworkload.Task, 4)
		for i := range tasks {
			tasks[i].RunTime = time.Millisecond
		}
		return []rrworkload.Job{{Class: "cut", Timeout: time.Minute, Tasks: tasks}, {Class: "cut", Timeout: time.Minute, Tasks: tasks}}
	})
	short.Disturbances = []Disturbance{{Affects: func(n int) bool { return n == 0 }, Faults: rrstand.Faults{SlowFactor: 2}}}
	c := Config{Scenario: short, Seed: 1, Length: time.Second, Minions: 4, Slots: 1, Entries: 2, Conns: 4}
	for _, s := range Baselines() {
		r, err := Run(context.Background(), c, s)
		if err != nil {
			t.Fatal(err)
		}
		if !r.Audit.OK() || r.Summary.All.Complete != 2 || r.Tally.Starts != 8 {
			t.Errorf("%s: got %+v, %+v, %d starts, want 2 complete jobs of 4 tasks", s.Name, r.Audit, r.Summary.All, r.Tally.Starts)
		}
	}
}

func TestPrint(t *testing.T) {
	s, _ := Find("even80")
	c := Config{Scenario: s, Seed: 1, Length: 20 * time.Second, Minions: 50, Slots: 8, Entries: 8}
	ratios := rrload.Ratios{Class: "small", Jobs: 10, Complete: 9, Mean: 1.25, P50: 1, P99: 3}
	all := ratios
	all.Class = ""
	r := Result{
		Strategy: ProductName,
		Summary: rrload.Summary{
			All:     all,
			Classes: []rrload.Ratios{ratios},
			Codes:   []rrload.CodeCount{{Code: rrcode.Complete, Jobs: 9}, {Code: 0, Jobs: 1}},
		},
		Goodput:  0.8,
		Cost:     rrload.Cost{Dispatches: 1000, Refused: 1, Heartbeats: 20, Bytes: 8000, CPUSeconds: 4},
		Duration: 20 * time.Second,
		Tally:    rrstand.Tally{Starts: 1000, Most: 1, Peak: 8},
		Audit:    rrload.Audit{Silent: 1},
		Entries:  8,
	}
	var text, doc bytes.Buffer
	Print(&text, c, []Result{r})
	if err := Encode(&doc, c, []Result{r}); err != nil {
		t.Fatal(err)
	}
	golden(t, "table.txt", text.Bytes())
	golden(t, "table.json", doc.Bytes())
}

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		os.WriteFile(path, got, 0o644)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
