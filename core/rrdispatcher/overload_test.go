package rrdispatcher

import (
	"fmt"
	"testing"
	"time"

	"rattanring/core/rradmission"
	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
)

// admissionGate puts admission control before a Dispatcher.
type admissionGate struct {
	*dispatcherScheduler
	admission   rradmission.Controller
	slots       int
	refused     int
	expiredJobs int // admitted jobs that passed their deadline
}

// callerTimeout returns how long the caller of a job waits, in seconds.
func callerTimeout(j *simJob, slots int) float64 {
	return 2 + 5*j.idealResponse(slots)
}

func (g *admissionGate) add(now float64, j *simJob) {
	j.batch.Deadline = timeAt(now + callerTimeout(j, g.slots))
	work := time.Duration(0)
	for i := range j.batch.Tasks {
		work += g.d.RunTimes.Estimate(j.batch.Tenant, j.batch.Class, j.batch.Tasks[i].DeclaredRunTime)
	}
	j.batch.RemainingWork = work
	load := g.d.Load(timeAt(now))
	var ahead, all time.Duration
	for i, w := range load.Backlog {
		all += w
		if i <= BacklogBucket(work) {
			ahead += w
		}
	}
	n := time.Duration(g.slots)
	decision := g.admission.Admit(timeAt(now), rradmission.Request{
		Tenant: j.batch.Tenant, Tasks: len(j.runTimes), TotalRunTime: work,
		EstimatedCompletion: (ahead+load.RunningWork/2)/n + seconds(j.idealResponse(g.slots)), Timeout: j.batch.Deadline.Sub(timeAt(now)),
		Backlog: all / n, Slots: g.slots,
	})
	if decision.Code != 0 {
		g.refused++
		j.unfinished = 0
		return
	}
	g.dispatcherScheduler.add(now, j)
}

func (g *admissionGate) finish(now float64, e event) {
	g.admission.RecordStarts(1)
	g.d.HandleResult(timeAt(now), DispatchResult{ID: e.id, Result: resultOf(e)})
	g.failExpired(now)
	if e.job.unfinished == 0 {
		g.admission.Release(timeAt(now), e.job.batch.Tenant, len(e.job.runTimes), e.job.batch.RemainingWork)
	}
}

// failExpired fails the jobs whose queued tasks passed their deadline.
func (g *admissionGate) failExpired(now float64) {
	for _, o := range g.d.TakeOutcomes(nil) {
		j := g.jobs[o.Key]
		if o.Result.Code != rrcode.DeadlinePassed {
			continue
		}
		j.unfinished--
		if j.failed == 0 {
			g.expiredJobs++
		}
		j.failed++
		if j.unfinished == 0 {
			g.admission.Release(timeAt(now), j.batch.Tenant, len(j.runTimes), j.batch.RemainingWork)
		}
	}
}

func (g *admissionGate) next(now float64) []event {
	out := g.dispatcherScheduler.next(now)
	g.failExpired(now)
	return out
}

// BenchmarkOverload simulates loads up to far above the capacity, with admission control.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.8, 1.5, 3} {
		for _, preset := range rrconf.Presets {
			tr := trial{minions: 6, slots: 8, load: load, span: 3 * time.Minute, declared: exactRunTime, mix: entryShare}
			jobs := tr.jobs(*seed)
			cfg := rrconf.Default()
			cfg.Preset = preset
			b.Run(fmt.Sprintf("load=%v/%s", load, preset), func(b *testing.B) {
				for range b.N {
					g := &admissionGate{dispatcherScheduler: tr.dispatcher(), slots: 48}
					g.d.SetConfig(cfg, 48)
					g.admission.SetConfig(cfg, 1)
					tr.run(jobs, g)
					reportOverload(b, g, jobs, tr.span.Seconds())
				}
			})
		}
	}
}

func reportOverload(b *testing.B, g *admissionGate, jobs []*simJob, span float64) {
	var good, answered float64
	var served []*simJob
	for _, j := range jobs {
		if j.endedAt == 0 || j.failed > 0 {
			continue
		}
		served = append(served, j)
		answered++
		if j.endedAt < span {
			for _, t := range j.runTimes {
				good += t
			}
		}
	}
	report(b, served, g.slots)
	b.ReportMetric(good/span/float64(g.slots), "goodput")
	b.ReportMetric(float64(g.refused)/float64(len(jobs)), "refused")
	b.ReportMetric(float64(g.expiredJobs)/float64(len(jobs)), "late")
}
