package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/io/rrstand"
	"rattanring/io/rrwire"
)

// outcome is what one caller heard.
type outcome struct {
	id     string
	to     *process
	tasks  int
	sent   time.Time
	err    error
	answer *rrwire.Answer
}

// code returns the outcome's code, or zero when no answer came.
func (o outcome) code() rrcode.Code {
	if o.err != nil {
		return 0
	}
	return rrcode.Code(o.answer.GetCode())
}

func (o outcome) String() string {
	return fmt.Sprintf("%s at %s: %v %s %v", o.id, o.to.name, o.code(), o.answer.GetDetail(), o.err)
}

// callers submit jobs to entries until they are stopped.
type callers struct {
	mu       sync.Mutex
	outcomes []outcome
	stop     atomic.Bool
	done     sync.WaitGroup
}

// patience of a caller.
const patience = 10 * time.Second

// call starts n callers that submit jobs of some tasks to an entry, one after
// another. A caller stops when the entry says that it leaves or refuses the
// connection.
func (c *callers) call(p *process, n, tasks int, run time.Duration) {
	for i := range n {
		c.done.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for k := 0; !c.stop.Load(); k++ {
				o := submit(client, p, fmt.Sprintf("%s-%d-%d", p.name, i, k), tasks, run)
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				if o.err != nil || o.code() == rrcode.Draining {
					return
				}
			}
		})
	}
}

// end stops all callers and returns what they heard.
func (c *callers) end() []outcome {
	c.stop.Store(true)
	c.done.Wait()
	return c.outcomes
}

// submit submits one job and waits for its answer.
func submit(client *http.Client, p *process, id string, tasks int, run time.Duration) outcome {
	job := &rrwire.Job{Id: id, Tenant: "ports", Class: "cut", Service: "torri", Patience: uint32(patience.Milliseconds())}
	for i := range tasks {
		job.Tasks = append(job.Tasks, &rrwire.Task{Index: uint32(i), Body: rrstand.Work{Run: run}.Marshal(), Expect: uint32(run.Milliseconds())})
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience+5*time.Second)
	defer cancel()
	o := outcome{id: id, to: p, tasks: tasks, sent: time.Now()}
	o.answer, o.err = rrwire.NewCallerProtobufClient("http://"+p.addr, client).Submit(ctx, job)
	return o
}

// refused reports whether the connection to an entry was refused, so that nothing
// of the request was written.
func (o outcome) refused() bool {
	var op *net.OpError
	return errors.As(o.err, &op) && op.Op == "dial"
}

// check asserts what must always hold of the outcomes, and logs their codes.
func check(t *testing.T, all []outcome, starts map[string]int) {
	t.Helper()
	codes := map[string]int{}
	ran := map[string]bool{}
	for task, n := range starts {
		id, _, _ := strings.Cut(task, "/")
		ran[id] = true
		if n > 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
	for _, o := range all {
		codes[o.code().String()]++
		if err := o.broken(ran[o.id]); err != "" {
			t.Errorf("%v: %s", o, err)
		}
	}
	t.Logf("%d jobs, %d tasks started, codes %v", len(all), len(starts), codes)
}

// broken returns what is wrong with an answer, or nothing.
func (o outcome) broken(ran bool) string {
	if o.err != nil {
		return ""
	}
	class := o.code().Class()
	switch {
	case o.answer.GetId() != o.id:
		return "the answer is for " + o.answer.GetId()
	case class == rrcode.ClassNotRun && ran:
		return "not run, but tasks have started"
	case class != rrcode.ClassComplete && len(o.answer.GetResults()) > 0:
		return "a failure with results"
	case class == rrcode.ClassComplete && len(o.answer.GetResults()) != o.tasks:
		return fmt.Sprintf("complete with %d results", len(o.answer.GetResults()))
	}
	for i, r := range o.answer.GetResults() {
		if int(r.GetIndex()) != i || rrcode.Code(r.GetCode()) != rrcode.Complete {
			return fmt.Sprintf("result %d is %v", i, r)
		}
	}
	return ""
}

// starts returns how often each task started.
func (f *fleet) starts() map[string]int {
	all := map[string]int{}
	for task, run := range f.minions.Runs() {
		all[task] = run.Starts
	}
	return all
}

// count returns the outcomes for which ok holds.
func count(all []outcome, ok func(outcome) bool) int {
	n := 0
	for _, o := range all {
		if ok(o) {
			n++
		}
	}
	return n
}
