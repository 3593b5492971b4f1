package rrdispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rattanring/core/rrcode"
)

// BenchmarkFaults simulates failing, frozen and slow minions. It reports the failed
// tasks and jobs, and the response times of the jobs that did not fail.
func BenchmarkFaults(b *testing.B) {
	blackHole := func(m int, _ *simJob) bool { return m == 0 }
	frozen := func(m int, at float64) bool { return m == 0 && at > 5 }
	badJob := func(_ int, j *simJob) bool { return j.batch.Key.Seq%10 == 0 }
	slowTenth := func(m int) float64 {
		if m%10 == 0 {
			return 5
		}
		return 1
	}
	faults := []struct {
		name     string
		load     float64
		slowdown func(int) float64
		fails    func(int, *simJob) bool
		hangs    func(int, float64) bool
	}{
		{"none", 0.8, nil, nil, nil},
		{"black-hole", 0.8, nil, blackHole, nil},
		{"bad-jobs", 0.8, nil, badJob, nil},
		{"frozen", 0.8, nil, nil, frozen},
		{"slow", 0.5, slowTenth, nil, nil},
		{"slow", 0.8, slowTenth, nil, nil},
		{"slow", 0.9, slowTenth, nil, nil},
	}
	for _, minions := range []int{50, 6} {
		for _, f := range faults {
			tr := trial{minions: minions, slots: 8, load: f.load, span: time.Minute, declared: exactRunTime, mix: mixedJob, slowdown: f.slowdown, fails: f.fails, hangs: f.hangs}
			if minions == 6 {
				tr.mix = entryShare
				tr.span = 5 * time.Minute
			}
			jobs := tr.jobs(*seed)
			b.Run(fmt.Sprintf("minions=%d/load=%v/%s", minions, f.load, f.name), func(b *testing.B) {
				for range b.N {
					c := tr.dispatcher()
					tr.run(jobs, c)
					reportFaults(b, c.d, jobs)
				}
				report(b, jobs, 8*minions)
			})
		}
	}
}

func reportFaults(b *testing.B, d *Dispatcher, jobs []*simJob) {
	var failed, tasks, bad int
	for _, j := range jobs {
		failed += min(j.failed, 1)
		tasks += j.failed
	}
	for _, m := range d.MinionStatuses(testStart) {
		if m.State != Healthy {
			bad++
		}
	}
	b.ReportMetric(float64(tasks), "failed-tasks")
	b.ReportMetric(float64(failed), "failed-jobs")
	b.ReportMetric(float64(bad), "bad-minions")
}

// A minion that fails all tasks is quarantined after a few of them. Jobs that fail on
// all minions quarantine none.
func TestBadMinionAndBadJobs(t *testing.T) {
	tests := []struct {
		name      string
		minions   int
		fails     func(int, *simJob) bool
		bad       []string // quarantined minions
		maxFailed int      // failed tasks; -1 for any number
	}{
		{"one of 50 fails all", 50, func(m int, _ *simJob) bool { return m == 0 }, []string{"maa"}, 20},
		{"one of 6 fails all", 6, func(m int, _ *simJob) bool { return m == 0 }, []string{"maa"}, 20},
		{"two of 6 fail all", 6, func(m int, _ *simJob) bool { return m < 2 }, []string{"maa", "mba"}, 40},
		{"a tenth of jobs fails", 6, func(_ int, j *simJob) bool { return j.batch.Key.Seq%10 == 0 }, nil, -1},
		{"a class fails", 6, func(_ int, j *simJob) bool { return j.class == "proof" }, nil, -1},
		{"everything fails later", 6, func(_ int, j *simJob) bool { return j.arrivesAt > 5 }, nil, -1},
		{"everything fails at once", 6, func(int, *simJob) bool { return true }, nil, -1},
	}
	for _, tc := range tests {
		tr := trial{minions: tc.minions, slots: 8, load: 0.8, span: 20 * time.Second, declared: exactRunTime, mix: entryShare, fails: tc.fails}
		jobs := tr.jobs(*seed)
		c := tr.dispatcher()
		tr.run(jobs, c)
		failed := 0
		for _, j := range jobs {
			failed += j.failed
		}
		if tc.maxFailed >= 0 && failed > tc.maxFailed {
			t.Errorf("%s: got %d failed tasks, want at most %d", tc.name, failed, tc.maxFailed)
		}
		var bad []string
		for _, v := range c.d.HealthReports() {
			bad = append(bad, v.Minion)
		}
		if !slices.Equal(bad, tc.bad) {
			t.Errorf("%s: got %v quarantined, want %v", tc.name, bad, tc.bad)
		}
	}
}

// A minion that is unreachable, or refuses tasks because other owners use its slots,
// receives few dispatches.
func TestRefusals(t *testing.T) {
	refuseFrom := func(code rrcode.Code, from, until float64) func(int, float64) rrcode.Code {
		return func(m int, at float64) rrcode.Code {
			if m == 0 && from <= at && at < until {
				return code
			}
			return 0
		}
	}
	tests := []struct {
		name       string
		refuses    func(int, float64) rrcode.Code
		maxRefused uint64 // refused dispatches
	}{
		{"full from the start", refuseFrom(rrcode.MinionRefused, 0, 3), 12},
		{"full later", refuseFrom(rrcode.MinionRefused, 5, 8), 24},
		{"unreachable later", refuseFrom(rrcode.Unreachable, 5, 30), 12},
	}
	for _, tc := range tests {
		tr := trial{minions: 6, slots: 8, load: 0.8, span: 30 * time.Second, declared: exactRunTime, mix: entryShare, refuses: tc.refuses}
		jobs := tr.jobs(*seed)
		c := tr.dispatcher()
		tr.run(jobs, c)
		for _, j := range jobs {
			if j.unfinished != 0 {
				t.Fatalf("%s: got %d unfinished tasks of %v, want none", tc.name, j.unfinished, j.batch.Key)
			}
		}
		t.Logf("%s: %d of %d dispatches refused", tc.name, c.d.Stats().Refused, c.d.Stats().Dispatches)
		if got := c.d.Stats(); got.Refused > tc.maxRefused || got.Redispatches != got.Refused {
			t.Errorf("%s: got %d refused and %d repeated of %d dispatches, want at most %d of each", tc.name, got.Refused, got.Redispatches, got.Dispatches, tc.maxRefused)
		}
	}
}
