package rrdispatcher

import "time"

// inFlightDispatch is a dispatch without a result yet.
type inFlightDispatch struct {
	id     uint64 // zero for a free record
	batch  *batch
	minion *minion
	task   queuedTask
	sentAt time.Time
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
func (f *dispatchTable) add(in inFlightDispatch) uint64 {
	if len(f.free) == 0 {
		f.free = append(f.free, int32(len(f.records)))
		f.records = append(f.records, inFlightDispatch{})
	}
	i := f.free[len(f.free)-1]
	f.free = f.free[:len(f.free)-1]
	f.lastSeq++
	in.id = uint64(f.lastSeq)<<32 | uint64(i) + 1
	f.records[i] = in
	f.count++
	return in.id
}

// remove removes and returns the dispatch with an ID. It returns false if there is none.
func (f *dispatchTable) remove(id uint64) (inFlightDispatch, bool) {
	sent := f.get(id)
	if sent == nil {
		return inFlightDispatch{}, false
	}
	out := *sent
	*sent = inFlightDispatch{}
	f.free = append(f.free, int32(id&indexMask)-1)
	f.count--
	return out, true
}

// remainingWork returns the sum of the estimated times until the dispatches end.
func (f *dispatchTable) remainingWork(now time.Time) time.Duration {
	var sum time.Duration
	nowNanos := now.UnixNano()
	for i := range f.records {
		sent := &f.records[i]
		if sent.id != 0 {
			sum += max(0, sent.task.estimate-time.Duration(nowNanos-sent.sentAt.UnixNano()))
		}
	}
	return sum
}

// get returns the dispatch with an ID, or nil if there is none.
func (f *dispatchTable) get(id uint64) *inFlightDispatch {
	i := int(id&indexMask) - 1
	if i < 0 || i >= len(f.records) || f.records[i].id != id {
		return nil
	}
	return &f.records[i]
}
