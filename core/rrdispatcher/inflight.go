package rrdispatcher

import "time"

// inFlightDispatch is a dispatch without a result yet.
type inFlightDispatch struct {
	id           uint64 // zero for a free record
	batch        *batch
	minion       *minion
	task         queuedTask
	dispatchedAt time.Time
}

// indexMask selects the lower half of a dispatch ID, which is its index in the table
// plus one.
const indexMask = 1<<32 - 1

// dispatchTable holds the dispatches in flight. The zero value is empty.
type dispatchTable struct {
	records []inFlightDispatch
	free    []int32 // indexes of free records
	lastSeq uint32  // number of dispatches so far
	count   int
}

// add stores a dispatch and returns its ID. The ID holds the index and a sequence
// number, which distinguishes it from earlier dispatches at the same index.
func (t *dispatchTable) add(in inFlightDispatch) uint64 {
	if len(t.free) == 0 {
		t.free = append(t.free, int32(len(t.records)))
		t.records = append(t.records, inFlightDispatch{})
	}
	i := t.free[len(t.free)-1]
	t.free = t.free[:len(t.free)-1]
	t.lastSeq++
	in.id = uint64(t.lastSeq)<<32 | uint64(i) + 1
	t.records[i] = in
	t.count++
	return in.id
}

// remove removes and returns the dispatch with an ID. It returns false if there is none.
func (t *dispatchTable) remove(id uint64) (inFlightDispatch, bool) {
	dispatch := t.get(id)
	if dispatch == nil {
		return inFlightDispatch{}, false
	}
	out := *dispatch
	*dispatch = inFlightDispatch{}
	t.free = append(t.free, int32(id&indexMask)-1)
	t.count--
	return out, true
}

// remainingWork returns the sum of the estimated times until the dispatches end.
func (t *dispatchTable) remainingWork(now time.Time) time.Duration {
	var sum time.Duration
	nowNanos := now.UnixNano()
	for i := range t.records {
		dispatch := &t.records[i]
		if dispatch.id != 0 {
			sum += max(0, dispatch.task.estimate-time.Duration(nowNanos-dispatch.dispatchedAt.UnixNano()))
		}
	}
	return sum
}

// get returns the dispatch with an ID, or nil if there is none.
func (t *dispatchTable) get(id uint64) *inFlightDispatch {
	i := int(id&indexMask) - 1
	if i < 0 || i >= len(t.records) || t.records[i].id != id {
		return nil
	}
	return &t.records[i]
}
