package rrlist

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"rattanring/core/rrtask"
	"rattanring/io/rrplatform"
)

const sliceFormat = `{"kind":"EndpointSliceList","new":1,"items":[{"metadata":{"labels":{"kubernetes.io/service-name":%q},
 "annotations":%s},"ports":%s,"endpoints":[%s]}]}`

func TestDecode(t *testing.T) {
	const good = `{"addresses":["10.0.0.1"],"targetRef":{"name":"m1"},"zone":"bangor"}`
	const draining = `{"addresses":["10.0.0.1"],"targetRef":{"name":"m1"},"zone":"bangor","conditions":{"ready":true,"terminating":true}}`
	want := rrtask.Minion{Name: "m1", Addr: "10.0.0.1:80", Zone: "bangor", Service: "torri", Slots: 8, MaxConns: 60}
	edited := func(f func(*rrtask.Minion)) string {
		m := want
		f(&m)
		return fmt.Sprint([]rrtask.Minion{m})
	}
	same := edited(func(*rrtask.Minion) {})
	tests := []struct {
		name, service, annotations, ports, endpoints string
		want                                         string
		skipped                                      int
	}{
		{"plain", "torri", `{}`, `[{"port":80}]`, good, same, 0},
		{"draining", "torri", `{}`, `[{"port":80}]`, draining, edited(func(m *rrtask.Minion) { m.Draining = true }), 0},
		{"capacity", "torri", `{"rattanring/cores":"4000","x":"y"}`, `[{"port":80}]`, good, edited(func(m *rrtask.Minion) { m.Capacity.MilliCores = 4000 }), 0},
		{"twice", "torri", `{}`, `[{"port":80}]`, good + "," + good, same, 1},
		{"no service", "", `{}`, `[{"port":80}]`, good, "[]", 1},
		{"no port", "torri", `{}`, `[]`, good, "[]", 1},
		{"port out of range", "torri", `{}`, `[{"port":70000}]`, good, "[]", 1},
		{"host name", "torri", `{}`, `[{"port":80}]`, `{"addresses":["a.example"],"targetRef":{"name":"m1"},"zone":"z"}`, "[]", 1},
		{"no name", "torri", `{}`, `[{"port":80}]`, `{"addresses":["10.0.0.1"],"zone":"z"}`, "[]", 1},
		{"no slots", "torri", `{"rattanring/slots":"0"}`, `[{"port":80}]`, good, "[]", 1},
		{"slots not a number", "torri", `{"rattanring/slots":"8x"}`, `[{"port":80}]`, good, "[]", 1},
	}
	for _, tc := range tests {
		s, err := Decode(fmt.Appendf(nil, sliceFormat, tc.service, tc.annotations, tc.ports, tc.endpoints))
		if err != nil {
			t.Errorf("%s: %v", tc.name, err)
		}
		if got := fmt.Sprint(s.Minions); got != tc.want || s.Skipped != tc.skipped {
			t.Errorf("%s: got %s, %d skipped, want %s, %d skipped", tc.name, got, s.Skipped, tc.want, tc.skipped)
		}
	}
}

// TestPoll checks the poller while the simulated platform's list lags behind and while
// it can't be read. A failed poll must return the last snapshot.
func TestPoll(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &rrplatform.Platform{Now: func() time.Time { return now }}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	poller := Poller{Client: &Client{BaseURL: srv.URL}}
	p.SetFaults(rrplatform.Faults{ListLag: 2 * time.Second})
	p.Register(rrplatform.Instance{Name: "m1", Addr: "127.0.0.1:81", Zone: "bangor", Service: "torri", Slots: 4})
	p.Register(rrplatform.Instance{Name: "e1", Addr: "127.0.0.1:82", Zone: "bangor", Region: "wales", Service: "rattanring"})
	steps := []struct {
		name string
		do   func()
		want string
	}{
		{"within the lag", func() {}, "0 0 [] false"},
		{"after the lag", func() { now = now.Add(2 * time.Second) }, "1 1 [] false"},
		{"entry drains", func() { p.Drain("e1"); now = now.Add(2 * time.Second) }, "1 1 [e1] false"},
		{"list unreachable", func() { p.Remove("m1"); p.SetFaults(rrplatform.Faults{ListOutage: true}) }, "1 1 [e1] true"},
		{"list reachable again", func() { p.SetFaults(rrplatform.Faults{}) }, "0 1 [e1] false"},
	}
	for _, step := range steps {
		step.do()
		r := poller.read(context.Background())
		s := r.Snapshot
		got := fmt.Sprint(len(s.Minions), len(s.Entries), s.DrainingEntries, r.Err != nil)
		if got != step.want {
			t.Errorf("%s: got %s, want %s (%v)", step.name, got, step.want, r.Err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"EndpointSliceList","items":[{"ports":[{"port":1}],"endpoints":[{"addresses":["1.2.3.4"]}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Decode(body)
		if err != nil {
			return
		}
		for _, m := range s.Minions {
			if m.Name == "" || m.Slots < 1 || m.MaxConns < 1 || m.Service == "rattanring" {
				t.Errorf("got minion %+v", m)
			}
		}
	})
}
