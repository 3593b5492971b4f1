package rrstand

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
	"rattanring/io/rrminion"
)

func serve(t *testing.T, slots int) *Server {
	t.Helper()
	s, err := Serve(&Minion{Name: "m", Slots: slots})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func run(c *rrminion.Client, s *Server, job string, body string) rrdispatcher.DispatchResult {
	dispatch := rrdispatcher.Dispatch{Addr: s.Addr, Job: job, Task: &rrtask.Task{Body: []byte(body)}}
	return c.Run(context.Background(), dispatch)
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		slots  int
		faults Faults
		body   string
		want   rrcode.Code
		starts int
	}{
		{"healthy", 1, Faults{}, `{"run":"1ms"}`, rrcode.Complete, 1},
		{"bad task", 1, Faults{}, `{"run":"1ms","fail":true}`, rrcode.TaskFailed, 1},
		{"not a task", 1, Faults{}, `board`, rrcode.TaskFailed, 1},
		{"no slot", 0, Faults{}, `{"run":"1ms"}`, rrcode.MinionRefused, 0},
		{"fails tasks", 1, Faults{FailTasks: true}, `{"run":"1h"}`, rrcode.TaskFailed, 1},
		{"slow", 1, Faults{SlowFactor: 5}, `{"run":"1ms"}`, rrcode.Complete, 1},
		{"draining", 1, Faults{Draining: true}, `{"run":"1ms"}`, rrcode.MinionRefused, 0},
		{"request dropped", 1, Faults{DropRequests: true}, `{"run":"1ms"}`, rrcode.ConnectionLost, 0},
		{"answer lost", 1, Faults{DropAnswers: true}, `{"run":"1ms"}`, rrcode.ConnectionLost, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := serve(t, test.slots)
			s.Minion.SetFaults(test.faults)
			c := &rrminion.Client{}
			defer c.Close()
			out := run(c, s, "job", test.body)
			if got := out.Result.Code; got != test.want {
				t.Errorf("got %v (%s), want %v", got, out.Result.Detail, test.want)
			}
			if got := s.Minion.Runs()["job/0"].Starts; got != test.starts {
				t.Errorf("got %d starts, want %d", got, test.starts)
			}
			if got, want := out.Draining, test.faults.Draining; got != want {
				t.Errorf("got draining %v, want %v", got, want)
			}
		})
	}
}

func TestFreezeAndStop(t *testing.T) {
	s := serve(t, 1)
	c := &rrminion.Client{}
	defer c.Close()
	post := func(body string) {
		res, err := http.Post("http://"+s.Addr+"/faults", "application/json", strings.NewReader(body))
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("got %v %v, want status 200", res, err)
		}
	}
	post(`{"freeze":true}`)
	done := make(chan rrdispatcher.DispatchResult)
	go func() { done <- run(c, s, "job", `{"run":"1h"}`) }()
	if c.Health(context.Background(), rrdispatcher.Probe{Addr: s.Addr}) {
		t.Error("got healthy, want no answer from a frozen minion")
	}
	post(`{}`)
	command := rrdispatcher.TaskCommand{Addr: s.Addr, Job: "job", Stop: true}
	for c.SendCommand(context.Background(), command) != nil {
		time.Sleep(time.Millisecond)
	}
	if got, want := (<-done).Result.Code, rrcode.TaskFailed; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestDrain(t *testing.T) {
	f, err := StartFleet("m", 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := &rrminion.Client{}
	defer c.Close()
	done := make(chan rrdispatcher.DispatchResult)
	go func() { done <- run(c, f.Servers[0], "job", `{"run":"30ms"}`) }()
	for f.running() == 0 {
		time.Sleep(time.Millisecond)
	}
	if !f.Drain(time.Minute) {
		t.Error("got a task that still runs, want none")
	}
	if got, want := (<-done).Result.Code, rrcode.Complete; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := f.Tally().Starts, 1; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
}
