package rrnode

import (
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// keepAnswered is how long the results of an answered batch are kept for a
// coordinator whose copy of the answer was lost.
const keepAnswered = time.Minute

// server is the keeper's side of batches that other coordinators sent.
//
// A key that was ever answered or refused is never run again: finished batches
// are remembered for keepAnswered, and after that a floor per coordinator
// incarnation refuses every lower sequence number.
type server struct {
	batches map[rrdispatcher.BatchKey]*servedBatch
	floors  map[origin]uint64
	ended   []*servedBatch // in the order in which they ended
	ready   []*servedBatch // with something to tell
	leaving bool
}

// origin is one incarnation of a coordinator.
type origin struct {
	entry string
	life  uint64
}

// servedBatch is one batch of another coordinator.
type servedBatch struct {
	key      rrdispatcher.BatchKey
	call     CallID // the call that waits; zero when none does
	tasks    int
	open     int // tasks without a fate
	results  []rrtask.Result
	returned []int
	told     bool // a reply has carried all fates
	untold   int  // tasks given back that the coordinator has not been told of
	code     rrcode.Code
	endedAt  time.Time
	queued   bool // in server.ready
}

func newServer() server {
	return server{
		batches: make(map[rrdispatcher.BatchKey]*servedBatch),
		floors:  make(map[origin]uint64),
	}
}

// waitForCall is how long a leaving keeper waits for the coordinator of a batch that
// ended between two of its calls.
const waitForCall = 3 * time.Second

// unheard reports whether a batch has ended that its coordinator will still ask for.
func (s *server) unheard(now time.Time) bool {
	return slices.ContainsFunc(s.ended, func(b *servedBatch) bool {
		return !b.told && b.code == 0 && now.Sub(b.endedAt) < waitForCall
	})
}

// open returns the number of batches with tasks that have no fate yet.
func (s *server) open() int {
	n := 0
	for _, b := range s.batches {
		if b.open > 0 {
			n++
		}
	}
	return n
}

// news reports whether b has something to tell before its coordinator asks.
func (b *servedBatch) news() bool {
	return b.open == 0 || b.untold > 0
}

// mark queues b for a reply if it has something to tell.
func (s *server) mark(b *servedBatch) {
	if b.queued || !b.news() {
		return
	}
	b.queued = true
	s.ready = append(s.ready, b)
}

// result takes the final result of a task.
func (s *server) result(o rrdispatcher.Outcome) {
	b, ok := s.batches[o.Key]
	if !ok {
		return
	}
	b.open--
	if o.Result.Code.Class() == rrcode.ClassNotRun && o.Result.Code != rrcode.DeadlinePassed {
		b.returned = append(b.returned, o.Result.Index)
		b.untold++
	} else {
		b.results = append(b.results, o.Result)
	}
	b.assertFates()
	s.mark(b)
}

// giveBack records that tasks were taken out of the queue.
func (s *server) giveBack(b *servedBatch, all []int) {
	for _, i := range all {
		if !slices.Contains(b.returned, i) {
			b.returned = append(b.returned, i)
			b.open--
			b.untold++
		}
	}
	b.assertFates()
}

// forget drops the results of batches that ended a while ago.
func (s *server) forget(now time.Time) {
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > keepAnswered {
		b := s.ended[0]
		s.ended = s.ended[1:]
		delete(s.batches, b.key)
		from := origin{b.key.Coordinator, b.key.Incarnation}
		s.floors[from] = max(s.floors[from], b.key.Seq)
	}
}

// end notes that every task of b has its fate.
func (s *server) end(now time.Time, b *servedBatch) {
	if b.open == 0 && b.endedAt.IsZero() {
		b.endedAt = now
		s.ended = append(s.ended, b)
	}
}

// refuse remembers a key that will never run here.
func (s *server) refuse(now time.Time, key rrdispatcher.BatchKey, code rrcode.Code) *servedBatch {
	b := &servedBatch{key: key, code: code}
	s.batches[key] = b
	s.end(now, b)
	return b
}

// runIn takes a batch, or attaches a repeated call to it.
func (n *Node) runIn(now time.Time, ev *RunBatchRequest) {
	if ev.Incarnation != n.life {
		n.replyRun(now, &servedBatch{call: ev.Call, code: rrcode.StaleIncarnation})
		return
	}
	n.view.UpdateLoad(ev.Batch.Key.Coordinator, ev.Batch.Key.Incarnation, ev.Load, false)
	b, ok := n.served.batches[ev.Batch.Key]
	if !ok {
		b = n.accept(now, ev)
	}
	if b.call != 0 && b.call != ev.Call {
		n.replyRun(now, b) // the older call is superseded
	}
	b.call = ev.Call
	if b.news() {
		n.replyRun(now, b)
	}
}

// accept decides about a batch that is not known.
func (n *Node) accept(now time.Time, ev *RunBatchRequest) *servedBatch {
	key := ev.Batch.Key
	s := &n.served
	switch {
	case len(ev.Batch.Tasks) == 0, key.Seq <= s.floors[origin{key.Coordinator, key.Incarnation}]:
		return &servedBatch{key: key, code: rrcode.StaleIncarnation}
	case s.leaving:
		return s.refuse(now, key, rrcode.Draining)
	case !n.keep.Add(now, ev.Batch):
		return &servedBatch{key: key, code: rrcode.StaleIncarnation}
	}
	b := &servedBatch{key: key, tasks: len(ev.Batch.Tasks), open: len(ev.Batch.Tasks)}
	s.batches[key] = b
	return b
}

// replyServed answers the calls for batches that have something to tell.
func (n *Node) replyServed(now time.Time) {
	for _, b := range n.served.ready {
		b.queued = false
		n.served.end(now, b)
		if b.call != 0 {
			n.replyRun(now, b)
		}
	}
	n.served.ready = n.served.ready[:0]
}

// replyRun answers the waiting call of b with all fates known so far.
func (n *Node) replyRun(now time.Time, b *servedBatch) {
	n.eff.RunBatchResponses = append(n.eff.RunBatchResponses, RunBatchResponse{
		Call:        b.call,
		Code:        b.code,
		Results:     b.results,
		Returned:    b.returned,
		More:        b.open > 0,
		Incarnation: n.life,
		Load:        n.keep.Load(now),
	})
	b.call = 0
	b.untold = 0
	b.told = b.open == 0
}

// takeIn gives unstarted tasks of a batch back.
func (n *Node) takeIn(now time.Time, ev *RecallRequest) {
	reply := RecallResponse{Call: ev.Call}
	b, ok := n.served.batches[ev.Key]
	if ev.Incarnation != n.life || !ok {
		reply.Code = rrcode.StaleIncarnation
		n.eff.RecallResponses = append(n.eff.RecallResponses, reply)
		return
	}
	n.served.giveBack(b, n.keep.Reclaim(now, ev.Key, ev.MaxTasks))
	b.untold = 0 // this reply tells; if it is lost, the end of the batch does
	n.served.mark(b)
	reply.Returned = slices.Clone(b.returned)
	reply.Incarnation, reply.Load = n.life, n.keep.Load(now)
	n.eff.RecallResponses = append(n.eff.RecallResponses, reply)
	n.replyServed(now)
}

// dropIn cancels batches. One that has not arrived yet will be refused.
func (n *Node) dropIn(now time.Time, ev *CancelBatchesRequest) {
	tasks := 0
	for _, key := range ev.Keys {
		if ev.Incarnation != n.life {
			break
		}
		b, ok := n.served.batches[key]
		if !ok {
			n.served.refuse(now, key, rrcode.CanceledBeforeStart)
			continue
		}
		before := len(b.returned)
		n.served.giveBack(b, n.keep.Reclaim(now, key, b.open))
		n.served.mark(b)
		tasks += len(b.returned) - before
	}
	n.replyServed(now)
	n.eff.CancelBatchesResponses = append(n.eff.CancelBatchesResponses, CancelBatchesResponse{Call: ev.Call, Tasks: tasks})
}
