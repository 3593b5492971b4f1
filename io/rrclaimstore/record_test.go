package rrclaimstore

import (
	"os"
	"reflect"
	"testing"
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

var closed = rrclaim.Record{
	Tenant: "ports", Entry: "entry1", Incarnation: 1<<64 - 1, Attempt: 3, State: rrclaim.Closed,
	ClosedAt: time.UnixMilli(1_700_000_000_123), Code: rrcode.Complete, Detail: "fine", HasResults: true,
	Results: []rrtask.Result{{Index: 1, Code: rrcode.Complete, Body: []byte("cut"), RunTime: 50 * time.Millisecond, Minion: "m1"}},
}

func TestRecord(t *testing.T) {
	want, err := os.ReadFile("testdata/closed.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := string(Encode(closed)) + "\n"; got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	open := rrclaim.Record{Entry: "entry1", Incarnation: 7, Attempt: 3, State: rrclaim.Open}
	for _, r := range []rrclaim.Record{closed, open} {
		if got := Decode(Encode(r)); !reflect.DeepEqual(got, r) {
			t.Errorf("got %+v, want %+v", got, r)
		}
	}
	for _, text := range []string{``, `{}`, `{"entry":"a"}`, `{"entry":"a","state":"closed"}`, `{"entry":"a","state":"closed","code":-1}`, `[]`} {
		if got := Decode([]byte(text)); got.State != rrclaim.Malformed {
			t.Errorf("%s: got state %v, want malformed", text, got.State)
		}
	}
}

func FuzzRecord(f *testing.F) {
	f.Add(Encode(closed))
	f.Add([]byte(`{"entry":"a","life":1,"nonce":2,"state":"open"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := Decode(value)
		if r.State == rrclaim.Malformed {
			return
		}
		back := Decode(Encode(r))
		if back.State != r.State || back.Code != r.Code || back.Attempt != r.Attempt || len(back.Results) != len(r.Results) {
			t.Errorf("got %+v back, want %+v", back, r)
		}
	})
}

// BenchmarkRecord measures encoding and decoding of a claim and its size in bytes.
func BenchmarkRecord(b *testing.B) {
	open := rrclaim.Record{Tenant: "lanedesk", Entry: "caerdydd-entry-1", Incarnation: 1_764_826_000_000, Attempt: 12345, State: rrclaim.Open}
	small := open
	small.State, small.ClosedAt, small.Code, small.HasResults = rrclaim.Closed, closed.ClosedAt, rrcode.Complete, true
	small.Results = []rrtask.Result{{Code: rrcode.Complete, Body: make([]byte, 100), RunTime: 50_000_000, Minion: "lanedesk-17"}}
	lost := small
	lost.Results, lost.HasResults = nil, false
	for _, tt := range []struct {
		name string
		r    rrclaim.Record
	}{{"open", open}, {"result100B", small}, {"notkept", lost}} {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				value := Encode(tt.r)
				Decode(value)
				n = len(value)
			}
			b.ReportMetric(float64(n), "bytes")
		})
	}
}
