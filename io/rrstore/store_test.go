package rrstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/io/rrplatform"
)

// startPlatform starts a simulated platform and returns it with a client of its store.
func startPlatform(t testing.TB) (*rrplatform.Platform, *Client) {
	p := &rrplatform.Platform{WritesPerSecond: 1 << 30, ReadsPerSecond: 1 << 30}
	srv := httptest.NewServer(p.Handler())
	c := &Client{BaseURL: srv.URL}
	t.Cleanup(func() {
		c.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return p, c
}

func TestTxn(t *testing.T) {
	_, c := startPlatform(t)
	ctx := context.Background()
	claim := func(value string) Txn {
		return Txn{
			If:   []Condition{{Key: "a/1", Field: FieldCreateRevision, Value: 0}},
			Then: []Op{{Put: &Put{Key: "a/1", Value: []byte(value)}}},
			Else: []Op{{Get: &Range{Key: "a/1"}}},
		}
	}
	first, err := c.Txn(ctx, claim("x"))
	if err != nil || !first.Succeeded {
		t.Fatalf("first: got %+v, %v, want success", first, err)
	}
	second, err := c.Txn(ctx, claim("y"))
	if err != nil || second.Succeeded {
		t.Fatalf("second: got %+v, %v, want failure", second, err)
	}
	item := second.Results[0].Items[0]
	if got, want := string(item.Value), "x"; got != want {
		t.Errorf("value: got %q, want %q", got, want)
	}
	if item.Create != first.Revision || item.Mod != first.Revision || item.Version != 1 {
		t.Errorf("item: got %+v, want revision %d, version 1", item, first.Revision)
	}
	if err := c.Put(ctx, Put{Key: "b", Value: []byte("z")}); err != nil {
		t.Fatal(err)
	}
	n, err := c.DeleteRange(ctx, Prefix("a/"))
	if err != nil || n != 1 {
		t.Errorf("delete: got %d, %v, want 1", n, err)
	}
	result, err := c.Get(ctx, Prefix("a"))
	if err != nil || len(result.Items) != 0 || result.Revision != 4 {
		t.Errorf("get: got %+v, %v, want no item at revision 4", result, err)
	}
}

func TestLease(t *testing.T) {
	_, c := startPlatform(t)
	ctx := context.Background()
	id, err := c.Grant(ctx, 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Put(ctx, Put{Key: "k", Value: []byte("v"), Lease: id}); err != nil {
		t.Fatal(err)
	}
	if ttl, err := c.KeepAlive(ctx, id); err != nil || ttl != 2*time.Second {
		t.Errorf("keepalive: got %v, %v, want 2s", ttl, err)
	}
	if err := c.Revoke(ctx, id); err != nil {
		t.Fatal(err)
	}
	if result, err := c.Get(ctx, Range{Key: "k"}); err != nil || len(result.Items) != 0 {
		t.Errorf("get: got %+v, %v, want no item", result, err)
	}
	if ttl, err := c.KeepAlive(ctx, id); err != nil || ttl != 0 {
		t.Errorf("keepalive of a revoked lease: got %v, %v, want 0", ttl, err)
	}
	if err := c.Revoke(ctx, id); !NotApplied(err) {
		t.Errorf("revoke of a revoked lease: got %v, want not applied", err)
	}
}

// TestErrorsSayWhetherApplied checks whether the error of a failed write says that the
// store certainly did not apply it. A caller that retries after a wrong "not applied"
// would apply the write twice.
func TestErrorsSayWhetherApplied(t *testing.T) {
	tests := []struct {
		name       string
		faults     rrplatform.Faults
		writes     int
		value      int // bytes
		notApplied bool
		stored     bool
	}{
		{"lost answer", rrplatform.Faults{LoseAnswerEvery: 1}, 0, 1, false, true},
		{"lost request", rrplatform.Faults{DropWriteEvery: 1}, 0, 1, false, false},
		{"outage", rrplatform.Faults{Outage: true}, 0, 1, false, false},
		{"hang", rrplatform.Faults{Hang: true}, 0, 1, false, false},
		{"slow answer", rrplatform.Faults{AnswerDelay: time.Hour}, 0, 1, false, true},
		{"above the rate", rrplatform.Faults{}, -1, 1, true, false},
		{"too large", rrplatform.Faults{}, 0, 1<<20 + 1, true, false},
	}
	for _, tc := range tests {
		p, c := startPlatform(t)
		if tc.faults.Hang || tc.faults.AnswerDelay > 0 {
			c.Timeout = 200 * time.Millisecond // ends these calls; the others must fail before their timeout
		} else {
			c.Timeout = time.Minute
		}
		p.SetFaults(tc.faults)
		if tc.writes != 0 {
			p.WritesPerSecond = tc.writes
		}
		err := c.Put(context.Background(), Put{Key: "k", Value: make([]byte, tc.value)})
		if err == nil || NotApplied(err) != tc.notApplied {
			t.Errorf("%s: got %v, want not applied = %v", tc.name, err, tc.notApplied)
		}
		for p.Stats().Hanging > 0 {
			time.Sleep(time.Millisecond) // a call that still hangs would be executed once the fault is removed
		}
		p.SetFaults(rrplatform.Faults{})
		c.Timeout = 0
		result, err := c.Get(context.Background(), Range{Key: "k"})
		if err != nil || (len(result.Items) == 1) != tc.stored {
			t.Errorf("%s: got %d items, %v, want stored = %v", tc.name, len(result.Items), err, tc.stored)
		}
	}
}

func TestFailureBeforeWriteIsNotApplied(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &Client{BaseURL: "http://" + l.Addr().String()}
	l.Close()
	err = c.Put(context.Background(), Put{Key: "k"})
	if !NotApplied(err) {
		t.Errorf("refused connection: got %v, want not applied", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err = c.Put(ctx, Put{Key: "k"})
	if !NotApplied(err) {
		t.Errorf("canceled before the call: got %v, want not applied", err)
	}
}

// TestClientNeverResends closes a reused connection after reading a request. After
// that http.Transport sends a request again if it can replay the body, and the store
// would apply it twice.
func TestClientNeverResends(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var requests atomic.Int32
	go serveRaw(l, &requests)
	c := &Client{BaseURL: "http://" + l.Addr().String()}
	defer c.Close()
	if err := c.Put(context.Background(), Put{Key: "k"}); err != nil {
		t.Fatal(err)
	}
	err = c.Put(context.Background(), Put{Key: "k"})
	if err == nil || NotApplied(err) {
		t.Errorf("got %v, want an error that says maybe applied", err)
	}
	if got, want := requests.Load(), int32(2); got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
}

// serveRaw answers the first request of each connection and closes the connection after
// reading the second.
func serveRaw(l net.Listener, requests *atomic.Int32) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4<<10)
		for i := range 2 {
			if _, err := c.Read(buf); err != nil {
				break
			}
			requests.Add(1)
			if i == 0 {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}
		}
		c.Close()
	}
}

func TestWatchResumes(t *testing.T) {
	p, c := startPlatform(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	put := func(key string) {
		if err := c.Put(ctx, Put{Key: key, Value: []byte(key)}); err != nil {
			t.Fatal(err)
		}
	}
	put("w/1")
	put("other")
	var got []string
	errStop := errors.New("enough")
	record := func(e Event) error {
		got = append(got, fmt.Sprintf("%s@%d", e.Item.Key, e.Item.Mod))
		p.SetFaults(rrplatform.Faults{Outage: true})
		return nil
	}
	next, err := c.Watch(ctx, Prefix("w/"), 1, record)
	if err == nil || next != 3 {
		t.Fatalf("broken stream: got next %d, %v, want 3 and an error", next, err)
	}
	p.SetFaults(rrplatform.Faults{})
	put("w/2")
	if _, err := c.DeleteRange(ctx, Range{Key: "w/1"}); err != nil {
		t.Fatal(err)
	}
	_, err = c.Watch(ctx, Prefix("w/"), next, func(e Event) error {
		got = append(got, fmt.Sprintf("%s@%d", e.Item.Key, e.Item.Mod))
		if e.Deleted {
			return errStop
		}
		return nil
	})
	if !errors.Is(err, errStop) {
		t.Errorf("got %v, want the error that the callback returned", err)
	}
	want := "[w/1@2 w/2@4 w/1@5]"
	if fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPrefix(t *testing.T) {
	tests := []struct{ prefix, end string }{
		{"a", "b"}, {"a/", "a0"}, {"a\xff", "b"}, {"\xff", "\x00"},
	}
	for _, tc := range tests {
		if got := Prefix(tc.prefix).End; got != tc.end {
			t.Errorf("%q: got end %q, want %q", tc.prefix, got, tc.end)
		}
	}
}
