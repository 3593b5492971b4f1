package rrnode

import (
	"bytes"
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrcoord"
	"rattanring/core/rrinvariant"
	"rattanring/core/rrtask"

	"pgregory.net/rapid"
)

// long is how long TestFleetLong runs; zero skips it.
var long = flag.Duration("long", 0, "run the randomised test of a fleet for so long")

// submission is one job as a caller gave it to one entry.
type submission struct {
	id       string
	number   int
	tasks    int
	run      time.Duration
	entry    *entry
	life     uint64
	deadline time.Time
	gone     bool
	answered bool
	started  bool
	notRun   bool
	once     bool // non-idempotent: its id starts once
	tries    int  // submissions before it
	wants    bool // the fleet is healthy: the answer has to be complete
}

// submit hands a job to an entry, as a new one or with the id of an earlier one.
func (s *sim) submit(e *entry, id string, tasks int, run, patience time.Duration) *submission {
	return s.submitJob(e, id, tasks, run, patience, false)
}

// submitOnce submits a non-idempotent job, as a retry if its id is known.
func (s *sim) submitOnce(e *entry, id string, tasks int, run, patience time.Duration) *submission {
	return s.submitJob(e, id, tasks, run, patience, true)
}

func (s *sim) submitJob(e *entry, id string, tasks int, run, patience time.Duration, once bool) *submission {
	sub := &submission{once: once, id: id, number: len(s.subs), tasks: tasks, run: run, entry: e, life: e.life, deadline: s.now.Add(patience)}
	if id == "" {
		sub.id = fmt.Sprint("job", sub.number)
		if once {
			sub.id = s.newID()
		}
	}
	s.subs = append(s.subs, sub)
	job := rrtask.Job{ID: sub.id, Tenant: fmt.Sprint("t", sub.number%3), Class: "cut", Service: "torri", Deadline: sub.deadline, NonIdempotent: once, IsRetry: once && id != ""}
	if id != "" {
		job.Tenant = fmt.Sprint("t", s.first(id).number%3)
	}
	for i := range tasks {
		job.Tasks = append(job.Tasks, rrtask.Task{Index: i, Body: fmt.Append(nil, sub.number), DeclaredRunTime: run / time.Duration(1+s.rnd.IntN(4))})
	}
	s.after(s.between(0, time.Millisecond), func() {
		e.do(sub.life, func() { e.step(&SubmitJob{Token: rrcoord.CallerID(sub.number + 1), Job: job}) })
	})
	return sub
}

// first returns the first submission with an id.
func (s *sim) first(id string) *submission {
	for _, sub := range s.subs {
		if sub.id == id {
			return sub
		}
	}
	return nil
}

func (s *sim) subOf(body []byte) *submission {
	n, err := strconv.Atoi(string(body))
	if err != nil {
		s.fail(wholeAnswer, "a task has the body %q", body)
	}
	return s.subs[n]
}

// leaveCaller lets a caller go away.
func (s *sim) leaveCaller(sub *submission) {
	if sub.answered {
		return
	}
	sub.gone = true
	sub.entry.do(sub.life, func() { sub.entry.step(&CallerDisconnected{Token: rrcoord.CallerID(sub.number + 1), ID: sub.id}) })
}

// answered checks an answer of an entry to its callers.
func (s *sim) answered(e *entry, f rrcoord.JobAnswer) {
	f = s.spoil(f)
	s.note("answer %s %v %d", f.Answer.RequestID, f.Answer.Code, len(f.Callers))
	for _, tok := range f.Callers {
		if tok >= joinToken {
			s.reply(CallID(tok-joinToken), f.Answer)
			continue
		}
		sub := s.subs[tok-1]
		if sub.entry != e || sub.life != e.life || sub.id != f.Answer.RequestID {
			s.fail(ownAnswer, "%s answered %s to the caller of %s at %s", e.Name, f.Answer.RequestID, sub.id, sub.entry.Name)
		}
		if sub.answered {
			s.fail(ownAnswer, "%s was answered twice", sub.id)
		}
		sub.answered = true
		if sub.gone {
			continue // crossed the caller's leaving; nobody hears it
		}
		s.checkAnswer(sub, f.Answer)
		if sub.once && f.Answer.Code != rrcode.Complete {
			s.retryOnce(sub, sub.tries+1)
		}
		if late := s.now.Sub(s.due(sub)); late > graceTime && e.thawed.Before(sub.deadline) {
			s.fail(answeredInDue, "%s was answered %v after its deadline", sub.id, late)
		}
		if sub.wants && f.Answer.Code != rrcode.Complete {
			h, _ := e.node.Explain(sub.id)
			s.fail(serves, "%s of a healthy fleet ended with %v: %s: %+v", sub.id, f.Answer.Code, f.Answer.Detail, h.Events)
		}
	}
}

// due returns the latest deadline of the submissions with the id of sub: a caller
// that joins a running job waits for that job.
func (s *sim) due(sub *submission) time.Time {
	at := sub.deadline
	for _, o := range s.subs {
		if o.id == sub.id && o.deadline.After(at) {
			at = o.deadline
		}
	}
	return at
}

// spoil applies the deliberate faults of answers.
func (s *sim) spoil(f rrcoord.JobAnswer) rrcoord.JobAnswer {
	switch {
	case len(f.Callers) == 0:
	case s.mutate == answerCut && f.Answer.Code == rrcode.Complete:
		f.Answer.Results = f.Answer.Results[:len(f.Answer.Results)-1]
	case s.mutate == answerSwapped && int(f.Callers[0]) < len(s.subs):
		f.Callers = []rrcoord.CallerID{f.Callers[0] + 1}
	case s.mutate == answerTwice:
		f.Callers = append(f.Callers, f.Callers[0])
	case s.mutate == refusalLie && f.Answer.Code.Class() == rrcode.ClassMayHaveRun:
		f.Answer.Code = rrcode.Overloaded
	}
	return f
}

// checkAnswer checks that an answer is whole and true.
func (s *sim) checkAnswer(sub *submission, a rrtask.Answer) {
	switch a.Code.Class() {
	case rrcode.ClassNone:
		s.fail(wholeAnswer, "%s was answered without a code", sub.id)
	case rrcode.ClassComplete:
		s.checkComplete(sub, a)
		return
	case rrcode.ClassNotRun:
		sub.notRun = true
		if sub.started || sub.once && s.ran[sub.id] {
			s.fail(trueRefusal, "%s was answered %v after a start", sub.id, a.Code)
		}
	}
	if len(a.Results) > 0 {
		s.fail(wholeAnswer, "%s failed with %d results", sub.id, len(a.Results))
	}
}

func (s *sim) checkComplete(sub *submission, a rrtask.Answer) {
	if len(a.Results) == 0 {
		s.fail(wholeAnswer, "%s is complete without results", sub.id)
	}
	body, _, _ := bytes.Cut(a.Results[0].Body, []byte("="))
	ran := s.subOf(body)
	if ran.id != sub.id || len(a.Results) != ran.tasks {
		s.fail(wholeAnswer, "%s is complete with %d results of %s, want %d", sub.id, len(a.Results), ran.id, ran.tasks)
	}
	for i, r := range a.Results {
		if r.Index != i || r.Code != rrcode.Complete || !bytes.Equal(r.Body, output(body, i)) {
			s.fail(wholeAnswer, "%s has at %d the result %d %v %q", sub.id, i, r.Index, r.Code, r.Body)
		}
	}
}

// fault is one thing that goes wrong.
type fault struct {
	At   int // milliseconds
	Kind int
	On   int // entry, minion or zone
	For  int // milliseconds
}

// load is one job.
type load struct {
	At, On, Tasks, Run, Patience int
	Again, Gone, Cancel          int // milliseconds after At; zero for never
	Once                         bool
}

// scenario is what rapid draws. Noise of single messages comes from Seed.
type scenario struct {
	Seed                  uint64
	Noise                 int // mishaps per thousand messages
	Zones, Entries, Slots int
	Minions               int
	Faults                []fault
	Loads                 []load
}

// busyTime is how long faults begin and jobs come.
const busyTime = 20 * time.Second

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func drawScenario(t *rapid.T) scenario {
	end := int(busyTime / time.Millisecond)
	drawFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{rapid.IntRange(0, end).Draw(t, "at"), rapid.IntRange(0, len(faults)-1).Draw(t, "kind"),
			rapid.IntRange(0, 99).Draw(t, "on"), rapid.IntRange(1, 12000).Draw(t, "for")}
	})
	sometimes := func(t *rapid.T, name string) int {
		if rapid.IntRange(0, 7).Draw(t, name) > 0 {
			return 0
		}
		return rapid.IntRange(1, 2000).Draw(t, name+" at")
	}
	drawLoad := rapid.Custom(func(t *rapid.T) load {
		return load{rapid.IntRange(2000, end).Draw(t, "at"), rapid.IntRange(0, 99).Draw(t, "on"),
			rapid.SampledFrom([]int{1, 2, 5, 40, 150}).Draw(t, "tasks"), rapid.IntRange(20, 1500).Draw(t, "run"),
			rapid.IntRange(100, 15000).Draw(t, "patience"),
			sometimes(t, "again"), sometimes(t, "gone"), sometimes(t, "cancel"), rapid.IntRange(0, 3).Draw(t, "once") == 0}
	})
	return scenario{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Noise:   rapid.SampledFrom([]int{0, 1, 10, 50}).Draw(t, "noise"),
		Zones:   rapid.IntRange(2, 4).Draw(t, "zones"),
		Entries: rapid.IntRange(3, 8).Draw(t, "entries"),
		Slots:   rapid.IntRange(1, 8).Draw(t, "slots"),
		Minions: rapid.IntRange(2, 16).Draw(t, "minions"),
		Faults:  drawSome(t, drawFault, "faults", 16),
		Loads:   drawSome(t, drawLoad, "loads", 60),
	}
}

// drawSome draws up to most values; lengths are spread evenly.
func drawSome[T any](t *rapid.T, of *rapid.Generator[T], name string, most int) []T {
	n := rapid.IntRange(0, most).Draw(t, "number of "+name)
	return rapid.SliceOfN(of, n, n).Draw(t, name)
}

// build returns the fleet of a scenario.
func (sc scenario) build() *sim {
	s := newSim(sc.Seed, float64(sc.Noise)/1000)
	s.runs = make(map[string]int)
	for i := range sc.Minions {
		m := &minion{listed: true}
		m.Minion = rrtask.Minion{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("m", i), Zone: zone(i % sc.Zones), Service: "torri", Slots: sc.Slots}
		s.minions = append(s.minions, m)
	}
	for i := range sc.Entries {
		e := &entry{s: s}
		e.Entry = rrtask.Entry{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i), Zone: zone(i % sc.Zones)}
		s.entries = append(s.entries, e)
		s.after(s.between(0, time.Second), e.boot)
	}
	for _, f := range sc.Faults {
		s.after(ms(f.At), func() { faults[f.Kind](s, f) })
	}
	for _, l := range sc.Loads {
		s.after(ms(l.At), func() { s.load(l) })
	}
	return s
}

func zone(i int) string { return string(rune('a' + i)) }

// load submits a job, and what comes after it.
func (s *sim) load(l load) {
	e := s.entries[l.On%len(s.entries)]
	if !e.alive {
		return
	}
	sub := s.submitJob(e, "", l.Tasks, ms(l.Run), ms(l.Patience), l.Once)
	if l.Again > 0 {
		s.after(ms(l.Again), func() {
			if l.Once { // gives up on the first entry; docs/CLAIMS.md asks for that
				s.leaveCaller(sub)
				s.retryOnce(sub, 1)
			} else if e.alive {
				s.submit(e, sub.id, l.Tasks, ms(l.Run), ms(l.Patience))
			}
		})
	}
	if l.Gone > 0 {
		s.after(ms(l.Gone), func() { s.leaveCaller(sub) })
	}
	if l.Cancel > 0 {
		s.after(ms(l.Cancel), func() {
			e.do(sub.life, func() { e.step(&CancelJobs{Tenant: fmt.Sprint("t", sub.number%3), IDs: []string{sub.id}}) })
		})
	}
}

// Kinds of faults, places in faults.
const (
	entryKill = iota
	entryFreeze
	entryLeave
	minionKill
	minionLeave
	minionBreak
	zoneCut
	oneWayCut
	platformCut
	minionHide
	newConfig
)

// faults are the kinds of things that go wrong. Each mends itself.
var faults = []func(s *sim, f fault){
	killEntry, freezeEntry, leaveEntry, killMinion, leaveMinion, breakMinion,
	cutZones, cutOneWay, cutPlatform, hideMinion, configure,
}

// play runs a whole scenario: faults, healing, jobs on the healed fleet.
func (s *sim) play() {
	s.run(busyTime + 12*time.Second)
	s.heal()
	s.run(settleTime + 5*time.Second)
	s.checkAnswered()
	s.show(s.entries[0], rrconf.Config{Version: s.version + 1, Preset: rrconf.Ordinary, AllowUnlisted: true})
	s.run(reachTime)
	s.checkConfig()
	s.run(30 * time.Second)
	for i, e := range s.entries {
		s.submit(e, "", 1+20*i, 100*time.Millisecond, time.Minute).wants = true
	}
	s.run(time.Minute + graceTime)
	s.checkAnswered()
	s.checkIdle()
}

// checkConfig asserts that the newest configuration is in force everywhere.
func (s *sim) checkConfig() {
	for _, e := range s.entries {
		if got := e.node.Config().Version; got != s.version+1 {
			s.fail(neverReverts, "%s has version %d, want %d", e.Name, got, s.version+1)
		}
	}
}

// checkAnswered asserts that all callers have their answers.
func (s *sim) checkAnswered() {
	for _, sub := range s.subs {
		lives := sub.entry.alive && sub.entry.life == sub.life
		if lives && !sub.gone && !sub.answered {
			s.fail(answeredInDue, "%s was never answered by %s", sub.id, sub.entry.Name)
		}
	}
}

// runsPerJob bounds the batch messages of one job, resends included.
const runsPerJob = 60

// checkIdle asserts that nothing is left over, and counts messages.
func (s *sim) checkIdle() {
	for _, sub := range s.subs {
		if n := s.runs[sub.id]; n > runsPerJob {
			s.fail(fewMessages, "%s took %d batch messages", sub.id, n)
		}
	}
	for _, e := range s.entries {
		if n := e.node.coord.OpenJobs() + e.node.coord.RemoteBatches() + e.node.served.open(); n != 0 {
			s.fail(answeredInDue, "%s still has %d jobs and batches", e.Name, n)
		}
	}
}

// check plays a scenario and returns the promise that it broke, if any.
func (sc scenario) check(m mutation) (s *sim, v *violation) {
	s = sc.build()
	s.mutate = m
	rrinvariant.SetViolationHandler(func(i *rrinvariant.Invariant) { s.fail(insideChecks, "%s", i.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	defer func() {
		if r := recover(); r != nil {
			broken, ok := r.(violation)
			if !ok {
				panic(r)
			}
			v = &broken
		}
	}()
	s.play()
	return s, nil
}

// explore checks random scenarios and returns the steps run.
func explore(t *testing.T, seed uint64, checks int) (steps int) {
	setFlag(t, "rapid.seed", fmt.Sprint(seed))
	setFlag(t, "rapid.checks", fmt.Sprint(checks))
	setFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		s, v := drawScenario(t).check(noMutation)
		steps += s.steps
		if v != nil {
			t.Fatalf("broken: %s: %s", v.promise, v.text)
		}
	})
	return steps
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

func TestFleet(t *testing.T) {
	const seed, checks = 1, 8
	t.Logf("seed %d: %d scenarios, %d steps", seed, checks, explore(t, seed, checks))
}

// TestFleetLong runs for the time of the flag -long, with a new seed each round.
func TestFleetLong(t *testing.T) {
	if *long == 0 {
		t.Skip("needs -long")
	}
	steps, begun := 0, time.Now()
	for seed := uint64(1000); time.Since(begun) < *long && !t.Failed(); seed++ {
		steps += explore(t, seed, 50)
		t.Logf("seed %d: %d steps so far", seed, steps)
	}
}

// TestRegressions plays the scenarios that have found a fault.
func TestRegressions(t *testing.T) {
	tests := []struct {
		name string
		scenario
	}{
		{"keeper without minions hands back at once, again and again", scenario{Seed: 0x7fffff, Zones: 4, Entries: 6, Slots: 6, Minions: 2,
			Loads: []load{{At: 2930, On: 4, Tasks: 150, Run: 1500, Patience: 10467}}}},
		{"entry restarts without a list and hands back while others work", scenario{Seed: 1, Zones: 2, Entries: 3, Slots: 1, Minions: 2,
			Faults: []fault{{At: 1000, Kind: platformCut, On: 0, For: 18000}, {At: 1500, Kind: entryKill, On: 0, For: 100}},
			Loads:  []load{{At: 6000, On: 1, Tasks: 150, Run: 40, Patience: 13000}}}},
		{"entry that was frozen sends to a minion that has left meanwhile", func() scenario {
			return busy(0, 4, fault{At: 5000, Kind: entryFreeze, On: 0, For: 5000}, fault{At: 5100, Kind: minionLeave, On: 0, For: 12000},
				fault{At: 5100, Kind: minionLeave, On: 2, For: 12000}, fault{At: 5100, Kind: minionLeave, On: 4, For: 12000})
		}()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, v := test.check(noMutation); v != nil {
				t.Errorf("broken: %s: %s", v.promise, v.text)
			}
		})
	}
}

// TestDeterministic checks that a scenario always takes the same course.
func TestDeterministic(t *testing.T) {
	sc := rapid.Custom(drawScenario).Example(3)
	a, _ := sc.check(noMutation)
	b, _ := sc.check(noMutation)
	if a.trace != b.trace || a.steps != b.steps {
		t.Errorf("got %x after %d steps, want %x after %d", b.trace, b.steps, a.trace, a.steps)
	}
}
