package faults

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"rattanring/core/rrcode"
	"rattanring/io/rrplatform"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

// TestOnce retries non-idempotent jobs at one entry after another while entries are
// killed and every fifth answer of the store is lost. No task may start twice.
func TestOnce(t *testing.T) {
	f := startFleet(t, 2)
	f.platform.SetFaults(rrplatform.Faults{LoseAnswerEvery: 5})
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for k := range 3 {
				f.submitOnce(uuid.Must(uuid.NewV7()).String(), i+k)
			}
		})
	}
	for _, victim := range f.entries[:3] {
		time.Sleep(400 * time.Millisecond)
		victim.signal(t, syscall.SIGKILL)
	}
	callers.Wait()
	tasksByStarts := map[int]int{}
	for task, n := range f.taskStarts() {
		tasksByStarts[n]++
		if n > 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	t.Logf("tasks by number of starts: %v", tasksByStarts)
	if tasksByStarts[1] == 0 {
		t.Error("nothing ran")
	}
}

// submitOnce submits one non-idempotent job to one entry after another until it has
// completed. It checks that no task has started when an answer says not run, and that
// a complete answer has all starts and results.
func (f *fleet) submitOnce(id string, first int) {
	for n := range 2 * len(f.entries) {
		p := f.entries[(first+n)%len(f.entries)]
		job := &rrwire.Job{Id: id, Tenant: "lanes", Class: "capture", Service: "torri", Patience: 3000, Once: true, Retry: n > 0}
		for i := range 3 {
			job.Tasks = append(job.Tasks, &rrwire.Task{Index: uint32(i), Body: rrstand.Work{RunTime: 150 * time.Millisecond}.Marshal()})
		}
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		a, err := rrwire.NewCallerProtobufClient("http://"+p.addr, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Submit(ctx, job)
		cancel()
		if err != nil {
			continue
		}
		switch rrcode.Code(a.GetCode()).Class() {
		case rrcode.ClassComplete:
			if f.startedTasks(id) != 3 || len(a.GetResults()) != 3 {
				f.t.Errorf("%s: complete with %d results and %d starts, want 3", id, len(a.GetResults()), f.startedTasks(id))
			}
			return
		case rrcode.ClassNotRun:
			if n := f.startedTasks(id); n > 0 {
				f.t.Errorf("%s: %v at %s, but %d tasks have started", id, rrcode.Code(a.GetCode()), p.name, n)
			}
		}
	}
}

// startedTasks returns the number of tasks of a job that have started.
func (f *fleet) startedTasks(id string) int {
	n := 0
	for task := range f.taskStarts() {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}
