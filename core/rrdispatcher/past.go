package rrdispatcher

import "time"

// How long and how many ended batches are remembered, so that a late repeat of
// one is recognised.
const (
	historyTTL   = 2 * time.Minute // after the deadline and the end of the batch
	maxHistory   = 1 << 16         // batches
	maxForgotten = 1024            // incarnations of coordinators
)

// batchHistory remembers ended batches. Once a batch is forgotten, every older batch of
// the same incarnation counts as known, so that no repeat is ever taken as new.
// The zero value remembers nothing.
type batchHistory struct {
	returnedTasks map[BatchKey][]int // indexes given back, by batch
	endOrder      []endedBatch       // in the order in which they ended
	head          int                // place in fifo of the oldest that is remembered
	forgotten     map[coordinatorKey]forgottenSeq
}

type endedBatch struct {
	key       BatchKey
	expiresAt time.Time
}

type coordinatorKey struct {
	coordinator string
	incarnation uint64
}

// forgottenSeq is the highest batch number of an incarnation that was forgotten.
type forgottenSeq struct {
	seq      uint64
	raisedAt time.Time // when it was last raised
}

func (p *batchHistory) add(now time.Time, b *batch) {
	if p.returnedTasks == nil {
		p.returnedTasks = make(map[BatchKey][]int)
	}
	expiresAt := now
	if b.Deadline.After(now) {
		expiresAt = b.Deadline
	}
	p.returnedTasks[b.Key] = b.returned
	p.endOrder = append(p.endOrder, endedBatch{b.Key, expiresAt.Add(historyTTL)})
}

func (p *batchHistory) known(key BatchKey) bool {
	if _, ok := p.returnedTasks[key]; ok {
		return true
	}
	return key.Seq <= p.forgotten[coordinatorKey{key.Coordinator, key.Incarnation}].seq && key.Seq > 0
}

func (p *batchHistory) returned(key BatchKey) []int {
	return p.returnedTasks[key]
}

// forgetExpired drops the batches whose time is over, and the oldest when there are too many.
func (p *batchHistory) forgetExpired(now time.Time) {
	for p.head < len(p.endOrder) {
		first := p.endOrder[p.head]
		if len(p.endOrder)-p.head <= maxHistory && !first.expiresAt.Before(now) {
			break
		}
		p.recordForgotten(now, first.key)
		delete(p.returnedTasks, first.key)
		p.head++
	}
	if p.head > len(p.endOrder)/2 {
		p.endOrder = append(p.endOrder[:0], p.endOrder[p.head:]...)
		p.head = 0
	}
}

// recordForgotten lifts the floor of an incarnation to a forgotten batch.
func (p *batchHistory) recordForgotten(now time.Time, key BatchKey) {
	if p.forgotten == nil {
		p.forgotten = make(map[coordinatorKey]forgottenSeq)
	}
	o := coordinatorKey{key.Coordinator, key.Incarnation}
	f, ok := p.forgotten[o]
	if !ok && len(p.forgotten) >= maxForgotten {
		p.evictCoordinator()
	}
	p.forgotten[o] = forgottenSeq{max(f.seq, key.Seq), now}
}

// evictCoordinator drops the floor that was raised the longest ago.
func (p *batchHistory) evictCoordinator() {
	var oldest coordinatorKey
	var oldestAt time.Time
	for o, f := range p.forgotten {
		if oldestAt.IsZero() || f.raisedAt.Before(oldestAt) {
			oldest, oldestAt = o, f.raisedAt
		}
	}
	delete(p.forgotten, oldest)
}
