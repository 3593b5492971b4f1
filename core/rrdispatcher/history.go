package rrdispatcher

import "time"

// Limits of the history of ended batches, by which Add detects late repeats.
const (
	historyTTL       = 2 * time.Minute // after the later of the batch's deadline and its end
	maxHistory       = 1 << 16         // batches
	maxForgottenSeqs = 1024            // coordinator incarnations with a forgottenSeq
)

// batchHistory remembers ended batches. Once it forgets a batch, every older batch of
// the same incarnation counts as known, because accepting a repeat as new could run
// its tasks twice. The zero value is empty.
type batchHistory struct {
	reclaimedTasks map[BatchKey][]int // indexes of the tasks that Reclaim removed
	endOrder       []endedBatch       // in the order in which they ended
	head           int                // index in endOrder of the oldest batch remembered
	forgotten      map[coordinatorKey]forgottenSeq
}

type endedBatch struct {
	key       BatchKey
	expiresAt time.Time
}

type coordinatorKey struct {
	coordinator string
	incarnation uint64
}

// forgottenSeq is the highest Seq among the forgotten batches of an incarnation.
type forgottenSeq struct {
	seq      uint64
	raisedAt time.Time // when it was last raised
}

func (h *batchHistory) add(now time.Time, b *batch) {
	if h.reclaimedTasks == nil {
		h.reclaimedTasks = make(map[BatchKey][]int)
	}
	expiresAt := now
	if b.Deadline.After(now) {
		expiresAt = b.Deadline
	}
	h.reclaimedTasks[b.Key] = b.reclaimed
	h.endOrder = append(h.endOrder, endedBatch{b.Key, expiresAt.Add(historyTTL)})
}

func (h *batchHistory) known(key BatchKey) bool {
	if _, ok := h.reclaimedTasks[key]; ok {
		return true
	}
	return key.Seq <= h.forgotten[coordinatorKey{key.Coordinator, key.Incarnation}].seq && key.Seq > 0
}

func (h *batchHistory) reclaimed(key BatchKey) []int {
	return h.reclaimedTasks[key]
}

// forgetExpired drops the expired batches, and the oldest if there are too many.
func (h *batchHistory) forgetExpired(now time.Time) {
	for h.head < len(h.endOrder) {
		first := h.endOrder[h.head]
		if len(h.endOrder)-h.head <= maxHistory && !first.expiresAt.Before(now) {
			break
		}
		h.recordForgotten(now, first.key)
		delete(h.reclaimedTasks, first.key)
		h.head++
	}
	if h.head > len(h.endOrder)/2 {
		h.endOrder = append(h.endOrder[:0], h.endOrder[h.head:]...)
		h.head = 0
	}
}

// recordForgotten raises the forgottenSeq of a batch's incarnation to the batch's Seq.
func (h *batchHistory) recordForgotten(now time.Time, key BatchKey) {
	if h.forgotten == nil {
		h.forgotten = make(map[coordinatorKey]forgottenSeq)
	}
	c := coordinatorKey{key.Coordinator, key.Incarnation}
	f, ok := h.forgotten[c]
	if !ok && len(h.forgotten) >= maxForgottenSeqs {
		h.evictCoordinator()
	}
	h.forgotten[c] = forgottenSeq{max(f.seq, key.Seq), now}
}

// evictCoordinator drops the forgottenSeq that was raised the longest ago.
func (h *batchHistory) evictCoordinator() {
	var oldest coordinatorKey
	var oldestAt time.Time
	for c, f := range h.forgotten {
		if oldestAt.IsZero() || f.raisedAt.Before(oldestAt) {
			oldest, oldestAt = c, f.raisedAt
		}
	}
	delete(h.forgotten, oldest)
}
