package rrnode

import (
	"slices"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
)

// finishedBatchTTL is how long the results of a finished batch are kept for a coordinator
// that did not receive the answer.
const finishedBatchTTL = time.Minute

// batchServer manages the batches that other entries coordinate and this one runs.
//
// A key that was answered or refused never runs again: finished batches are remembered for
// finishedBatchTTL, and after that expiredSeqs refuses every key of the same coordinator
// incarnation with that sequence number or a lower one.
type batchServer struct {
	batches     map[rrdispatcher.BatchKey]*servedBatch
	expiredSeqs map[coordinatorIncarnation]uint64 // highest sequence number of the expired batches
	finished    []*servedBatch                    // in the order in which they finished
	replyQueue  []*servedBatch                    // batches with an update for their coordinator
	draining    bool
}

// coordinatorIncarnation is one incarnation of a coordinator.
type coordinatorIncarnation struct {
	entry       string
	incarnation uint64
}

// servedBatch is a batch of another coordinator.
type servedBatch struct {
	key           rrdispatcher.BatchKey
	pendingCall   CallID // Run call that waits for a reply; zero if none
	taskCount     int
	unresolved    int // tasks without an outcome
	results       []rrtask.Result
	returned      []int
	outcomesSent  bool // a reply has carried all outcomes
	unsentReturns int  // returned tasks that no reply has carried yet
	code          rrcode.Code
	finishedAt    time.Time
	inReplyQueue  bool // in batchServer.replyQueue
}

func newBatchServer() batchServer {
	return batchServer{
		batches:     make(map[rrdispatcher.BatchKey]*servedBatch),
		expiredSeqs: make(map[coordinatorIncarnation]uint64),
	}
}

// lastCallGrace is how long a draining entry waits for the coordinator of a batch that
// finished between two of its calls.
const lastCallGrace = 3 * time.Second

// awaitsLastCall reports whether a coordinator is still expected to ask for a finished
// batch.
func (s *batchServer) awaitsLastCall(now time.Time) bool {
	return slices.ContainsFunc(s.finished, func(b *servedBatch) bool {
		return !b.outcomesSent && b.code == 0 && now.Sub(b.finishedAt) < lastCallGrace
	})
}

// openBatches returns the number of batches with unresolved tasks.
func (s *batchServer) openBatches() int {
	n := 0
	for _, b := range s.batches {
		if b.unresolved > 0 {
			n++
		}
	}
	return n
}

// hasUpdate reports whether b has an update to send without waiting for more results.
func (b *servedBatch) hasUpdate() bool {
	return b.unresolved == 0 || b.unsentReturns > 0
}

// queueReply queues b for a reply if it has an update.
func (s *batchServer) queueReply(b *servedBatch) {
	if b.inReplyQueue || !b.hasUpdate() {
		return
	}
	b.inReplyQueue = true
	s.replyQueue = append(s.replyQueue, b)
}

// addResult records the final result of a task.
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

// addReturned records tasks that were removed from the dispatcher's queue.
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

// expire removes the batches that finished more than finishedBatchTTL ago.
func (s *batchServer) expire(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].finishedAt) > finishedBatchTTL {
		b := s.finished[0]
		s.finished = s.finished[1:]
		delete(s.batches, b.key)
		coordinator := coordinatorIncarnation{b.key.Coordinator, b.key.Incarnation}
		s.expiredSeqs[coordinator] = max(s.expiredSeqs[coordinator], b.key.Seq)
	}
}

// markFinished records the time at which the last task of b got its outcome.
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

// handleRunBatch accepts a batch, or attaches a repeated call to it.
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
		n.sendRunBatchReply(now, b) // the new call replaces the older one
	}
	b.pendingCall = ev.Call
	if b.hasUpdate() {
		n.sendRunBatchReply(now, b)
	}
}

// acceptBatch accepts or refuses a batch whose key is unknown. A call without tasks is
// refused: it repeats a call for a batch that this incarnation does not have.
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

// sendQueuedReplies answers the pending calls of the batches in the reply queue.
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

// sendRunBatchReply answers the pending call of b with all outcomes known so far.
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

// handleRecall returns unstarted tasks of a batch to its coordinator.
func (n *Node) handleRecall(now time.Time, ev *RecallRequest) {
	reply := RecallResponse{Call: ev.Call}
	b, ok := n.served.batches[ev.Key]
	if ev.Incarnation != n.incarnation || !ok {
		reply.Code = rrcode.StaleIncarnation
		n.effects.RecallResponses = append(n.effects.RecallResponses, reply)
		return
	}
	n.served.addReturned(b, n.dispatcher.Reclaim(now, ev.Key, ev.MaxTasks))
	b.unsentReturns = 0 // this reply carries them; if it is lost, the last reply to the Run call does
	n.served.queueReply(b)
	reply.Returned = slices.Clone(b.returned)
	reply.Incarnation, reply.Load = n.incarnation, n.dispatcher.Load(now)
	n.effects.RecallResponses = append(n.effects.RecallResponses, reply)
	n.sendQueuedReplies(now)
}

// handleCancelBatches cancels batches. A batch that has not arrived yet will be refused.
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
