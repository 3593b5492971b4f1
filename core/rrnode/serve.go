package rrnode

import (
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// finishedBatchTTL is how long the results of an answered batch are kept for a
// coordinator whose copy of the answer was lost.
const finishedBatchTTL = time.Minute

// batchServer is the keeper's side of batches that other coordinators sent.
//
// A key that was ever answered or refused is never run again: finished batches
// are remembered for keepAnswered, and after that a floor per coordinator
// incarnation refuses every lower sequence number.
type batchServer struct {
	batches     map[rrdispatcher.BatchKey]*servedBatch
	expiredSeqs map[coordinatorIncarnation]uint64
	finished    []*servedBatch // in the order in which they ended
	replyQueue  []*servedBatch // with something to tell
	draining    bool
}

// coordinatorIncarnation is one incarnation of a coordinator.
type coordinatorIncarnation struct {
	entry       string
	incarnation uint64
}

// servedBatch is one batch of another coordinator.
type servedBatch struct {
	key           rrdispatcher.BatchKey
	pendingCall   CallID // the call that waits; zero when none does
	taskCount     int
	unresolved    int // tasks without a fate
	results       []rrtask.Result
	returned      []int
	outcomesSent  bool // a reply has carried all fates
	unsentReturns int  // tasks given back that the coordinator has not been told of
	code          rrcode.Code
	finishedAt    time.Time
	inReplyQueue  bool // in server.ready
}

func newBatchServer() batchServer {
	return batchServer{
		batches:     make(map[rrdispatcher.BatchKey]*servedBatch),
		expiredSeqs: make(map[coordinatorIncarnation]uint64),
	}
}

// lastCallGrace is how long a leaving keeper waits for the coordinator of a batch that
// ended between two of its calls.
const lastCallGrace = 3 * time.Second

// awaitsLastCall reports whether a batch has ended that its coordinator will still ask for.
func (s *batchServer) awaitsLastCall(now time.Time) bool {
	return slices.ContainsFunc(s.finished, func(b *servedBatch) bool {
		return !b.outcomesSent && b.code == 0 && now.Sub(b.finishedAt) < lastCallGrace
	})
}

// openBatches returns the number of batches with tasks that have no fate yet.
func (s *batchServer) openBatches() int {
	n := 0
	for _, b := range s.batches {
		if b.unresolved > 0 {
			n++
		}
	}
	return n
}

// hasUpdate reports whether b has something to tell before its coordinator asks.
func (b *servedBatch) hasUpdate() bool {
	return b.unresolved == 0 || b.unsentReturns > 0
}

// queueReply queues b for a reply if it has something to tell.
func (s *batchServer) queueReply(b *servedBatch) {
	if b.inReplyQueue || !b.hasUpdate() {
		return
	}
	b.inReplyQueue = true
	s.replyQueue = append(s.replyQueue, b)
}

// addResult takes the final result of a task.
func (s *batchServer) addResult(o rrdispatcher.Outcome) {
	b, ok := s.batches[o.Key]
	if !ok {
		return
	}
	b.unresolved--
	if o.Result.Code.Class() == rrcode.ClassNotRun && o.Result.Code != rrcode.DeadlinePassed {
		b.returned = append(b.returned, o.Result.Index)
		b.unsentReturns++
	} else {
		b.results = append(b.results, o.Result)
	}
	b.assertOutcomes()
	s.queueReply(b)
}

// addReturned records that tasks were taken out of the queue.
func (s *batchServer) addReturned(b *servedBatch, indexes []int) {
	for _, i := range indexes {
		if !slices.Contains(b.returned, i) {
			b.returned = append(b.returned, i)
			b.unresolved--
			b.unsentReturns++
		}
	}
	b.assertOutcomes()
}

// expire drops the results of batches that ended a while ago.
func (s *batchServer) expire(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].finishedAt) > finishedBatchTTL {
		b := s.finished[0]
		s.finished = s.finished[1:]
		delete(s.batches, b.key)
		coordinator := coordinatorIncarnation{b.key.Coordinator, b.key.Incarnation}
		s.expiredSeqs[coordinator] = max(s.expiredSeqs[coordinator], b.key.Seq)
	}
}

// markFinished notes that every task of b has its fate.
func (s *batchServer) markFinished(now time.Time, b *servedBatch) {
	if b.unresolved == 0 && b.finishedAt.IsZero() {
		b.finishedAt = now
		s.finished = append(s.finished, b)
	}
}

// recordRefusal remembers a key that will never run here.
func (s *batchServer) recordRefusal(now time.Time, key rrdispatcher.BatchKey, code rrcode.Code) *servedBatch {
	b := &servedBatch{key: key, code: code}
	s.batches[key] = b
	s.markFinished(now, b)
	return b
}

// handleRunBatch takes a batch, or attaches a repeated call to it.
func (n *Node) handleRunBatch(now time.Time, ev *RunBatchRequest) {
	if ev.Incarnation != n.incarnation {
		n.sendRunBatchReply(now, &servedBatch{pendingCall: ev.Call, code: rrcode.StaleIncarnation})
		return
	}
	n.view.UpdateLoad(ev.Batch.Key.Coordinator, ev.Batch.Key.Incarnation, ev.Load, false)
	b, ok := n.served.batches[ev.Batch.Key]
	if !ok {
		b = n.acceptBatch(now, ev)
	}
	if b.pendingCall != 0 && b.pendingCall != ev.Call {
		n.sendRunBatchReply(now, b) // the older call is superseded
	}
	b.pendingCall = ev.Call
	if b.hasUpdate() {
		n.sendRunBatchReply(now, b)
	}
}

// acceptBatch decides about a batch that is not known.
func (n *Node) acceptBatch(now time.Time, ev *RunBatchRequest) *servedBatch {
	key := ev.Batch.Key
	s := &n.served
	switch {
	case len(ev.Batch.Tasks) == 0, key.Seq <= s.expiredSeqs[coordinatorIncarnation{key.Coordinator, key.Incarnation}]:
		return &servedBatch{key: key, code: rrcode.StaleIncarnation}
	case s.draining:
		return s.recordRefusal(now, key, rrcode.Draining)
	case !n.dispatcher.Add(now, ev.Batch):
		return &servedBatch{key: key, code: rrcode.StaleIncarnation}
	}
	b := &servedBatch{key: key, taskCount: len(ev.Batch.Tasks), unresolved: len(ev.Batch.Tasks)}
	s.batches[key] = b
	return b
}

// sendQueuedReplies answers the calls for batches that have something to tell.
func (n *Node) sendQueuedReplies(now time.Time) {
	for _, b := range n.served.replyQueue {
		b.inReplyQueue = false
		n.served.markFinished(now, b)
		if b.pendingCall != 0 {
			n.sendRunBatchReply(now, b)
		}
	}
	n.served.replyQueue = n.served.replyQueue[:0]
}

// sendRunBatchReply answers the waiting call of b with all fates known so far.
func (n *Node) sendRunBatchReply(now time.Time, b *servedBatch) {
	n.effects.RunBatchResponses = append(n.effects.RunBatchResponses, RunBatchResponse{
		Call:        b.pendingCall,
		Code:        b.code,
		Results:     b.results,
		Returned:    b.returned,
		More:        b.unresolved > 0,
		Incarnation: n.incarnation,
		Load:        n.dispatcher.Load(now),
	})
	b.pendingCall = 0
	b.unsentReturns = 0
	b.outcomesSent = b.unresolved == 0
}

// handleRecall gives unstarted tasks of a batch back.
func (n *Node) handleRecall(now time.Time, ev *RecallRequest) {
	reply := RecallResponse{Call: ev.Call}
	b, ok := n.served.batches[ev.Key]
	if ev.Incarnation != n.incarnation || !ok {
		reply.Code = rrcode.StaleIncarnation
		n.effects.RecallResponses = append(n.effects.RecallResponses, reply)
		return
	}
	n.served.addReturned(b, n.dispatcher.Reclaim(now, ev.Key, ev.MaxTasks))
	b.unsentReturns = 0 // this reply tells; if it is lost, the end of the batch does
	n.served.queueReply(b)
	reply.Returned = slices.Clone(b.returned)
	reply.Incarnation, reply.Load = n.incarnation, n.dispatcher.Load(now)
	n.effects.RecallResponses = append(n.effects.RecallResponses, reply)
	n.sendQueuedReplies(now)
}

// handleCancelBatches cancels batches. One that has not arrived yet will be refused.
func (n *Node) handleCancelBatches(now time.Time, ev *CancelBatchesRequest) {
	tasks := 0
	for _, key := range ev.Keys {
		if ev.Incarnation != n.incarnation {
			break
		}
		b, ok := n.served.batches[key]
		if !ok {
			n.served.recordRefusal(now, key, rrcode.CanceledBeforeStart)
			continue
		}
		before := len(b.returned)
		n.served.addReturned(b, n.dispatcher.Reclaim(now, key, b.unresolved))
		n.served.queueReply(b)
		tasks += len(b.returned) - before
	}
	n.sendQueuedReplies(now)
	n.effects.CancelBatchesResponses = append(n.effects.CancelBatchesResponses, CancelBatchesResponse{Call: ev.Call, Tasks: tasks})
}
