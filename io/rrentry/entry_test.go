package rrentry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrcode"
	"rattanring/io/rrplatform"
	"rattanring/io/rrset"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

// TestWholePath submits a job to each of three entries and checks that every
// task ran once.
func TestWholePath(t *testing.T) {
	zones := []string{"caerdydd", "abertawe", "bangor"}
	platform := &rrplatform.Platform{}
	web := httptest.NewServer(platform.Handler())
	defer web.Close()
	fleet, err := rrstand.StartFleet("minion", 6, 8)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	for _, inst := range fleet.Instances(rrstand.Place{Service: "torri", Zones: zones, Conns: 60}) {
		platform.Register(inst)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(zones))
	var addrs []string
	for i, zone := range zones {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		set := rrset.Default()
		set.Name, set.Zone = fmt.Sprintf("entry-%d", i), zone
		set.Store, set.List = web.URL, web.URL
		addrs = append(addrs, ln.Addr().String())
		platform.Register(rrplatform.Instance{Name: set.Name, Addr: addrs[i], Zone: zone, Service: "rattanring"})
		go func() { done <- Serve(ctx, set, ln, log.NewNopLogger()) }()
	}
	for _, addr := range addrs {
		submit(t, addr)
	}
	cancel()
	for range zones {
		if err := <-done; err != nil {
			t.Errorf("got %v from a planned stop, want nil", err)
		}
	}
}

func submit(t *testing.T, addr string) {
	t.Helper()
	c := rrwire.NewCallerProtobufClient("http://"+addr, http.DefaultClient)
	job := &rrwire.Job{Id: "job-" + strings.ReplaceAll(addr, ":", "-"), Tenant: "ports", Class: "proof", Service: "torri", Patience: 20_000}
	for i := range 100 {
		job.Tasks = append(job.Tasks, &rrwire.Task{Index: uint32(i), Body: []byte(`{"run":"20ms"}`)})
	}
	deadline := time.Now().Add(10 * time.Second)
	for {
		a, err := c.Submit(context.Background(), job)
		if err != nil {
			t.Fatal(err)
		}
		if rrcode.Code(a.Code) == rrcode.NoMinions && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if got := rrcode.Code(a.Code); got != rrcode.Complete || len(a.Results) != 100 {
			t.Fatalf("got %v (%s) with %d results, want complete with 100", got, a.Detail, len(a.Results))
		}
		return
	}
}
