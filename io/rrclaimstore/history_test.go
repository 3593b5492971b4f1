package rrclaimstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
	"rattanring/io/rrplatform"
	"rattanring/io/rrstore"
)

// node runs an rrclaim.Manager as an entry does: one goroutine for the decisions and
// one for each store call.
type node struct {
	store   *rrstore.Client
	actions chan func(*rrclaim.Manager)
	replies chan rrclaim.Reply
	waiting map[string]chan rrclaim.Decision // by request id
	running map[string]bool                  // ids of the jobs whose claim is granted
}

func startNode(ctx context.Context, url, entry string, rate float64) *node {
	n := &node{
		store:   &rrstore.Client{BaseURL: url},
		actions: make(chan func(*rrclaim.Manager), 1000),
		replies: make(chan rrclaim.Reply, rrclaim.MaxInFlightCalls),
		waiting: make(map[string]chan rrclaim.Decision),
		running: make(map[string]bool),
	}
	manager := rrclaim.New(entry, 1)
	manager.SetRate(rate)
	go n.run(ctx, manager)
	return n
}

func (n *node) run(ctx context.Context, manager *rrclaim.Manager) {
	for {
		var out rrclaim.Effects
		now := time.Now()
		manager.Step(now, &out)
		for _, c := range out.Calls {
			go func() { n.replies <- Execute(ctx, n.store, c) }()
		}
		for _, d := range out.Decisions {
			n.running[d.ID] = d.Kind == rrclaim.Granted
			n.waiting[d.ID] <- d
			delete(n.waiting, d.ID)
		}
		timeout := time.Hour
		if wake := manager.NextWakeup(now); !wake.IsZero() {
			timeout = time.Until(wake)
		}
		select {
		case <-ctx.Done():
			n.store.Close()
			return
		case f := <-n.actions:
			f(manager)
		case r := <-n.replies:
			manager.HandleReply(time.Now(), r)
		case <-time.After(timeout):
		}
	}
}

// claim submits a request id and waits for the decision. It returns false if the id
// already waits or runs at this node, in which case an entry joins the job.
func (n *node) claim(id string, first bool, timeout time.Duration) (rrclaim.Decision, bool) {
	decision := make(chan rrclaim.Decision, 1)
	n.actions <- func(m *rrclaim.Manager) {
		if n.waiting[id] != nil || n.running[id] {
			close(decision)
			return
		}
		n.waiting[id] = decision
		now := time.Now()
		m.Acquire(now, rrclaim.Request{ID: id, Deadline: now.Add(timeout), FirstAttempt: first})
	}
	d, ok := <-decision
	return d, ok
}

func (n *node) close(id string, code rrcode.Code) {
	done := make(chan bool)
	n.actions <- func(m *rrclaim.Manager) {
		m.Close(time.Now(), id, rrtask.Answer{Code: code})
		delete(n.running, id)
		close(done)
	}
	<-done
}

// operation is an attempt to claim a request id, or the end of its job if closeCode is
// not zero.
type operation struct {
	id        string
	closeCode rrcode.Code
}

// idState is the state of one request id in claimModel.
type idState struct {
	owned   bool        // a job owns the claim
	ranCode rrcode.Code // outcome of the job that ran
}

// claimModel is the sequential specification: one job at a time is granted the claim and
// none after one has run, recorded outcomes are those of the job that ran, and "not run"
// is answered only if no job has run or owns the claim.
var claimModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			id := op.Input.(operation).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return idState{} },
	Step: func(s, in, out any) (bool, any) {
		st, i, code := s.(idState), in.(operation), out.(rrcode.Code)
		switch {
		case i.closeCode.Class() == rrcode.ClassNotRun:
			return st.owned, idState{}
		case i.closeCode != 0:
			return st.owned, idState{ranCode: i.closeCode}
		case code == granted:
			return st == idState{}, idState{owned: true}
		case code.Class() == rrcode.ClassNotRun:
			return st == idState{}, st
		case code == rrcode.Complete || code.Class() == rrcode.ClassFailed:
			return st == idState{ranCode: code}, st
		}
		return true, st
	},
}

// granted is the output of an operation that was granted the claim.
const granted = rrcode.Code(1)

// history collects the operations of all clients.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func (h *history) add(client int, in operation, from time.Time, out rrcode.Code) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: int64(from.Sub(h.begin)), Return: int64(time.Since(h.begin)),
	})
}

// attempt submits a request id once, runs the job if it is granted, and sends the code
// to answers unless the caller has abandoned the attempt.
func (h *history) attempt(n *node, client int, id string, first bool, answers chan<- rrcode.Code, abandoned <-chan bool) {
	from := time.Now()
	d, ok := n.claim(id, first, time.Duration(10+rand.IntN(200))*time.Millisecond)
	code := d.Answer.Code
	switch {
	case !ok || d.Kind == rrclaim.OwnedElsewhere:
		code = rrcode.ClaimHeld
	case d.Kind == rrclaim.Granted:
		h.add(client, operation{id: id}, from, granted)
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		code = []rrcode.Code{rrcode.Complete, rrcode.TaskFailed, rrcode.Overloaded}[rand.IntN(3)]
		from = time.Now()
		n.close(id, code)
		h.add(client, operation{id: id, closeCode: code}, from, 0)
	}
	select {
	case answers <- code:
	case <-abandoned:
	}
}

// client submits one request id at several nodes, one attempt after another. Sometimes
// it abandons an attempt and never receives the answer.
func (h *history) client(client int, nodes []*node, id string, attempts *sync.WaitGroup) {
	for i := range 4 {
		answers, abandoned := make(chan rrcode.Code), make(chan bool)
		from := time.Now()
		attempts.Go(func() { h.attempt(nodes[rand.IntN(len(nodes))], client, id, i == 0, answers, abandoned) })
		callerTimeout := time.Duration(2+rand.IntN(200)) * time.Millisecond
		select {
		case code := <-answers:
			h.add(client, operation{id: id}, from, code)
		case <-time.After(callerTimeout):
			close(abandoned)
		}
	}
}

// TestHistory submits request ids repeatedly at three nodes whose store loses requests
// and answers, and checks that the history of every id is linearizable.
func TestHistory(t *testing.T) {
	p := &rrplatform.Platform{WritesPerSecond: 1 << 30, ReadsPerSecond: 1 << 30}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.SetFaults(rrplatform.Faults{LoseAnswerEvery: 4, DropWriteEvery: 9, WriteDelay: time.Millisecond, AnswerDelay: time.Millisecond})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, startNode(ctx, srv.URL, fmt.Sprint("entry", i), 500))
	}
	h := history{begin: time.Now()}
	counts := make(map[rrcode.Code]int)
	// Callers wait 200 ms at most, in which a busy machine may grant no claim: further ids follow then.
	for round := 0; round < 20 && (counts[granted] == 0 || counts[rrcode.Complete] == 0); round++ {
		var clients, attempts sync.WaitGroup
		for c := range 150 {
			clients.Go(func() { h.client(c, nodes, uuid.Must(uuid.NewV7()).String(), &attempts) })
		}
		clients.Wait()
		attempts.Wait()
		clear(counts)
		for _, op := range h.ops {
			counts[op.Output.(rrcode.Code)]++
		}
	}
	if got, want := porcupine.CheckOperationsTimeout(claimModel, h.ops, 30*time.Second), porcupine.Ok; got != want {
		t.Errorf("linearizability check: got %v, want %v", got, want)
	}
	if counts[granted] == 0 || counts[rrcode.Complete] == 0 {
		t.Errorf("got %v, want some ids granted and some complete outcomes", counts)
	}
	t.Logf("answers: %v", counts)
}

// BenchmarkClaims measures claims per second and their latency through a store whose
// writes take 5 ms, by the number of concurrent callers.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 400} {
		for _, rate := range []float64{37.5, 300} {
			b.Run(fmt.Sprintf("callers=%d/writes=%v", callers, rate), func(b *testing.B) { benchmarkClaims(b, callers, rate) })
		}
	}
}

func benchmarkClaims(b *testing.B, callers int, rate float64) {
	p := &rrplatform.Platform{}
	p.SetFaults(rrplatform.Faults{WriteDelay: 5 * time.Millisecond})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := startNode(ctx, srv.URL, "entry", rate)
	ids := make(chan string)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for id := range ids {
				if d, _ := n.claim(id, true, time.Minute); d.Kind != rrclaim.Granted {
					b.Errorf("got decision %v, want a grant", d.Kind)
				}
				n.close(id, rrcode.Complete)
			}
		})
	}
	begin := time.Now()
	for b.Loop() {
		ids <- uuid.Must(uuid.NewV7()).String()
	}
	close(ids)
	wg.Wait()
	took := time.Since(begin)
	stats := p.Stats()
	b.ReportMetric(float64(b.N)/took.Seconds(), "claims/s")
	b.ReportMetric(took.Seconds()*1000*float64(callers)/float64(b.N), "ms/claim")
	b.ReportMetric(float64(b.N)/float64(stats.Writes), "claims/write")
	b.ReportMetric(float64(stats.PeakWrites), "peak-writes/s")
}
