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

// longDuration is how long TestFleetLong runs; zero skips it.
var longDuration = flag.Duration("long", 0, "run the randomized test of a fleet for this duration")

// submission is one job that a caller submitted to one entry.
type submission struct {
	id                 string
	number             int
	tasks              int
	run                time.Duration
	entry              *entry
	incarnation        uint64
	deadline           time.Time
	callerDisconnected bool
	answered           bool
	started            bool
	answeredNotRun     bool
	nonIdempotent      bool // at most one start per task over all submissions with the ID
	tries              int  // number of earlier submissions
	mustComplete       bool // the fleet is healthy, so the answer must be complete
}

// submit submits a job to an entry, with a new ID or that of an earlier job.
func (s *sim) submit(e *entry, id string, tasks int, run, timeout time.Duration) *submission {
	return s.submitJob(e, id, tasks, run, timeout, false)
}

// submitNonIdempotent submits a non-idempotent job. If the ID is set, it is a retry.
func (s *sim) submitNonIdempotent(e *entry, id string, tasks int, run, timeout time.Duration) *submission {
	return s.submitJob(e, id, tasks, run, timeout, true)
}

func (s *sim) submitJob(e *entry, id string, tasks int, run, timeout time.Duration, nonIdempotent bool) *submission {
	sub := &submission{nonIdempotent: nonIdempotent, id: id, number: len(s.submissions), tasks: tasks, run: run, entry: e, incarnation: e.incarnation, deadline: s.now.Add(timeout)}
	if id == "" {
		sub.id = fmt.Sprint("job", sub.number)
		if nonIdempotent {
			sub.id = s.newID()
		}
	}
	s.submissions = append(s.submissions, sub)
	job := rrtask.Job{ID: sub.id, Tenant: fmt.Sprint("t", sub.number%3), Class: "cut", Service: "torri", Deadline: sub.deadline, NonIdempotent: nonIdempotent, IsRetry: nonIdempotent && id != ""}
	if id != "" {
		job.Tenant = fmt.Sprint("t", s.firstSubmission(id).number%3)
	}
	for i := range tasks {
		job.Tasks = append(job.Tasks, rrtask.Task{Index: i, Body: fmt.Append(nil, sub.number), DeclaredRunTime: run / time.Duration(1+s.rnd.IntN(4))})
	}
	s.schedule(s.randomBetween(0, time.Millisecond), func() {
		e.run(sub.incarnation, func() { e.step(&SubmitJob{Caller: rrcoord.CallerID(sub.number + 1), Job: job}) })
	})
	return sub
}

// firstSubmission returns the first submission with the ID.
func (s *sim) firstSubmission(id string) *submission {
	for _, sub := range s.submissions {
		if sub.id == id {
			return sub
		}
	}
	return nil
}

func (s *sim) submissionOf(body []byte) *submission {
	n, err := strconv.Atoi(string(body))
	if err != nil {
		s.fail(wholeAnswer, "task body %q is not the number of a submission", body)
	}
	return s.submissions[n]
}

// disconnectCaller disconnects a caller that has no answer yet.
func (s *sim) disconnectCaller(sub *submission) {
	if sub.answered {
		return
	}
	sub.callerDisconnected = true
	sub.entry.run(sub.incarnation, func() { sub.entry.step(&CallerDisconnected{Caller: rrcoord.CallerID(sub.number + 1), ID: sub.id}) })
}

// checkJobAnswer checks an entry's answer to its callers.
func (s *sim) checkJobAnswer(e *entry, a rrcoord.JobAnswer) {
	a = s.mutateAnswer(a)
	s.traceEvent("answer %s %v %d", a.Answer.RequestID, a.Answer.Code, len(a.Callers))
	for _, caller := range a.Callers {
		if caller >= attachCallerBase {
			s.reply(CallID(caller-attachCallerBase), a.Answer)
			continue
		}
		sub := s.submissions[caller-1]
		if sub.entry != e || sub.incarnation != e.incarnation || sub.id != a.Answer.RequestID {
			s.fail(ownAnswer, "%s answered %s to the caller of %s at %s", e.Name, a.Answer.RequestID, sub.id, sub.entry.Name)
		}
		if sub.answered {
			s.fail(ownAnswer, "%s was answered twice", sub.id)
		}
		sub.answered = true
		if sub.callerDisconnected {
			continue // the caller disconnected before the answer arrived
		}
		s.checkAnswer(sub, a.Answer)
		if sub.nonIdempotent && a.Answer.Code != rrcode.Complete {
			s.retryNonIdempotent(sub, sub.tries+1)
		}
		if late := s.now.Sub(s.latestDeadline(sub)); late > answerGrace && e.resumedAt.Before(sub.deadline) {
			s.fail(answeredInTime, "%s was answered %v after its deadline", sub.id, late)
		}
		if sub.mustComplete && a.Answer.Code != rrcode.Complete {
			h, _ := e.node.Explain(sub.id)
			s.fail(servesAfterFaults, "%s of a healthy fleet ended with %v: %s: %+v", sub.id, a.Answer.Code, a.Answer.Detail, h.Events)
		}
	}
}

// latestDeadline returns the latest deadline of all submissions with the ID of sub: a
// caller that is attached to a running job waits for that job.
func (s *sim) latestDeadline(sub *submission) time.Time {
	at := sub.deadline
	for _, o := range s.submissions {
		if o.id == sub.id && o.deadline.After(at) {
			at = o.deadline
		}
	}
	return at
}

// mutateAnswer applies the mutations of answers.
func (s *sim) mutateAnswer(a rrcoord.JobAnswer) rrcoord.JobAnswer {
	switch {
	case len(a.Callers) == 0:
	case s.mutation == answerTruncated && a.Answer.Code == rrcode.Complete:
		a.Answer.Results = a.Answer.Results[:len(a.Answer.Results)-1]
	case s.mutation == answerSwapped && int(a.Callers[0]) < len(s.submissions):
		a.Callers = []rrcoord.CallerID{a.Callers[0] + 1}
	case s.mutation == answerTwice:
		a.Callers = append(a.Callers, a.Callers[0])
	case s.mutation == mayHaveRunReportedNotRun && a.Answer.Code.Class() == rrcode.ClassMayHaveRun:
		a.Answer.Code = rrcode.Overloaded
	}
	return a
}

// checkAnswer checks that an answer is complete or failed, and that its code is true.
func (s *sim) checkAnswer(sub *submission, a rrtask.Answer) {
	switch a.Code.Class() {
	case rrcode.ClassNone:
		s.fail(wholeAnswer, "%s was answered without a code", sub.id)
	case rrcode.ClassComplete:
		s.checkComplete(sub, a)
		return
	case rrcode.ClassNotRun:
		sub.answeredNotRun = true
		if sub.started || sub.nonIdempotent && s.startedJobs[sub.id] {
			s.fail(notRunIsTrue, "%s was answered %v after a start", sub.id, a.Code)
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
	ran := s.submissionOf(body)
	if ran.id != sub.id || len(a.Results) != ran.tasks {
		s.fail(wholeAnswer, "%s is complete with %d results of %s, want %d", sub.id, len(a.Results), ran.id, ran.tasks)
	}
	for i, r := range a.Results {
		if r.Index != i || r.Code != rrcode.Complete || !bytes.Equal(r.Body, expectedOutput(body, i)) {
			s.fail(wholeAnswer, "%s: the result at %d has index %d, code %v and body %q", sub.id, i, r.Index, r.Code, r.Body)
		}
	}
}

// fault is one injected fault.
type fault struct {
	At       int // milliseconds
	Kind     int // index in faults
	Target   int // index of an entry, a minion or a zone
	Duration int // milliseconds
}

// jobLoad is one job of a scenario.
type jobLoad struct {
	At, Entry, Tasks, Run, Timeout              int // At, Run and Timeout in milliseconds
	ResubmitAfter, DisconnectAfter, CancelAfter int // milliseconds after At; zero for never
	NonIdempotent                               bool
}

// scenario is a random scenario. Random faults of single messages are drawn from Seed.
type scenario struct {
	Seed                  uint64
	MessageFaults         int // random faults per thousand messages
	Zones, Entries, Slots int
	Minions               int
	Faults                []fault
	Loads                 []jobLoad
}

// faultPeriod is the time in which faults begin and jobs are submitted.
const faultPeriod = 20 * time.Second

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func drawScenario(t *rapid.T) scenario {
	end := int(faultPeriod / time.Millisecond)
	drawFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{rapid.IntRange(0, end).Draw(t, "at"), rapid.IntRange(0, len(faults)-1).Draw(t, "kind"),
			rapid.IntRange(0, 99).Draw(t, "target"), rapid.IntRange(1, 12000).Draw(t, "duration")}
	})
	sometimes := func(t *rapid.T, name string) int {
		if rapid.IntRange(0, 7).Draw(t, name) > 0 {
			return 0
		}
		return rapid.IntRange(1, 2000).Draw(t, name+" at")
	}
	drawLoad := rapid.Custom(func(t *rapid.T) jobLoad {
		return jobLoad{rapid.IntRange(2000, end).Draw(t, "at"), rapid.IntRange(0, 99).Draw(t, "entry"),
			rapid.SampledFrom([]int{1, 2, 5, 40, 150}).Draw(t, "tasks"), rapid.IntRange(20, 1500).Draw(t, "run"),
			rapid.IntRange(100, 15000).Draw(t, "timeout"),
			sometimes(t, "resubmit"), sometimes(t, "disconnect"), sometimes(t, "cancel"), rapid.IntRange(0, 3).Draw(t, "non-idempotent") == 0}
	})
	return scenario{
		Seed:          rapid.Uint64().Draw(t, "seed"),
		MessageFaults: rapid.SampledFrom([]int{0, 1, 10, 50}).Draw(t, "message faults"),
		Zones:         rapid.IntRange(2, 4).Draw(t, "zones"),
		Entries:       rapid.IntRange(3, 8).Draw(t, "entries"),
		Slots:         rapid.IntRange(1, 8).Draw(t, "slots"),
		Minions:       rapid.IntRange(2, 16).Draw(t, "minions"),
		Faults:        drawUpTo(t, drawFault, "faults", 16),
		Loads:         drawUpTo(t, drawLoad, "loads", 60),
	}
}

// drawUpTo draws up to limit values, with evenly distributed lengths.
func drawUpTo[T any](t *rapid.T, of *rapid.Generator[T], name string, limit int) []T {
	n := rapid.IntRange(0, limit).Draw(t, "number of "+name)
	return rapid.SliceOfN(of, n, n).Draw(t, name)
}

// build returns the simulated fleet of a scenario.
func (sc scenario) build() *sim {
	s := newSim(sc.Seed, float64(sc.MessageFaults)/1000)
	s.runBatchCalls = make(map[string]int)
	for i := range sc.Minions {
		m := &minion{listed: true}
		m.Minion = rrtask.Minion{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("m", i), Zone: zone(i % sc.Zones), Service: "torri", Slots: sc.Slots}
		s.minions = append(s.minions, m)
	}
	for i := range sc.Entries {
		e := &entry{s: s}
		e.Entry = rrtask.Entry{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i), Zone: zone(i % sc.Zones)}
		s.entries = append(s.entries, e)
		s.schedule(s.randomBetween(0, time.Second), e.boot)
	}
	for _, f := range sc.Faults {
		s.schedule(ms(f.At), func() { faults[f.Kind](s, f) })
	}
	for _, l := range sc.Loads {
		s.schedule(ms(l.At), func() { s.submitLoad(l) })
	}
	return s
}

func zone(i int) string { return string(rune('a' + i)) }

// submitLoad submits a job and schedules its retry, disconnection and cancellation.
func (s *sim) submitLoad(l jobLoad) {
	e := s.entries[l.Entry%len(s.entries)]
	if !e.alive {
		return
	}
	sub := s.submitJob(e, "", l.Tasks, ms(l.Run), ms(l.Timeout), l.NonIdempotent)
	if l.ResubmitAfter > 0 {
		s.schedule(ms(l.ResubmitAfter), func() {
			if l.NonIdempotent { // stops waiting for the first entry, as docs/CLAIMS.md requires
				s.disconnectCaller(sub)
				s.retryNonIdempotent(sub, 1)
			} else if e.alive {
				s.submit(e, sub.id, l.Tasks, ms(l.Run), ms(l.Timeout))
			}
		})
	}
	if l.DisconnectAfter > 0 {
		s.schedule(ms(l.DisconnectAfter), func() { s.disconnectCaller(sub) })
	}
	if l.CancelAfter > 0 {
		s.schedule(ms(l.CancelAfter), func() {
			e.run(sub.incarnation, func() { e.step(&CancelJobs{Tenant: fmt.Sprint("t", sub.number%3), IDs: []string{sub.id}}) })
		})
	}
}

// Kinds of faults, indexes in faults.
const (
	entryKill = iota
	entryFreeze
	entryDrain
	minionKill
	minionDrain
	minionBreak
	zoneCut
	oneWayCut
	platformCut
	minionUnlist
	newConfig
	zoneEvacuate
)

// faults lists the functions that inject each kind of fault. Each fault ends by itself.
var faults = []func(s *sim, f fault){
	killEntry, freezeEntry, drainEntry, killMinion, drainMinion, breakMinion,
	cutZones, cutOneWay, cutPlatform, unlistMinion, changeConfig, evacuateZone,
}

// play runs a whole scenario: faults, then healing, then jobs on the healed fleet.
func (s *sim) play() {
	s.run(faultPeriod + 12*time.Second)
	s.heal()
	s.run(convergenceTime + 5*time.Second)
	s.checkAnswered()
	s.sendConfig(s.entries[0], rrconf.Config{Version: s.version + 1, Preset: rrconf.Ordinary, AllowUnlisted: true})
	s.run(configTimeout)
	s.checkConfig()
	s.run(30 * time.Second)
	for i, e := range s.entries {
		s.submit(e, "", 1+20*i, 100*time.Millisecond, time.Minute).mustComplete = true
	}
	s.run(time.Minute + answerGrace)
	s.checkAnswered()
	s.checkNothingLeft()
}

// checkConfig checks that the newest configuration is active everywhere.
func (s *sim) checkConfig() {
	for _, e := range s.entries {
		if got := e.node.Config().Version; got != s.version+1 {
			s.fail(neverReverts, "%s has version %d, want %d", e.Name, got, s.version+1)
		}
	}
}

// checkAnswered checks that all callers have their answers.
func (s *sim) checkAnswered() {
	for _, sub := range s.submissions {
		sameIncarnation := sub.entry.alive && sub.entry.incarnation == sub.incarnation
		if sameIncarnation && !sub.callerDisconnected && !sub.answered {
			s.fail(answeredInTime, "%s was never answered by %s", sub.id, sub.entry.Name)
		}
	}
}

// maxRunBatchCalls limits the Run calls of one job, including repeated calls.
const maxRunBatchCalls = 60

// checkNothingLeft checks that no jobs and batches are left, and that the number of Run
// calls is bounded.
func (s *sim) checkNothingLeft() {
	for _, sub := range s.submissions {
		if n := s.runBatchCalls[sub.id]; n > maxRunBatchCalls {
			s.fail(fewMessages, "%s took %d Run calls", sub.id, n)
		}
	}
	for _, e := range s.entries {
		if n := e.node.coordinator.OpenJobs() + e.node.coordinator.RemoteBatches() + e.node.served.openBatches(); n != 0 {
			s.fail(answeredInTime, "%s still has %d jobs and batches", e.Name, n)
		}
	}
}

// check plays a scenario and returns the property that it violated, if any.
func (sc scenario) check(m mutation) (s *sim, v *violation) {
	s = sc.build()
	s.mutation = m
	rrinvariant.SetViolationHandler(func(i *rrinvariant.Invariant) { s.fail(invariantsHold, "%s", i.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	defer func() {
		if r := recover(); r != nil {
			violated, ok := r.(violation)
			if !ok {
				panic(r)
			}
			v = &violated
		}
	}()
	s.play()
	return s, nil
}

// checkRandomScenarios checks random scenarios and returns the number of steps run.
func checkRandomScenarios(t *testing.T, seed uint64, checks int) (steps int) {
	setFlag(t, "rapid.seed", fmt.Sprint(seed))
	setFlag(t, "rapid.checks", fmt.Sprint(checks))
	setFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		s, v := drawScenario(t).check(noMutation)
		steps += s.steps
		if v != nil {
			t.Fatalf("violated: %s: %s", v.property, v.text)
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
	t.Logf("seed %d: %d scenarios, %d steps", seed, checks, checkRandomScenarios(t, seed, checks))
}

// TestFleetLong runs for the duration of the flag -long, with a new seed in each round.
func TestFleetLong(t *testing.T) {
	if *longDuration == 0 {
		t.Skip("needs -long")
	}
	steps, begun := 0, time.Now()
	for seed := uint64(1000); time.Since(begun) < *longDuration && !t.Failed(); seed++ {
		steps += checkRandomScenarios(t, seed, 50)
		t.Logf("seed %d: %d steps so far", seed, steps)
	}
}

// TestRegressions runs scenarios that once violated a property.
func TestRegressions(t *testing.T) {
	tests := []struct {
		name string
		scenario
	}{
		{"owner without minions returns tasks at once, repeatedly", scenario{Seed: 0x7fffff, Zones: 4, Entries: 6, Slots: 6, Minions: 2,
			Loads: []jobLoad{{At: 2930, Entry: 4, Tasks: 150, Run: 1500, Timeout: 10467}}}},
		{"entry restarts without an instance list and returns tasks while others are busy", scenario{Seed: 1, Zones: 2, Entries: 3, Slots: 1, Minions: 2,
			Faults: []fault{{At: 1000, Kind: platformCut, Target: 0, Duration: 18000}, {At: 1500, Kind: entryKill, Target: 0, Duration: 100}},
			Loads:  []jobLoad{{At: 6000, Entry: 1, Tasks: 150, Run: 40, Timeout: 13000}}}},
		{"resumed entry dispatches to a minion that was drained during the freeze", func() scenario {
			return busyScenario(0, 4, fault{At: 5000, Kind: entryFreeze, Target: 0, Duration: 5000}, fault{At: 5100, Kind: minionDrain, Target: 0, Duration: 12000},
				fault{At: 5100, Kind: minionDrain, Target: 2, Duration: 12000}, fault{At: 5100, Kind: minionDrain, Target: 4, Duration: 12000})
		}()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, v := test.check(noMutation); v != nil {
				t.Errorf("violated: %s: %s", v.property, v.text)
			}
		})
	}
}

// TestDeterministic checks that two runs of a scenario process the same events.
func TestDeterministic(t *testing.T) {
	sc := rapid.Custom(drawScenario).Example(3)
	a, _ := sc.check(noMutation)
	b, _ := sc.check(noMutation)
	if a.traceHash != b.traceHash || a.steps != b.steps {
		t.Errorf("got %x after %d steps, want %x after %d", b.traceHash, b.steps, a.traceHash, a.steps)
	}
}
