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

// Intervals and timeouts of the simulated fleet.
const (
	tickInterval       = 20 * time.Millisecond
	listInterval       = time.Second
	drainNoticeTimeout = 3 * time.Second // after which a draining minion gets no new tasks
	answerGrace        = 3 * time.Second // time for the answer after the deadline
)

// property is what a simulation must not violate.
type property string

// Properties that a simulation checks.
const (
	startsOnce          property = "every task starts at most once"
	wholeAnswer         property = "an answer is complete or failed"
	ownAnswer           property = "each caller gets one answer, its own"
	notRunIsTrue        property = "a job that is answered as not run has not started"
	withinSlots         property = "after convergence a minion gets no more tasks than it has slots"
	drainingGetsNothing property = "a draining minion gets no new tasks"
	evacuatedIsIdle     property = "an entry starts no task in a zone that its configuration evacuates"
	answeredInTime      property = "every job is answered within a grace period after its deadline"
	neverReverts        property = "the configuration never reverts and reaches every entry"
	fewMessages         property = "the number of Run calls per job is bounded"
	servesAfterFaults   property = "the fleet completes jobs after all faults have ended"
	invariantsHold      property = "the invariants of the program hold"
)

// violation is the value of the panic that ends a simulation.
type violation struct {
	property property
	text     string
}

// scheduledFunc is a function to run at a virtual time.
type scheduledFunc struct {
	at  time.Time
	seq int
	do  func()
}

type funcQueue []scheduledFunc

func (a funcQueue) Len() int { return len(a) }
func (a funcQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a funcQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *funcQueue) Push(x any)   { *a = append(*a, x.(scheduledFunc)) }
func (a *funcQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	old[len(old)-1] = scheduledFunc{}
	*a = old[:len(old)-1]
	return e
}

// mutation is a bug that the simulation introduces on purpose and that a run must detect.
type mutation int

// Mutations.
const (
	noMutation               mutation = iota
	transportRetries                  // the transport to minions retries after a lost answer
	lostReportedRefused               // a lost answer is reported as an explicit refusal
	ownerForgetsBatches               // a repeated batch has a new key for its owner
	unknownReportedNotSent            // a failed call is reported as not sent
	answerTruncated                   // a complete answer lacks its last result
	answerSwapped                     // answers go to another caller
	answerTwice                       // a caller is answered twice
	mayHaveRunReportedNotRun          // a failure that may have run is reported as not run
	tooManySlotsListed                // the list shows more slots than there are
	drainingNotListed                 // the list hides that minions are draining
	ticksLost                         // entries get no ticks
	configReverts                     // an entry forgets its configuration version
	storeIgnoresCompare               // the store does not compare before it writes
	evacuationIgnored                 // dispatchers do not get the list of evacuated zones
)

// link is one direction between two zones.
type link struct{ from, to string }

// sim simulates a fleet in virtual time. All randomness is drawn from its seed.
type sim struct {
	rnd                 *rand.Rand
	now                 time.Time
	start               time.Time
	scheduled           funcQueue
	seq                 int
	steps               int
	traceHash           uint64 // hash of all events so far
	entries             []*entry
	minions             []*minion
	cuts                map[link]bool
	platformUnreachable map[string]bool // zones that can't reach the platform's store and instance list
	faultProbability    float64         // probability of a random fault per message
	healedAt            time.Time       // when the last fault ended; zero before heal
	calls               map[CallID]*call
	lastCall            CallID
	submissions         []*submission
	starts              map[string]int // by task
	runBatchCalls       map[string]int // Run calls by job
	version             uint64
	store               store
	startedJobs         map[string]bool // IDs of the jobs with started tasks
	mutation            mutation
}

func newSim(seed uint64, faultProbability float64) *sim {
	epoch := time.Unix(1_700_000_000, 0)
	return &sim{
		rnd:                 rand.New(rand.NewPCG(seed, 1)),
		now:                 epoch,
		start:               epoch,
		cuts:                make(map[link]bool),
		platformUnreachable: make(map[string]bool),
		faultProbability:    faultProbability,
		calls:               make(map[CallID]*call),
		starts:              make(map[string]int),
		store:               store{items: make(map[string]rrclaim.KeyState)},
		startedJobs:         make(map[string]bool),
	}
}

// fail ends the simulation with a violated property.
func (s *sim) fail(p property, format string, args ...any) {
	panic(violation{p, fmt.Sprintf("%v after %d steps: ", s.now.Sub(s.start), s.steps) + fmt.Sprintf(format, args...)})
}

// schedule runs f after d.
func (s *sim) schedule(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.scheduled, scheduledFunc{s.now.Add(d), s.seq, f})
}

// run advances the virtual time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.scheduled) > 0 && !s.scheduled[0].at.After(end) {
		e := heap.Pop(&s.scheduled).(scheduledFunc)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// randomFault returns true with the probability of a random fault.
func (s *sim) randomFault() bool {
	return s.rnd.Float64() < s.faultProbability
}

// randomBetween returns a random duration from low to high.
func (s *sim) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)+1))
}

// traceEvent adds an event to the hash of all events.
func (s *sim) traceEvent(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, s.traceHash, s.now.UnixNano())
	fmt.Fprintf(h, format, args...)
	s.traceHash = h.Sum64()
}

// cut reports whether messages from one zone to another are lost.
func (s *sim) cut(from, to string) bool {
	return from != to && s.cuts[link{from, to}]
}

// call is a pending call between entries.
type call struct {
	from            *entry
	fromIncarnation uint64
	to              *entry
	done            func(rrcoord.Delivery, any) // runs on the sender
	finished        bool
}

// request sends a call to the entry at addr. It runs handle there, and done on the sender
// once, with the reply.
func (s *sim) request(from *entry, addr string, timeout time.Duration, handle func(*entry, CallID), done func(rrcoord.Delivery, any)) {
	s.lastCall++
	id := s.lastCall
	to := s.entryAt(addr)
	c := &call{from: from, fromIncarnation: from.incarnation, to: to, done: done}
	s.calls[id] = c
	if to == nil || !to.alive || s.cut(from.Zone, to.Zone) || s.randomFault() {
		s.refuseCall(id)
		return
	}
	s.schedule(timeout, func() { s.finishCall(id, rrcoord.DeliveryUnknown, nil) })
	delay := s.latency(from.Zone, to.Zone)
	if s.randomFault() { // the connection breaks while the request is in flight
		s.schedule(delay, func() { s.finishCall(id, rrcoord.DeliveryUnknown, nil) })
		delay += s.randomBetween(0, 3*time.Second)
	}
	s.schedule(delay, func() { to.run(to.incarnation, func() { handle(to, id) }) })
	if s.randomFault() {
		s.schedule(delay+s.randomBetween(0, 2*time.Second), func() { to.run(to.incarnation, func() { handle(to, id) }) })
	}
}

// refuseCall ends a call of which nothing arrived: the dial failed, or an existing
// connection broke.
func (s *sim) refuseCall(id CallID) {
	delivery := rrcoord.DeliveryNotSent
	if s.rnd.IntN(4) == 0 {
		delivery = rrcoord.DeliveryUnknown
	}
	s.schedule(s.randomBetween(0, time.Second), func() { s.finishCall(id, delivery, nil) })
}

func (s *sim) latency(from, to string) time.Duration {
	if s.randomFault() {
		return s.randomBetween(0, 300*time.Millisecond)
	}
	if from == to {
		return s.randomBetween(100*time.Microsecond, 300*time.Microsecond)
	}
	return s.randomBetween(400*time.Microsecond, 800*time.Microsecond)
}

// reply sends the reply to a call back to its sender.
func (s *sim) reply(id CallID, v any) {
	c := s.calls[id]
	if c == nil || c.finished {
		return
	}
	if s.cut(c.to.Zone, c.from.Zone) || s.randomFault() {
		s.schedule(s.randomBetween(0, time.Second), func() { s.finishCall(id, rrcoord.DeliveryUnknown, nil) })
		return
	}
	s.schedule(s.latency(c.to.Zone, c.from.Zone), func() { s.finishCall(id, rrcoord.DeliveryAnswered, v) })
}

// finishCall ends a call on its sender, once.
func (s *sim) finishCall(id CallID, delivery rrcoord.Delivery, v any) {
	c := s.calls[id]
	if c == nil || c.finished {
		return
	}
	c.finished = true
	delete(s.calls, id)
	if s.mutation == unknownReportedNotSent && delivery == rrcoord.DeliveryUnknown {
		delivery = rrcoord.DeliveryNotSent
	}
	c.from.run(c.fromIncarnation, func() { c.done(delivery, v) })
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

// platformList returns the current content of the platform's instance list.
func (s *sim) platformList() ([]rrtask.Entry, []rrtask.Minion) {
	var entries []rrtask.Entry
	for _, e := range s.entries {
		if e.listed {
			entries = append(entries, e.Entry)
		}
	}
	var minions []rrtask.Minion
	for _, m := range s.minions {
		if !m.listed {
			continue
		}
		shown := m.Minion
		if s.mutation == drainingNotListed {
			shown.Draining = false
		}
		if s.mutation == tooManySlotsListed {
			shown.Slots++
		}
		minions = append(minions, shown)
	}
	return entries, minions
}
