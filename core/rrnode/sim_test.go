package rrnode

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"rattanring/core/rrclaim"
	"rattanring/core/rrcoord"
	"rattanring/core/rrtask"
)

// Times of the simulated fleet.
const (
	tickTime  = 20 * time.Millisecond
	pollTime  = time.Second
	leaveTime = 3 * time.Second // after which a leaving minion gets nothing new
	graceTime = 3 * time.Second // after the deadline, for the answer
)

// promise names what a run has broken.
type promise string

// Promises that a simulation checks.
const (
	startsOnce    promise = "every task starts at most once"
	wholeAnswer   promise = "an answer is complete or failed"
	ownAnswer     promise = "each caller gets one answer, its own"
	trueRefusal   promise = "not run is true"
	withinSlots   promise = "a settled fleet keeps within the slots"
	leavingIdle   promise = "a leaving minion gets nothing new"
	answeredInDue promise = "every job is answered by its deadline and a grace"
	neverReverts  promise = "the configuration never reverts and reaches every entry"
	fewMessages   promise = "messages of a job are bounded"
	serves        promise = "a healed fleet completes jobs"
	insideChecks  promise = "invariants inside the program"
)

// violation is the panic of a broken promise.
type violation struct {
	promise promise
	text    string
}

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return e
}

// mutation is a deliberate fault of the simulated surroundings, which a run has
// to notice.
type mutation int

// Deliberate faults.
const (
	noMutation      mutation = iota
	transportResend          // the minion transport sends again after a lost answer
	lostAsRefused            // a lost answer is reported as an explicit refusal
	keeperForgets            // a repeated batch looks new to the keeper
	ambiguousAsSent          // a broken call is reported as never sent
	answerCut                // a complete answer lacks its last result
	answerSwapped            // answers go to another caller
	answerTwice              // a caller is answered twice
	refusalLie               // a failure that may have run is reported as not run
	slotsLie                 // the list shows more slots than there are
	listStale                // the list hides that minions leave
	tickLost                 // the passing of time is never told
	configReverts            // an entry forgets its version
	storeUnchecked           // the store does not compare before it writes
)

// link is a direction between two zones.
type link struct{ from, to string }

// sim is a fleet in virtual time. All randomness comes from its seed.
type sim struct {
	rnd      *rand.Rand
	now      time.Time
	start    time.Time
	agenda   agenda
	seq      int
	steps    int
	trace    uint64
	entries  []*entry
	minions  []*minion
	cuts     map[link]bool
	away     map[string]bool // zones that do not reach the platform
	noise    float64         // probability of a mishap per message
	settled  time.Time       // when the last fault ended; zero while there are any
	calls    map[CallID]*call
	lastCall CallID
	subs     []*submission
	starts   map[string]int // by task
	runs     map[string]int // batch messages by job
	version  uint64
	store    store
	ran      map[string]bool // ids of jobs of which a task has started
	mutate   mutation
}

func newSim(seed uint64, noise float64) *sim {
	epoch := time.Unix(1_700_000_000, 0)
	return &sim{
		rnd:    rand.New(rand.NewPCG(seed, 1)),
		now:    epoch,
		start:  epoch,
		cuts:   make(map[link]bool),
		away:   make(map[string]bool),
		noise:  noise,
		calls:  make(map[CallID]*call),
		starts: make(map[string]int),
		store:  store{items: make(map[string]rrclaim.KeyState)},
		ran:    make(map[string]bool),
	}
}

// fail ends the run with a broken promise.
func (s *sim) fail(p promise, format string, args ...any) {
	panic(violation{p, fmt.Sprintf("%v after %d steps: ", s.now.Sub(s.start), s.steps) + fmt.Sprintf(format, args...)})
}

// after plans f.
func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.agenda, event{s.now.Add(d), s.seq, f})
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.agenda) > 0 && !s.agenda[0].at.After(end) {
		e := heap.Pop(&s.agenda).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// chance reports true with the probability of a mishap.
func (s *sim) chance() bool {
	return s.rnd.Float64() < s.noise
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)+1))
}

// note adds to the hash of everything that happened.
func (s *sim) note(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, s.trace, s.now.UnixNano())
	fmt.Fprintf(h, format, args...)
	s.trace = h.Sum64()
}

// cut reports whether messages from one zone to another are lost.
func (s *sim) cut(from, to string) bool {
	return from != to && s.cuts[link{from, to}]
}

// call is one request between entries.
type call struct {
	from     *entry
	fromLife uint64
	to       *entry
	done     func(rrcoord.Delivery, any) // runs on the sender
	over     bool
}

// request carries a message to the entry at addr. The handler runs there, and
// done on the sender with the reply, once.
func (s *sim) request(from *entry, addr string, limit time.Duration, handle func(*entry, CallID), done func(rrcoord.Delivery, any)) {
	s.lastCall++
	id := s.lastCall
	to := s.entryAt(addr)
	c := &call{from: from, fromLife: from.life, to: to, done: done}
	s.calls[id] = c
	if to == nil || !to.alive || s.cut(from.Zone, to.Zone) || s.chance() {
		s.refuseCall(id)
		return
	}
	s.after(limit, func() { s.finish(id, rrcoord.DeliveryUnknown, nil) })
	delay := s.delay(from.Zone, to.Zone)
	if s.chance() { // the connection breaks while the request is under way
		s.after(delay, func() { s.finish(id, rrcoord.DeliveryUnknown, nil) })
		delay += s.between(0, 3*time.Second)
	}
	s.after(delay, func() { to.do(to.life, func() { handle(to, id) }) })
	if s.chance() {
		s.after(delay+s.between(0, 2*time.Second), func() { to.do(to.life, func() { handle(to, id) }) })
	}
}

// refuseCall ends a call of which nothing arrived: the dial failed, or an old
// connection broke.
func (s *sim) refuseCall(id CallID) {
	sent := rrcoord.DeliveryNotSent
	if s.rnd.IntN(4) == 0 {
		sent = rrcoord.DeliveryUnknown
	}
	s.after(s.between(0, time.Second), func() { s.finish(id, sent, nil) })
}

func (s *sim) delay(from, to string) time.Duration {
	if s.chance() {
		return s.between(0, 300*time.Millisecond)
	}
	if from == to {
		return s.between(100*time.Microsecond, 300*time.Microsecond)
	}
	return s.between(400*time.Microsecond, 800*time.Microsecond)
}

// reply carries the answer to a call back.
func (s *sim) reply(id CallID, v any) {
	c := s.calls[id]
	if c == nil || c.over {
		return
	}
	if s.cut(c.to.Zone, c.from.Zone) || s.chance() {
		s.after(s.between(0, time.Second), func() { s.finish(id, rrcoord.DeliveryUnknown, nil) })
		return
	}
	s.after(s.delay(c.to.Zone, c.from.Zone), func() { s.finish(id, rrcoord.DeliveryAnswered, v) })
}

// finish ends a call on its sender, once.
func (s *sim) finish(id CallID, sent rrcoord.Delivery, v any) {
	c := s.calls[id]
	if c == nil || c.over {
		return
	}
	c.over = true
	delete(s.calls, id)
	if s.mutate == ambiguousAsSent && sent == rrcoord.DeliveryUnknown {
		sent = rrcoord.DeliveryNotSent
	}
	c.from.do(c.fromLife, func() { c.done(sent, v) })
}

func (s *sim) entryAt(addr string) *entry {
	for _, e := range s.entries {
		if e.Addr == addr {
			return e
		}
	}
	return nil
}

func (s *sim) minion(name string) *minion {
	for _, m := range s.minions {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// list returns what the platform's list says now.
func (s *sim) list() ([]rrtask.Entry, []rrtask.Minion) {
	var es []rrtask.Entry
	for _, e := range s.entries {
		if e.listed {
			es = append(es, e.Entry)
		}
	}
	var ms []rrtask.Minion
	for _, m := range s.minions {
		if !m.listed {
			continue
		}
		shown := m.Minion
		if s.mutate == listStale {
			shown.Draining = false
		}
		if s.mutate == slotsLie {
			shown.Slots++
		}
		ms = append(ms, shown)
	}
	return es, ms
}
