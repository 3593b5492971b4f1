// Package rrbudget decides which requests may hold memory while the requests of all callers together may
// hold only so much. A request holds memory while its body is received, and then for the decoded job until
// it is answered.
package rrbudget

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// ID identifies a request.
type ID uint64

const (
	// smallBytes is the size up to which a decoded job may use the whole limit. Larger ones together may
	// use half of it, so that few large jobs don't keep out ordinary ones.
	smallBytes = 16 << 10
	// minElapsed is the shortest time by which a rate is computed. Without it, the rate of a request that
	// has just started would depend on the resolution of the clock.
	minElapsed = time.Millisecond
	// orderTime is how long the order in which requests give way is used before it is computed again.
	orderTime = 10 * time.Millisecond
)

// Effects are what the caller of a method has to do: let the granted requests go on, and refuse the stopped
// ones, which hold their memory until End.
type Effects struct {
	Granted []ID
	Stopped []ID
}

// Budget is the memory that the requests share. The zero value has no limit. Create one with a limit by
// New. It must not be used concurrently.
type Budget struct {
	limit     int64
	used      int64 // held by all requests
	stopping  int64 // part of used that stopped requests hold
	wanted    int64 // what the waiting requests wait for
	keptLarge int64 // part of used that decoded jobs of more than smallBytes hold
	requests  map[ID]*request
	waiting   [classes][]*request // in the order in which they began to wait
	order     candidates          // the receiving requests when it was computed, less those that gave way since
	orderedAt time.Time
}

// class orders the requests that wait. The first class is granted first and stopped last.
type class int

const (
	classNew  class = iota // holds nothing yet, so it may be an ordinary request that needs no more than it asks for
	classMore              // waits for more than it holds
	classes
)

// request is one request and the memory that it holds.
type request struct {
	id        ID
	startedAt time.Time
	received  int64 // bytes of the body
	held      int64
	wanted    int64 // that it waits for
	class     class // while it waits
	stopped   bool
	kept      bool // its body is complete and it holds the decoded job
}

// New returns a budget of limit bytes. A limit of zero means no limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Limit returns the limit, zero for none.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that all requests hold.
func (b *Budget) Used() int64 { return b.used }

// SetLimit changes the limit. It stops receiving requests if they hold more than a lower limit allows.
func (b *Budget) SetLimit(now time.Time, limit int64) Effects {
	b.limit = limit
	var e Effects
	b.makeRoom(now, &e)
	b.grant(&e)
	return e
}

// Grow asks for n more bytes for a request, which it starts if it does not know it. The request is either
// granted or stopped at once, or waits until it is in the effects of a later call. Requests that hold nothing yet go
// before those that ask for more.
func (b *Budget) Grow(now time.Time, id ID, n int64) Effects {
	r := b.requests[id]
	if r == nil {
		r = &request{id: id, startedAt: now}
		if b.requests == nil {
			b.requests = make(map[ID]*request)
		}
		b.requests[id] = r
	}
	if r.stopped {
		return Effects{}
	}
	r.class = classNew
	if r.held > 0 {
		r.class = classMore
	}
	if len(b.waiting[classNew]) == 0 && (r.class == classNew || len(b.waiting[classMore]) == 0) && b.fits(n) {
		r.held += n
		b.used += n
		return Effects{Granted: []ID{id}}
	}
	r.wanted = n
	b.wanted += n
	b.waiting[r.class] = append(b.waiting[r.class], r)
	var e Effects
	b.makeRoom(now, &e)
	b.grant(&e)
	return e
}

// Received records n more bytes of the body of a request.
func (b *Budget) Received(id ID, n int64) {
	if r := b.requests[id]; r != nil {
		r.received += n
	}
}

// Keep ends the reception of a request, which then holds n bytes until End and is not stopped any more. It
// reports false if the request is stopped, is not known, or may not hold n bytes, in which case the caller
// refuses it. n is at most what the request holds; a larger n counts in full, but may exceed the limit.
func (b *Budget) Keep(id ID, n int64) (bool, Effects) {
	r := b.requests[id]
	if r == nil || r.stopped || r.kept {
		return false, Effects{}
	}
	if n > smallBytes {
		if b.limit > 0 && b.keptLarge+n > b.limit/2 {
			return false, Effects{}
		}
		b.keptLarge += n
	}
	b.used += n - r.held
	r.held, r.kept = n, true
	var e Effects
	b.grant(&e)
	return true, e
}

// End ends a request, which holds nothing afterwards. It does nothing for an unknown one.
func (b *Budget) End(id ID) Effects {
	r := b.requests[id]
	if r == nil {
		return Effects{}
	}
	delete(b.requests, id)
	b.stopWaiting(r)
	b.used -= r.held
	if r.stopped {
		b.stopping -= r.held
	}
	if r.kept && r.held > smallBytes {
		b.keptLarge -= r.held
	}
	var e Effects
	b.grant(&e)
	return e
}

func (b *Budget) fits(n int64) bool {
	return b.limit <= 0 || b.used+n <= b.limit
}

// grant gives the waiting requests what they wait for, in their order, while it fits.
func (b *Budget) grant(e *Effects) {
	for c := range b.waiting {
		waiting := &b.waiting[c]
		for len(*waiting) > 0 {
			r := (*waiting)[0]
			if !b.fits(r.wanted) {
				return
			}
			r.held += r.wanted
			b.used += r.wanted
			b.stopWaiting(r)
			e.Granted = append(e.Granted, r.id)
		}
	}
}

// makeRoom stops requests until the others, with what they wait for, fit. If those that receive hold
// nothing more, it stops the waiting ones, the last one first.
func (b *Budget) makeRoom(now time.Time, e *Effects) {
	if b.limit <= 0 || b.used-b.stopping+b.wanted <= b.limit {
		return
	}
	for computed := false; b.used-b.stopping+b.wanted > b.limit; {
		if len(b.order) == 0 || now.Sub(b.orderedAt) >= orderTime {
			if computed {
				break
			}
			b.computeOrder(now)
			computed = true
			continue
		}
		// The entry may be of a request that has ended or changed since.
		if r := heap.Pop(&b.order).(candidate).request; b.requests[r.id] == r && r.receives() {
			b.stop(r, e)
		}
	}
	for _, waiting := range slices.Backward(b.waiting[:]) {
		for _, r := range slices.Backward(slices.Clone(waiting)) {
			if b.used-b.stopping+b.wanted <= b.limit {
				return
			}
			b.stop(r, e)
		}
	}
}

func (b *Budget) stop(r *request, e *Effects) {
	b.stopWaiting(r)
	r.stopped = true
	b.stopping += r.held
	e.Stopped = append(e.Stopped, r.id)
}

func (b *Budget) stopWaiting(r *request) {
	if r.wanted == 0 {
		return
	}
	b.wanted -= r.wanted
	r.wanted = 0
	w := &b.waiting[r.class]
	if i := slices.Index(*w, r); i >= 0 {
		*w = slices.Delete(*w, i, i+1)
	}
}

// candidate is a receiving request that may give way.
type candidate struct {
	*request
	held  int64
	small bool // it holds less than a fair share
	rate  float64
}

// candidates are in the order of a heap. First are those that hold at least a fair share, that is, the mean: to
// stop many small requests would free little. Among them, and among the others, the slowest by bytes a second
// since its start is first, then the largest.
type candidates []candidate

// receives reports whether a request may give way.
func (r *request) receives() bool { return !r.kept && !r.stopped && r.held > 0 }

// computeOrder computes b.order. It is a heap and not sorted, since few of many requests give way in orderTime.
func (b *Budget) computeOrder(now time.Time) {
	out := b.order[:0]
	var sum int64
	for _, r := range b.requests {
		if r.receives() {
			out = append(out, candidate{request: r, held: r.held, rate: r.rate(now)})
			sum += r.held
		}
	}
	for i := range out {
		out[i].small = out[i].held*int64(len(out)) < sum
	}
	heap.Init(&out)
	b.order, b.orderedAt = out, now
}

// Len implements sort.Interface.
func (c candidates) Len() int { return len(c) }

// Swap implements sort.Interface.
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Less implements sort.Interface.
func (c candidates) Less(i, j int) bool {
	x, y := &c[i], &c[j]
	if x.small != y.small {
		return y.small
	}
	if x.rate != y.rate {
		return x.rate < y.rate
	}
	return cmp.Or(cmp.Compare(y.held, x.held), cmp.Compare(x.id, y.id)) < 0
}

// Push implements heap.Interface.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// rate returns the bytes a second that a request has received since its start.
func (r *request) rate(now time.Time) float64 {
	return float64(r.received) / max(now.Sub(r.startedAt), minElapsed).Seconds()
}
