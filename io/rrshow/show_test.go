package rrshow

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrstatus"
	"rattanring/core/rrtask"
)

var update = flag.Bool("update", false, "write the golden files")

func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o666); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

var status = rrstatus.Status{
	Entry:   "caerdydd-1",
	Life:    7,
	Zone:    "caerdydd",
	Version: 12,
	Preset:  rrconf.Peak,
	Ready:   true,
	Peers: []rrstatus.Peer{
		{Name: "abertawe-1", Zone: "abertawe", Region: "wales", Age: 120 * time.Millisecond, Version: 11, Slots: 64, Busy: 60, Queued: 14},
		{Name: "bangor-1", Zone: "bangor", State: rrstatus.Dead, Age: 9 * time.Second, Version: 12},
	},
	Minions: []rrstatus.Minion{
		{Name: "torri-1", Zone: "caerdydd", Service: "torri", Keeper: "caerdydd-1", State: "healthy", Slots: 8, Busy: 3},
		{Name: "torri-2", Zone: "abertawe", Service: "torri", Keeper: "abertawe-1", State: "quarantined", Slots: 8},
		{Name: "torri-3", Zone: "bangor", Service: "torri", State: "healthy", Slots: 8},
	},
	Zones:   []rrstatus.Zone{{Name: "abertawe", Reach: true}, {Name: "bangor"}, {Name: "caerdydd", Reach: true}},
	Jobs:    3,
	Batches: 2,
	Counts:  []rrstatus.Count{{Kind: "start", Total: 1200}, {Kind: "batch", Total: 31}},
}

var history = rrstatus.History{
	ID:     "r1",
	Tenant: "ports",
	Class:  "proof",
	Code:   rrcode.KeeperLost,
	Steps: []rrstatus.Step{
		{What: rrstatus.Accepted, Tasks: 100, Detail: "estimated 310ms of 5s"},
		{At: 40 * time.Microsecond, What: rrstatus.Placed, Tasks: 40},
		{At: 1200 * time.Microsecond, What: rrstatus.Sent, Peer: "bangor-1", Tasks: 60, Detail: "least loaded"},
		{At: 2 * time.Second, What: rrstatus.Lost, Peer: "bangor-1", Tasks: 60, Detail: "no heartbeat"},
		{At: 2 * time.Second, What: rrstatus.Answered},
	},
}

var answer = rrtask.Answer{
	Job:   "r1",
	Code:  rrcode.Complete,
	Entry: "caerdydd-1",
	Results: []rrtask.Result{
		{Index: 0, Code: rrcode.Complete, Body: []byte("ok\n"), Run: 250 * time.Millisecond, Minion: "torri-1"},
		{Index: 1, Code: rrcode.Complete, Body: bytes.Repeat([]byte("x"), 61), Run: time.Second, Minion: "torri-2"},
	},
}

func TestGolden(t *testing.T) {
	var s, h, a, refused bytes.Buffer
	if err := Status(&s, status); err != nil {
		t.Fatal(err)
	}
	if err := History(&h, history); err != nil {
		t.Fatal(err)
	}
	if err := Answer(&a, answer); err != nil {
		t.Fatal(err)
	}
	no := rrtask.Answer{Job: "r2", Code: rrcode.Overloaded, Detail: "62s of work a slot", RetryAfter: 3 * time.Second}
	if err := Answer(&refused, no); err != nil {
		t.Fatal(err)
	}
	golden(t, "status.txt", s.Bytes())
	golden(t, "status.json", EncodeStatus(status))
	golden(t, "explain.txt", h.Bytes())
	golden(t, "explain.json", EncodeHistory(history))
	golden(t, "answer.txt", a.Bytes())
	golden(t, "answer.json", EncodeAnswer(answer))
	golden(t, "refused.txt", refused.Bytes())
}

func TestDecode(t *testing.T) {
	if got, err := DecodeStatus(EncodeStatus(status)); err != nil || !reflect.DeepEqual(got, status) {
		t.Errorf("got %+v, %v, want %+v", got, err, status)
	}
	if got, err := DecodeHistory(EncodeHistory(history)); err != nil || !reflect.DeepEqual(got, history) {
		t.Errorf("got %+v, %v, want %+v", got, err, history)
	}
	_, err := DecodeStatus([]byte(`{"entry":"e1","lief":3}`))
	if err == nil || !strings.Contains(err.Error(), "lief") {
		t.Errorf("got %v, want an error that names lief", err)
	}
}

func TestHealthyFleetNeedsNoAttention(t *testing.T) {
	if got := Attention(rrstatus.Status{Store: true}); len(got) != 0 {
		t.Errorf("got %q, want nothing", got)
	}
}
