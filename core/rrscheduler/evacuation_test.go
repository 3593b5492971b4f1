package rrscheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

// reportOtherZones reports the loads of shards whose minions are those of the world's kind.
func (w *world) reportOtherZones(loads map[string]Load) {
	profiles := make(map[string][]MinionProfile)
	for shard := range loads {
		profiles[shard] = []MinionProfile{{Service: "s", Capacity: rrtask.Resources{MilliCores: 96_000, MemoryBytes: 64 << 30}}}
	}
	w.step(&ShardProfilesReported{ByShard: profiles})
	w.step(&ShardLoadsReported{ByShard: maps.Clone(loads)})
}

// countForwards makes the world count forwarded jobs by shard.
func (w *world) countForwards() map[string]int {
	out := make(map[string]int)
	w.onForward = func(_ *fakeJob, shard string) { out[shard]++ }
	return out
}

func (w *world) expectStarts(t *testing.T, want int) {
	t.Helper()
	if w.starts != want {
		t.Errorf("starts: got %d, want %d", w.starts, want)
	}
}

const grace = 1250 * time.Millisecond

// The queue is full when the zone is evacuated. All jobs that have not started must go at once to the
// zones with room, without a queue at one of them, and those for which there is none be refused.
func TestQueueFullWhenEvacuated(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	for i := range 54 {
		job := w.newJob(fmt.Sprint("j", i), 1, 700*ms)
		job.TargetLatency, job.Deadline = 20*time.Second, w.now.Add(20*time.Second)
		w.submit(job, 700*ms)
	}
	w.advance(5 * ms)
	forwards, before := w.countForwards(), w.starts
	w.reportOtherZones(map[string]Load{
		"b": {FreeMillicores: 27_000 * 30, CapacityMillicores: 27_000 * 30}, "c": {FreeMillicores: 27_000 * 20, CapacityMillicores: 27_000 * 400},
		"full": {ExpectedWait: time.Minute, CapacityMillicores: 27_000 * 40},
	})
	w.evacuate(grace, "")
	if got := len(w.scheduler.queue); got != 0 {
		t.Errorf("queue: got %d jobs, want none", got)
	}
	if want := map[string]int{"b": 30, "c": 20}; !maps.Equal(forwards, want) {
		t.Errorf("forwards: got %v, want %v, as many as there is room", forwards, want)
	}
	if l := w.scheduler.Load(); l.CapacityMillicores != 0 || l.FreeMillicores != 0 {
		t.Errorf("load: got %+v, want no capacity", l)
	}
	w.advance(2 * time.Second)
	w.expectStarts(t, before)
	completed := 0
	for _, j := range w.jobs {
		if len(j.answers) == 1 && j.answers[0].Kind == OutcomeCompleted {
			completed++
		}
	}
	if completed != before {
		t.Errorf("completed: got %d, want the %d that ran", completed, before)
	}
}

// A job that arrives after the evacuation: it must reach a zone in use, also when it was forwarded
// here by an owner that did not know, and must be refused as not run where there is none.
func TestJobArrivesAtEvacuatedZone(t *testing.T) {
	room, none := Load{FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}, Load{}
	for _, tc := range []struct {
		name      string
		noForward bool
		loads     map[string]Load
		peers     []string
		want      JobOutcome
	}{
		{"one zone of three in use", false, map[string]Load{"b": none, "c": room}, nil, JobOutcome{Kind: OutcomeForwarded, Shard: "c", Reason: ReasonEvacuated}},
		{"forwarded here by an owner that did not know", true, map[string]Load{"b": room}, nil, JobOutcome{Kind: OutcomeForwarded, Shard: "b", Reason: ReasonEvacuated}},
		{"most room", false, map[string]Load{"b": {FreeMillicores: 1 << 18, CapacityMillicores: 1 << 20}, "c": room}, nil, JobOutcome{Kind: OutcomeForwarded, Shard: "c", Reason: ReasonEvacuated}},
		{"all zones evacuated", false, map[string]Load{"b": none, "c": none}, nil, JobOutcome{Kind: OutcomeRefused, Reason: ReasonEvacuated, RetryAfter: evacuatedRetryAfter}},
		{"peer shard of the same zone with an old load", false, map[string]Load{"/1": room}, []string{"/1"}, JobOutcome{Kind: OutcomeRefused, Reason: ReasonEvacuated, RetryAfter: evacuatedRetryAfter}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 2)
			w.advance(syncTime)
			var got JobOutcome
			w.onForward = func(_ *fakeJob, shard string) {}
			w.evacuate(0, "")
			w.reportOtherZones(tc.loads)
			w.scheduler.peerShards = tc.peers
			job := w.newJob("a", 2, 100*ms)
			job.NoForward = tc.noForward
			for _, e := range w.scheduler.Step(w.now, &JobSubmitted{CallID: 1, Job: job}) {
				if r, ok := e.(*ReplyOutcome); ok {
					got = r.Outcome
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(tc.want) {
				t.Errorf("outcome: got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// A job that has started when its zone is evacuated: runs in progress end and count; what is left
// starts in time or is given up as "may have run".
func TestStartedJobInEvacuatedZone(t *testing.T) {
	dependent := func(j *Job) {
		j.Phases = append(j.Phases, Phase{TaskCount: 1, Resources: rrtask.Resources{MilliCores: 1000}, DeclaredRunTime: 300 * ms, DependsOn: []int{0}})
	}
	for _, tc := range []struct {
		name  string
		edit  func(*Job)
		fails bool
		grace time.Duration
		want  OutcomeKind
	}{
		{"all tasks run", func(*Job) {}, false, 0, OutcomeCompleted},
		{"next phase in time", dependent, false, grace, OutcomeCompleted},
		{"next phase too late", dependent, false, 200 * ms, OutcomeAbandoned},
		{"next phase, age of the request not known", dependent, false, 0, OutcomeAbandoned},
		{"failed run, in time", func(*Job) {}, true, grace, OutcomeCompleted},
		{"failed run, too late", func(*Job) {}, true, 0, OutcomeAbandoned},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 2)
			w.advance(syncTime)
			job := w.newJob("a", 2, 300*ms)
			tc.edit(&job)
			for _, m := range w.minions {
				m.failsAll = tc.fails
			}
			j := w.submit(job, 300*ms)
			w.advance(30 * ms)
			w.evacuate(tc.grace, "")
			for _, m := range w.minions {
				m.failsAll = false
			}
			w.advance(2 * time.Second)
			if got := j.outcome(t); got.Kind != tc.want || got.Kind == OutcomeAbandoned && got.Reason != ReasonEvacuated {
				t.Errorf("outcome: got %v %v, want %v", got.Kind, got.Reason, tc.want)
			}
			for id, m := range w.minions {
				if len(m.running) > 0 {
					t.Errorf("%s: got %d runs, want none", id, len(m.running))
				}
			}
		})
	}
}

// The owner dies while its zone is evacuated. The next one must count the runs that it finds, and
// start nothing, neither for them nor for a job that it only suspects to have runs.
func TestOwnerReplacedDuringEvacuation(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	runs := w.submit(w.newJob("runs", 2, 600*ms), 600*ms)
	more := w.newJob("more", 2, 600*ms)
	more.Phases = append(more.Phases, Phase{TaskCount: 1, Resources: rrtask.Resources{MilliCores: 1000}, DependsOn: []int{0}, DeclaredRunTime: 100 * ms})
	unfinished := w.submit(more, 600*ms)
	w.advance(50 * ms)
	w.evacuate(grace, "")
	before := w.starts
	w.takeOver(false)
	w.advance(3 * time.Second)
	w.expectStarts(t, before)
	if got := runs.outcome(t); got.Kind != OutcomeCompleted {
		t.Errorf("all tasks run: got %v %v, want completed", got.Kind, got.Reason)
	}
	if got := unfinished.outcome(t); got.Kind != OutcomeAbandoned || got.Reason != ReasonEvacuated {
		t.Errorf("a phase left: got %v %v, want it given up as evacuated", got.Kind, got.Reason)
	}
}

// A minion's registration may name another zone than those of its shard's other minions. Tasks must start
// on the minions in use alone, also those of a job that has started and of one that waits for room.
func TestMinionsOfTwoZones(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.minions["m01"].info.Zone = "b"
	w.step(&MinionRegistered{Minion: w.minions["m01"].info})
	w.advance(syncTime)
	job := w.newJob("started", 2, 300*ms)
	job.Phases = append(job.Phases, Phase{TaskCount: 4, Resources: rrtask.Resources{MilliCores: 27_000}, DependsOn: []int{0}, DeclaredRunTime: 100 * ms})
	started := w.submit(job, 300*ms)
	w.advance(10 * ms)
	w.evacuate(200*ms, "")
	delete(w.startsUntil, w.scheduler) // of the whole world
	var used []string
	w.onCommand = func(e Effect) *delivery {
		if e, ok := e.(*StartRun); ok && e.MinionID != "m01" {
			used = append(used, fmt.Sprint(e.Run, " on ", e.MinionID))
		}
		return nil
	}
	waits := w.submit(w.newJob("waits", 6, 100*ms), 100*ms)
	w.advance(2 * time.Second)
	if len(used) > 0 {
		t.Errorf("starts in the evacuated zone: got %v, want none", used)
	}
	for _, j := range []*fakeJob{started, waits} {
		if got := j.outcome(t); got.Kind != OutcomeCompleted {
			t.Errorf("%s: got %v %v, want completed", j.job.ID, got.Kind, got.Reason)
		}
	}
}

// A zone is evacuated, restored and evacuated again. Minions must serve again in between, and the
// second evacuation must hold like the first.
func TestSetRemovedSetAgain(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	for i, zones := range [][]string{{""}, {"other"}, {"", "other"}, nil} {
		w.evacuate(grace, zones...)
		j := w.submit(w.newJob(fmt.Sprint("j", i), 1, 100*ms), 100*ms)
		w.advance(2 * time.Second)
		want := OutcomeCompleted
		if w.evacuated[""] {
			want = OutcomeRefused
			w.reportOtherZones(map[string]Load{"b": {}})
		}
		if got := j.outcome(t); got.Kind != want {
			t.Errorf("%v evacuated: got %v %v, want %v", zones, got.Kind, got.Reason, want)
		}
	}
}

// A caller submits a job a second time after the evacuation. It must meet its first attempt, whose
// tasks would run twice otherwise: here if that has started, and at the shard that it was forwarded to.
func TestSecondAttemptAtEvacuatedZone(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	started := w.submit(w.newJob("started", 2, 400*ms), 400*ms)
	w.advance(30 * ms)
	w.reportOtherZones(map[string]Load{"b": {FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}})
	w.evacuate(0, "")
	w.submit(started.job, 400*ms)
	var shards []string
	w.onForward = func(_ *fakeJob, shard string) { shards = append(shards, shard) }
	job := w.newJob("a", 1, 100*ms)
	job.CallerProcess, job.Submission = "entry", 1
	w.submit(job, 100*ms)
	w.reportOtherZones(map[string]Load{"b": {}, "c": {FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}})
	job.NoForward = true
	w.submit(job, 100*ms) // b was not reached
	w.reportOtherZones(map[string]Load{"b": {FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}, "c": {}})
	job.Submission = 2
	w.submit(job, 100*ms)
	if got, want := fmt.Sprint(shards), "[b c c]"; got != want {
		t.Errorf("shards of the first attempt, the same again and the second attempt: got %v, want %v", got, want)
	}
	w.advance(time.Second)
	w.expectStarts(t, 2)
	if got := len(started.answers); got != 2 || started.answers[0].Kind != OutcomeCompleted || started.answers[1].Kind != OutcomeCompleted {
		t.Errorf("started job: got answers %v, want two that say completed", started.answers)
	}
}

// A new owner that does not know the evacuated zones must start nothing for a while, and must not
// refuse for lack of room elsewhere before it knows the loads of other zones.
func TestNewOwnerAwaitsEvacuations(t *testing.T) {
	for _, tc := range []struct {
		name    string
		told    func(w *world)
		want    OutcomeKind
		startAt time.Duration // since the owner's first step
	}{
		{"told that the zone is evacuated", func(w *world) { w.evacuate(0, "") }, OutcomeForwarded, 0},
		{"told that it is in use", func(w *world) { w.evacuate(0) }, OutcomeCompleted, 200 * ms},
		{"told nothing", func(w *world) {}, OutcomeCompleted, minionListTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 0)
			w.scheduler = New(11, Options{MaxLease: maxLease, MaxStopTime: 50 * ms, AwaitEvacuations: true})
			w.addMinion("m", false)
			begin, startedAt := w.now, time.Duration(0)
			w.onCommand = func(e Effect) *delivery {
				if _, ok := e.(*StartRun); ok && startedAt == 0 {
					startedAt = w.now.Sub(begin)
				}
				return nil
			}
			w.registerMinions()
			job := w.newJob("a", 1, 100*ms)
			job.TargetLatency = time.Second
			j := w.submit(job, 100*ms)
			w.after(200*ms, func() { tc.told(w) })
			w.after(400*ms, func() {
				w.reportOtherZones(map[string]Load{"b": {FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}})
			})
			w.advance(2 * time.Second)
			if got := j.outcome(t); got.Kind != tc.want {
				t.Errorf("outcome: got %v %v, want %v", got.Kind, got.Reason, tc.want)
			}
			if (tc.startAt > 0) != (startedAt > 0) || startedAt < tc.startAt || startedAt > tc.startAt+2*TickInterval {
				t.Errorf("first start: got after %v, want after %v", startedAt, tc.startAt)
			}
		})
	}
}

// One zone of three is evacuated under load while the others have room for its jobs. Nearly all jobs must be
// served in time there; a queue at one neighbor would make them late.
func TestLoadOfEvacuatedZoneIsServed(t *testing.T) {
	got := runZones(t, func(z *zones) {
		z.generate(3*time.Second, 0.5, 0.5, 0.5)
		z.loadRuns[0].evacuate(grace, "")
		z.generate(4*time.Second, 0.5, 0.5, 0.5)
		z.loadRuns[0].evacuate(grace)
		z.generate(3*time.Second, 0.5, 0.5, 0.5)
	})
	if c := got.valueShare(); c < 0.98 {
		t.Errorf("value share: got %.4f, want at least 0.98", c)
	}
	if got.refused > 0 {
		t.Errorf("refused: got %d of %d jobs, want none", got.refused, got.submitted)
	}
}

// A run stalls on a minion of an evacuated zone in a shard that also has a minion in use. The run must be
// replaced there: the job would wait for it until its deadline otherwise.
func TestStalledRunInEvacuatedZone(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.minions["m01"].info.Zone = "b"
	w.step(&MinionRegistered{Minion: w.minions["m01"].info})
	w.minions["m00"].stalls = true
	w.advance(syncTime)
	job := w.newJob("a", 4, 300*ms)
	job.Phases[0].Resources.MilliCores = 27_000
	j := w.submit(job, 300*ms)
	w.advance(10 * ms)
	if len(w.minions["m00"].running) == 0 {
		t.Fatal("nothing runs on m00")
	}
	w.evacuate(0, "")
	delete(w.startsUntil, w.scheduler) // of the whole world
	w.advance(3 * time.Second)
	if got := j.outcome(t); got.Kind != OutcomeCompleted {
		t.Errorf("outcome: got %v %v, want completed", got.Kind, got.Reason)
	}
}

// The loads of the other zones have expired when a zone is evacuated, as after one lost heartbeat of an
// owner with free capacity. A job must not be refused before they are known again.
func TestLoadsExpiredWhenEvacuated(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime + 2*minionListTimeout)
	w.step(&ShardLoadsReported{})
	w.evacuate(0, "")
	forwards := w.countForwards()
	j := w.submit(w.newJob("a", 1, 100*ms), 100*ms)
	w.after(200*ms, func() {
		w.reportOtherZones(map[string]Load{"b": {FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}})
	})
	w.advance(time.Second)
	if forwards["b"] != 1 {
		t.Errorf("forwards: got %v and answers %v, want one to b", forwards, j.answers)
	}
}

// A job that was forwarded because of an evacuation comes back when its zone is in use again. A later
// submission of it must be served here: it would go round between the two zones otherwise.
func TestForwardedJobComesBack(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(syncTime)
	forwards := w.countForwards()
	w.reportOtherZones(map[string]Load{"b": {FreeMillicores: 1 << 20, CapacityMillicores: 1 << 20}})
	w.evacuate(0, "")
	job := w.newJob("a", 1, 100*ms)
	job.CallerProcess, job.Submission = "entry", 1
	w.submit(job, 100*ms)
	w.evacuate(0)
	job.NoForward = true
	w.submit(job, 100*ms)
	w.step(&JobCancelRequested{JobID: "a", CallerProcess: "entry", Submission: 1})
	w.advance(time.Second)
	job.Submission, job.ReceivedAt, job.Deadline = 2, w.now, w.now.Add(time.Second)
	j := w.submit(job, 100*ms)
	w.advance(time.Second)
	if got := j.answers[len(j.answers)-1]; forwards["b"] != 1 || got.Kind != OutcomeCompleted {
		t.Errorf("forwards %v, last outcome %v %v: want one and completed", forwards, got.Kind, got.Reason)
	}
}
