package rrworkload

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func TestGenerate(t *testing.T) {
	for name, classes := range map[string][]JobClass{"plain": PlainClasses(), "huge": HugeClasses(), "agency": AgencyClasses(), "lone star": LoneStarClasses()} {
		w := Workload{Classes: classes, Slots: 400, Phases: []Phase{{20 * time.Second, 0.5}, {20 * time.Second, 3}}}
		jobs := w.Generate(1)
		if !reflect.DeepEqual(jobs, w.Generate(1)) {
			t.Errorf("%s: got different jobs from the same seed", name)
		}
		work := make([]time.Duration, 2)
		for i, j := range jobs {
			if i > 0 && j.Arrival < jobs[i-1].Arrival {
				t.Errorf("%s: got job %d before its predecessor", name, i)
			}
			if n := len(j.Tasks); n < 1 || n > 1700 {
				t.Errorf("%s: got %d tasks, want 1 to 1700", name, n)
			}
			work[int(j.Arrival/(20*time.Second))] += j.TotalRunTime()
		}
		for i, want := range []float64{0.5, 3} {
			got := work[i].Seconds() / 400 / 20
			if math.Abs(got-want) > 0.1 {
				t.Errorf("%s: phase %d: got load %.2f, want %.2f", name, i, got, want)
			}
		}
	}
}

func TestDeclaredRunTime(t *testing.T) {
	w := Workload{Classes: []JobClass{{MedianRunTime: time.Second}, {MedianRunTime: time.Second}}, DeclaredErrorFactor: 10}
	if got, want := w.declaredRunTime(0), 10*time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := w.declaredRunTime(1), 100*time.Millisecond; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestIdealResponseTime(t *testing.T) {
	j := Job{Tasks: []Task{{RunTime: time.Second}, {RunTime: 3 * time.Second}}}
	for slots, want := range map[int]time.Duration{1: 4001 * time.Millisecond, 4: 3001 * time.Millisecond} {
		if got := j.IdealResponseTime(slots, time.Millisecond); got != want {
			t.Errorf("%d slots: got %v, want %v", slots, got, want)
		}
	}
}
