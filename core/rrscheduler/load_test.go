package rrscheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

// kind is a kind of job of the mix that is played here: many small jobs that are wanted at
// once, some of medium size, few large ones.
type kind struct {
	name     string
	rate     float64 // jobs a second
	tasks    int
	work     time.Duration // mean
	cores    uint32
	priority int
}

var mix = []kind{
	{"quick", 11.5, 8, 60 * time.Millisecond, 27_000, 0},
	{"long", 2.1, 4, 900 * time.Millisecond, 27_000, 2},
	{"check", 33.3, 2, 200 * time.Millisecond, 27_000, 1},
}

// tally counts the jobs of one kind.
type tally struct {
	asked, inTime, late, refused, failed int
	heldRefused                          int // refused after more than a quarter of the objective and 20 ms
	heldToEnd                            int // given up only when their callers stopped waiting
}

// load plays the mix on minions and counts what callers get.
type load struct {
	*world
	kinds   map[string]*tally
	objects map[string]time.Duration // objective of each job by its true work
	guests  map[string]bool          // jobs that another zone's keeper forwarded
	n       int
	suffix  string // of the names of its jobs
	dice    *rand.Rand
}

func newLoad(t *testing.T, minions int) *load {
	return newLoadFrom(t, 7, minions)
}

func newLoadFrom(t *testing.T, seed uint64, minions int) *load {
	l := &load{world: newWorld(t, seed, minions), kinds: make(map[string]*tally), objects: make(map[string]time.Duration), guests: make(map[string]bool)}
	l.dice = l.rnd
	for _, k := range mix {
		l.kinds[k.name] = &tally{}
	}
	l.run(settleTime)
	return l
}

// play hands jobs in for d at a multiple of the usual rates.
func (l *load) play(d time.Duration, times float64, edit func(k *kind, j *fakeJob)) {
	end := l.now.Add(d)
	next := make([]time.Time, len(mix))
	for i := range mix {
		next[i] = l.now.Add(l.gap(&mix[i], times))
	}
	for l.now.Before(end) {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		l.run(next[first].Sub(l.now))
		l.hand(&mix[first], edit)
		next[first] = l.now.Add(l.gap(&mix[first], times))
	}
}

func (l *load) gap(k *kind, times float64) time.Duration {
	return time.Duration(l.dice.ExpFloat64() / (k.rate * times) * float64(time.Second))
}

// spread draws around one, as a logarithm with the deviation s.
func (l *load) spread(s float64) float64 {
	return math.Exp(l.dice.NormFloat64()*s - s*s/2)
}

func (l *load) hand(k *kind, edit func(*kind, *fakeJob)) {
	l.n++
	id := fmt.Sprintf("%s%05d%s", k.name, l.n, l.suffix)
	work := time.Duration(float64(k.work) * l.spread(0.4))
	job := l.newJob(id, max(1, int(float64(k.tasks)*l.spread(0.4)+0.5)), time.Duration(float64(work)*l.spread(0.4)))
	job.Queue, job.Priority = k.name, k.priority
	job.Phases[0].Resources = rrtask.Resources{MilliCores: uint32(min(41_000, float64(k.cores)*l.spread(0.2)))}
	j := &fakeJob{job: job, work: work, done: make(map[TaskID]bool)}
	if edit != nil {
		edit(k, j)
	}
	l.jobs[id] = j
	l.objects[id] = time.Duration(job.TargetSlowdown*float64(work)) + job.TargetLatency
	l.submit(job, work)
}

// result ends the play and counts.
func (l *load) result() map[string]*tally {
	l.run(8 * time.Second)
	for id, j := range l.jobs {
		t := l.kinds[j.job.Queue]
		if t == nil || j.poison || l.guests[id] {
			continue
		}
		t.asked++
		t.count(j, l.objects[id])
	}
	return l.kinds
}

func (t *tally) count(j *fakeJob, objective time.Duration) {
	took := j.at.Sub(j.job.ReceivedAt)
	if len(j.answers) > 0 && j.answers[0].Kind == OutcomeAbandoned && !j.at.Before(j.job.Deadline) {
		t.heldToEnd++
	}
	switch {
	case len(j.answers) == 0:
		t.failed++
	case j.answers[0].Kind == OutcomeRefused:
		t.refused++
		if took > objective/2+50*time.Millisecond {
			t.heldRefused++
		}
	case j.answers[0].Kind != OutcomeCompleted || took > lateFactor*objective:
		t.failed++
	case took > objective:
		t.late++
	default:
		t.inTime++
	}
}

// credit is the share of the jobs that were answered in time, late ones counting a fifth.
func (t *tally) credit() float64 {
	return (float64(t.inTime) + float64(t.late)/5) / float64(max(t.asked, 1))
}

// check compares the credit of all jobs and of the worst kind with their bounds.
func check(t *testing.T, kinds map[string]*tally, all, worst float64) {
	t.Helper()
	var sum tally
	least := 1.0
	for _, k := range mix {
		x := kinds[k.name]
		t.Logf("%-6s %+v credit %.3f", k.name, *x, x.credit())
		sum.asked += x.asked
		sum.inTime += x.inTime
		sum.late += x.late
		sum.heldRefused += x.heldRefused
		least = min(least, x.credit())
	}
	t.Logf("credit %.3f, worst kind %.3f", sum.credit(), least)
	if got := sum.credit(); got < all {
		t.Errorf("credit: got %.3f, want at least %.3f", got, all)
	}
	if least < worst {
		t.Errorf("credit of the worst kind: got %.3f, want at least %.3f", least, worst)
	}
	if share := float64(sum.heldRefused) / float64(max(sum.asked, 1)); share > 0.02 {
		t.Errorf("refused late: got %.3f of all jobs, want at most 0.02", share)
	}
}

// A calm day: nothing is refused and all but a few jobs are in time.
func TestLoadCalm(t *testing.T) {
	l := newLoad(t, 16)
	l.play(20*time.Second, 0.72, nil)
	check(t, l.result(), 0.95, 0.9)
}

// Many users at once: four seconds at 1.8 times the usual load.
func TestLoadBurst(t *testing.T) {
	l := newLoad(t, 16)
	l.play(6*time.Second, 1, nil)
	l.play(4*time.Second, 1.8, nil)
	l.play(8*time.Second, 1, nil)
	check(t, l.result(), 0.9, 0.85)
}

// Minions that fail all they start, for a part of the day.
func TestLoadFailingMinions(t *testing.T) {
	l := newLoad(t, 16)
	l.play(4*time.Second, 0.8, nil)
	l.minions["m03"].fails, l.minions["m11"].fails = true, true
	l.play(6*time.Second, 0.8, nil)
	l.minions["m03"].fails, l.minions["m11"].fails = false, false
	l.play(6*time.Second, 0.8, nil)
	check(t, l.result(), 0.9, 0.85)
}

// Minions that turn slow by 6.5 and recover.
func TestLoadSlowMinions(t *testing.T) {
	l := newLoad(t, 16)
	l.play(4*time.Second, 0.8, nil)
	for _, id := range []string{"m01", "m06", "m12"} {
		l.minions[id].speed = 1 / 6.5
	}
	l.play(6*time.Second, 0.8, nil)
	for _, id := range []string{"m01", "m06", "m12"} {
		l.minions[id].speed = 1
	}
	l.play(6*time.Second, 0.8, nil)
	check(t, l.result(), 0.9, 0.85)
}

// Jobs that can never be done among the others.
func TestLoadPoison(t *testing.T) {
	l := newLoad(t, 16)
	l.play(12*time.Second, 0.8, func(k *kind, j *fakeJob) {
		j.poison = k.name == "check" && l.rnd.Float64() < 0.06
	})
	check(t, l.result(), 0.9, 0.85)
}

// Callers that leave early free their room at once.
func TestLoadCancels(t *testing.T) {
	l := newLoad(t, 16)
	l.play(12*time.Second, 1, func(_ *kind, j *fakeJob) {
		if l.rnd.Float64() < 0.3 {
			id := j.job.ID
			l.after(80*time.Millisecond, func() {
				l.step(&JobCancelRequested{JobID: id})
				j.job.Queue = "gone"
			})
		}
	})
	check(t, l.result(), 0.9, 0.85)
}

// Orders that are carried out late, and answers that are lost.
func TestLoadLostOrders(t *testing.T) {
	l := newLoad(t, 16)
	l.faults.late, l.faults.lost = 0.05, 0.05
	l.play(12*time.Second, 0.72, nil)
	check(t, l.result(), 0.9, 0.7)
}

// Orders that are carried out late, and answers that are lost, holds among them: ends
// that a lost hold would have told of are looked for, so that small jobs are in time.
func TestLoadLostHolds(t *testing.T) {
	var sum, least float64
	const plays = 8
	for seed := range uint64(plays) {
		l := newLoadFrom(t, seed, 16)
		l.faults.late, l.faults.lost = 0.05, 0.05
		l.play(8*time.Second, 0.72, nil)
		kinds := l.result()
		worst := 1.0
		for _, k := range mix {
			worst = min(worst, kinds[k.name].credit())
		}
		least += worst / plays
		sum += kinds["quick"].credit() / plays
	}
	t.Logf("mean credit of quick jobs %.3f, of the worst kind %.3f", sum, least)
	if least < 0.8 {
		t.Errorf("mean credit of the worst kind: got %.3f, want at least 0.800", least)
	}
}

// A burst that is larger than the fleet for some seconds: jobs whose first tasks have
// started are finished before others are begun, and one that can't be finished any more
// is given up then, not when its caller's patience ends. Nor does a job wait past its
// objective to be refused, while all that comes in goes before it.
func TestLoadOverload(t *testing.T) {
	var held, late, asked int
	for seed := range uint64(4) {
		l := newLoadFrom(t, seed, 16)
		l.play(3*time.Second, 1, nil)
		l.play(4*time.Second, 2.5, nil)
		kinds := l.result()
		for _, k := range mix {
			t.Logf("seed %d: %-6s %+v credit %.3f", seed, k.name, *kinds[k.name], kinds[k.name].credit())
			held += kinds[k.name].heldToEnd
			late += kinds[k.name].heldRefused
			asked += kinds[k.name].asked
		}
	}
	t.Logf("held to the end: %d of %d, refused late: %d", held, asked, late)
	if share := float64(late) / float64(asked); share > 0.02 {
		t.Errorf("refused late: got %d of %d jobs, want at most 0.02 of them", late, asked)
	}
	if share := float64(held) / float64(asked); share > 0.002 {
		t.Errorf("held until the caller left: got %d of %d jobs, want at most 0.002 of them", held, asked)
	}
}
