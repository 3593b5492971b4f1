package rrdispatcher

import "time"

// flight is one send whose end is not known yet.
type flight struct {
	id    uint64 // zero when the record is free
	batch *batch
	on    *minion
	unit  unit
	start time.Time
}

// placeMask selects the place of a flight from its id.
const placeMask = 1<<32 - 1

// flights holds the sends in flight. The zero value holds none.
type flights struct {
	all  []flight
	free []int32
	last uint32 // raised with every send
	n    int
}

// add stores a flight and returns its id, which holds its place and a number that
// tells it from earlier flights there.
func (f *flights) add(in flight) uint64 {
	if len(f.free) == 0 {
		f.free = append(f.free, int32(len(f.all)))
		f.all = append(f.all, flight{})
	}
	i := f.free[len(f.free)-1]
	f.free = f.free[:len(f.free)-1]
	f.last++
	in.id = uint64(f.last)<<32 | uint64(i) + 1
	f.all[i] = in
	f.n++
	return in.id
}

// take removes and returns the flight with an id, and false when there is none.
func (f *flights) take(id uint64) (flight, bool) {
	fl := f.get(id)
	if fl == nil {
		return flight{}, false
	}
	out := *fl
	*fl = flight{}
	f.free = append(f.free, int32(id&placeMask)-1)
	f.n--
	return out, true
}

// rest returns the estimated time until all flights have ended, summed.
func (f *flights) rest(now time.Time) time.Duration {
	var sum time.Duration
	at := now.UnixNano()
	for i := range f.all {
		fl := &f.all[i]
		if fl.id != 0 {
			sum += max(0, fl.unit.est-time.Duration(at-fl.start.UnixNano()))
		}
	}
	return sum
}

// get returns the flight with an id, or nil when there is none.
func (f *flights) get(id uint64) *flight {
	i := int(id&placeMask) - 1
	if i < 0 || i >= len(f.all) || f.all[i].id != id {
		return nil
	}
	return &f.all[i]
}
