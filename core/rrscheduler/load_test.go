package rrscheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rattanring/core/rrtask"
)

// jobKind is one kind of job of the simulated mix: many check jobs of two tasks, some quick jobs of
// eight short tasks, and few long jobs.
type jobKind struct {
	name          string
	jobsPerSecond float64
	tasks         int
	meanRunTime   time.Duration
	millicores    uint32
	priority      int
}

var jobMix = []jobKind{
	{"quick", 11.5, 8, 60 * time.Millisecond, 27_000, 0},
	{"long", 2.1, 4, 900 * time.Millisecond, 27_000, 2},
	{"check", 33.3, 2, 200 * time.Millisecond, 27_000, 1},
}

// outcomeCounts counts the jobs of one kind by outcome.
type outcomeCounts struct {
	submitted, inTime, late, refused, failed int
	refusedLate                              int // refused after more than half of the objective plus 50 ms
	abandonedAtDeadline                      int // abandoned only at the deadline
}

// loadRun runs the job mix on minions and counts the outcomes.
type loadRun struct {
	*world
	counts      map[string]*outcomeCounts
	objectives  map[string]time.Duration // objective of each job by its true run time
	forwardedIn map[string]bool          // jobs that another zone forwarded here
	jobCount    int
	idSuffix    string // of its job IDs
	traffic     *rand.Rand
}

func newLoadRun(t *testing.T, minions int) *loadRun {
	return newLoadRunWithSeed(t, 7, minions)
}

func newLoadRunWithSeed(t *testing.T, seed uint64, minions int) *loadRun {
	l := &loadRun{world: newWorld(t, seed, minions), counts: make(map[string]*outcomeCounts), objectives: make(map[string]time.Duration), forwardedIn: make(map[string]bool)}
	l.traffic = l.rnd
	for _, k := range jobMix {
		l.counts[k.name] = &outcomeCounts{}
	}
	l.advance(syncTime)
	return l
}

// generate submits jobs for d, at the usual rates times factor.
func (l *loadRun) generate(d time.Duration, factor float64, edit func(k *jobKind, j *fakeJob)) {
	end := l.now.Add(d)
	next := make([]time.Time, len(jobMix))
	for i := range jobMix {
		next[i] = l.now.Add(l.nextGap(&jobMix[i], factor))
	}
	for l.now.Before(end) {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		l.advance(next[first].Sub(l.now))
		l.submitJob(&jobMix[first], edit)
		next[first] = l.now.Add(l.nextGap(&jobMix[first], factor))
	}
}

func (l *loadRun) nextGap(k *jobKind, factor float64) time.Duration {
	return time.Duration(l.traffic.ExpFloat64() / (k.jobsPerSecond * factor) * float64(time.Second))
}

// lognormal draws a log-normal factor with mean 1; sigma is the deviation of its logarithm.
func (l *loadRun) lognormal(sigma float64) float64 {
	return math.Exp(l.traffic.NormFloat64()*sigma - sigma*sigma/2)
}

func (l *loadRun) submitJob(k *jobKind, edit func(*jobKind, *fakeJob)) {
	l.jobCount++
	id := fmt.Sprintf("%s%05d%s", k.name, l.jobCount, l.idSuffix)
	runTime := time.Duration(float64(k.meanRunTime) * l.lognormal(0.4))
	job := l.newJob(id, max(1, int(float64(k.tasks)*l.lognormal(0.4)+0.5)), time.Duration(float64(runTime)*l.lognormal(0.4)))
	job.Queue, job.Priority = k.name, k.priority
	job.Phases[0].Resources = rrtask.Resources{MilliCores: uint32(min(41_000, float64(k.millicores)*l.lognormal(0.2)))}
	j := &fakeJob{job: job, runTime: runTime, done: make(map[TaskID]bool)}
	if edit != nil {
		edit(k, j)
	}
	l.jobs[id] = j
	l.objectives[id] = time.Duration(job.TargetSlowdown*float64(runTime)) + job.TargetLatency
	l.submit(job, runTime)
}

// result waits for the remaining jobs and counts the outcomes.
func (l *loadRun) result() map[string]*outcomeCounts {
	l.advance(8 * time.Second)
	for id, j := range l.jobs {
		c := l.counts[j.job.Queue]
		if c == nil || j.alwaysFails || l.forwardedIn[id] {
			continue
		}
		c.submitted++
		c.count(j, l.objectives[id])
	}
	return l.counts
}

func (c *outcomeCounts) count(j *fakeJob, objective time.Duration) {
	took := j.answeredAt.Sub(j.job.ReceivedAt)
	if len(j.answers) > 0 && j.answers[0].Kind == OutcomeAbandoned && !j.answeredAt.Before(j.job.Deadline) {
		c.abandonedAtDeadline++
	}
	switch {
	case len(j.answers) == 0:
		c.failed++
	case j.answers[0].Kind == OutcomeRefused:
		c.refused++
		if took > objective/2+50*time.Millisecond {
			c.refusedLate++
		}
	case j.answers[0].Kind != OutcomeCompleted || took > valueWindowFactor*objective:
		c.failed++
	case took > objective:
		c.late++
	default:
		c.inTime++
	}
}

// valueShare returns the mean value of the answers: 1 if the objective was met, a fifth if late.
func (c *outcomeCounts) valueShare() float64 {
	return (float64(c.inTime) + float64(c.late)/5) / float64(max(c.submitted, 1))
}

// checkValueShare compares the value share of all jobs and of the worst kind with their minimums.
func checkValueShare(t *testing.T, kinds map[string]*outcomeCounts, minAll, minWorst float64) {
	t.Helper()
	var sum outcomeCounts
	lowest := 1.0
	for _, k := range jobMix {
		x := kinds[k.name]
		t.Logf("%-6s %+v value share %.3f", k.name, *x, x.valueShare())
		sum.submitted += x.submitted
		sum.inTime += x.inTime
		sum.late += x.late
		sum.refusedLate += x.refusedLate
		lowest = min(lowest, x.valueShare())
	}
	t.Logf("value share %.3f, worst kind %.3f", sum.valueShare(), lowest)
	if got := sum.valueShare(); got < minAll {
		t.Errorf("value share: got %.3f, want at least %.3f", got, minAll)
	}
	if lowest < minWorst {
		t.Errorf("value share of the worst kind: got %.3f, want at least %.3f", lowest, minWorst)
	}
	if share := float64(sum.refusedLate) / float64(max(sum.submitted, 1)); share > 0.02 {
		t.Errorf("refused late: got %.3f of all jobs, want at most 0.02", share)
	}
}

// Under low load, all but a few jobs meet their objective.
func TestLoadLow(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(20*time.Second, 0.72, nil)
	checkValueShare(t, l.result(), 0.95, 0.9)
}

// A burst of four seconds at 1.8 times the usual load.
func TestLoadBurst(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(6*time.Second, 1, nil)
	l.generate(4*time.Second, 1.8, nil)
	l.generate(8*time.Second, 1, nil)
	checkValueShare(t, l.result(), 0.9, 0.85)
}

// Two minions fail all runs for six seconds.
func TestLoadFailingMinions(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(4*time.Second, 0.8, nil)
	l.minions["m03"].failsAll, l.minions["m11"].failsAll = true, true
	l.generate(6*time.Second, 0.8, nil)
	l.minions["m03"].failsAll, l.minions["m11"].failsAll = false, false
	l.generate(6*time.Second, 0.8, nil)
	checkValueShare(t, l.result(), 0.9, 0.85)
}

// Three minions become slower by a factor of 6.5 and recover.
func TestLoadSlowMinions(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(4*time.Second, 0.8, nil)
	for _, id := range []string{"m01", "m06", "m12"} {
		l.minions[id].speed = 1 / 6.5
	}
	l.generate(6*time.Second, 0.8, nil)
	for _, id := range []string{"m01", "m06", "m12"} {
		l.minions[id].speed = 1
	}
	l.generate(6*time.Second, 0.8, nil)
	checkValueShare(t, l.result(), 0.9, 0.85)
}

// Some check jobs always fail. The value share of the other jobs must stay high.
func TestLoadFailingJobs(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(12*time.Second, 0.8, func(k *jobKind, j *fakeJob) {
		j.alwaysFails = k.name == "check" && l.rnd.Float64() < 0.06
	})
	checkValueShare(t, l.result(), 0.9, 0.85)
}

// Some callers cancel early, which frees the capacity of their jobs at once.
func TestLoadCancels(t *testing.T) {
	l := newLoadRun(t, 16)
	l.generate(12*time.Second, 1, func(_ *jobKind, j *fakeJob) {
		if l.rnd.Float64() < 0.3 {
			id := j.job.ID
			l.after(80*time.Millisecond, func() {
				l.step(&JobCancelRequested{JobID: id})
				j.job.Queue = "canceled" // not a kind of jobMix, so that result leaves the job out
			})
		}
	})
	checkValueShare(t, l.result(), 0.9, 0.85)
}

// Minions carry out some commands late, and some answers are lost.
func TestLoadLostAnswers(t *testing.T) {
	l := newLoadRun(t, 16)
	l.faults.delayed, l.faults.lostAnswer = 0.05, 0.05
	l.generate(12*time.Second, 0.72, nil)
	checkValueShare(t, l.result(), 0.9, 0.7)
}

// Minions carry out some commands late, and some answers are lost, including answers to polls. The
// scheduler polls again for finished runs that a lost answer would have listed, so that small jobs
// meet their objective.
func TestLoadLostPollAnswers(t *testing.T) {
	var quickMean, worstMean float64
	const runCount = 8
	for seed := range uint64(runCount) {
		l := newLoadRunWithSeed(t, seed, 16)
		l.faults.delayed, l.faults.lostAnswer = 0.05, 0.05
		l.generate(8*time.Second, 0.72, nil)
		kinds := l.result()
		worst := 1.0
		for _, k := range jobMix {
			worst = min(worst, kinds[k.name].valueShare())
		}
		worstMean += worst / runCount
		quickMean += kinds["quick"].valueShare() / runCount
	}
	t.Logf("mean value share of quick jobs %.3f, of the worst kind %.3f", quickMean, worstMean)
	if worstMean < 0.8 {
		t.Errorf("mean value share of the worst kind: got %.3f, want at least 0.800", worstMean)
	}
}

// A burst exceeds the fleet's capacity for some seconds. The scheduler must complete started jobs
// before it starts others, and abandon a job as soon as it can't complete in time, not only at its
// deadline. A job must not be queued past its objective, behind all arriving jobs, only to be refused.
func TestLoadOverload(t *testing.T) {
	var abandonedAtDeadline, refusedLate, submitted int
	for seed := range uint64(4) {
		l := newLoadRunWithSeed(t, seed, 16)
		l.generate(3*time.Second, 1, nil)
		l.generate(4*time.Second, 2.5, nil)
		kinds := l.result()
		for _, k := range jobMix {
			t.Logf("seed %d: %-6s %+v value share %.3f", seed, k.name, *kinds[k.name], kinds[k.name].valueShare())
			abandonedAtDeadline += kinds[k.name].abandonedAtDeadline
			refusedLate += kinds[k.name].refusedLate
			submitted += kinds[k.name].submitted
		}
	}
	t.Logf("abandoned at the deadline: %d of %d, refused late: %d", abandonedAtDeadline, submitted, refusedLate)
	if share := float64(refusedLate) / float64(submitted); share > 0.02 {
		t.Errorf("refused late: got %d of %d jobs, want at most 0.02 of them", refusedLate, submitted)
	}
	if share := float64(abandonedAtDeadline) / float64(submitted); share > 0.002 {
		t.Errorf("abandoned at the deadline: got %d of %d jobs, want at most 0.002 of them", abandonedAtDeadline, submitted)
	}
}
