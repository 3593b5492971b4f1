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

// node runs a book as an entry does: one goroutine for the decisions, one for
// each call of the store.
type node struct {
	store   *rrstore.Client
	in      chan func(*rrclaim.Manager)
	replies chan rrclaim.Reply
	waits   map[string]chan rrclaim.Decision // by request id
	running map[string]bool                  // jobs that hold their claim
}

func startNode(ctx context.Context, url, entry string, rate float64) *node {
	n := &node{
		store:   &rrstore.Client{Base: url},
		in:      make(chan func(*rrclaim.Manager), 1000),
		replies: make(chan rrclaim.Reply, rrclaim.MaxInFlightTxns),
		waits:   make(map[string]chan rrclaim.Decision),
		running: make(map[string]bool),
	}
	book := rrclaim.New(entry, 1)
	book.SetRate(rate)
	go n.run(ctx, book)
	return n
}

func (n *node) run(ctx context.Context, book *rrclaim.Manager) {
	for {
		var out rrclaim.Effects
		now := time.Now()
		book.Step(now, &out)
		for _, c := range out.Calls {
			go func() { n.replies <- Execute(ctx, n.store, c) }()
		}
		for _, d := range out.Decisions {
			n.running[d.ID] = d.Kind == rrclaim.Granted
			n.waits[d.ID] <- d
			delete(n.waits, d.ID)
		}
		wait := time.Hour
		if wake := book.NextWakeup(now); !wake.IsZero() {
			wait = time.Until(wake)
		}
		select {
		case <-ctx.Done():
			n.store.Close()
			return
		case f := <-n.in:
			f(book)
		case r := <-n.replies:
			book.HandleReply(time.Now(), r)
		case <-time.After(wait):
		}
	}
}

// claim submits an id and waits for the decision. It reports false when the id
// waits or runs here already, in which case an entry joins the job.
func (n *node) claim(id string, first bool, patience time.Duration) (rrclaim.Decision, bool) {
	wait := make(chan rrclaim.Decision, 1)
	n.in <- func(b *rrclaim.Manager) {
		if n.waits[id] != nil || n.running[id] {
			close(wait)
			return
		}
		n.waits[id] = wait
		now := time.Now()
		b.Acquire(now, rrclaim.Request{ID: id, Deadline: now.Add(patience), FirstAttempt: first})
	}
	d, ok := <-wait
	return d, ok
}

func (n *node) close(id string, code rrcode.Code) {
	done := make(chan bool)
	n.in <- func(b *rrclaim.Manager) {
		b.Close(time.Now(), id, rrtask.Answer{Code: code})
		delete(n.running, id)
		close(done)
	}
	<-done
}

// input is a try of an id, or the end of its job with a code.
type input struct {
	id  string
	end rrcode.Code
}

// state is what is true of an id.
type state struct {
	held  bool        // a job holds the claim
	ended rrcode.Code // how the job that ran has ended
}

// claims is the sequential specification: a grant to one job at a time and to none
// after one has run, true recorded outcomes, and "not run" only while that is so.
var claims = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			id := op.Input.(input).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		st, i, code := s.(state), in.(input), out.(rrcode.Code)
		switch {
		case i.end.Class() == rrcode.ClassNotRun:
			return st.held, state{}
		case i.end != 0:
			return st.held, state{ended: i.end}
		case code == granted:
			return st == state{}, state{held: true}
		case code.Class() == rrcode.ClassNotRun:
			return st == state{}, st
		case code == rrcode.Complete || code.Class() == rrcode.ClassFailed:
			return st == state{ended: code}, st
		}
		return true, st
	},
}

// granted stands for a grant in histories.
const granted = rrcode.Code(1)

// history collects the operations of all clients.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func (h *history) add(client int, in input, from time.Time, out rrcode.Code) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: int64(from.Sub(h.begin)), Return: int64(time.Since(h.begin)),
	})
}

// try submits an id once, runs the job if it is granted, and sends the code that
// the caller hears to heard, unless the caller has gone.
func (h *history) try(n *node, client int, id string, first bool, heard chan<- rrcode.Code, gone <-chan bool) {
	from := time.Now()
	d, ok := n.claim(id, first, time.Duration(10+rand.IntN(200))*time.Millisecond)
	code := d.Answer.Code
	switch {
	case !ok || d.Kind == rrclaim.HeldElsewhere:
		code = rrcode.ClaimHeld
	case d.Kind == rrclaim.Granted:
		h.add(client, input{id: id}, from, granted)
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		code = []rrcode.Code{rrcode.Complete, rrcode.TaskFailed, rrcode.Overloaded}[rand.IntN(3)]
		from = time.Now()
		n.close(id, code)
		h.add(client, input{id: id, end: code}, from, 0)
	}
	select {
	case heard <- code:
	case <-gone:
	}
}

// client submits one id at several nodes, one try after another. Sometimes it
// does not wait for an answer, and then never hears it.
func (h *history) client(client int, nodes []*node, id string, tries *sync.WaitGroup) {
	for i := range 4 {
		heard, gone := make(chan rrcode.Code), make(chan bool)
		from := time.Now()
		tries.Go(func() { h.try(nodes[rand.IntN(len(nodes))], client, id, i == 0, heard, gone) })
		impatience := time.Duration(2+rand.IntN(200)) * time.Millisecond
		select {
		case code := <-heard:
			h.add(client, input{id: id}, from, code)
		case <-time.After(impatience):
			close(gone)
		}
	}
}

// TestHistory submits ids again and again at three nodes whose store loses
// requests and answers, and checks the history of every id.
func TestHistory(t *testing.T) {
	p := &rrplatform.Platform{Writes: 1 << 30, Reads: 1 << 30}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.SetFaults(rrplatform.Faults{Lose: 4, Drop: 9, Write: time.Millisecond, Answer: time.Millisecond})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, startNode(ctx, srv.URL, fmt.Sprint("entry", i), 500))
	}
	h := history{begin: time.Now()}
	var clients, tries sync.WaitGroup
	for c := range 150 {
		clients.Go(func() { h.client(c, nodes, uuid.Must(uuid.NewV7()).String(), &tries) })
	}
	clients.Wait()
	tries.Wait()
	if got, want := porcupine.CheckOperationsTimeout(claims, h.ops, 30*time.Second), porcupine.Ok; got != want {
		t.Errorf("got history %v, want %v", got, want)
	}
	counts := make(map[rrcode.Code]int)
	for _, op := range h.ops {
		counts[op.Output.(rrcode.Code)]++
	}
	if counts[granted] == 0 || counts[rrcode.Complete] == 0 {
		t.Errorf("got %v, want some ids granted and some outcomes heard", counts)
	}
	t.Logf("answers: %v", counts)
}

// BenchmarkClaims measures claims a second and their latency through a store
// whose writes take 5 ms, by the number of callers that wait at a time.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 400} {
		for _, rate := range []float64{37.5, 300} {
			b.Run(fmt.Sprintf("callers=%d/writes=%v", callers, rate), func(b *testing.B) { benchmark(b, callers, rate) })
		}
	}
}

func benchmark(b *testing.B, callers int, rate float64) {
	p := &rrplatform.Platform{}
	p.SetFaults(rrplatform.Faults{Write: 5 * time.Millisecond})
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
