package rrdispatcher

import (
	"fmt"
	"testing"
	"time"

	"rattanring/core/rradmission"
	"rattanring/core/rrcode"
	"rattanring/core/rrconf"
)

// gate puts a door before a keeper. Each job has a patience by its class.
type gate struct {
	*keeping
	door    rradmission.Controller
	slots   int
	refused int
	late    int // jobs that were admitted and passed their deadline
}

// patience returns how long the caller of a job waits.
func patience(j *simJob, slots int) float64 {
	return 2 + 5*j.ideal(slots)
}

func (g *gate) add(now float64, j *simJob) {
	j.batch.Deadline = after(now + patience(j, g.slots))
	rest := time.Duration(0)
	for i := range j.batch.Tasks {
		rest += g.k.RunTimes.Estimate(j.batch.Tenant, j.batch.Class, j.batch.Tasks[i].DeclaredRunTime)
	}
	j.batch.RemainingWork = rest
	load := g.k.Load(after(now))
	var ahead, all time.Duration
	for i, w := range load.Backlog {
		all += w
		if i <= BacklogBucket(rest) {
			ahead += w
		}
	}
	n := time.Duration(g.slots)
	v := g.door.Admit(after(now), rradmission.Request{
		Tenant: j.batch.Tenant, Tasks: len(j.times), TotalRunTime: rest,
		EstimatedCompletion: (ahead+load.RunningWork/2)/n + seconds(j.ideal(g.slots)), Timeout: j.batch.Deadline.Sub(after(now)),
		Backlog: all / n, Slots: g.slots,
	})
	if v.Code != 0 {
		g.refused++
		j.left = 0
		return
	}
	g.keeping.add(now, j)
}

func (g *gate) finish(now float64, e event) {
	g.door.RecordStarts(1)
	g.k.HandleResult(after(now), DispatchResult{ID: e.id, Result: resultOf(e)})
	g.expired(now)
	if e.job.left == 0 {
		g.door.Release(after(now), e.job.batch.Tenant, len(e.job.times), e.job.batch.RemainingWork)
	}
}

// expired fails the jobs whose waiting tasks passed their deadline.
func (g *gate) expired(now float64) {
	for _, o := range g.k.TakeOutcomes(nil) {
		j := g.jobs[o.Key]
		if o.Result.Code != rrcode.DeadlinePassed {
			continue
		}
		j.left--
		if j.failed == 0 {
			g.late++
		}
		j.failed++
		if j.left == 0 {
			g.door.Release(after(now), j.batch.Tenant, len(j.times), j.batch.RemainingWork)
		}
	}
}

func (g *gate) next(now float64) []event {
	out := g.keeping.next(now)
	g.expired(now)
	return out
}

// BenchmarkOverload plays bursts far above the capacity through a door.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.8, 1.5, 3} {
		for _, preset := range rrconf.Presets {
			tr := trial{minions: 6, slots: 8, load: load, span: 3 * time.Minute, declared: exact, mix: share}
			jobs := tr.jobs(*seed)
			cfg := rrconf.Default()
			cfg.Preset = preset
			b.Run(fmt.Sprintf("load=%v/%s", load, preset), func(b *testing.B) {
				for range b.N {
					g := &gate{keeping: tr.keeper(), slots: 48}
					g.k.SetConfig(cfg, 48)
					g.door.SetConfig(cfg, 1)
					tr.run(jobs, g)
					reportOverload(b, g, jobs, tr.span.Seconds())
				}
			})
		}
	}
}

func reportOverload(b *testing.B, g *gate, jobs []*simJob, span float64) {
	var good, answered float64
	var served []*simJob
	for _, j := range jobs {
		if j.ended == 0 || j.failed > 0 {
			continue
		}
		served = append(served, j)
		answered++
		if j.ended < span {
			for _, t := range j.times {
				good += t
			}
		}
	}
	report(b, served, g.slots)
	b.ReportMetric(good/span/float64(g.slots), "goodput")
	b.ReportMetric(float64(g.refused)/float64(len(jobs)), "refused")
	b.ReportMetric(float64(g.late)/float64(len(jobs)), "late")
}
