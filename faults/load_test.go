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

// callOutcome is the answer or the error of one submission.
type callOutcome struct {
	id          string
	to          *process
	tasks       int
	submittedAt time.Time
	err         error
	answer      *rrwire.Answer
}

// code returns the code of the answer, or zero if there was no answer.
func (o callOutcome) code() rrcode.Code {
	if o.err != nil {
		return 0
	}
	return rrcode.Code(o.answer.GetCode())
}

func (o callOutcome) String() string {
	return fmt.Sprintf("%s at %s: %v %s %v", o.id, o.to.name, o.code(), o.answer.GetDetail(), o.err)
}

// callerPool runs callers that submit jobs to entries until they are stopped.
type callerPool struct {
	mu       sync.Mutex
	outcomes []callOutcome
	stop     atomic.Bool
	done     sync.WaitGroup
}

// callerTimeout is the time from a submission to the deadline of its job.
const callerTimeout = 10 * time.Second

// startCallers starts n callers that submit jobs to an entry, one after another. A
// caller stops when the entry answers that it is draining or gives no answer.
func (c *callerPool) startCallers(p *process, n, tasks int, run time.Duration) {
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

// stopAll stops all callers and returns the outcomes of their submissions.
func (c *callerPool) stopAll() []callOutcome {
	c.stop.Store(true)
	c.done.Wait()
	return c.outcomes
}

// submit submits one job and waits for its answer.
func submit(client *http.Client, p *process, id string, tasks int, run time.Duration) callOutcome {
	job := &rrwire.Job{Id: id, Tenant: "ports", Class: "cut", Service: "torri", Patience: uint32(callerTimeout.Milliseconds())}
	for i := range tasks {
		job.Tasks = append(job.Tasks, &rrwire.Task{Index: uint32(i), Body: rrstand.Work{RunTime: run}.Marshal(), Expect: uint32(run.Milliseconds())})
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+5*time.Second)
	defer cancel()
	o := callOutcome{id: id, to: p, tasks: tasks, submittedAt: time.Now()}
	o.answer, o.err = rrwire.NewCallerProtobufClient("http://"+p.addr, client).Submit(ctx, job)
	return o
}

// refused reports whether the connection to the entry could not be opened, which means
// that no byte of the request was written.
func (o callOutcome) refused() bool {
	var op *net.OpError
	return errors.As(o.err, &op) && op.Op == "dial"
}

// checkOutcomes checks the guarantees that hold under every fault, such as that no task
// starts twice, and logs the codes of the outcomes.
func checkOutcomes(t *testing.T, all []callOutcome, starts map[string]int) {
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
		if err := o.violation(ran[o.id]); err != "" {
			t.Errorf("%v: %s", o, err)
		}
	}
	t.Logf("%d jobs, %d tasks started, codes %v", len(all), len(starts), codes)
}

// violation returns which guarantee an answer violates, or the empty string.
func (o callOutcome) violation(ran bool) string {
	if o.err != nil {
		return ""
	}
	class := o.code().Class()
	switch {
	case o.answer.GetId() != o.id:
		return "the answer is for " + o.answer.GetId()
	case class == rrcode.ClassNotRun && ran:
		return "the answer says not run, but tasks have started"
	case class != rrcode.ClassComplete && len(o.answer.GetResults()) > 0:
		return "an answer that is not complete has results"
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

// taskStarts returns the number of starts of each task.
func (f *fleet) taskStarts() map[string]int {
	all := map[string]int{}
	for task, run := range f.minions.Runs() {
		all[task] = run.Starts
	}
	return all
}

// count returns the number of outcomes for which ok holds.
func count(all []callOutcome, ok func(callOutcome) bool) int {
	n := 0
	for _, o := range all {
		if ok(o) {
			n++
		}
	}
	return n
}
