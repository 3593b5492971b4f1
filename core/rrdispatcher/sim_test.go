package rrdispatcher

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
	"rattanring/core/rrtask"
)

var seed = flag.Uint64("seed", 1, "seed of the simulated arrivals")

// trial describes one simulated run of one Dispatcher in virtual time.
type trial struct {
	minions  int
	slots    int                                      // of each minion
	load     float64                                  // offered work ÷ capacity
	span     time.Duration                            // time during which jobs arrive
	declared func(*rand.Rand, float64) float64        // declared run time for a true one, both in seconds
	slowdown func(minion int) float64                 // factor of run times by minion; nil for none
	fails    func(minion int, j *simJob) bool         // whether a task fails; nil for none
	hangs    func(minion int, at float64) bool        // whether a task is never answered; nil for none
	refuses  func(minion int, at float64) rrcode.Code // a code of rrcode.ClassNotRun, or zero; nil for none
	mix      func(*rand.Rand) (string, []float64)     // class and true run times of one job
}

// simJob is one job of a trial.
type simJob struct {
	class      string
	runTimes   []float64 // seconds
	arrivesAt  float64   // seconds since testStart
	unfinished int       // tasks that have not ended
	endedAt    float64   // seconds since testStart; zero until a task has ended
	failed     int       // tasks that failed or passed their deadline
	batch      Batch
}

// idealResponse returns the response time with all slots free and no message delays.
func (j *simJob) idealResponse(slots int) float64 {
	sum := 0.0
	for _, t := range j.runTimes {
		sum += t
	}
	return max(slices.Max(j.runTimes), sum/float64(slots))
}

// mixedJob draws small, medium and large jobs with tasks of 50 ms to 5 s.
func mixedJob(r *rand.Rand) (string, []float64) {
	logUniform := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, r.Float64()) }
	class, n, lo, hi := "cut", int(logUniform(50, 1700)), 0.1, 1.0
	switch p := r.Float64(); {
	case p < 0.45:
		class, n, lo, hi = "proof", 1+r.IntN(4), 0.05, 0.15
	case p < 0.85:
		class, n, lo, hi = "check", 5+r.IntN(56), 0.05, 0.4
	}
	times := make([]float64, n)
	for i := range times {
		times[i] = logUniform(lo, hi)
		if class == "cut" && r.Float64() < 0.02 {
			times[i] = logUniform(1, 5)
		}
	}
	return class, times
}

// jobs draws the arrivals of a trial.
func (tr trial) jobs(seed uint64) []*simJob {
	r := rand.New(rand.NewPCG(seed, 1))
	mean := 0.0
	for range 2000 {
		_, times := tr.mix(r)
		for _, t := range times {
			mean += t / 2000
		}
	}
	gap := mean / (tr.load * float64(tr.minions*tr.slots))
	var out []*simJob
	for at := r.ExpFloat64() * gap; at < tr.span.Seconds(); at += r.ExpFloat64() * gap {
		class, times := tr.mix(r)
		j := &simJob{class: class, runTimes: times, arrivesAt: at, unfinished: len(times)}
		j.batch = tr.batch(r, j, uint64(len(out)+1))
		out = append(out, j)
	}
	return out
}

func (tr trial) batch(r *rand.Rand, j *simJob, seq uint64) Batch {
	b := Batch{Key: BatchKey{"e1", 1, seq}, Tenant: "t" + j.class, Class: j.class, Service: "torri", AcceptedAt: timeAt(j.arrivesAt), Deadline: timeAt(j.arrivesAt + 3600)}
	for i, t := range j.runTimes {
		declared := seconds(tr.declared(r, t))
		b.RemainingWork += declared
		b.Tasks = append(b.Tasks, rrtask.Task{Index: i, DeclaredRunTime: declared})
	}
	return b
}

func timeAt(s float64) time.Time { return testStart.Add(seconds(s)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func exactRunTime(_ *rand.Rand, t float64) float64 { return t }

// event is an arrival, the end of a task, or a wake-up of the scheduler.
type event struct {
	at     float64 // seconds since testStart
	job    *simJob
	task   int
	id     uint64
	minion int // -1 for an arrival, -2 for a wake-up
	code   rrcode.Code
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// scheduler orders tasks: a Dispatcher, or a scheduler to compare it with. Times are in
// seconds since testStart.
type scheduler interface {
	add(now float64, j *simJob)
	finish(now float64, e event)
	next(now float64) []event // started tasks with job, task, id and minion
	wake(now float64) float64 // when next needs a call without an event; zero for never
}

// run simulates the arrivals with a scheduler.
func (tr trial) run(jobs []*simJob, c scheduler) {
	var q events
	for _, j := range jobs {
		j.unfinished, j.failed, j.endedAt = len(j.runTimes), 0, 0
		heap.Push(&q, event{at: j.arrivesAt, job: j, minion: -1})
	}
	for q.Len() > 0 {
		e := heap.Pop(&q).(event)
		switch {
		case e.minion == -1:
			c.add(e.at, e.job)
		case e.code.Class() == rrcode.ClassNotRun:
			c.finish(e.at, e)
		case e.minion >= 0:
			e.job.unfinished--
			e.job.endedAt = e.at
			if e.code != rrcode.Complete {
				e.job.failed++
			}
			c.finish(e.at, e)
		}
		for _, started := range c.next(e.at) {
			heap.Push(&q, tr.outcome(e.at, started))
		}
		if at := c.wake(e.at); at > e.at && q.Len() > 0 && at < q[0].at {
			heap.Push(&q, event{at: at, minion: -2})
		}
	}
}

// outcome returns the event that ends a started task.
func (tr trial) outcome(now float64, started event) event {
	run := started.job.runTimes[started.task]
	started.code = rrcode.Complete
	if tr.slowdown != nil {
		run *= tr.slowdown(started.minion)
	}
	if tr.fails != nil && tr.fails(started.minion, started.job) {
		started.code = rrcode.TaskFailed
		run = 0.002
	}
	if tr.hangs != nil && tr.hangs(started.minion, now) {
		started.code = rrcode.TimedOut
		run = 10
	}
	if tr.refuses != nil && tr.refuses(started.minion, now) != 0 {
		started.code = tr.refuses(started.minion, now)
		run = 0.001
	}
	started.at = now + run
	return started
}

// dispatcherScheduler makes a Dispatcher a scheduler.
type dispatcherScheduler struct {
	d     *Dispatcher
	jobs  map[BatchKey]*simJob
	index map[string]int
	buf   []Dispatch
	tr    trial
}

func (tr trial) dispatcher() *dispatcherScheduler {
	c := &dispatcherScheduler{tr: tr, d: New(nil), jobs: map[BatchKey]*simJob{}, index: map[string]int{}}
	list := testMinions(tr.minions, tr.slots)
	for i, m := range list {
		c.index[m.Name] = i
	}
	c.d.SetMinions(testStart, list)
	return c
}

func (c *dispatcherScheduler) add(now float64, j *simJob) {
	c.jobs[j.batch.Key] = j
	c.d.Add(timeAt(now), j.batch)
}

func (c *dispatcherScheduler) finish(now float64, e event) {
	c.d.HandleResult(timeAt(now), DispatchResult{ID: e.id, Result: resultOf(e)})
	if e.code == rrcode.TaskFailed || e.code == rrcode.TimedOut {
		// The coordinator answers the job with a failure and cancels its other tasks.
		e.job.unfinished -= c.d.CancelQueued(timeAt(now), e.job.batch.Key)
	}
	c.d.TakeOutcomes(nil)
	for _, p := range c.d.DueProbes(timeAt(now), nil) {
		unreachable := c.tr.refuses != nil && c.tr.refuses(c.index[p.Minion], now) == rrcode.Unreachable
		frozen := c.tr.hangs != nil && c.tr.hangs(c.index[p.Minion], now)
		c.d.HandleProbeResult(timeAt(now), p.Minion, !unreachable && !frozen)
	}
}

func resultOf(e event) rrtask.Result {
	return rrtask.Result{Code: e.code}
}

func (c *dispatcherScheduler) next(now float64) []event {
	c.buf = c.d.Dispatch(timeAt(now), c.buf[:0])
	var out []event
	for _, dispatch := range c.buf {
		out = append(out, event{job: c.jobs[dispatch.Key], task: dispatch.Task.Index, id: dispatch.ID, minion: c.index[dispatch.Minion]})
	}
	return out
}

func (c *dispatcherScheduler) wake(now float64) float64 {
	at := c.d.NextWakeup(timeAt(now))
	if at.IsZero() {
		return 0
	}
	return at.Sub(testStart).Seconds() + 1e-6
}

// centralQueue is one central queue that starts the job with the lowest score first.
// It knows the true run times.
type centralQueue struct {
	slots int
	free  int
	score func(*centralJob) float64
	gang  bool // a job starts with all its tasks, or with all slots, or not at all
	jobs  []*centralJob
	byJob map[*simJob]*centralJob
}

type centralJob struct {
	*simJob
	next, running int
	remainingWork float64
}

func (p *centralQueue) add(_ float64, j *simJob) {
	q := &centralJob{simJob: j}
	for _, t := range j.runTimes {
		q.remainingWork += t
	}
	p.jobs = append(p.jobs, q)
	p.byJob[j] = q
}

func (p *centralQueue) finish(_ float64, e event) {
	p.free++
	p.byJob[e.job].running--
}

func (p *centralQueue) wake(float64) float64 { return 0 }

func (p *centralQueue) next(float64) []event {
	var out []event
	for p.free > 0 {
		var best *centralJob
		for _, j := range p.jobs {
			if p.gang && j.next == 0 && p.free < min(len(j.runTimes), p.slots) {
				continue
			}
			if best == nil || p.score(j) < p.score(best) {
				best = j
			}
		}
		if best == nil {
			break
		}
		out = append(out, event{job: best.simJob, task: best.next})
		best.remainingWork -= best.runTimes[best.next]
		best.next++
		best.running++
		p.free--
		if best.next == len(best.runTimes) {
			p.jobs = slices.DeleteFunc(p.jobs, func(j *centralJob) bool { return j == best })
		}
	}
	return out
}

// ratios returns response time ÷ ideal response time of the jobs that did not fail,
// sorted.
func ratios(jobs []*simJob, slots int, class string) []float64 {
	var out []float64
	for _, j := range jobs {
		if j.failed == 0 && (class == "" || j.class == class) {
			out = append(out, (j.endedAt-j.arrivesAt)/j.idealResponse(slots))
		}
	}
	slices.Sort(out)
	return out
}

func report(b *testing.B, jobs []*simJob, slots int) {
	all := ratios(jobs, slots, "")
	sum := 0.0
	for _, r := range all {
		sum += r
	}
	b.ReportMetric(sum/float64(len(all)), "mean")
	b.ReportMetric(all[len(all)/2], "p50")
	b.ReportMetric(all[len(all)*99/100], "p99")
	for _, class := range []string{"proof", "check", "cut"} {
		if r := ratios(jobs, slots, class); len(r) > 0 {
			b.ReportMetric(r[len(r)*99/100], "p99-"+class)
		}
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOrder compares the order of the Dispatcher with others for the same arrivals,
// in the whole fleet and in the share of one of eight entries.
func BenchmarkOrder(b *testing.B) {
	orders := []struct {
		name string
		make func(trial) scheduler
	}{
		{"first-come", func(tr trial) scheduler { return tr.central(false, func(j *centralJob) float64 { return j.arrivesAt }) }},
		{"fair", func(tr trial) scheduler {
			return tr.central(false, func(j *centralJob) float64 { return float64(j.running) })
		}},
		{"gang-first-come", func(tr trial) scheduler { return tr.central(true, func(j *centralJob) float64 { return j.arrivesAt }) }},
		{"gang-shortest", func(tr trial) scheduler {
			return tr.central(true, func(j *centralJob) float64 { return j.remainingWork })
		}},
		{"shortest", func(tr trial) scheduler {
			return tr.central(false, func(j *centralJob) float64 { return j.remainingWork })
		}},
		{"dispatcher", func(tr trial) scheduler { return tr.dispatcher() }},
	}
	for _, minions := range []int{50, 6} {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			tr := trial{minions: minions, slots: 8, load: load, span: time.Minute, declared: exactRunTime, mix: mixedJob}
			if minions == 6 {
				tr.mix = entryShare
				tr.span = 5 * time.Minute
			}
			jobs := tr.jobs(*seed)
			for _, o := range orders {
				b.Run(fmt.Sprintf("minions=%d/load=%v/%s", minions, load, o.name), func(b *testing.B) {
					for range b.N {
						tr.run(jobs, o.make(tr))
					}
					report(b, jobs, 8*minions)
				})
			}
		}
	}
}

// entryShare draws what one of eight entries gets of the mix: large jobs are split.
func entryShare(r *rand.Rand) (string, []float64) {
	class, times := mixedJob(r)
	if class == "cut" {
		times = times[:len(times)/8]
	}
	return class, times
}

func (tr trial) central(gang bool, score func(*centralJob) float64) scheduler {
	n := tr.minions * tr.slots
	return &centralQueue{slots: n, free: n, score: score, gang: gang, byJob: map[*simJob]*centralJob{}}
}

// BenchmarkLearn simulates wrong declared run times, which the Dispatcher corrects by the
// observed ones.
func BenchmarkLearn(b *testing.B) {
	declared := []struct {
		name string
		fn   func(*rand.Rand, float64) float64
	}{
		{"exact", exactRunTime},
		{"tenth", func(_ *rand.Rand, t float64) float64 { return t / 10 }},
		{"noise", func(r *rand.Rand, t float64) float64 { return t * math.Pow(10, 2*r.Float64()-1) }},
		{"none", func(*rand.Rand, float64) float64 { return 0 }},
	}
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, d := range declared {
			tr := trial{minions: 6, slots: 8, load: load, span: 5 * time.Minute, declared: d.fn, mix: entryShare}
			jobs := tr.jobs(*seed)
			b.Run(fmt.Sprintf("load=%v/%s", load, d.name), func(b *testing.B) {
				for range b.N {
					tr.run(jobs, tr.dispatcher())
				}
				report(b, jobs, 48)
			})
		}
	}
}

// BenchmarkShares simulates two tenants of weights 3 and 1 that together offer 1.5 times
// the capacity. It reports the first one's share of the run time until the arrivals end.
func BenchmarkShares(b *testing.B) {
	mixes := []struct {
		name  string
		heavy float64 // share of the jobs that the tenant of weight 3 submits
		times [2]int  // factor of the number of tasks of a job, by tenant
	}{
		{"alike", 0.5, [2]int{1, 1}},
		{"light-is-small", 0.1, [2]int{9, 1}},
		{"heavy-is-small", 0.9, [2]int{1, 9}},
	}
	for _, mx := range mixes {
		tr := trial{minions: 6, slots: 8, load: 1.5, span: time.Minute, declared: exactRunTime}
		tr.mix = func(r *rand.Rand) (string, []float64) {
			class, n := "a", 10*mx.times[0]
			if r.Float64() >= mx.heavy {
				class, n = "b", 10*mx.times[1]
			}
			times := make([]float64, n)
			for i := range times {
				times[i] = 0.1 + 0.3*r.Float64()
			}
			return class, times
		}
		jobs := tr.jobs(*seed)
		b.Run(mx.name, func(b *testing.B) {
			for range b.N {
				c := tr.dispatcher()
				cfg := rrconf.Default()
				cfg.Tenants = []rrconf.Tenant{{Name: "ta", Weight: 3}, {Name: "tb", Weight: 1}}
				c.d.SetConfig(cfg, 48)
				tr.run(jobs, c)
			}
			var got [2]float64
			for _, j := range jobs {
				if j.endedAt < tr.span.Seconds() {
					for _, t := range j.runTimes {
						got[j.class[0]-'a'] += t
					}
				}
			}
			b.ReportMetric(got[0]/(got[0]+got[1]), "share")
			b.ReportMetric(0, "ns/op")
		})
	}
}
