package rrrender

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

func checkGolden(t *testing.T, name string, got []byte) {
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
	Entry:         "caerdydd-1",
	Incarnation:   7,
	Zone:          "caerdydd",
	ConfigVersion: 12,
	Preset:        rrconf.Peak,
	Ready:         true,
	Peers: []rrstatus.Peer{
		{Name: "abertawe-1", Zone: "abertawe", Region: "wales", HeartbeatAge: 120 * time.Millisecond, ConfigVersion: 11, Slots: 64, Busy: 60, Queued: 14},
		{Name: "bangor-1", Zone: "bangor", State: rrstatus.Dead, HeartbeatAge: 9 * time.Second, ConfigVersion: 12},
	},
	Minions: []rrstatus.Minion{
		{Name: "torri-1", Zone: "caerdydd", Service: "torri", Owner: "caerdydd-1", State: "healthy", Slots: 8, Busy: 3},
		{Name: "torri-2", Zone: "abertawe", Service: "torri", Owner: "abertawe-1", State: "quarantined", Slots: 8},
		{Name: "torri-3", Zone: "bangor", Service: "torri", State: "healthy", Slots: 8},
	},
	Zones:   []rrstatus.Zone{{Name: "abertawe", Reachable: true}, {Name: "bangor"}, {Name: "caerdydd", Reachable: true}},
	Jobs:    3,
	Batches: 2,
	Counts:  []rrstatus.MessageCount{{Kind: "start", Total: 1200}, {Kind: "batch", Total: 31}},
}

var history = rrstatus.History{
	ID:     "r1",
	Tenant: "ports",
	Class:  "proof",
	Code:   rrcode.OwnerLost,
	Events: []rrstatus.Event{
		{Kind: rrstatus.Accepted, Tasks: 100, Detail: "estimated 310ms of 5s"},
		{Elapsed: 40 * time.Microsecond, Kind: rrstatus.Placed, Tasks: 40},
		{Elapsed: 1200 * time.Microsecond, Kind: rrstatus.Sent, Peer: "bangor-1", Tasks: 60, Detail: "least loaded"},
		{Elapsed: 2 * time.Second, Kind: rrstatus.Lost, Peer: "bangor-1", Tasks: 60, Detail: "no heartbeat"},
		{Elapsed: 2 * time.Second, Kind: rrstatus.Answered},
	},
}

var answer = rrtask.Answer{
	RequestID:   "r1",
	Code:        rrcode.Complete,
	Coordinator: "caerdydd-1",
	Results: []rrtask.Result{
		{Index: 0, Code: rrcode.Complete, Body: []byte("ok\n"), RunTime: 250 * time.Millisecond, Minion: "torri-1"},
		{Index: 1, Code: rrcode.Complete, Body: bytes.Repeat([]byte("x"), 61), RunTime: time.Second, Minion: "torri-2"},
	},
}

func TestGolden(t *testing.T) {
	var statusText, historyText, answerText, refusedText bytes.Buffer
	if err := WriteStatus(&statusText, status); err != nil {
		t.Fatal(err)
	}
	if err := WriteHistory(&historyText, history); err != nil {
		t.Fatal(err)
	}
	if err := WriteAnswer(&answerText, answer); err != nil {
		t.Fatal(err)
	}
	refusal := rrtask.Answer{RequestID: "r2", Code: rrcode.Overloaded, Detail: "62s of work a slot", RetryAfter: 3 * time.Second}
	if err := WriteAnswer(&refusedText, refusal); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "status.txt", statusText.Bytes())
	checkGolden(t, "status.json", EncodeStatus(status))
	checkGolden(t, "explain.txt", historyText.Bytes())
	checkGolden(t, "explain.json", EncodeHistory(history))
	checkGolden(t, "answer.txt", answerText.Bytes())
	checkGolden(t, "answer.json", EncodeAnswer(answer))
	checkGolden(t, "refused.txt", refusedText.Bytes())
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
	if got := Warnings(rrstatus.Status{StoreReachable: true}); len(got) != 0 {
		t.Errorf("got %q, want nothing", got)
	}
}

// TestEvacuatedZonesComeFirst: an operator reads the first lines only, and a misspelled
// zone must not look like an evacuated one.
func TestEvacuatedZonesComeFirst(t *testing.T) {
	evacuated := status
	evacuated.Evacuated = []string{"abertawe", "banger"}
	got := Warnings(evacuated)
	want := []string{"zone abertawe is evacuated", "zone banger is evacuated, but no minion of this zone is listed"}
	if len(got) <= len(want) || !reflect.DeepEqual(got[:len(want)], want) {
		t.Errorf("got %q, want %q first", got, want)
	}
	if got, err := DecodeStatus(EncodeStatus(evacuated)); err != nil || !reflect.DeepEqual(got, evacuated) {
		t.Errorf("got %+v, %v, want %+v", got, err, evacuated)
	}
}
