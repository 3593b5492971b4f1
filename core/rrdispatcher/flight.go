package rrdispatcher

import "time"

// inFlightDispatch is one send whose end is not known yet.
type inFlightDispatch struct {
	id     uint64 // zero when the record is free
	batch  *batch
	minion *minion
	task   queuedTask
	sentAt time.Time
}

// indexMask selects the place of a flight from its id.
const indexMask = 1<<32 - 1

// dispatchTable holds the sends in flight. The zero value holds none.
type dispatchTable struct {
	records []inFlightDispatch
	free    []int32
	lastSeq uint32 // raised with every send
	count   int
}

// add stores a flight and returns its id, which holds its place and a number that
// tells it from earlier flights there.
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

// remove removes and returns the flight with an id, and false when there is none.
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

// remainingWork returns the estimated time until all flights have ended, summed.
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

// get returns the flight with an id, or nil when there is none.
func (f *dispatchTable) get(id uint64) *inFlightDispatch {
	i := int(id&indexMask) - 1
	if i < 0 || i >= len(f.records) || f.records[i].id != id {
		return nil
	}
	return &f.records[i]
}
