package rrplatform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// TestCalls calls the stand-in over HTTP, as another process would.
func TestCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Platform{WritesPerSecond: 3, Now: func() time.Time { return now }}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	const get = `{"key":"YQ=="}`
	steps := []struct {
		path, body string
		status     int
		want       string // part of the answer
	}{
		{"/v3/kv/put", `{"key":"YQ==","value":"Yg=="}`, 200, `{"header":{"revision":"2"}}`},
		{"/v3/kv/range", get, 200, `"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"2","version":"1","value":"Yg=="}],"count":"1"`},
		{"/faults", `{"frozen":true}`, 200, ""},
		{"/v3/kv/put", `{"key":"YQ==","value":"Yw=="}`, 200, `"3"`},
		{"/v3/kv/range", get, 200, `"value":"Yg=="`},
		{"/faults", `{"lose":1}`, 200, ""},
		{"/v3/kv/range", get, 200, `"value":"Yw=="`},
		{"/v3/kv/put", `{"key":"YQ==","value":"ZA=="}`, 0, ""},
		{"/v3/kv/range", get, 200, `"value":"ZA=="`},
		{"/faults", `{}`, 200, ""},
		{"/v3/kv/put", `{"key":"YQ==","value":"ZQ=="}`, 429, `"code":8`},
		{"/faults", `{"outage":true}`, 200, ""},
		{"/v3/kv/range", get, 503, `"code":14`},
		{"/faults", `{"outages":true}`, 400, "outages"},
		{"/faults", `{}`, 200, ""},
		{"/v3/kv/txn", `{"success":[{}]}`, 429, ""},
		{"/instances", `{"name":"m1","addr":"127.0.0.1:9","zone":"z","service":"torri"}`, 200, ""},
		{"/instances", `{"name":"m2","addr":"nowhere"}`, 400, "addr"},
		{"/instances/m1/leave", ``, 200, ""},
		{"/instances/m9/leave", ``, 404, ""},
	}
	for i, step := range steps {
		status, got := post(t, srv.URL+step.path, step.body)
		if status != step.status || !strings.Contains(got, step.want) {
			t.Errorf("step %d, %s: got %d %s, want %d %s", i, step.path, status, got, step.status, step.want)
		}
	}
	now = now.Add(time.Second)
	if status, got := post(t, srv.URL+"/v3/kv/txn", `{"success":[{}]}`); status != 400 {
		t.Errorf("empty operation in the next second: got %d %s, want 400", status, got)
	}
	resp, err := http.Get(srv.URL + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	want := `{"writes":6,"reads":5,"refused":2,"watches":0,"held":0,"peakwrites":5,"peakreads":5,"lists":0}`
	if got := strings.TrimSpace(string(body)); got != want {
		t.Errorf("stats: got %s, want %s", got, want)
	}
}

// TestWatchCounts checks that an open watch counts as one read in each second.
func TestWatchCounts(t *testing.T) {
	var l limiter
	l.stats.Watches = 3
	now := time.Unix(1000, 0)
	for i := range 7 {
		got := l.countCall(now, readCall, 5)
		if want := i < 2; got != want {
			t.Errorf("read %d: got %v, want %v", i, got, want)
		}
	}
}

func TestLeaseExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Platform{Now: func() time.Time { return now }}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	post(t, srv.URL+"/v3/lease/grant", `{"TTL":5,"ID":7}`)
	post(t, srv.URL+"/v3/kv/put", `{"key":"YQ==","lease":"7"}`)
	for _, tc := range []struct {
		after time.Duration
		want  string
	}{{5 * time.Second, `"count":"1"`}, {time.Second, `{"header":{"revision":"3"}}`}} {
		now = now.Add(tc.after)
		if _, got := post(t, srv.URL+"/v3/kv/range", `{"key":"YQ=="}`); !strings.Contains(got, tc.want) {
			t.Errorf("after %v: got %s, want %s", tc.after, got, tc.want)
		}
	}
}

func ExamplePlatform() {
	var p Platform
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	p.Register(Instance{Name: "m1", Addr: "127.0.0.1:9000", Zone: "bangor", Service: "torri"})
	p.SetFaults(Faults{ListLag: time.Hour})
	resp, err := http.Get(srv.URL + "/apis/discovery.k8s.io/v1/endpointslices")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	fmt.Print(string(body))
	// Output: {"apiVersion":"discovery.k8s.io/v1","kind":"EndpointSliceList","items":[]}
}
