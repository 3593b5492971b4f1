package rrdispatcher

import "time"

// How long and how many ended batches are remembered, so that a late repeat of
// one is recognised.
const (
	pastTime = 2 * time.Minute // after the deadline and the end of the batch
	maxPast  = 1 << 16         // batches
	maxFloor = 1024            // incarnations of coordinators
)

// past remembers ended batches. Once a batch is forgotten, every older batch of
// the same incarnation counts as known, so that no repeat is ever taken as new.
// The zero value remembers nothing.
type past struct {
	given  map[BatchKey][]int // indexes given back, by batch
	fifo   []answered         // in the order in which they ended
	head   int                // place in fifo of the oldest that is remembered
	floors map[origin]floor
}

type answered struct {
	key   BatchKey
	until time.Time
}

type origin struct {
	entry string
	life  uint64
}

// floor is the highest batch number of an incarnation that was forgotten.
type floor struct {
	seq uint64
	at  time.Time // when it was last raised
}

func (p *past) add(now time.Time, b *batch) {
	if p.given == nil {
		p.given = make(map[BatchKey][]int)
	}
	until := now
	if b.Deadline.After(now) {
		until = b.Deadline
	}
	p.given[b.Key] = b.returned
	p.fifo = append(p.fifo, answered{b.Key, until.Add(pastTime)})
}

func (p *past) known(key BatchKey) bool {
	if _, ok := p.given[key]; ok {
		return true
	}
	return key.Seq <= p.floors[origin{key.Coordinator, key.Incarnation}].seq && key.Seq > 0
}

func (p *past) returned(key BatchKey) []int {
	return p.given[key]
}

// forget drops the batches whose time is over, and the oldest when there are too many.
func (p *past) forget(now time.Time) {
	for p.head < len(p.fifo) {
		first := p.fifo[p.head]
		if len(p.fifo)-p.head <= maxPast && !first.until.Before(now) {
			break
		}
		p.raise(now, first.key)
		delete(p.given, first.key)
		p.head++
	}
	if p.head > len(p.fifo)/2 {
		p.fifo = append(p.fifo[:0], p.fifo[p.head:]...)
		p.head = 0
	}
}

// raise lifts the floor of an incarnation to a forgotten batch.
func (p *past) raise(now time.Time, key BatchKey) {
	if p.floors == nil {
		p.floors = make(map[origin]floor)
	}
	o := origin{key.Coordinator, key.Incarnation}
	f, ok := p.floors[o]
	if !ok && len(p.floors) >= maxFloor {
		p.evict()
	}
	p.floors[o] = floor{max(f.seq, key.Seq), now}
}

// evict drops the floor that was raised the longest ago.
func (p *past) evict() {
	var oldest origin
	var at time.Time
	for o, f := range p.floors {
		if at.IsZero() || f.at.Before(at) {
			oldest, at = o, f.at
		}
	}
	delete(p.floors, oldest)
}
